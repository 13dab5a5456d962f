#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "plantainswitch/base/clock.h"

namespace plantainswitch::soak {

/// Time since the start of the soak.
using SoakTime = Milliseconds;

/// What a call asks for.
enum class CallKind : std::uint8_t { Idempotent, NonIdempotent, Stream };

/// How a call ended for its caller.
enum class CallOutcome : std::uint8_t {
    /// A whole answer, of any status.
    Completed,
    /// No connection to the router came about.
    NotConnected,
    /// The connection ended, or the answer was no answer, before it was whole.
    Truncated,
    /// The caller left by its own will, or at the end of its time.
    Abandoned,
};

/// One call as its caller saw it.
struct CallRecord
{
    std::string attemptId;
    CallKind kind = CallKind::Idempotent;
    std::size_t router = 0;
    /// Which start of the router's process took it.
    std::size_t incarnation = 0;
    /// Configuration version that brought its route; 0: the route was always there.
    std::uint64_t routeVersion = 0;
    std::string key;
    /// Upstreams crash on it; calls with the same mark are the same request sent again.
    std::string poisonId;
    SoakTime sentAt{0};
    SoakTime endedAt{0};
    CallOutcome outcome = CallOutcome::Truncated;
    int status = 0;
    /// Body of an answer, or the pieces of a stream, as far as they came.
    std::string body;
};

/// One run of a call at an upstream.
struct RunRecord
{
    std::string attemptId;
    std::string upstream;
    SoakTime arrivedAt{0};
    /// Nothing: it was still running at the end.
    std::optional<SoakTime> endedAt;
    /// The upstream turned it away unrun.
    bool isRejected = false;
};

/// A span in which something outside was harmed.
struct FaultInterval
{
    SoakTime from{0};
    SoakTime to{0};
};

/// A configuration version and when the store acknowledged it.
struct VersionRecord
{
    std::uint64_t version = 0;
    SoakTime acknowledgedAt{0};
};

/// All that callers, upstreams and the store saw in one soak.
struct SoakHistory
{
    std::vector<CallRecord> calls;
    std::vector<RunRecord> runs;
    std::vector<VersionRecord> versions;
    /// Keys that were taken away, and by which version.
    std::map<std::string, std::uint64_t> revokedKeys;
    /// When the store acknowledged that an upstream leaves.
    std::map<std::string, SoakTime> drainingSince;
    /// Harm to each router or its path to the store.
    std::map<std::size_t, std::vector<FaultInterval>> routerFaults;
    /// Harm to the store itself, and to any upstream or its links.
    std::vector<FaultInterval> storeFaults;
    std::vector<FaultInterval> upstreamFaults;
    /// Routers that were stopped as planned, and when.
    std::map<std::size_t, std::vector<SoakTime>> plannedStops;
    /// Processes that ended by themselves.
    std::vector<std::string> unexpectedExits;
    /// From when on nothing is harmed any more.
    SoakTime faultFreeFrom{0};
    SoakTime end{0};
};

/// A promise that was broken.
struct Violation
{
    std::string check;
    std::string description;
};

/// Bounds of the checks; generous, since they are judged on a machine of unknown load.
struct SoakBounds
{
    /// From the store's word of an upstream's leaving to its last new request.
    Milliseconds drain{6000};
    /// From a version's acknowledgement to its being in force.
    Milliseconds propagation{6000};
    /// How long after its harm a router or the store is still excused.
    Milliseconds recovery{6000};
    /// How long an upstream may work on for a caller that has left.
    Milliseconds cancellation{5000};
    double retryRatio = 0.2;
    double retryMargin = 60.0;
    Milliseconds retryWindow{10'000};
    /// Most upstreams on which a call that may be repeated runs.
    std::size_t maxRuns = 3;
    /// Most upstreams that one crashing request, sent again and again, takes down: those that it
    /// takes to be held back, and some more while routers hear of it or are restarted.
    std::size_t maxCrashes = 9;
    /// Share of the calls in the calm after all harm that must be answered well.
    double minSuccessShare = 0.9;
};

/// Requests whose body begins so crash the upstream that runs them.
inline constexpr std::string_view poisonBodyPrefix = "poison";

/// \returns the body that an upstream answers \a attempt with.
[[nodiscard]] std::string responseBodyFor(std::string_view attempt);
/// \returns piece \a number of the stream that answers \a attempt.
[[nodiscard]] std::string streamEventFor(std::string_view attempt, std::size_t number);
/// \returns how many pieces that stream has.
[[nodiscard]] std::size_t streamEventCount(std::string_view attempt);

/// \returns all promises that \a history breaks.
[[nodiscard]] std::vector<Violation> checkHistory(const SoakHistory &history,
                                                  const SoakBounds &bounds);

} // namespace plantainswitch::soak
