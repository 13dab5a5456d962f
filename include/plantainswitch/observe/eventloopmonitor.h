#pragma once

#include <cstdint>
#include <optional>

#include "plantainswitch/base/clock.h"

namespace plantainswitch {

/// Lateness of an event loop from which it is reported; shorter ones are the usual timer lateness
/// of a small VM.
inline constexpr Milliseconds minReportedLateness{100};
/// Minimum interval between two reports.
inline constexpr Seconds latenessReportInterval{1};

/// How late an event loop has been since the last report, and what it has received in that time.
struct EventLoopReport
{
    Milliseconds lateness{0};
    Milliseconds interval{0};
    /// Datagrams of other routers, and the most of them in one turn of the loop.
    std::uint32_t datagrams = 0;
    std::uint32_t mostDatagramsInTurn = 0;
    std::uint32_t connections = 0;
};

/// Observes whether an event loop keeps up with the events of its connections.
class EventLoopMonitor
{
public:
    /// Records by how much a timer was handled late.
    void recordLateness(Duration lateness) noexcept;
    /// Records the datagrams that were received in one turn.
    void recordDatagrams(std::uint32_t count) noexcept;
    void recordConnections(std::uint32_t count) noexcept;
    /// \returns what was observed since the last report, if that is due and the loop was late.
    std::optional<EventLoopReport> takeReport(TimePoint now) noexcept;
    /// \returns the greatest lateness since the last report.
    [[nodiscard]] Milliseconds lateness() const noexcept { return this->current.lateness; }

private:
    EventLoopReport current;
    TimePoint reportedAt;
};

} // namespace plantainswitch
