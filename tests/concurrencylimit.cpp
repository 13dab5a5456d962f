#include <limits>

#include <catch2/catch.hpp>

#include "plantainswitch/routing/concurrencylimit.h"

using namespace plantainswitch;

namespace {

class ConcurrencyLimitFixture
{
protected:
    /// Runs alternately at 3 and 6 of 6 slots.
    void serve(Milliseconds atThree, Milliseconds atSix, int runs)
    {
        for (int i = 0; i < runs; ++i) {
            this->clock.advance(Milliseconds{10});
            const bool isLow = (i / 50) % 2 == 0;
            this->limits.record(7, isLow ? 3.0 : 6.0, isLow ? atThree : atSix, 6.0,
                                this->clock.now());
        }
    }

    ConcurrencyLimits limits;
    ManualClock clock;
};

} // namespace

TEST_CASE_METHOD(ConcurrencyLimitFixture, "limit_noEvidence_isTheSlots", "[routing]")
{
    CHECK(this->limits.limit(7, 6.0, this->clock.now()) == 6.0);
    CHECK(this->limits.limit(7, 0.0, this->clock.now()) == 0.0);
    this->serve(Milliseconds{35}, Milliseconds{35}, 3000);
    CHECK(this->limits.find(7)->settledLimit(6.0, this->clock.now()) == 6.0);
}

TEST_CASE_METHOD(ConcurrencyLimitFixture, "limit_runsTakeThriceAsLongAtAllSlots_isLowered",
                 "[routing]")
{
    this->serve(Milliseconds{35}, Milliseconds{105}, 3000);
    CHECK(this->limits.find(7)->settledLimit(6.0, this->clock.now()) == 3.0);
    // Another incarnation has nothing of it, and time without runs ends it.
    CHECK(this->limits.limit(8, 6.0, this->clock.now()) == 6.0);
    this->clock.advance(concurrencyLimitRetention + Seconds{1});
    CHECK(this->limits.find(7)->settledLimit(6.0, this->clock.now()) == 6.0);
    this->limits.removeIdle(this->clock.now());
    CHECK(this->limits.size() == 0);
}

TEST_CASE_METHOD(ConcurrencyLimitFixture, "limit_adopted_isClampedAndNotOverridden", "[routing]")
{
    // Guards against wrong values from other routers.
    const double nan = std::numeric_limits<double>::quiet_NaN();
    this->limits.adopt(7, nan, this->clock.now());
    CHECK(this->limits.limit(7, 24.0, this->clock.now()) == 24.0);
    this->limits.adopt(7, 0.5, this->clock.now());
    CHECK(this->limits.limit(7, 24.0, this->clock.now()) == 6.0);
    this->limits.adopt(7, 99.0, this->clock.now());
    CHECK(this->limits.limit(7, 24.0, this->clock.now()) == 24.0);
    this->serve(Milliseconds{35}, Milliseconds{105}, 3000);
    this->limits.adopt(7, 5.0, this->clock.now());
    CHECK(this->limits.find(7)->settledLimit(6.0, this->clock.now()) == 3.0);
}

TEST_CASE_METHOD(ConcurrencyLimitFixture, "limit_manyIncarnations_isBounded", "[routing]")
{
    for (std::uint64_t i = 0; i < maxConcurrencyLimits + 100; ++i) {
        this->clock.advance(Milliseconds{1});
        this->limits.record(i, 1.0, Milliseconds{35}, 6.0, this->clock.now());
    }
    CHECK(this->limits.size() == maxConcurrencyLimits);
    CHECK(this->limits.find(0) == nullptr);
}
