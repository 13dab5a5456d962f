#pragma once

#include <cstddef>
#include <cstdint>

#include "plantainswitch/base/clock.h"

namespace plantainswitch {

/// How a fleet bounds the age of what it knows of one kind of the platform's objects. A watch that
/// the platform lost is never answered, which looks as if nothing had changed. Only an answer
/// separates the two: one router, the confirmer, asks often, and the others know by it that the
/// platform answers and what the newest change is.
struct FreshnessPolicy
{
    /// The confirmer's watches are held no longer than this.
    Milliseconds confirmInterval{1500};
    /// The same for all others; a watch is a priced call.
    Milliseconds maxWatchWait{30'000};
    /// Pause after a change before the next watch: changes often come in rows, such as when
    /// upstreams are replaced one after the other.
    Milliseconds coalesceDelay{250};
    /// The same for a standby, whose data centre has another watcher.
    Milliseconds standbyCoalesceDelay{500};
};

/// \returns the policy by which every router knows of a change within \a bound after the platform
/// has accepted it, or has come back.
[[nodiscard]] FreshnessPolicy freshnessWithin(Milliseconds bound) noexcept;

/// Estimates how long the platform takes to answer, as TCP does for its retransmission time-out.
class AdaptiveTimeout
{
public:
    /// Notes that an answer took \a took beyond the time for which it was to be held.
    void recordResponse(Duration took) noexcept;
    /// Notes that no answer came in time.
    void recordTimeout() noexcept { ++this->timeouts; }
    /// \returns the time within which the next answer must begin. Grows after each time-out and
    /// begins anew after a few, so that a platform that is back is found soon.
    [[nodiscard]] Milliseconds value() const noexcept;

private:
    Duration smoothed{0};
    std::uint32_t timeouts = 0;
};

/// \returns the pause before the next call after \a failures in a row. Routers that lost the
/// platform together, separated by \a seed, do not ask in step.
[[nodiscard]] Milliseconds retryBackoff(std::uint32_t failures, std::uint64_t seed) noexcept;

/// \returns whether a router whose watch has shown a change \a sinceChange ago watches again.
/// \param isStandby whether another router watches for the same data centre
[[nodiscard]] bool isWatchDue(const FreshnessPolicy &policy, Duration sinceChange,
                              bool isStandby) noexcept;

/// \returns how long the platform may hold the watch of a router.
/// \param isConfirmer whether the answer is to confirm what the fleet knows
[[nodiscard]] Milliseconds watchWait(const FreshnessPolicy &policy, bool isConfirmer) noexcept;

/// What decides whether a router gives its waiting watch up.
struct ConfirmationState
{
    /// Since the platform confirmed what this router knows, to itself or to another router.
    Duration sinceConfirmed{0};
    /// Routers that come before this one as confirmers.
    std::size_t rank = 0;
    Milliseconds responseTimeout{0};
    /// How long the platform may hold the waiting watch.
    Milliseconds currentWatchWait{0};
};

/// \returns whether the confirmer replaces a long watch by a short one.
[[nodiscard]] bool isConfirmationDue(const FreshnessPolicy &policy,
                                     const ConfirmationState &situation) noexcept;

/// \returns whether the confirmer's answer is overdue. Routers find so one after the other, so that
/// the first to get an answer spares the rest their calls.
[[nodiscard]] bool isConfirmationOverdue(const FreshnessPolicy &policy,
                                         const ConfirmationState &situation) noexcept;

} // namespace plantainswitch
