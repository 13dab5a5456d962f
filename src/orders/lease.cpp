#include "plantainswitch/orders/lease.h"

namespace plantainswitch {

namespace {

bool isHeld(const LeaseState &state, TimePoint now) noexcept
{
    return state.heldVersion.has_value() && now < state.heldUntil;
}

} // namespace

void observeLease(LeaseState &state, const std::optional<LeaseObject> &object,
                  const std::string &self, TimePoint now)
{
    const std::uint64_t version = object ? object->version : 0;
    if (!state.observed || state.observed->version != version) {
        state.observedSince = now;
    }
    state.observed = object.value_or(LeaseObject{});
    const bool isLost = state.heldVersion && (state.observed->holder != self);
    if (isLost) {
        state.heldVersion.reset();
    }
}

LeaseDecision decideLease(const LeaseState &state, const std::string &self,
                          const LeaseSettings &settings, TimePoint now)
{
    if (!state.observed) {
        return {};
    }
    const std::uint64_t version = state.observed->version;
    if (isHeld(state, now)) {
        return now - state.renewedAt < settings.renewInterval
                   ? LeaseDecision{}
                   : LeaseDecision{LeaseAction::Renew, version};
    }
    // This router's own object without a held lease: a write whose response was lost, or a lease
    // that expired during a pause. Nobody else acquired it, so the condition decides.
    const bool isFree = version == 0 || state.observed->holder == self
                        || now - state.observedSince >= settings.leaseDuration;
    return isFree ? LeaseDecision{LeaseAction::Acquire, version} : LeaseDecision{};
}

void recordLeaseWrite(LeaseState &state, const std::string &self, std::uint64_t version,
                      const LeaseSettings &settings, TimePoint sentAt)
{
    const bool wasHeld = isHeld(state, sentAt);
    state.observed = LeaseObject{self, version};
    state.observedSince = sentAt;
    state.heldVersion = version;
    state.heldUntil = sentAt + settings.leaseDuration;
    state.renewedAt = sentAt;
    if (!wasHeld) {
        state.acquiredAt = sentAt;
    }
}

std::optional<std::uint64_t> currentFencingToken(const LeaseState &state, bool enginesCheck,
                                                 const LeaseSettings &settings, TimePoint now)
{
    if (!isHeld(state, now)) {
        return std::nullopt;
    }
    if (!enginesCheck && now - state.acquiredAt < settings.maxProcessPause) {
        return std::nullopt;
    }
    return state.heldVersion;
}

} // namespace plantainswitch
