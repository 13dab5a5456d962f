#include <catch2/catch.hpp>

#include "plantainswitch/observe/pausedetector.h"

using namespace plantainswitch;

namespace {

class PauseDetectorFixture
{
protected:
    /// Ticks after \a step, of which the monotonic clock misses \a frozen. The next tick is due 250
    /// ms later.
    std::optional<Pause> tick(Milliseconds step, Milliseconds frozen = Milliseconds{0})
    {
        this->clock.advance(step - frozen);
        this->uptime += step;
        return this->detector.tick(this->clock.now(), this->uptime,
                                   this->clock.now() + Milliseconds{250});
    }

    PauseDetector detector;
    ManualClock clock;
    Duration uptime{0};
};

} // namespace

TEST_CASE_METHOD(PauseDetectorFixture, "pauseWatch_turnsInTime_findsNothing", "[observe]")
{
    for (int i = 0; i < 5; ++i) {
        CHECK_FALSE(this->tick(Milliseconds{260}));
    }
}

TEST_CASE_METHOD(PauseDetectorFixture, "pauseWatch_virtualMachineFrozen_isTold", "[observe]")
{
    this->tick(Milliseconds{250});
    const auto pause = this->tick(Milliseconds{3250}, Milliseconds{3000});
    REQUIRE(pause);
    CHECK(pause->frozen == Milliseconds{3000});
    CHECK(pause->late == Milliseconds{0});
    CHECK_FALSE(this->tick(Milliseconds{250}));
}

TEST_CASE_METHOD(PauseDetectorFixture, "pauseWatch_processStopped_isTold", "[observe]")
{
    this->tick(Milliseconds{250});
    const auto pause = this->tick(Milliseconds{1250});
    REQUIRE(pause);
    CHECK(pause->frozen == Milliseconds{0});
    CHECK(pause->late == Milliseconds{1000});
}
