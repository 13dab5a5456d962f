#include <cmath>
#include <random>

#include <catch2/catch.hpp>

#include "plantainswitch/routing/selection.h"
#include "plantainswitch/routing/serviceestimator.h"

using namespace plantainswitch;

namespace {

/// Simulates engines of given performance, behind queues that delay some of the requests.
class ServiceEstimatorFixture
{
protected:
    FirstByteSample answer(double prefilled, double transferred, double running)
    {
        double delay = this->engine.baseDelay + prefilled / this->engine.prefillRate
                       + running * this->engine.delayPerRunning;
        if (transferred > 0.0) {
            delay += this->engine.transferSetup + transferred / this->engine.transferRate;
        }
        constexpr double queuedShare = 0.25;
        if (std::bernoulli_distribution(queuedShare)(this->random)) {
            delay += std::exponential_distribution<double>(1.0 / 150.0)(this->random);
        }
        delay += std::uniform_real_distribution<double>(0.0, 8.0)(this->random);
        return {
            prefilled, transferred, running,
            std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(delay))};
    }

    /// Prompts have their own part of lognormal size; every sixth one has a prefix of thousands of
    /// tokens to prefill.
    void serve(ServiceEstimator &estimator, int requests)
    {
        std::lognormal_distribution<double> ownPart(5.5, 1.2);
        std::uniform_real_distribution<double> prefix(1000.0, 12'000.0);
        std::uniform_int_distribution<int> running(0, 20);
        for (int i = 0; i < requests; ++i) {
            const double prefilled =
                ownPart(this->random) + (i % 6 == 0 ? prefix(this->random) : 0);
            const double transferred = i % 6 == 3 ? prefix(this->random) : 0.0;
            estimator.recordFirstByte(this->answer(prefilled, transferred, running(this->random)));
        }
    }

    static bool isWithin(double estimate, double truth, double factor)
    {
        return std::abs(std::log(estimate / truth)) <= std::log(factor);
    }

    ServicePerformance engine;
    std::mt19937_64 random{20'261'203};
    ManualClock clock;
};

} // namespace

TEST_CASE_METHOD(ServiceEstimatorFixture, "estimator_noSamples_givesThePrior", "[routing]")
{
    const ServiceEstimator estimator;
    CHECK(estimator.performance(this->clock.now()).prefillRate
          == Approx(ServicePerformance{}.prefillRate));
    CHECK(estimator.ownReport().prefillSamples == 0.0);
}

// Guards against placing requests by the performance of another deployment's engines.
TEST_CASE_METHOD(ServiceEstimatorFixture, "estimator_enginesOfManyKinds_findsTheirFigures",
                 "[routing]")
{
    const double rate = GENERATE(20.0, 45.0, 110.0, 300.0);
    const double transferRate = GENERATE(10.0, 200.0);
    this->engine.prefillRate = rate;
    this->engine.transferRate = transferRate;
    this->engine.baseDelay = 60.0;
    ServiceEstimator estimator;
    this->serve(estimator, 300);
    const ServicePerformance figures = estimator.performance(this->clock.now());
    CHECK(isWithin(figures.prefillRate, rate, 1.4));
    CHECK(isWithin(figures.transferRate, transferRate, 1.6));
    CHECK(isWithin(figures.baseDelay, this->engine.baseDelay, 1.4));
}

// Guards against an estimate that no longer matches after the engines were replaced.
TEST_CASE_METHOD(ServiceEstimatorFixture, "estimator_enginesReplacedBySlowerOnes_followsThem",
                 "[routing]")
{
    ServiceEstimator estimator;
    this->serve(estimator, 2000);
    this->engine.prefillRate = 25.0;
    this->serve(estimator, 1500);
    CHECK(isWithin(estimator.performance(this->clock.now()).prefillRate, 25.0, 1.5));
}

// Guards against a covariance that grows without limit while all samples are alike.
TEST_CASE_METHOD(ServiceEstimatorFixture, "estimator_longAlikeSamples_oneOddOneMovesItLittle",
                 "[routing]")
{
    ServiceEstimator estimator;
    this->serve(estimator, 300);
    const double before = estimator.performance(this->clock.now()).prefillRate;
    for (int i = 0; i < 20'000; ++i) {
        estimator.recordFirstByte({50.0, 0.0, 5.0, Milliseconds{45}});
    }
    estimator.recordFirstByte({8000.0, 0.0, 5.0, Milliseconds{4000}});
    CHECK(isWithin(estimator.performance(this->clock.now()).prefillRate, before, 1.5));
}

// Guards against an effective window so short that a few queued responses move the estimate far
// off.
TEST_CASE_METHOD(ServiceEstimatorFixture, "estimator_manySamples_staysNearTheTruth", "[routing]")
{
    this->engine.prefillRate = GENERATE(25.0, 110.0);
    ServiceEstimator estimator;
    this->serve(estimator, 500);
    for (int i = 0; i < 100; ++i) {
        this->serve(estimator, 100);
        const double rate = estimator.performance(this->clock.now()).prefillRate;
        REQUIRE(isWithin(rate, this->engine.prefillRate, 1.6));
    }
}

TEST_CASE_METHOD(ServiceEstimatorFixture, "estimator_ownSamplesNone_usesReportsOfOthers",
                 "[routing]")
{
    this->engine.prefillRate = 30.0;
    ServiceEstimator other;
    this->serve(other, 300);
    ServiceEstimator joining;
    joining.applyReport("router-2", other.ownReport(), this->clock.now());
    CHECK(isWithin(joining.performance(this->clock.now()).prefillRate, 30.0, 1.5));
    this->clock.advance(performanceReportLifetime + Seconds{1});
    CHECK(joining.performance(this->clock.now()).prefillRate
          == Approx(ServicePerformance{}.prefillRate));
}

// Guards against an invalid report that turns every estimate into NaN.
TEST_CASE_METHOD(ServiceEstimatorFixture, "estimator_invalidReport_isIgnored", "[routing]")
{
    ServiceEstimator estimator;
    PerformanceReport report;
    report.prefillSamples = 100.0;
    report.performance.prefillRate = GENERATE(0.0, -3.0, NAN, INFINITY);
    estimator.applyReport("router-2", report, this->clock.now());
    CHECK(estimator.performance(this->clock.now()).prefillRate
          == Approx(ServicePerformance{}.prefillRate));
}

// Guards against a sample count that is NaN.
TEST_CASE_METHOD(ServiceEstimatorFixture, "estimator_invalidSampleCount_isIgnored", "[routing]")
{
    ServiceEstimator estimator;
    PerformanceReport report;
    report.slotHoldSamples = NAN;
    estimator.applyReport("router-2", report, this->clock.now());
    CHECK(estimator.performance(this->clock.now()).slotHoldTime
          == Approx(ServicePerformance{}.slotHoldTime));
}

TEST_CASE_METHOD(ServiceEstimatorFixture, "breakEven_transferSlowerThanPrefill_isInfinite",
                 "[routing]")
{
    this->engine.prefillRate = 45.0;
    this->engine.transferRate = 15.0;
    CHECK(std::isinf(breakEvenTransferTokens(this->engine)));
    this->engine.transferRate = 200.0;
    const double tokens = breakEvenTransferTokens(this->engine);
    CHECK(tokens / this->engine.prefillRate
          == Approx(this->engine.transferSetup + tokens / this->engine.transferRate));
}
