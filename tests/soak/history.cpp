#include "history.h"

#include <algorithm>
#include <set>
#include <tuple>

#include <fmt/format.h>

#include "plantainswitch/base/hash.h"

namespace plantainswitch::soak {

namespace {

constexpr int statusOk = 200;
constexpr int statusUnauthorized = 401;
constexpr int statusNotFound = 404;

using Violations = std::vector<Violation>;
using RunsByAttempt = std::map<std::string, std::vector<const RunRecord *>>;

/// \returns whether a fault overlaps the interval, or ended at most \a recovery before it.
bool isHarmed(const std::vector<FaultInterval> &harms, SoakTime from, SoakTime to,
              Milliseconds recovery)
{
    return std::any_of(harms.begin(), harms.end(), [&](const FaultInterval &harm) {
        return harm.from <= to && from <= harm.to + recovery;
    });
}

bool isRouterHarmed(const SoakHistory &history, std::size_t router, SoakTime from, SoakTime to,
                    Milliseconds recovery)
{
    const auto found = history.routerFaults.find(router);
    return found != history.routerFaults.end() && isHarmed(found->second, from, to, recovery);
}

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

std::size_t countOf(const RunsByAttempt &runs, const std::string &attempt)
{
    const auto found = runs.find(attempt);
    return found == runs.end() ? 0 : found->second.size();
}

std::string describe(const CallRecord &call)
{
    return fmt::format("call {} at router {} sent at {} ms, ended at {} ms with {}", call.attemptId,
                       call.router, call.sentAt.count(), call.endedAt.count(), call.status);
}

std::string wholeAnswer(const CallRecord &call)
{
    if (call.kind != CallKind::Stream) {
        return responseBodyFor(call.attemptId);
    }
    std::string all;
    for (std::size_t number = 1; number <= streamEventCount(call.attemptId); ++number) {
        all += streamEventFor(call.attemptId, number);
    }
    return all;
}

/// A completed call returns exactly the response to itself after a run; a truncated one returns a
/// prefix of it.
void checkAnswers(const SoakHistory &history, const RunsByAttempt &runs, Violations &found)
{
    for (const CallRecord &call : history.calls) {
        if (call.status != statusOk) {
            continue;
        }
        const std::string expected = wholeAnswer(call);
        const bool isWhole = call.outcome == CallOutcome::Completed;
        if (isWhole ? call.body != expected : !expected.starts_with(call.body)) {
            found.push_back(
                {"own-answer",
                 describe(call) + " has a body that belongs to another call or is damaged"});
        }
        if (isWhole && countOf(runs, call.attemptId) == 0) {
            found.push_back({"own-answer", describe(call) + " succeeded but never ran"});
        }
    }
}

/// Non-idempotent calls run at most once, none runs that was answered with a "not executed" status,
/// before or after it, and retries are bounded.
void checkRuns(const SoakHistory &history, const RunsByAttempt &runs, const SoakBounds &bounds,
               Violations &found)
{
    static const std::set<int> notRun{408, 421, 429, 503};
    for (const CallRecord &call : history.calls) {
        const std::size_t count = countOf(runs, call.attemptId);
        if (call.kind == CallKind::NonIdempotent && count > 1) {
            found.push_back({"at-most-once", describe(call) + " ran more than once"});
        }
        if (call.kind == CallKind::NonIdempotent && count > 0
            && call.outcome == CallOutcome::Completed && notRun.contains(call.status)) {
            found.push_back(
                {"true-refusal", describe(call) + " was reported as not executed but ran"});
        }
        if (count > bounds.maxRuns) {
            found.push_back({"most-runs", fmt::format("{} ran {} times", describe(call), count)});
        }
    }
}

/// A draining upstream gets no new requests after the drain bound, unless a fault delayed the news.
void checkDraining(const SoakHistory &history, const SoakBounds &bounds, Violations &found)
{
    std::map<std::string, std::size_t> routers;
    for (const CallRecord &call : history.calls) {
        routers[call.attemptId] = call.router;
    }
    for (const RunRecord &run : history.runs) {
        const auto leaving = history.drainingSince.find(run.upstream);
        if (leaving == history.drainingSince.end()
            || run.arrivedAt <= leaving->second + bounds.drain) {
            continue;
        }
        const bool isExcused =
            isHarmed(history.storeFaults, leaving->second, run.arrivedAt, bounds.recovery)
            || isRouterHarmed(history, routers[run.attemptId], leaving->second, run.arrivedAt,
                              bounds.recovery);
        if (!isExcused) {
            found.push_back(
                {"draining", fmt::format("call {} reached {} at {} ms, which had been draining "
                                         "since {} ms",
                                         run.attemptId, run.upstream, run.arrivedAt.count(),
                                         leaving->second.count())});
        }
    }
}

bool showsVersion(const CallRecord &call)
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
std::uint64_t decidedWith(const SoakHistory &history, const CallRecord &call)
{
    if (showsVersion(call)) {
        return call.routeVersion;
    }
    return call.status == statusUnauthorized ? revokedBy(history, call) : 0;
}

/// \returns the version that the router can't have applied yet when it handled the call, or 0.
std::uint64_t decidedBefore(const SoakHistory &history, const CallRecord &call)
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
void checkNoReturn(const SoakHistory &history, Violations &found)
{
    // By router and incarnation: when an effect of each version was first observed.
    std::map<std::pair<std::size_t, std::size_t>, std::map<std::uint64_t, SoakTime>> seen;
    for (const CallRecord &call : history.calls) {
        const std::uint64_t version = decidedWith(history, call);
        if (version == 0) {
            continue;
        }
        auto &first = seen[{call.router, call.incarnation}];
        const auto [entry, isNew] = first.try_emplace(version, call.endedAt);
        entry->second = std::min(entry->second, call.endedAt);
    }
    for (const CallRecord &call : history.calls) {
        const std::uint64_t before = decidedBefore(history, call);
        if (before == 0) {
            continue;
        }
        for (const auto &[version, at] : seen[{call.router, call.incarnation}]) {
            if (version >= before && at < call.sentAt) {
                found.push_back(
                    {"no-return", fmt::format("{} was handled with a version before {}, although "
                                              "version {} was applied at {} ms",
                                              describe(call), before, version, at.count())});
                break;
            }
        }
    }
}

/// Every router applies a configuration version within the propagation bound.
void checkInForce(const SoakHistory &history, const SoakBounds &bounds, Violations &found)
{
    std::map<std::uint64_t, SoakTime> acknowledged;
    for (const VersionRecord &record : history.versions) {
        acknowledged[record.version] = record.acknowledgedAt;
    }
    for (const CallRecord &call : history.calls) {
        const auto version = acknowledged.find(decidedBefore(history, call));
        if (version == acknowledged.end() || call.sentAt <= version->second + bounds.propagation) {
            continue;
        }
        // A fault exempts only calls sent during it or within its recovery time: one that ended
        // around the edit must not excuse a router that stays outdated.
        const bool isExcused =
            isHarmed(history.storeFaults, call.sentAt, call.sentAt, bounds.recovery)
            || isRouterHarmed(history, call.router, call.sentAt, call.sentAt, bounds.recovery);
        if (!isExcused) {
            found.push_back(
                {"in-force", fmt::format("{} was handled without version {}, written at {} ms",
                                         describe(call), version->first, version->second.count())});
        }
    }
}

/// Routes and keys that exist in every version are never rejected as unknown.
void checkKnown(const SoakHistory &history, Violations &found)
{
    for (const CallRecord &call : history.calls) {
        const bool isUnknownKey =
            call.status == statusUnauthorized && revokedBy(history, call) == 0;
        const bool isUnknownRoute = call.status == statusNotFound && call.routeVersion == 0;
        if (isUnknownKey || isUnknownRoute) {
            found.push_back({"known", describe(call) + " was rejected as unknown"});
        }
    }
}

/// The retries of all routers together stay within the retry budget.
void checkRetries(const SoakHistory &history, const SoakBounds &bounds, Violations &found)
{
    std::vector<SoakTime> requests;
    for (const CallRecord &call : history.calls) {
        requests.push_back(call.sentAt);
    }
    std::vector<SoakTime> repeats;
    std::set<std::string> arrived;
    std::vector<std::tuple<SoakTime, std::string>> arrivals;
    for (const RunRecord &run : history.runs) {
        arrivals.emplace_back(run.arrivedAt, run.attemptId);
    }
    std::sort(arrivals.begin(), arrivals.end());
    for (const auto &[at, attempt] : arrivals) {
        if (!arrived.insert(attempt).second) {
            repeats.push_back(at);
        }
    }
    std::sort(requests.begin(), requests.end());
    const auto within = [](const std::vector<SoakTime> &times, SoakTime from, SoakTime to) {
        return std::distance(std::lower_bound(times.begin(), times.end(), from),
                             std::upper_bound(times.begin(), times.end(), to));
    };
    for (const SoakTime from : repeats) {
        const SoakTime to = from + bounds.retryWindow;
        const auto sent = within(requests, from - bounds.retryWindow, to);
        const auto again = within(repeats, from, to);
        if (static_cast<double>(again)
            > bounds.retryRatio * static_cast<double>(sent) + bounds.retryMargin) {
            found.push_back({"retry-budget", fmt::format("{} retries for {} calls from {} ms on",
                                                         again, sent, from.count())});
            return;
        }
    }
}

/// A graceful stop truncates no call that the router has read, unless another fault is active.
void checkPlannedStops(const SoakHistory &history, const SoakBounds &bounds, Violations &found)
{
    for (const CallRecord &call : history.calls) {
        const auto stops = history.plannedStops.find(call.router);
        if (call.outcome != CallOutcome::Truncated || stops == history.plannedStops.end()) {
            continue;
        }
        const bool isAmidStop =
            std::any_of(stops->second.begin(), stops->second.end(), [&call](SoakTime stop) {
                return call.sentAt <= stop && stop <= call.endedAt;
            });
        const bool isExcused =
            isHarmed(history.upstreamFaults, call.sentAt, call.endedAt, bounds.recovery)
            || isRouterHarmed(history, call.router, call.sentAt, call.endedAt, bounds.recovery);
        if (isAmidStop && !isExcused) {
            found.push_back({"planned-stop", describe(call) + " was truncated by a graceful stop"});
        }
    }
}

/// No upstream continues a run for long after its caller has abandoned the call.
void checkLeaving(const SoakHistory &history, const RunsByAttempt &runs, const SoakBounds &bounds,
                  Violations &found)
{
    for (const CallRecord &call : history.calls) {
        if (call.outcome != CallOutcome::Abandoned
            || isRouterHarmed(history, call.router, call.sentAt, history.end, bounds.recovery)) {
            continue;
        }
        const auto its = runs.find(call.attemptId);
        if (its == runs.end()) {
            continue;
        }
        for (const RunRecord *run : its->second) {
            const SoakTime until = run->endedAt.value_or(history.end);
            const bool isExcused =
                isHarmed(history.upstreamFaults, call.sentAt, until, bounds.recovery);
            if (until > call.endedAt + bounds.cancellation && !isExcused) {
                found.push_back({"after-leaving",
                                 describe(call) + " still ran after its caller had abandoned it"});
            }
        }
    }
}

/// A request that crashes upstreams is quarantined before it has crashed too many.
void checkCrashers(const SoakHistory &history, const RunsByAttempt &runs, const SoakBounds &bounds,
                   Violations &found)
{
    std::map<std::string, std::size_t> crashes;
    for (const CallRecord &call : history.calls) {
        if (!call.poisonId.empty()) {
            crashes[call.poisonId] += countOf(runs, call.attemptId);
        }
    }
    for (const auto &[poison, count] : crashes) {
        if (count > bounds.maxCrashes) {
            found.push_back({"crasher", fmt::format("{} ran {} times", poison, count)});
        }
    }
}

/// After all faults have ended, calls succeed again.
void checkCalm(const SoakHistory &history, const SoakBounds &bounds, Violations &found)
{
    std::size_t asked = 0;
    std::size_t served = 0;
    for (const CallRecord &call : history.calls) {
        const bool isOwed = call.outcome != CallOutcome::Abandoned && call.poisonId.empty()
                            && revokedBy(history, call) == 0;
        if (call.sentAt < history.faultFreeFrom + bounds.recovery || !isOwed) {
            continue;
        }
        ++asked;
        served += call.outcome == CallOutcome::Completed && call.status == statusOk ? 1 : 0;
    }
    if (static_cast<double>(served) < bounds.minSuccessShare * static_cast<double>(asked)) {
        found.push_back(
            {"calm", fmt::format("{} of {} calls succeeded after all faults", served, asked)});
    }
}

} // namespace

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
    constexpr std::size_t fewest = 3;
    constexpr std::size_t spread = 18;
    return fewest + hashOf(attempt) % spread;
}

std::vector<Violation> checkHistory(const SoakHistory &history, const SoakBounds &bounds)
{
    Violations found;
    const RunsByAttempt runs = runsOf(history);
    checkAnswers(history, runs, found);
    checkRuns(history, runs, bounds, found);
    checkDraining(history, bounds, found);
    checkNoReturn(history, found);
    checkInForce(history, bounds, found);
    checkKnown(history, found);
    checkRetries(history, bounds, found);
    checkPlannedStops(history, bounds, found);
    checkLeaving(history, runs, bounds, found);
    checkCrashers(history, runs, bounds, found);
    checkCalm(history, bounds, found);
    for (const std::string &end : history.unexpectedExits) {
        found.push_back({"own-end", end});
    }
    return found;
}

} // namespace plantainswitch::soak
