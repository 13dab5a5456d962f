#include "plantainswitch/membership/freshness.h"

#include <algorithm>

namespace plantainswitch {

namespace {

/// Confirmations within the bound. The time of one of them is left for a timeout and for the update
/// of the other routers and their lists.
constexpr std::int64_t confirmationsInBound = 2;
constexpr std::int64_t gatherPausesInBound = 12;
/// Keeps a standby within the bound if the first watcher fails during the standby's delay.
constexpr std::int64_t standbyPauses = 2;
/// A response takes a few milliseconds; a small VM may delay it by a few hundred.
constexpr Milliseconds minTimeout{400};
constexpr Milliseconds maxTimeout{2500};
constexpr std::uint32_t maxDoublings = 2;
constexpr Milliseconds minRetryPause{250};
constexpr Milliseconds maxRetryPause{1000};
/// Time for the confirmer's response to reach the other routers.
constexpr Milliseconds updateDelay{300};
constexpr Milliseconds rankStep{100};
constexpr std::size_t maxRank = 10;

} // namespace

FreshnessPolicy freshnessWithin(Milliseconds bound) noexcept
{
    FreshnessPolicy policy;
    policy.confirmInterval = bound / confirmationsInBound;
    policy.coalesceDelay = bound / gatherPausesInBound;
    policy.standbyCoalesceDelay = policy.coalesceDelay * standbyPauses;
    policy.maxWatchWait = std::max(policy.maxWatchWait, policy.confirmInterval);
    return policy;
}

void AdaptiveTimeout::recordResponse(Duration took) noexcept
{
    // Adapts to a slower platform at once and to a faster one gradually.
    this->smoothed = std::max(took, (this->smoothed + took) / 2);
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
    const Milliseconds pause = std::min(minRetryPause * (1 << doublings), maxRetryPause);
    const auto spread = static_cast<std::int64_t>(seed % static_cast<std::uint64_t>(pause.count()));
    // Between half of the delay and all of it.
    return (pause + Milliseconds{spread}) / 2;
}

bool isWatchDue(const FreshnessPolicy &policy, Duration sinceChange, bool isStandby) noexcept
{
    return sinceChange >= (isStandby ? policy.standbyCoalesceDelay : policy.coalesceDelay);
}

Milliseconds watchWait(const FreshnessPolicy &policy, bool isConfirmer) noexcept
{
    return isConfirmer ? policy.confirmInterval : policy.maxWatchWait;
}

bool isConfirmationDue(const FreshnessPolicy &policy, const ConfirmationState &situation) noexcept
{
    return situation.rank == 0 && situation.currentWatchWait > policy.confirmInterval
           && situation.sinceConfirmed > policy.confirmInterval;
}

bool isConfirmationOverdue(const FreshnessPolicy &policy,
                           const ConfirmationState &situation) noexcept
{
    const auto turn = static_cast<std::int64_t>(std::min(situation.rank, maxRank));
    return situation.sinceConfirmed
           > policy.confirmInterval + situation.responseTimeout + updateDelay + turn * rankStep;
}

} // namespace plantainswitch
