#pragma once

#include <cstdint>
#include <string_view>

#include "plantainswitch/base/clock.h"

namespace plantainswitch {

/// How an upstream failed a request.
enum class UpstreamFault : std::uint8_t {
    /// No connection came about.
    Unreachable,
    /// The connection ended before the whole answer.
    ConnectionLost,
    /// No answer within the time that this upstream usually takes.
    TimedOut,
    /// The answer could not be read, or belonged to nobody.
    InvalidResponse,
    /// It answered that it failed.
    Failed,
    /// It turned the request away unrun.
    Rejected,
};
[[nodiscard]] std::string_view nameOf(UpstreamFault fault) noexcept;

/// First time for which an upstream that can't be reached is avoided. Shorter than callers' time
/// limits, so that one lost packet costs little; doubled with each failure up to longestAvoidance.
inline constexpr Milliseconds minEjectionTime{500};
/// A crashed upstream is back after some seconds; it should not stay idle much longer.
inline constexpr Milliseconds maxEjectionTime{3000};
/// Silences within suspicionHalfLife after which an upstream counts as down, heard here or from
/// other routers. One alone may be a request's own bad luck: were an engine avoided for it, sixty
/// routers which each see a sliver of its answers would keep a fifth of all engines idle.
inline constexpr double timeoutsForEjection = 1.8;
inline constexpr Milliseconds timeoutScoreHalfLife{700};
/// Weight of one more outcome in the share of failures: some ten requests decide.
inline constexpr double outcomeWeight = 0.1;
/// Weight of one more delay in the mean.
inline constexpr double delayWeight = 0.2;
/// Time in which what is held against an upstream halves, so that it is tried again.
inline constexpr Seconds penaltyHalfLife{2};

/// What a router has learnt from the answers of one upstream.
struct UpstreamHealth
{
    /// Faults in a row that say the upstream is down rather than that a request failed.
    std::uint32_t consecutiveDownFaults = 0;
    TimePoint ejectedUntil;
    /// Connections in a row that did not come about, and until when that stands.
    std::uint32_t consecutiveConnectFailures = 0;
    TimePoint unreachableUntil;
    /// The part of it that this router has learnt itself, which is what it tells others: news
    /// that were handed on would keep each other alive.
    TimePoint ownEjectedUntil;
    /// Silences heard of lately, halved each suspicionHalfLife.
    double timeoutScore = 0.0;
    TimePoint timeoutScoreAt;
    /// When a request of this router was last silent there; the clock's beginning: never.
    TimePoint ownTimeoutAt;
    /// Share of requests failed, by recent outcomes; 0 to 1.
    double failureRate = 0.0;
    /// Mean delay beyond what was expected, in milliseconds.
    double extraDelay = 0.0;
    TimePoint updatedAt;
};

/// What a request's silence says of its upstream.
enum class TimeoutCause : std::uint8_t {
    /// It is down or cut off: nothing at all has come since the request was sent.
    Unresponsive,
    /// It works for others, so that this request is queued or forgotten.
    Busy,
};

/// \returns what it says that a request sent at \a sentAt has no answer yet. An engine that reads
/// long prompts is silent to new requests for a while; were it avoided for that, its load would
/// fall on the others at once, and they would be silent next.
[[nodiscard]] TimeoutCause classifyTimeout(TimePoint sentAt, TimePoint lastHeard) noexcept;

/// Takes a fault into account.
void recordFault(UpstreamHealth &health, UpstreamFault fault, TimePoint now);
/// Takes a good answer into account.
/// \param extraDelay time to its first byte beyond what was expected
void recordSuccess(UpstreamHealth &health, Duration extraDelay, TimePoint now);
/// \returns whether a router that was last told at \a since is to hear of a silence here: one after
/// that, and not so old that it says nothing any more. A router that was never told is no
/// exception: silences of hours ago, told by all others, would keep a newcomer away from good
/// upstreams.
[[nodiscard]] bool isNewTimeout(const UpstreamHealth &health, TimePoint since, TimePoint now);
/// Takes a peer's word that a request was silent there.
void recordPeerTimeout(UpstreamHealth &health, TimePoint now);
/// Takes a peer's word that the upstream is down until \a until.
void recordPeerEjection(UpstreamHealth &health, TimePoint until, TimePoint now);

/// Takes into account that the upstream's data centre is cut off from here, until \a until.
void recordDataCentreUnreachable(UpstreamHealth &health, TimePoint until) noexcept;

/// \returns whether new requests keep away from the upstream.
[[nodiscard]] bool isEjected(const UpstreamHealth &health, TimePoint now) noexcept;
/// \returns how many connections in a row did not come about, or 0 once it is time to try again.
/// Unlike other faults this one can't be the request's, and holds however many upstreams share it:
/// in a data centre that is cut off, all others are out of reach.
[[nodiscard]] std::uint32_t connectFailureCount(const UpstreamHealth &health,
                                                TimePoint now) noexcept;
/// \returns the share of requests that fail there, faded by the time since the last outcome.
[[nodiscard]] double failureRateOf(const UpstreamHealth &health, TimePoint now) noexcept;
/// \returns the extra delay in milliseconds, faded likewise.
[[nodiscard]] double extraDelayOf(const UpstreamHealth &health, TimePoint now) noexcept;

} // namespace plantainswitch
