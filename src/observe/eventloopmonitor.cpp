#include "plantainswitch/observe/eventloopmonitor.h"

#include <algorithm>

namespace plantainswitch {

void EventLoopMonitor::recordLateness(Duration lateness) noexcept
{
    this->current.lateness =
        std::max(this->current.lateness, std::chrono::duration_cast<Milliseconds>(lateness));
}

void EventLoopMonitor::recordDatagrams(std::uint32_t count) noexcept
{
    this->current.datagrams += count;
    this->current.mostDatagramsInTurn = std::max(this->current.mostDatagramsInTurn, count);
}

void EventLoopMonitor::recordConnections(std::uint32_t count) noexcept
{
    this->current.connections += count;
}

std::optional<EventLoopReport> EventLoopMonitor::takeReport(TimePoint now) noexcept
{
    if (now - this->reportedAt < latenessReportInterval) {
        return std::nullopt;
    }
    EventLoopReport report = this->current;
    report.interval = std::chrono::duration_cast<Milliseconds>(now - this->reportedAt);
    this->current = {};
    this->reportedAt = now;
    return report.lateness >= minReportedLateness ? std::optional(report) : std::nullopt;
}

} // namespace plantainswitch
