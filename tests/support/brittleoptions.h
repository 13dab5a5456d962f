#pragma once

#include <cstddef>
#include <cstdint>

#include "plantainswitch/base/clock.h"

namespace plantainswitch {

/// Time between the announcement and the moment at which the upstreams let fewer requests wait.
inline constexpr Seconds noticeTime{3};
inline constexpr Seconds announceAt{4};
inline constexpr Seconds brittleUntil{24};
inline constexpr Seconds modelDuration{28};
inline constexpr Milliseconds coordinatorTimeout{25};
inline constexpr Milliseconds minFailureDetection{1500};
inline constexpr Milliseconds updateInterval{100};
inline constexpr Seconds upstreamRestart{3};
inline constexpr std::uint32_t maxRejectedAttempts = 3;
/// Time without a response after which a router gives a run up.
inline constexpr Milliseconds silenceTimeout{250};
inline constexpr Seconds upstreamSilence{1};
/// Time after which an upstream stops working on a request.
inline constexpr Milliseconds callerDeadline{5000};
inline constexpr std::size_t maxRunsOfRequest = 2;
/// Mean run whose time is spread evenly, and its least and most.
inline constexpr Milliseconds evenRun{130};
inline constexpr Milliseconds leastEvenRun{60};
inline constexpr Milliseconds mostEvenRun{200};

/// The fleet, its upstreams and its disturbances. Intervals of 0 mean that it does not happen.
struct BrittleOptions
{
    std::size_t routers = 0;
    std::size_t upstreams = 0;
    /// With several data centres, the routers of an upstream's own one coordinate it, and updates
    /// to others are sent as rarely as between real routers.
    std::size_t dataCentres = 1;
    std::uint32_t slots = 0;
    /// Requests that wait at an upstream at most, before and after noticeTime.
    std::uint32_t waitingBefore = 0;
    std::uint32_t waitingAfter = 0;
    std::uint32_t maxRejections = 0;
    /// Requests that arrive, relative to what the upstreams can run.
    double load = 1.5;
    /// Mean time of a run.
    Milliseconds meanRun = evenRun;
    /// Standard deviation of the logarithm of the runs' times, which are four times the longest
    /// evenly spread one at most; 0: spread evenly between leastEvenRun and mostEvenRun, scaled to
    /// the mean.
    double runSpread = 0.0;
    /// Standard deviation of the logarithm of the upstreams' speeds.
    double speedSpread = 0.0;
    /// Responses state how many requests the upstream holds.
    bool statesLoad = false;

    double datagramLoss = 0.005;
    /// Interval of restarts of single routers.
    Milliseconds restartInterval{0};
    /// When all routers are killed.
    Milliseconds killAllAt{0};
    /// When the first half of the routers is cut off from the second, for five seconds.
    Milliseconds cutAt{0};
    /// Interval at which a router stands still for two seconds.
    Milliseconds freezeInterval{0};
    /// Interval at which some routers respond to others late for two seconds.
    Milliseconds slownessInterval{0};
    /// Share of the routers that are slow at once; one at least.
    double slowShare = 0.0;
    /// Interval at which the connections of some routers are reset on their way.
    Milliseconds resetInterval{0};
    double resetShare = 0.5;

    /// Interval of crashes of upstreams for reasons of their own.
    Milliseconds crashInterval{0};
    /// Longest time for which a router knows an upstream's previous incarnation after its return.
    Milliseconds entryLag{0};
    /// Share of the upstreams that go on with a run after its connection was closed.
    double persistentShare = 0.0;
    /// Interval at which an upstream stands still for a second.
    Milliseconds silenceInterval{0};
    /// Time for which a new connection holds a slot.
    Milliseconds connectionHold{0};

    /// Share of the requests whose callers leave while they run.
    double abandonedShare = 0.0;
    /// Interval at which half of the callers leave.
    Milliseconds leaveInterval{0};
    /// From the middle of the run, the time after which routers give each run up.
    Milliseconds shortenedTimeout{0};

    bool isLimited = true;
    /// Whether coordinators keep the grants of abandoned runs.
    bool areAbandonedKept = true;
};

} // namespace plantainswitch
