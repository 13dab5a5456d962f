#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "plantainswitch/base/clock.h"
#include "plantainswitch/base/error.h"

namespace plantainswitch {

/// Counters of a router without labels.
enum class Counter : std::uint8_t {
    Requests,
    AnswersWhole,
    AnswersCut,
    CallersGone,
    Retries,
    SlotAsks,
    SlotAskTimeouts,
    ControlBytesSent,
    ControlBytesReceived,
    PlatformCalls,
    ClaimReads,
    ClaimWrites,
    ClaimRepeats,
    ClaimsGranted,
    QueueEntered,
    QueueRefused,
    QueueExpired,
};

/// What is measured as a histogram for each workspace and data class.
enum class Timing : std::uint8_t { FirstByte, Whole, Placement };

/// Kinds of control messages that a router sends.
enum class ControlKind : std::uint8_t {
    Swim,
    Leaving,
    SlotAsk,
    SlotReply,
    SlotRelease,
    ClaimAsk,
    ClaimReply,
    ClaimRelease,
    SuspectNews,
    LimitReport,
    LimitShares,
    SlotDigest,
    SlotListAsk,
    SlotList,
    ShardSummary,
    ChatHints,
    Pull,
};

/// Counters and Boost.Histogram histograms of one router, safe to use from all workers.
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    void count(Counter counter, std::uint64_t amount = 1) noexcept;
    /// Counts a control message that is sent, by its kind and in the sum of all.
    void countSent(ControlKind kind, std::uint64_t bytes) noexcept;
    void countRefusal(ErrorKind kind) noexcept;
    /// Records \a elapsed for the workspace and its data class.
    void record(Timing timing, const std::string &workspace, const std::string &dataClass,
                Duration elapsed);

    [[nodiscard]] std::uint64_t value(Counter counter) const noexcept;
    /// \returns everything in the text format that scrapers read.
    [[nodiscard]] std::string render() const;

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace plantainswitch
