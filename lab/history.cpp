#include "history.h"

#include <algorithm>
#include <map>
#include <set>

#include <fmt/format.h>

namespace plantainswitch::lab {

namespace {

std::optional<std::string> checkCount(const History &history, HistoryKind kind, std::uint64_t bound,
                                      const char *verb)
{
    std::map<std::uint64_t, std::uint64_t> counts;
    for (const HistoryEvent &event : history) {
        if (event.kind == kind && ++counts[event.request] > bound) {
            return fmt::format("request {} {} {} times", event.request, verb,
                               counts[event.request]);
        }
    }
    return std::nullopt;
}

} // namespace

std::optional<std::string> checkAtMostOnce(const History &history)
{
    return checkCount(history, HistoryKind::Ran, 1, "ran");
}

std::optional<std::string> checkOwnAnswer(const History &history)
{
    for (const HistoryEvent &event : history) {
        if (event.kind == HistoryKind::Answered && event.answerOf != event.request) {
            return fmt::format("request {} got the answer of {}", event.request, event.answerOf);
        }
    }
    return std::nullopt;
}

std::optional<std::string> checkNoFalseNotRun(const History &history)
{
    std::set<std::pair<std::uint64_t, std::uint64_t>> ran;
    for (const HistoryEvent &event : history) {
        if (event.kind == HistoryKind::Ran) {
            ran.emplace(event.request, event.attempt);
        }
    }
    for (const HistoryEvent &event : history) {
        if (event.kind == HistoryKind::RefusedNotRun
            && ran.contains({event.request, event.attempt})) {
            return fmt::format("attempt {} of request {} was called not run, but ran",
                               event.attempt, event.request);
        }
    }
    return std::nullopt;
}

std::optional<std::string> checkCrashBound(const History &history, std::uint64_t bound)
{
    return checkCount(history, HistoryKind::Crashed, bound, "crashed upstreams");
}

std::optional<RecordedTime> propagationTime(const std::vector<VersionObservation> &seen,
                                            const AcceptedEdit &edit, std::size_t router)
{
    for (const VersionObservation &each : seen) {
        if (each.router == router && each.version >= edit.version) {
            return std::max(each.asked - edit.accepted, RecordedTime{0});
        }
    }
    return std::nullopt;
}

std::optional<std::string> checkVersionsMonotonic(const std::vector<VersionObservation> &seen)
{
    std::map<std::size_t, std::uint64_t> highest;
    for (const VersionObservation &each : seen) {
        std::uint64_t &before = highest[each.router];
        if (each.version < before) {
            return fmt::format("router {} fell from version {} to {}", each.router, before,
                               each.version);
        }
        before = each.version;
    }
    return std::nullopt;
}

std::optional<std::string> checkInForceWithin(const std::vector<VersionObservation> &seen,
                                              const AcceptedEdit &edit, std::size_t routers,
                                              RecordedTime bound)
{
    for (std::size_t router = 0; router < routers; ++router) {
        const auto lag = propagationTime(seen, edit, router);
        if (!lag || *lag > bound) {
            return fmt::format("router {} showed edit {} {}", router, edit.version,
                               lag ? fmt::format("after {} ms", lag->count()) : "never");
        }
    }
    return std::nullopt;
}

} // namespace plantainswitch::lab
