#include <catch2/catch.hpp>

#include "plantainswitch/routing/stopschedule.h"

using namespace plantainswitch;

namespace {

class StopScheduleFixture
{
protected:
    /// \returns whether a request that ends by \a deadline is admitted, both since the begin of the
    /// stop.
    [[nodiscard]] bool admits(Milliseconds at, Milliseconds deadline) const
    {
        return admitsDuringStop(scheduleStop(this->begin, this->grace), this->begin + at,
                                this->begin + deadline);
    }

    TimePoint begin = TimePoint{} + Seconds{100};
    Milliseconds grace{8000};
};

} // namespace

TEST_CASE_METHOD(StopScheduleFixture, "stop_early_admitsAllRequests", "[stop]")
{
    // Guards against refusals while the load balancer still chooses the router.
    CHECK(this->admits(Milliseconds{0}, Milliseconds{60'000}));
    CHECK(this->admits(stopAcceptTime, Milliseconds{60'000}));
}

TEST_CASE_METHOD(StopScheduleFixture, "stop_late_admitsWhatEndsBeforeTheAbort", "[stop]")
{
    // Guards against late requests that are passed on and cut, and against refusals of those that
    // can be served.
    const Milliseconds abortAt = this->grace - stopAbortReserve;
    CHECK(this->admits(stopAcceptTime + Milliseconds{1}, abortAt));
    CHECK_FALSE(this->admits(stopAcceptTime + Milliseconds{1}, abortAt + Milliseconds{1}));
    CHECK_FALSE(this->admits(abortAt, abortAt + Milliseconds{1}));
    CHECK_FALSE(this->admits(this->grace, this->grace + Milliseconds{1}));
}

TEST_CASE_METHOD(StopScheduleFixture, "stop_shortGrace_leavesTimeForRequests", "[stop]")
{
    // Guards against requests that are admitted up to the moment at which they are aborted.
    this->grace = Milliseconds{2400};
    CHECK(this->admits(Milliseconds{1000}, Milliseconds{60'000}));
    CHECK_FALSE(this->admits(Milliseconds{1001}, Milliseconds{60'000}));
    const StopSchedule schedule = scheduleStop(this->begin, Milliseconds{100});
    CHECK(schedule.abortAt == this->begin);
    CHECK(schedule.exitAt >= schedule.abortAt);
}
