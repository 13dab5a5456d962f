#include <catch2/catch.hpp>

#include "concurrencymodel.h"
#include "plantainswitch/routing/concurrencylimit.h"

using namespace plantainswitch;

namespace {

class ConcurrencyLimitModelFixture
{
protected:
    static constexpr std::uint64_t seeds = 4;

    /// \returns the throughput of the best fixed limit.
    static double bestFixed(std::uint64_t seed, const ConcurrencyModelOptions &options)
    {
        double best = 0.0;
        for (double limit = options.slots / 4.0; limit <= options.slots; limit += 1.0) {
            const double fixed = std::ceil(limit);
            ConcurrencyModel model(seed, options);
            best = std::max(best, model.run([fixed](TimePoint) { return fixed; },
                                            [](double, Duration, TimePoint) {}));
        }
        return best;
    }

    /// \returns the throughput with the learned limit by that of the best fixed one.
    double share(std::uint64_t seed, const ConcurrencyModelOptions &options, double best)
    {
        ConcurrencyLimit learned;
        ConcurrencyModel model(seed, options);
        const double slots = options.slots;
        const double throughput =
            model.run([&](TimePoint now) { return learned.limit(slots, now); },
                      [&](double concurrency, Duration runTime, TimePoint now) {
                          learned.record(concurrency, runTime, slots, now);
                          this->lowest = std::min(this->lowest, learned.settledLimit(slots, now));
                          this->last = learned.settledLimit(slots, now);
                      });
        return throughput / best;
    }

    /// \returns the mean share over all seeds.
    double meanShare(ConcurrencyModelOptions options)
    {
        options.seconds = 80.0;
        options.countedFrom = 20.0;
        double sum = 0.0;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            sum += this->share(seed, options, bestFixed(seed, options));
        }
        return sum / static_cast<double>(seeds);
    }

    double lowest = 1e9;
    double last = 0.0;
};

} // namespace

TEST_CASE_METHOD(ConcurrencyLimitModelFixture, "limitModel_noSlowdown_staysAtTheSlots", "[routing]")
{
    // Guards against limits that fall by chance or by slow periods of a shared host.
    ConcurrencyModelOptions options;
    CHECK(this->meanShare(options) >= 0.97);
    options.hasNoise = true;
    CHECK(this->meanShare(options) >= 0.97);
    options.hasNoise = false;
    options.sigma = 1.6;
    CHECK(this->meanShare(options) >= 0.95);
    CHECK(this->lowest == 6.0);
}

TEST_CASE_METHOD(ConcurrencyLimitModelFixture, "limitModel_slowsDown_isNearTheBestFixedLimit",
                 "[routing]")
{
    // Guards against upstreams that get so many requests at once that they serve fewer.
    ConcurrencyModelOptions options;
    for (const SlowdownCurve curve :
         {SlowdownCurve::Linear, SlowdownCurve::Steep, SlowdownCurve::Jump}) {
        options.curve = curve;
        INFO("curve " << static_cast<int>(curve));
        CHECK(this->meanShare(options) >= 0.95);
    }
}

TEST_CASE_METHOD(ConcurrencyLimitModelFixture, "limitModel_curveChanges_isFollowedBothWays",
                 "[routing]")
{
    // Guards against a limit that stays low once the slowdown has ended, or high once it begins.
    ConcurrencyModelOptions options;
    options.changeAt = 30.0;
    options.curve = SlowdownCurve::Linear;
    options.lateFactor = 0.7;
    this->share(1, options, 1.0);
    CHECK(this->last >= 5.0);
    options.curve = SlowdownCurve::None;
    options.lateCurve = SlowdownCurve::Steep;
    options.lateFactor = 1.0;
    this->share(1, options, 1.0);
    CHECK(this->last <= 4.0);
}
