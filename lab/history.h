#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace plantainswitch::lab {

/// What a history records of one request or upstream.
enum class HistoryKind : std::uint8_t {
    /// The request was sent; `attempt` tells the sendings of one request apart.
    Sent,
    /// An upstream ran it.
    Ran,
    /// A caller got an answer; `answerOf` is the request that the answer belongs to.
    Answered,
    /// A caller was refused with "not run".
    RefusedNotRun,
    /// An upstream crashed on it.
    Crashed,
};

struct HistoryEvent
{
    HistoryKind kind = HistoryKind::Sent;
    std::uint64_t request = 0;
    std::uint64_t attempt = 0;
    std::uint64_t answerOf = 0;
};

/// Recorded events in their order.
using History = std::vector<HistoryEvent>;

/// Each checker returns the first violation in words, or nothing.
[[nodiscard]] std::optional<std::string> checkAtMostOnce(const History &history);
[[nodiscard]] std::optional<std::string> checkOwnAnswer(const History &history);
/// No attempt that was refused as not run may run, before or after.
[[nodiscard]] std::optional<std::string> checkNoFalseNotRun(const History &history);
/// No request may crash more than \a bound upstreams.
[[nodiscard]] std::optional<std::string> checkCrashBound(const History &history,
                                                         std::uint64_t bound);

/// Time since the start of a recording.
using RecordedTime = std::chrono::milliseconds;

/// A catalogue version that a router showed as in force when it was asked.
struct VersionObservation
{
    std::size_t router = 0;
    std::uint64_t version = 0;
    /// When the question was sent, so that a late answer is never counted as an early one.
    RecordedTime asked{0};
};

/// An accepted edit and the time from which it has to come into force everywhere.
struct AcceptedEdit
{
    std::uint64_t version = 0;
    RecordedTime accepted{0};
};

/// \returns how long after \a edit was accepted \a router first showed it, or nothing.
[[nodiscard]] std::optional<RecordedTime>
propagationTime(const std::vector<VersionObservation> &seen, const AcceptedEdit &edit,
                std::size_t router);
/// No router may show a lower version than it showed before.
[[nodiscard]] std::optional<std::string>
checkVersionsMonotonic(const std::vector<VersionObservation> &seen);
/// Each of \a routers must show \a edit within \a bound.
[[nodiscard]] std::optional<std::string>
checkInForceWithin(const std::vector<VersionObservation> &seen, const AcceptedEdit &edit,
                   std::size_t routers, RecordedTime bound);

} // namespace plantainswitch::lab
