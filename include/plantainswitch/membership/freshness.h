#pragma once

#include <cstddef>
#include <cstdint>

#include "plantainswitch/base/clock.h"

namespace plantainswitch {

/// Bounds the age of the fleet's copy of one kind of platform object. A watch that the platform has
/// lost is never answered, which is indistinguishable from a watch without changes. Only a response
/// tells the two apart: one router, the confirmer, polls often, and the others learn from it that
/// the platform responds and what the newest change is.
struct FreshnessPolicy
{
    /// Longest time for which the platform holds a watch of the confirmer.
    Milliseconds confirmInterval{1500};
    /// The same for all other routers. Longer, because every watch is a billed call.
    Milliseconds maxWatchWait{30'000};
    /// Delay after a change before the next watch. Changes come in bursts, such as when upstreams
    /// are replaced one after the other.
    Milliseconds coalesceDelay{250};
    /// The same for a standby: a router whose data centre has another watcher.
    Milliseconds standbyCoalesceDelay{500};
};

/// \returns the policy under which every router knows of a change within \a bound after the
/// platform accepted it or became reachable again.
[[nodiscard]] FreshnessPolicy freshnessWithin(Milliseconds bound) noexcept;

/// Estimates the platform's response time, as TCP does for its retransmission timeout.
class AdaptiveTimeout
{
public:
    /// Records that a response took \a elapsed longer than the time for which it was to be held.
    void recordResponse(Duration elapsed) noexcept;
    /// Records that no response came in time.
    void recordTimeout() noexcept { ++this->timeouts; }
    /// \returns the time within which the next response must begin. Doubles with each timeout and
    /// starts over after a few, so that a platform that has recovered is found soon.
    [[nodiscard]] Milliseconds value() const noexcept;

private:
    Duration smoothed{0};
    std::uint32_t timeouts = 0;
};

/// \returns the delay before the next call after \a failures in a row. Jitter from \a seed keeps
/// routers that lost the platform together from retrying in step.
[[nodiscard]] Milliseconds retryBackoff(std::uint32_t failures, std::uint64_t seed) noexcept;

/// \returns whether a router that last saw a change \a sinceChange ago may send its next watch.
/// \param isStandby whether another router watches for the same data centre
[[nodiscard]] bool isWatchDue(const FreshnessPolicy &policy, Duration sinceChange,
                              bool isStandby) noexcept;

/// \returns how long the platform may hold the watch of a router.
/// \param isConfirmer whether the response is to confirm what the fleet knows
[[nodiscard]] Milliseconds watchWait(const FreshnessPolicy &policy, bool isConfirmer) noexcept;

/// Input of the decision whether a router abandons its pending watch.
struct ConfirmationState
{
    /// Time since the platform confirmed this router's copy, to this router or to another one.
    Duration sinceConfirmed{0};
    /// Number of routers that come before this one as confirmers.
    std::size_t rank = 0;
    Milliseconds responseTimeout{0};
    /// How long the platform may hold the pending watch.
    Milliseconds currentWatchWait{0};
};

/// \returns whether the confirmer replaces a long watch by a short one.
[[nodiscard]] bool isConfirmationDue(const FreshnessPolicy &policy,
                                     const ConfirmationState &state) noexcept;

/// \returns whether the confirmer's response is overdue. Routers reach this state one after the
/// other by rank, so that the first to get a response spares the rest their calls.
[[nodiscard]] bool isConfirmationOverdue(const FreshnessPolicy &policy,
                                         const ConfirmationState &state) noexcept;

} // namespace plantainswitch
