#include "plantainswitch/orders/lease.h"

namespace plantainswitch {

namespace {

bool isHeld(const LeaseWatch &watch, TimePoint now) noexcept
{
    return watch.heldVersion.has_value() && now < watch.heldUntil;
}

} // namespace

void observeLease(LeaseWatch &watch, const std::optional<LeaseObject> &object,
                  const std::string &self, TimePoint now)
{
    const std::uint64_t version = object ? object->version : 0;
    if (!watch.seen || watch.seen->version != version) {
        watch.seenSince = now;
    }
    watch.seen = object.value_or(LeaseObject{});
    const bool lost = watch.heldVersion && (watch.seen->holder != self);
    if (lost) {
        watch.heldVersion.reset();
    }
}

LeaseDecision decideLease(const LeaseWatch &watch, const std::string &self,
                          const LeaseSettings &settings, TimePoint now)
{
    if (!watch.seen) {
        return {};
    }
    const std::uint64_t version = watch.seen->version;
    if (isHeld(watch, now)) {
        return now - watch.renewed < settings.renewal ? LeaseDecision{}
                                                      : LeaseDecision{LeaseAction::Renew, version};
    }
    // Our own object without a held lease: a write whose answer was lost, or a lease that lapsed
    // while we were paused. Nobody else took it, so the condition decides.
    const bool free =
        version == 0 || watch.seen->holder == self || now - watch.seenSince >= settings.lease;
    return free ? LeaseDecision{LeaseAction::Take, version} : LeaseDecision{};
}

void leaseWritten(LeaseWatch &watch, const std::string &self, std::uint64_t version,
                  const LeaseSettings &settings, TimePoint sentAt)
{
    const bool continued = isHeld(watch, sentAt);
    watch.seen = LeaseObject{self, version};
    watch.seenSince = sentAt;
    watch.heldVersion = version;
    watch.heldUntil = sentAt + settings.lease;
    watch.renewed = sentAt;
    if (!continued) {
        watch.taken = sentAt;
    }
}

std::optional<std::uint64_t> fencingNumber(const LeaseWatch &watch, bool enginesCheck,
                                           const LeaseSettings &settings, TimePoint now)
{
    if (!isHeld(watch, now)) {
        return std::nullopt;
    }
    if (!enginesCheck && now - watch.taken < settings.longestPause) {
        return std::nullopt;
    }
    return watch.heldVersion;
}

} // namespace plantainswitch
