#pragma once

#include <chrono>
#include <cstddef>
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
    PermitsDenied,
    Forwards,
    StreamsTakenUp,
    ConnectionsAccepted,
    SurgeRefusals,
};

/// Histograms for each workspace and data class.
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
    RouterNews,
    EngineAsk,
    EngineReply,
    EngineEnd,
    StoreView,
    OriginReport,
    OriginAsk,
    OriginReply,
    OriginConfirmation,
};

/// Idle time after which a workspace's series is left out of the page: twice the five minutes that
/// scrapers look back.
inline constexpr std::chrono::minutes idleSeriesAge{10};
/// Maximum number of workspaces per timing on the page; about 1.3 MB.
inline constexpr std::size_t maxWorkspacesOnPage = 500;

/// Thread-safe counters and Boost.Histogram histograms of one router.
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    void count(Counter counter, std::uint64_t amount = 1) noexcept;
    /// Counts a control message that was sent, by its kind and in the total.
    void countSent(ControlKind kind, std::uint64_t bytes) noexcept;
    void countRefusal(ErrorKind kind) noexcept;
    /// Records \a elapsed for the workspace and its data class, and for the class as a whole.
    void record(Timing timing, const std::string &workspace, const std::string &dataClass,
                Duration elapsed, TimePoint now);

    [[nodiscard]] std::uint64_t value(Counter counter) const noexcept;
    /// \returns the page for scrapers: all counters and classes, and for each timing the busiest
    /// workspaces that were not idle lately. Omitted series keep counting, so that a series never
    /// reappears with a lower count.
    [[nodiscard]] std::string render(TimePoint now) const;

private:
    void renderTimings(std::string &page, TimePoint now) const;

    struct State;
    std::unique_ptr<State> state;
};

} // namespace plantainswitch
