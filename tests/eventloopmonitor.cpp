#include <catch2/catch.hpp>

#include "plantainswitch/observe/eventloopmonitor.h"

using namespace plantainswitch;

namespace {

class EventLoopMonitorFixture
{
protected:
    EventLoopMonitorFixture() { this->monitor.takeReport(this->clock.now()); }

    std::optional<EventLoopReport> reportAfter(Milliseconds time)
    {
        this->clock.advance(time);
        return this->monitor.takeReport(this->clock.now());
    }

    ManualClock clock;
    EventLoopMonitor monitor;
};

} // namespace

TEST_CASE_METHOD(EventLoopMonitorFixture, "eventLoopMonitor_usualLateness_reportsNothing",
                 "[observe]")
{
    this->monitor.recordLateness(Milliseconds{99});
    CHECK_FALSE(this->reportAfter(Milliseconds{2000}));
}

TEST_CASE_METHOD(EventLoopMonitorFixture, "eventLoopMonitor_lateLoop_reportsItOnceASecond",
                 "[observe]")
{
    this->monitor.recordLateness(Milliseconds{150});
    this->monitor.recordLateness(Milliseconds{120});
    this->monitor.recordDatagrams(1);
    this->monitor.recordDatagrams(3);
    this->monitor.recordConnections(2);
    CHECK_FALSE(this->reportAfter(Milliseconds{900}));
    CHECK(this->monitor.lateness() == Milliseconds{150});
    const auto report = this->reportAfter(Milliseconds{300});
    REQUIRE(report);
    CHECK(report->lateness == Milliseconds{150});
    CHECK(report->interval == Milliseconds{1200});
    CHECK(report->datagrams == 4);
    CHECK(report->mostDatagramsInTurn == 3);
    CHECK(report->connections == 2);
    CHECK_FALSE(this->reportAfter(Milliseconds{1200}));
}
