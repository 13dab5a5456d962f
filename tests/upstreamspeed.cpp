#include <cmath>
#include <limits>
#include <random>

#include <catch2/catch.hpp>

#include "plantainswitch/routing/upstreamspeed.h"

using namespace plantainswitch;

namespace {

/// Routers that each see a part of the responses and exchange reports every second.
class UpstreamSpeedFixture
{
protected:
    void serve(std::size_t routers, std::size_t engines, double perRouter, int seconds)
    {
        this->speeds.resize(routers);
        std::normal_distribution<double> spread(0.1, 0.5);
        std::uniform_int_distribution<std::size_t> engine(0, engines - 1);
        for (int second = 0; second < seconds; ++second) {
            for (int step = 0; step < 10; ++step) {
                this->clock.advance(Milliseconds{100});
                const double expected = perRouter / 10.0;
                for (UpstreamSpeeds &router : this->speeds) {
                    for (int n = std::poisson_distribution<int>(expected)(this->random); n > 0;
                         --n) {
                        const std::size_t chosen = engine(this->random);
                        const double factor = this->factorOf(chosen, engines);
                        router.record(chosen + 1, factor * std::exp(spread(this->random)),
                                      this->clock.now());
                    }
                }
                this->speeds[0].refresh(this->clock.now());
            }
            this->exchange();
        }
    }

    /// Engine i is slow while its host's phase, by its number, is in the first 15%.
    [[nodiscard]] double factorOf(std::size_t engine, std::size_t engines) const
    {
        const auto age =
            std::chrono::duration_cast<Milliseconds>(this->clock.now().time_since_epoch());
        const auto phase = (age.count() + static_cast<std::int64_t>(engine) * 977) % 4000;
        const double noise = this->isNoisy && phase < 600 ? 2.5 : 1.0;
        return noise * (engine < engines / 3 ? this->slowFactor : 1.0);
    }

    /// The first router gets the reports of all others.
    void exchange()
    {
        const TimePoint now = this->clock.now();
        for (std::size_t i = 1; i < this->speeds.size(); ++i) {
            for (const SpeedReport &report : this->speeds[i].report(12, now - Seconds{1}, now)) {
                this->speeds[0].applyReport("router-" + std::to_string(i), report, now);
                ++this->reports;
            }
        }
    }

    [[nodiscard]] double slowdown(std::size_t engine) const
    {
        return this->speeds[0].slowdown(engine + 1, this->clock.now());
    }

    std::vector<UpstreamSpeeds> speeds;
    double slowFactor = 1.0;
    bool isNoisy = false;
    std::size_t reports = 0;
    std::mt19937_64 random{20'261'204};
    ManualClock clock;
};

} // namespace

TEST_CASE_METHOD(UpstreamSpeedFixture, "speeds_aThirdIsSlower_isFoundFromTheFleetsSamples",
                 "[routing]")
{
    // Guards against differences that no router can see alone: a sample per engine in 9 s.
    this->slowFactor = 1.3;
    this->serve(73, 90, 10.0, 30);
    double slow = 0.0;
    double fast = 0.0;
    for (std::size_t i = 0; i < 90; ++i) {
        (i < 30 ? slow : fast) += std::log(this->slowdown(i));
    }
    const double ratio = std::exp(slow / 30.0 - fast / 60.0);
    INFO("ratio " << ratio << ", reports " << this->reports);
    CHECK(ratio > 1.18);
    CHECK(ratio < 1.35);
    // 22 bytes each: 264 bytes/s to each other router at most.
    CHECK(this->reports <= std::size_t{72} * 30 * 12);
}

TEST_CASE_METHOD(UpstreamSpeedFixture, "speeds_hostsSlowAtTimes_noLastingDifferenceIsFound",
                 "[routing]")
{
    // Guards against taking slow periods of shared hosts for slow upstreams.
    this->isNoisy = true;
    int different = 0;
    for (int round = 0; round < 20; ++round) {
        this->serve(32, 140, 20.0, 5);
        for (std::size_t i = 0; i < 140; ++i) {
            different += std::abs(std::log(this->slowdown(i))) > 0.05 ? 1 : 0;
        }
    }
    INFO("different " << different << " of " << 20 * 140);
    CHECK(different <= 20 * 140 / 100);
}

TEST_CASE_METHOD(UpstreamSpeedFixture, "speeds_becomesEqual_isFollowedAndForgotten", "[routing]")
{
    // Guards against upstreams that stay penalized after they recovered, or while they get nothing.
    this->slowFactor = 1.6;
    this->serve(73, 90, 10.0, 30);
    REQUIRE(this->slowdown(3) > 1.2);
    const UpstreamSpeeds before = this->speeds[0];
    this->slowFactor = 1.0;
    this->serve(73, 90, 10.0, 30);
    CHECK(this->slowdown(3) < 1.1);
    this->speeds[0] = before;
    this->clock.advance(Seconds{90});
    this->speeds[0].refresh(this->clock.now());
    CHECK(this->slowdown(3) == 1.0);
    this->clock.advance(Seconds{60});
    this->speeds[0].refresh(this->clock.now());
    CHECK(this->speeds[0].size() == 0);
}

TEST_CASE_METHOD(UpstreamSpeedFixture, "speeds_invalidOrRepeatedReports_changeNothing", "[routing]")
{
    // Guards against reports that count twice, and against values that make every estimate NaN.
    this->slowFactor = 1.6;
    this->serve(8, 6, 20.0, 20);
    const double before = this->slowdown(0);
    REQUIRE(before > 1.1);
    const TimePoint now = this->clock.now();
    UpstreamSpeeds &router = this->speeds[0];
    const SpeedReport report = this->speeds[1].report(12, now - Seconds{1}, now).front();
    for (int i = 0; i < 10; ++i) {
        router.applyReport("router-1", report, now);
    }
    const double nan = std::numeric_limits<double>::quiet_NaN();
    router.record(1, nan, now);
    router.record(1, 0.0, now);
    router.applyReport("x", {1, nan, 5.0}, now);
    router.applyReport("x", {1, 0.5, -5.0}, now);
    router.applyReport("x", {1, 0.5, std::numeric_limits<double>::infinity()}, now);
    CHECK(this->slowdown(0) == Approx(before).epsilon(0.02));
    CHECK(router.slowdown(99, now) == 1.0);
}
