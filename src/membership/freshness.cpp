#include "plantainswitch/membership/freshness.h"

#include <algorithm>

namespace plantainswitch {

namespace {

/// Confirmations within the bound. The time of one of them is left for a timeout and for the update
/// of the other routers and their lists.
constexpr std::int64_t confirmationsInBound = 2;
constexpr std::int64_t coalesceDelaysInBound = 12;
/// Keeps a standby within the bound if the first watcher fails during the standby's delay.
constexpr std::int64_t standbyDelayFactor = 2;
/// A response takes a few milliseconds; a small VM may delay it by a few hundred.
constexpr Milliseconds minTimeout{400};
constexpr Milliseconds maxTimeout{2500};
constexpr std::uint32_t maxDoublings = 2;
constexpr Milliseconds minRetryDelay{250};
constexpr Milliseconds maxRetryDelay{1000};
/// Time for the confirmer's response to reach the other routers.
constexpr Milliseconds updateDelay{300};
constexpr Milliseconds delayPerRank{100};
constexpr std::size_t maxRank = 10;

} // namespace

FreshnessPolicy freshnessWithin(Milliseconds bound) noexcept
{
    FreshnessPolicy policy;
    policy.confirmInterval = bound / confirmationsInBound;
    policy.coalesceDelay = bound / coalesceDelaysInBound;
    policy.standbyCoalesceDelay = policy.coalesceDelay * standbyDelayFactor;
    policy.maxWatchWait = std::max(policy.maxWatchWait, policy.confirmInterval);
    return policy;
}

void AdaptiveTimeout::recordResponse(Duration elapsed) noexcept
{
    // Adapts to a slower platform at once and to a faster one gradually.
    this->smoothed = std::max(elapsed, (this->smoothed + elapsed) / 2);
    this->timeouts = 0;
}

Milliseconds AdaptiveTimeout::value() const noexcept
{
    const auto estimated = std::chrono::duration_cast<Milliseconds>(this->smoothed * 2);
    const Milliseconds base = std::max(minTimeout, minTimeout / 2 + estimated);
    const std::uint32_t doublings = this->timeouts % (maxDoublings + 1);
    return std::min(maxTimeout, base * (1 << doublings));
}

Milliseconds retryBackoff(std::uint32_t failures, std::uint64_t seed) noexcept
{
    const std::uint32_t doublings = std::min(std::max(failures, 1U) - 1, maxDoublings);
    const Milliseconds delay = std::min(minRetryDelay * (1 << doublings), maxRetryDelay);
    const auto jitter = static_cast<std::int64_t>(seed % static_cast<std::uint64_t>(delay.count()));
    // Between half of the delay and all of it.
    return (delay + Milliseconds{jitter}) / 2;
}

bool isWatchDue(const FreshnessPolicy &policy, Duration sinceChange, bool isStandby) noexcept
{
    return sinceChange >= (isStandby ? policy.standbyCoalesceDelay : policy.coalesceDelay);
}

Milliseconds watchWait(const FreshnessPolicy &policy, bool isConfirmer) noexcept
{
    return isConfirmer ? policy.confirmInterval : policy.maxWatchWait;
}

bool isConfirmationDue(const FreshnessPolicy &policy, const ConfirmationState &state) noexcept
{
    return state.rank == 0 && state.currentWatchWait > policy.confirmInterval
           && state.sinceConfirmed > policy.confirmInterval;
}

bool isConfirmationOverdue(const FreshnessPolicy &policy, const ConfirmationState &state) noexcept
{
    const auto rank = static_cast<std::int64_t>(std::min(state.rank, maxRank));
    return state.sinceConfirmed
           > policy.confirmInterval + state.responseTimeout + updateDelay + rank * delayPerRank;
}

} // namespace plantainswitch
