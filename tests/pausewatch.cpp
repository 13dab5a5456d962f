#include <catch2/catch.hpp>

#include "plantainswitch/observe/pausedetector.h"

using namespace plantainswitch;

namespace {

class PauseWatchFixture
{
protected:
    /// Ticks after \a step, of which the monotonic clock misses \a frozen. The next tick is due 250
    /// ms later.
    std::optional<Pause> turn(Milliseconds step, Milliseconds frozen = Milliseconds{0})
    {
        this->clock.advance(step - frozen);
        this->uptime += step;
        return this->watch.tick(this->clock.now(), this->uptime,
                                this->clock.now() + Milliseconds{250});
    }

    PauseDetector watch;
    ManualClock clock;
    Duration uptime{0};
};

} // namespace

TEST_CASE_METHOD(PauseWatchFixture, "pauseWatch_turnsInTime_findsNothing", "[observe]")
{
    for (int i = 0; i < 5; ++i) {
        CHECK_FALSE(this->turn(Milliseconds{260}));
    }
}

TEST_CASE_METHOD(PauseWatchFixture, "pauseWatch_virtualMachineFrozen_isTold", "[observe]")
{
    this->turn(Milliseconds{250});
    const auto pause = this->turn(Milliseconds{3250}, Milliseconds{3000});
    REQUIRE(pause);
    CHECK(pause->frozen == Milliseconds{3000});
    CHECK(pause->late == Milliseconds{0});
    CHECK_FALSE(this->turn(Milliseconds{250}));
}

TEST_CASE_METHOD(PauseWatchFixture, "pauseWatch_processStopped_isTold", "[observe]")
{
    this->turn(Milliseconds{250});
    const auto pause = this->turn(Milliseconds{1250});
    REQUIRE(pause);
    CHECK(pause->frozen == Milliseconds{0});
    CHECK(pause->late == Milliseconds{1000});
}
