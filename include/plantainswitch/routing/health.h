#pragma once

#include <cstdint>
#include <string_view>

#include "plantainswitch/base/clock.h"

namespace plantainswitch {

/// How a request failed at an upstream.
enum class UpstreamFault : std::uint8_t {
    /// The connection could not be established.
    Unreachable,
    /// The connection was lost before the complete response arrived.
    ConnectionLost,
    /// No response within the time that this upstream usually takes.
    TimedOut,
    /// The response could not be parsed, or belongs to no request.
    InvalidResponse,
    /// The response is an error.
    Failed,
    /// The upstream rejected the request without executing it.
    Rejected,
};
[[nodiscard]] std::string_view nameOf(UpstreamFault fault) noexcept;

/// First ejection time of an unreachable upstream. It is shorter than the callers' timeouts, so
/// that one lost packet costs little; it doubles with each failure up to maxEjectionTime.
inline constexpr Milliseconds minEjectionTime{500};
/// A crashed upstream is back after some seconds and should not stay idle much longer.
inline constexpr Milliseconds maxEjectionTime{3000};
/// Timeouts within timeoutScoreHalfLife, seen by this router or reported by others, at which an
/// upstream counts as down. A single one may be due to the request itself: if engines were ejected
/// for it, sixty routers that each see a small part of their responses would keep a fifth of all
/// engines idle.
inline constexpr double timeoutsForEjection = 1.8;
inline constexpr Milliseconds timeoutScoreHalfLife{700};
/// Weight of a new outcome in the failure rate (exponential moving average): about ten requests
/// determine it.
inline constexpr double outcomeWeight = 0.1;
/// Weight of a new delay in the mean extra delay.
inline constexpr double delayWeight = 0.2;
/// Half-life of the failure and rejection rates and the extra delay, so that the upstream is tried
/// again.
inline constexpr Seconds penaltyHalfLife{2};

/// Health of one upstream as a router has observed it from responses.
struct UpstreamHealth
{
    /// Consecutive faults that indicate that the upstream is down rather than that a single request
    /// failed.
    std::uint32_t consecutiveDownFaults = 0;
    TimePoint ejectedUntil;
    /// Consecutive failed connection attempts, and how long they count.
    std::uint32_t consecutiveConnectFailures = 0;
    TimePoint unreachableUntil;
    /// The part of ejectedUntil that this router observed itself, which is all that it reports to
    /// others: ejections that were passed on would keep each other alive.
    TimePoint ownEjectedUntil;
    /// Decaying count of recent timeouts, halved every timeoutScoreHalfLife.
    double timeoutScore = 0.0;
    TimePoint timeoutScoreAt;
    /// When a request of this router last timed out there; the clock's epoch if never.
    TimePoint ownTimeoutAt;
    /// Share of recent requests that failed, from 0 to 1.
    double failureRate = 0.0;
    /// Share of recent requests that it rejected without executing them, from 0 to 1.
    double rejectionRate = 0.0;
    /// Mean delay beyond the expected one, in milliseconds.
    double extraDelay = 0.0;
    TimePoint updatedAt;
};

/// What a timeout says about the upstream.
enum class TimeoutCause : std::uint8_t {
    /// It is down or unreachable: nothing has arrived from it since the request was sent.
    Unresponsive,
    /// It responds to other requests; this one is queued or lost.
    Busy,
};

/// \returns the cause of a timeout of a request sent at \a sentAt, by when data last arrived from
/// the upstream. An engine that prefills long prompts doesn't respond to new requests for a while;
/// if it were ejected for that, its load would move to the others at once, and they would time out
/// next.
[[nodiscard]] TimeoutCause classifyTimeout(TimePoint sentAt, TimePoint lastReceived) noexcept;

/// Records a failed request.
void recordFault(UpstreamHealth &health, UpstreamFault fault, TimePoint now);
/// Records a successful response.
/// \param extraDelay time to its first byte beyond the expected one
void recordSuccess(UpstreamHealth &health, Duration extraDelay, TimePoint now);
/// \returns whether the last timeout seen by this router is to be reported to a router whose last
/// update was sent at \a since: it is later than that and recent enough to be relevant. This
/// includes routers that never got an update: timeouts of hours ago, reported by every router,
/// would keep a new one away from healthy upstreams.
[[nodiscard]] bool isNewTimeout(const UpstreamHealth &health, TimePoint since, TimePoint now);
/// Records a timeout that another router reported.
void recordPeerTimeout(UpstreamHealth &health, TimePoint now);
/// Records that another router has ejected the upstream until \a until; at most maxEjectionTime
/// from now counts.
void recordPeerEjection(UpstreamHealth &health, TimePoint until, TimePoint now);

/// Records that the upstream's data centre is unreachable until \a until.
void recordDataCentreUnreachable(UpstreamHealth &health, TimePoint until) noexcept;

/// \returns whether the upstream is ejected from load balancing.
[[nodiscard]] bool isEjected(const UpstreamHealth &health, TimePoint now) noexcept;
/// \returns the number of consecutive failed connection attempts, or 0 once the next attempt is
/// due. Unlike other faults, this one can't be caused by the request, and it counts however many
/// upstreams share it: if a data centre is cut off, all upstreams of the others are unreachable.
[[nodiscard]] std::uint32_t connectFailureCount(const UpstreamHealth &health,
                                                TimePoint now) noexcept;
/// \returns the failure rate, decayed by the time since the last outcome.
[[nodiscard]] double failureRateOf(const UpstreamHealth &health, TimePoint now) noexcept;
/// \returns the share of recent requests that failed or were rejected. An upstream that rejects
/// runs little, and would be preferred for that.
[[nodiscard]] double unservedRateOf(const UpstreamHealth &health, TimePoint now) noexcept;
/// \returns the extra delay in milliseconds, decayed likewise.
[[nodiscard]] double extraDelayOf(const UpstreamHealth &health, TimePoint now) noexcept;

} // namespace plantainswitch
