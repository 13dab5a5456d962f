#include "history.h"

#include <algorithm>
#include <set>
#include <tuple>

#include <fmt/format.h>

#include "notices.h"
#include "plantainswitch/base/hash.h"

namespace plantainswitch::soak {

namespace {

constexpr int statusOk = 200;
constexpr int statusUnauthorized = 401;
constexpr int statusNotFound = 404;

using Violations = std::vector<Violation>;
using RunsByAttempt = std::map<std::string, std::vector<const RunRecord *>>;

RunsByAttempt runsOf(const SoakHistory &history)
{
    RunsByAttempt runs;
    for (const RunRecord &run : history.runs) {
        if (!run.isRejected) {
            runs[run.attemptId].push_back(&run);
        }
    }
    return runs;
}

std::size_t runCount(const RunsByAttempt &runs, const std::string &attempt)
{
    const auto found = runs.find(attempt);
    return found == runs.end() ? 0 : found->second.size();
}

/// \returns whether the last run is at an upstream that ran the call before the run that precedes
/// it.
bool endsWithReturn(std::vector<const RunRecord *> runs)
{
    std::ranges::sort(runs, {}, &RunRecord::arrivedAt);
    const std::string &last = runs.back()->upstream;
    return runs[runs.size() - 2]->upstream != last
           && std::any_of(runs.begin(), runs.end() - 2,
                          [&last](const RunRecord *run) { return run->upstream == last; });
}

std::string describe(const CallRecord &call)
{
    return fmt::format("call {} at router {} sent at {} ms, ended at {} ms with {}", call.attemptId,
                       call.router, call.sentAt.count(), call.endedAt.count(), call.status);
}

/// \returns the attempt that began the call's stream.
const std::string &streamOf(const CallRecord &call)
{
    return call.resumedAttempt.empty() ? call.attemptId : call.resumedAttempt;
}

std::string expectedBody(const CallRecord &call)
{
    if (call.kind != CallKind::Stream) {
        return responseBodyFor(call.attemptId);
    }
    std::string all;
    const std::string &stream = streamOf(call);
    for (std::size_t number = call.resumeAfter + 1; number <= streamEventCount(stream); ++number) {
        all += streamEventFor(stream, number);
    }
    return all;
}

/// A completed call returns exactly the response to itself after a run; a truncated one returns a
/// prefix of it.
void checkResponses(const SoakHistory &history, const RunsByAttempt &runs, Violations &violations)
{
    for (const CallRecord &call : history.calls) {
        if (call.status != statusOk) {
            continue;
        }
        const std::string expected = expectedBody(call);
        const bool isWhole = call.outcome == CallOutcome::Completed;
        if (isWhole ? call.body != expected : !expected.starts_with(call.body)) {
            violations.push_back(
                {"own-answer",
                 describe(call) + " has a body that belongs to another call or is damaged"});
        }
        if (isWhole && runCount(runs, call.attemptId) == 0) {
            violations.push_back({"own-answer", describe(call) + " succeeded but never ran"});
        }
    }
}

/// Non-idempotent calls run at most once, none runs that was answered with a "not executed" status,
/// before or after it, and retries are bounded.
void checkRuns(const SoakHistory &history, const RunsByAttempt &runs, const SoakBounds &bounds,
               Violations &violations)
{
    static const std::set<int> notExecutedStatuses{408, 421, 429, 503};
    for (const CallRecord &call : history.calls) {
        const std::size_t count = runCount(runs, call.attemptId);
        if (call.kind == CallKind::NonIdempotent && count > 1) {
            violations.push_back({"at-most-once", describe(call) + " ran more than once"});
        }
        if (call.kind == CallKind::NonIdempotent && count > 0
            && call.outcome == CallOutcome::Completed
            && notExecutedStatuses.contains(call.status)) {
            violations.push_back(
                {"true-refusal", describe(call) + " was reported as not executed but ran"});
        }
        const bool isReturn =
            count == bounds.maxRuns + 1 && endsWithReturn(runs.at(call.attemptId));
        if (count > bounds.maxRuns && !isReturn) {
            violations.push_back(
                {"most-runs", fmt::format("{} ran {} times", describe(call), count)});
        }
    }
}

/// A stream goes on only at an upstream of a version that began it.
void checkStreamVersions(const SoakHistory &history, Violations &violations)
{
    std::map<std::string, std::string> streams;
    for (const CallRecord &call : history.calls) {
        streams[call.attemptId] = streamOf(call);
    }
    std::map<std::string, std::set<std::string>> origins;
    for (const RunRecord &run : history.runs) {
        if (run.firstEvent == 1 && run.eventsSent > 0) {
            origins[streams[run.attemptId]].insert(run.version);
        }
    }
    for (const RunRecord &run : history.runs) {
        if (run.firstEvent > 1 && !origins[streams[run.attemptId]].contains(run.version)) {
            violations.push_back(
                {"one-version",
                 fmt::format("call {} went on at {} of version {} from event {} on", run.attemptId,
                             run.upstream, run.version, run.firstEvent)});
        }
    }
}

/// Streams that callers take up again go on nearly as often as new ones begin.
void checkResumptions(const SoakHistory &history, const SoakBounds &bounds, Violations &violations)
{
    struct Tally
    {
        std::size_t all = 0;
        std::size_t served = 0;
        [[nodiscard]] double share() const
        {
            return static_cast<double>(this->served)
                   / static_cast<double>(std::max<std::size_t>(1, this->all));
        }
    };
    Tally started;
    Tally takenUp;
    for (const CallRecord &call : history.calls) {
        const bool isExcused =
            call.kind != CallKind::Stream || call.outcome != CallOutcome::Completed
            || overlapsFault(history.storeFaults, call.sentAt, call.endedAt, bounds.recovery)
            || overlapsRouterFault(history, call.router, call.sentAt, call.endedAt,
                                   bounds.recovery);
        if (!isExcused) {
            Tally &tally = call.resumedAttempt.empty() ? started : takenUp;
            tally.all += 1;
            tally.served += call.status == statusOk ? 1 : 0;
        }
    }
    if (takenUp.all >= bounds.minResumptions
        && takenUp.share() < bounds.minResumedShare * started.share()) {
        violations.push_back(
            {"resumption", fmt::format("{} of {} streams that were taken up again "
                                       "went on, {} of {} new ones began",
                                       takenUp.served, takenUp.all, started.served, started.all)});
    }
}

/// A draining upstream gets no new requests after the drain bound, unless a fault delayed the news.
void checkDraining(const SoakHistory &history, const SoakBounds &bounds, Violations &violations)
{
    std::map<std::string, std::size_t> routers;
    for (const CallRecord &call : history.calls) {
        routers[call.attemptId] = call.router;
    }
    for (const RunRecord &run : history.runs) {
        const auto draining = history.drainingSince.find(run.upstream);
        if (draining == history.drainingSince.end()
            || run.arrivedAt <= draining->second + bounds.drain) {
            continue;
        }
        const bool isExcused =
            overlapsFault(history.storeFaults, draining->second, run.arrivedAt, bounds.recovery)
            || overlapsRouterFault(history, routers[run.attemptId], draining->second, run.arrivedAt,
                                   bounds.recovery);
        if (!isExcused) {
            violations.push_back(
                {"draining", fmt::format("call {} reached {} at {} ms, which had been draining "
                                         "since {} ms",
                                         run.attemptId, run.upstream, run.arrivedAt.count(),
                                         draining->second.count())});
        }
    }
}

bool provesVersion(const CallRecord &call)
{
    return call.routeVersion != 0 && call.outcome == CallOutcome::Completed
           && call.status == statusOk;
}

/// \returns the configuration version that revoked the call's key, or 0.
std::uint64_t revokedBy(const SoakHistory &history, const CallRecord &call)
{
    const auto found = history.revokedKeys.find(call.key);
    return found == history.revokedKeys.end() ? 0 : found->second;
}

/// \returns a lower bound of the configuration version that the router applied to the call, or 0.
std::uint64_t minAppliedVersion(const SoakHistory &history, const CallRecord &call)
{
    if (provesVersion(call)) {
        return call.routeVersion;
    }
    return call.status == statusUnauthorized ? revokedBy(history, call) : 0;
}

/// \returns the version that the router can't have applied yet when it handled the call, or 0.
std::uint64_t firstUnappliedVersion(const SoakHistory &history, const CallRecord &call)
{
    if (call.outcome != CallOutcome::Completed) {
        return 0;
    }
    if (call.routeVersion != 0 && call.status == statusNotFound) {
        return call.routeVersion;
    }
    return call.status == statusOk ? revokedBy(history, call) : 0;
}

/// Within one incarnation of a router its configuration version never decreases.
void checkVersionsMonotonic(const SoakHistory &history, Violations &violations)
{
    // By router and incarnation: when an effect of each version was first observed.
    std::map<std::pair<std::size_t, std::size_t>, std::map<std::uint64_t, SoakTime>> seen;
    for (const CallRecord &call : history.calls) {
        const std::uint64_t version = minAppliedVersion(history, call);
        if (version == 0) {
            continue;
        }
        auto &first = seen[{call.router, call.incarnation}];
        const auto [entry, isNew] = first.try_emplace(version, call.endedAt);
        entry->second = std::min(entry->second, call.endedAt);
    }
    for (const CallRecord &call : history.calls) {
        const std::uint64_t before = firstUnappliedVersion(history, call);
        if (before == 0) {
            continue;
        }
        for (const auto &[version, at] : seen[{call.router, call.incarnation}]) {
            if (version >= before && at < call.sentAt) {
                violations.push_back(
                    {"no-return", fmt::format("{} was handled with a version before {}, although "
                                              "version {} was applied at {} ms",
                                              describe(call), before, version, at.count())});
                break;
            }
        }
    }
}

/// Every router applies a configuration version within the propagation bound.
void checkPropagation(const SoakHistory &history, const SoakBounds &bounds, Violations &violations)
{
    std::map<std::uint64_t, SoakTime> acknowledged;
    for (const VersionRecord &record : history.versions) {
        acknowledged[record.version] = record.acknowledgedAt;
    }
    for (const CallRecord &call : history.calls) {
        const auto version = acknowledged.find(firstUnappliedVersion(history, call));
        if (version == acknowledged.end() || call.sentAt <= version->second + bounds.propagation) {
            continue;
        }
        // A fault exempts only calls sent during it or within its recovery time: one that ended
        // around the edit must not excuse a router that stays outdated.
        const bool isExcused =
            overlapsFault(history.storeFaults, call.sentAt, call.sentAt, bounds.recovery)
            || overlapsRouterFault(history, call.router, call.sentAt, call.sentAt, bounds.recovery);
        if (!isExcused) {
            violations.push_back(
                {"in-force", fmt::format("{} was handled without version {}, written at {} ms",
                                         describe(call), version->first, version->second.count())});
        }
    }
}

/// Routes and keys that exist in every version are never rejected as unknown.
void checkNotRejectedAsUnknown(const SoakHistory &history, Violations &violations)
{
    for (const CallRecord &call : history.calls) {
        const bool isUnknownKey =
            call.status == statusUnauthorized && revokedBy(history, call) == 0;
        const bool isUnknownRoute = call.status == statusNotFound && call.routeVersion == 0;
        if (isUnknownKey || isUnknownRoute) {
            violations.push_back({"known", describe(call) + " was rejected as unknown"});
        }
    }
}

/// The retries of all routers together stay within the retry budget.
void checkRetries(const SoakHistory &history, const SoakBounds &bounds, Violations &violations)
{
    std::vector<SoakTime> requests;
    for (const CallRecord &call : history.calls) {
        requests.push_back(call.sentAt);
    }
    std::vector<SoakTime> retries;
    std::set<std::string> seenAttempts;
    std::vector<std::tuple<SoakTime, std::string>> arrivals;
    for (const RunRecord &run : history.runs) {
        arrivals.emplace_back(run.arrivedAt, run.attemptId);
    }
    std::sort(arrivals.begin(), arrivals.end());
    for (const auto &[at, attempt] : arrivals) {
        if (!seenAttempts.insert(attempt).second) {
            retries.push_back(at);
        }
    }
    std::sort(requests.begin(), requests.end());
    const auto within = [](const std::vector<SoakTime> &times, SoakTime from, SoakTime to) {
        return std::distance(std::lower_bound(times.begin(), times.end(), from),
                             std::upper_bound(times.begin(), times.end(), to));
    };
    for (const SoakTime from : retries) {
        const SoakTime to = from + bounds.retryWindow;
        const auto callCount = within(requests, from - bounds.retryWindow, to);
        const auto retryCount = within(retries, from, to);
        if (static_cast<double>(retryCount)
            > bounds.retryRatio * static_cast<double>(callCount) + bounds.retryMargin) {
            violations.push_back(
                {"retry-budget", fmt::format("{} retries for {} calls from {} ms on", retryCount,
                                             callCount, from.count())});
            return;
        }
    }
}

/// A graceful stop truncates no call that the router has read, unless another fault is active.
void checkPlannedStops(const SoakHistory &history, const SoakBounds &bounds, Violations &violations)
{
    for (const CallRecord &call : history.calls) {
        const auto stops = history.plannedStops.find(call.router);
        if (call.outcome != CallOutcome::Truncated || stops == history.plannedStops.end()) {
            continue;
        }
        const bool overlapsStop =
            std::any_of(stops->second.begin(), stops->second.end(), [&call](SoakTime stop) {
                return call.sentAt <= stop && stop <= call.endedAt;
            });
        const bool isExcused =
            overlapsFault(history.upstreamFaults, call.sentAt, call.endedAt, bounds.recovery)
            || overlapsRouterFault(history, call.router, call.sentAt, call.endedAt,
                                   bounds.recovery);
        if (overlapsStop && !isExcused) {
            violations.push_back(
                {"planned-stop", describe(call) + " was truncated by a graceful stop"});
        }
    }
}

/// No upstream continues a run for long after its caller has abandoned the call.
void checkAbandoned(const SoakHistory &history, const RunsByAttempt &runs, const SoakBounds &bounds,
                    Violations &violations)
{
    for (const CallRecord &call : history.calls) {
        if (call.outcome != CallOutcome::Abandoned
            || overlapsRouterFault(history, call.router, call.sentAt, history.end,
                                   bounds.recovery)) {
            continue;
        }
        const auto callRuns = runs.find(call.attemptId);
        if (callRuns == runs.end()) {
            continue;
        }
        for (const RunRecord *run : callRuns->second) {
            const SoakTime until = run->endedAt.value_or(history.end);
            const bool isExcused =
                overlapsFault(history.upstreamFaults, call.sentAt, until, bounds.recovery);
            if (until > call.endedAt + bounds.cancellation && !isExcused) {
                violations.push_back(
                    {"after-leaving",
                     describe(call) + " still ran after its caller had abandoned it"});
            }
        }
    }
}

/// A request that crashes upstreams is quarantined before it has crashed too many.
void checkQuarantine(const SoakHistory &history, const RunsByAttempt &runs,
                     const SoakBounds &bounds, Violations &violations)
{
    std::map<std::string, std::size_t> crashes;
    for (const CallRecord &call : history.calls) {
        if (!call.poisonId.empty()) {
            crashes[call.poisonId] += runCount(runs, call.attemptId);
        }
    }
    for (const auto &[poison, count] : crashes) {
        if (count > bounds.maxCrashes) {
            violations.push_back({"crasher", fmt::format("{} ran {} times", poison, count)});
        }
    }
}

/// After all faults have ended, calls succeed again.
void checkRecovery(const SoakHistory &history, const SoakBounds &bounds, Violations &violations)
{
    std::size_t expectedCount = 0;
    std::size_t succeededCount = 0;
    for (const CallRecord &call : history.calls) {
        const bool mustSucceed = call.outcome != CallOutcome::Abandoned && call.poisonId.empty()
                                 && revokedBy(history, call) == 0;
        if (call.sentAt < history.faultFreeFrom + bounds.recovery || !mustSucceed) {
            continue;
        }
        ++expectedCount;
        succeededCount += call.outcome == CallOutcome::Completed && call.status == statusOk ? 1 : 0;
    }
    if (static_cast<double>(succeededCount)
        < bounds.minSuccessShare * static_cast<double>(expectedCount)) {
        violations.push_back({"calm", fmt::format("{} of {} calls succeeded after all faults",
                                                  succeededCount, expectedCount)});
    }
}

} // namespace

bool overlapsFault(const std::vector<FaultInterval> &faults, SoakTime from, SoakTime to,
                   Milliseconds recovery)
{
    return std::any_of(faults.begin(), faults.end(), [&](const FaultInterval &fault) {
        return fault.from <= to && from <= fault.to + recovery;
    });
}

bool overlapsRouterFault(const SoakHistory &history, std::size_t router, SoakTime from, SoakTime to,
                         Milliseconds recovery)
{
    const auto found = history.routerFaults.find(router);
    return found != history.routerFaults.end() && overlapsFault(found->second, from, to, recovery);
}

std::string responseBodyFor(std::string_view attempt)
{
    return fmt::format("answer to {} {:x}", attempt, hashOf(attempt));
}

std::string streamEventFor(std::string_view attempt, std::size_t number)
{
    return fmt::format("id: {}\ndata: {} {:x}\n\n", number, attempt, hashOf(attempt, number));
}

std::size_t streamEventCount(std::string_view attempt)
{
    constexpr std::size_t minEvents = 3;
    constexpr std::size_t eventCountRange = 18;
    return minEvents + hashOf(attempt) % eventCountRange;
}

std::vector<Violation> checkHistory(const SoakHistory &history, const SoakBounds &bounds)
{
    Violations violations;
    const RunsByAttempt runs = runsOf(history);
    checkResponses(history, runs, violations);
    checkRuns(history, runs, bounds, violations);
    checkDraining(history, bounds, violations);
    checkStreamVersions(history, violations);
    checkResumptions(history, bounds, violations);
    checkVersionsMonotonic(history, violations);
    checkPropagation(history, bounds, violations);
    checkNotRejectedAsUnknown(history, violations);
    checkRetries(history, bounds, violations);
    checkPlannedStops(history, bounds, violations);
    checkAbandoned(history, runs, bounds, violations);
    checkQuarantine(history, runs, bounds, violations);
    checkRecovery(history, bounds, violations);
    checkNotices(history, bounds, violations);
    for (const std::string &exit : history.unexpectedExits) {
        violations.push_back({"own-end", exit});
    }
    return violations;
}

} // namespace plantainswitch::soak
