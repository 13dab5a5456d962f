#pragma once

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

} // namespace plantainswitch::lab
