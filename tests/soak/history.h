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

/// Kind of the route that a call uses.
enum class CallKind : std::uint8_t { Idempotent, NonIdempotent, Stream };

/// How a call ended from its caller's point of view.
enum class CallOutcome : std::uint8_t {
    /// A complete response of any status arrived.
    Completed,
    /// No connection to the router could be opened.
    NotConnected,
    /// The connection ended, or sent something that is not HTTP, before the response was complete.
    Truncated,
    /// The caller closed the connection, early on purpose or when its time was over.
    Abandoned,
};

/// One call as observed by its caller.
struct CallRecord
{
    std::string attemptId;
    CallKind kind = CallKind::Idempotent;
    std::size_t router = 0;
    /// Number of restarts of the router's process when the call was made.
    std::size_t incarnation = 0;
    /// Configuration version that added its route; 0 for a route of the first version.
    std::uint64_t routeVersion = 0;
    std::string key;
    /// The attempt that received the first event of the stream that the call takes up again, and
    /// the last event that the caller has; empty and 0 for all others.
    std::string resumedAttempt;
    std::size_t resumeAfter = 0;
    /// Identifies a request that crashes upstreams; calls with the same id repeat one request.
    /// Empty for all others.
    std::string poisonId;
    SoakTime sentAt{0};
    SoakTime endedAt{0};
    CallOutcome outcome = CallOutcome::Truncated;
    int status = 0;
    /// Response body, as far as it was received.
    std::string body;
};

/// One execution of a call by an upstream.
struct RunRecord
{
    std::string attemptId;
    std::string upstream;
    SoakTime arrivedAt{0};
    /// Empty if it was still running when the soak ended.
    std::optional<SoakTime> endedAt;
    /// The upstream rejected it without executing it.
    bool isRejected = false;
    /// Software version of the upstream.
    std::string version{};
    /// The first event that a streaming run was to send; 0 for all others.
    std::size_t firstEvent = 0;
    std::size_t eventsSent = 0;
};

/// A response in which an upstream asked something of the router that received it.
struct NoticeRecord
{
    std::string upstream;
    /// The call that the response belongs to.
    std::string attemptId;
    SoakTime at{0};
    /// For how long the upstream wants no requests; 0 if it announces that it is draining.
    Milliseconds backoff{0};
};

/// Time in which a fault was injected.
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

/// Everything that callers, upstreams and the store observed in one soak.
struct SoakHistory
{
    std::vector<CallRecord> calls;
    std::vector<RunRecord> runs;
    std::vector<NoticeRecord> notices;
    std::vector<VersionRecord> versions;
    /// Revoked API keys and the configuration version that revoked each.
    std::map<std::string, std::uint64_t> revokedKeys;
    /// When the store acknowledged that an upstream is draining, by upstream.
    std::map<std::string, SoakTime> drainingSince;
    /// Faults of each router or its connection to the store.
    std::map<std::size_t, std::vector<FaultInterval>> routerFaults;
    /// Faults of the store itself, and of any upstream or its links.
    std::vector<FaultInterval> storeFaults;
    std::vector<FaultInterval> upstreamFaults;
    /// Times in which responses of an upstream may have been lost on their way, by upstream.
    std::map<std::string, std::vector<FaultInterval>> lossyLinks;
    /// Times in which the soak itself did not run, so that it responded and recorded late.
    std::vector<FaultInterval> ownPauses;
    /// When each router was asked to stop gracefully.
    std::map<std::size_t, std::vector<SoakTime>> plannedStops;
    /// Router processes that ended without having been stopped, in words.
    std::vector<std::string> unexpectedExits;
    /// From this time on no fault is active.
    SoakTime faultFreeFrom{0};
    SoakTime end{0};
};

/// A violated guarantee.
struct Violation
{
    /// Name of the check that failed.
    std::string check;
    std::string description;
};

/// Bounds of the checks; generous, because they also have to hold on a loaded machine.
struct SoakBounds
{
    /// From the store's acknowledgement that an upstream drains to the last new request it may get.
    Milliseconds drain{6000};
    /// From the store's acknowledgement of a configuration version until all routers must apply it.
    Milliseconds propagation{6000};
    /// How long after a fault's end a router or the store is still exempt from the checks.
    Milliseconds recovery{6000};
    /// How long an upstream may continue a run that its caller has abandoned.
    Milliseconds cancellation{5000};
    /// Retry budget of the whole fleet: retryRatio of the calls in retryWindow, plus retryMargin.
    double retryRatio = 0.2;
    double retryMargin = 60.0;
    Milliseconds retryWindow{10'000};
    /// From a response that announced draining to the last call for which its router may send the
    /// upstream a new request.
    Milliseconds announcedDrain{2000};
    /// From a response that asked for a back-off to the time from which on it is in force, and the
    /// most requests of one router to the upstream from then on.
    Milliseconds backoffDelay{500};
    std::size_t maxBackoffRequests = 2;
    /// Number of streams taken up again from which on at least minResumedShare of them must go on,
    /// relative to the share of new streams that begin.
    std::size_t minResumptions = 12;
    double minResumedShare = 0.5;
    /// Most runs of one call, retries included. Routes limit upstreams and not runs: a call that
    /// has left a silent upstream may run there once more after its last retry.
    std::size_t maxRuns = 3;
    /// Most upstreams that one poison request may crash when it is sent repeatedly: those needed
    /// for its quarantine, and some more while the routers learn of it or are restarted.
    std::size_t maxCrashes = 9;
    /// Share of the calls after all faults that must succeed.
    double minSuccessShare = 0.9;
};

/// A request whose body starts with this crashes the upstream that runs it.
inline constexpr std::string_view poisonBodyPrefix = "poison";

/// \returns the response body that an upstream sends for a non-streaming call; unique to the call.
[[nodiscard]] std::string responseBodyFor(std::string_view attempt);
/// \returns server-sent event \a number, counted from 1, of the response to a streaming call.
[[nodiscard]] std::string streamEventFor(std::string_view attempt, std::size_t number);
/// \returns how many events that response has.
[[nodiscard]] std::size_t streamEventCount(std::string_view attempt);

/// \returns whether a fault overlaps the interval, or ended at most \a recovery before it.
[[nodiscard]] bool overlapsFault(const std::vector<FaultInterval> &faults, SoakTime from,
                                 SoakTime to, Milliseconds recovery);
/// \returns the same for the faults of one router.
[[nodiscard]] bool overlapsRouterFault(const SoakHistory &history, std::size_t router,
                                       SoakTime from, SoakTime to, Milliseconds recovery);

/// \returns all violations of the proxy's guarantees that \a history shows.
[[nodiscard]] std::vector<Violation> checkHistory(const SoakHistory &history,
                                                  const SoakBounds &bounds);

} // namespace plantainswitch::soak
