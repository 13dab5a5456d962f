#include "plantainswitch/orders/lease.h"

namespace plantainswitch {

namespace {

bool isHeld(const LeaseState &watch, TimePoint now) noexcept
{
    return watch.heldVersion.has_value() && now < watch.heldUntil;
}

} // namespace

void observeLease(LeaseState &watch, const std::optional<LeaseObject> &object,
                  const std::string &self, TimePoint now)
{
    const std::uint64_t version = object ? object->version : 0;
    if (!watch.observed || watch.observed->version != version) {
        watch.observedSince = now;
    }
    watch.observed = object.value_or(LeaseObject{});
    const bool lost = watch.heldVersion && (watch.observed->holder != self);
    if (lost) {
        watch.heldVersion.reset();
    }
}

LeaseDecision decideLease(const LeaseState &watch, const std::string &self,
                          const LeaseSettings &settings, TimePoint now)
{
    if (!watch.observed) {
        return {};
    }
    const std::uint64_t version = watch.observed->version;
    if (isHeld(watch, now)) {
        return now - watch.renewedAt < settings.renewInterval
                   ? LeaseDecision{}
                   : LeaseDecision{LeaseAction::Renew, version};
    }
    // This router's own object without a held lease: a write whose response was lost, or a lease
    // that expired during a pause. Nobody else acquired it, so the condition decides.
    const bool free = version == 0 || watch.observed->holder == self
                      || now - watch.observedSince >= settings.leaseDuration;
    return free ? LeaseDecision{LeaseAction::Acquire, version} : LeaseDecision{};
}

void recordLeaseWrite(LeaseState &watch, const std::string &self, std::uint64_t version,
                      const LeaseSettings &settings, TimePoint sentAt)
{
    const bool continued = isHeld(watch, sentAt);
    watch.observed = LeaseObject{self, version};
    watch.observedSince = sentAt;
    watch.heldVersion = version;
    watch.heldUntil = sentAt + settings.leaseDuration;
    watch.renewedAt = sentAt;
    if (!continued) {
        watch.acquiredAt = sentAt;
    }
}

std::optional<std::uint64_t> currentFencingToken(const LeaseState &watch, bool enginesCheck,
                                                 const LeaseSettings &settings, TimePoint now)
{
    if (!isHeld(watch, now)) {
        return std::nullopt;
    }
    if (!enginesCheck && now - watch.acquiredAt < settings.maxProcessPause) {
        return std::nullopt;
    }
    return watch.heldVersion;
}

} // namespace plantainswitch
