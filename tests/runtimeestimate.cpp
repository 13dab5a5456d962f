#include <algorithm>
#include <random>

#include <catch2/catch.hpp>

#include "plantainswitch/routing/runtimeestimate.h"

using namespace plantainswitch;

namespace {

/// Runs with log-normal times, of which some are given up.
class RunTimeFixture
{
protected:
    static constexpr int runs = 5000;

    double drawTime() { return std::lognormal_distribution<double>(4.6, 1.0)(this->random); }

    /// \returns the share of new runs that take longer than the estimate.
    double shareAboveEstimate()
    {
        int above = 0;
        for (int i = 0; i < runs; ++i) {
            above += this->drawTime() > this->estimate.upperBound() ? 1 : 0;
        }
        return static_cast<double>(above) / runs;
    }

    std::mt19937_64 random{7};
    RunTimeEstimate estimate;
};

} // namespace

TEST_CASE_METHOD(RunTimeFixture, "runTime_allRunsEnd_fewExceedTheBound", "[routing]")
{
    for (int i = 0; i < runs; ++i) {
        this->estimate.recordEnded(this->drawTime());
    }
    CHECK(this->shareAboveEstimate() > 0.02);
    CHECK(this->shareAboveEstimate() < 0.25);
}

TEST_CASE_METHOD(RunTimeFixture, "runTime_callersLeave_longRunsStillCount", "[routing]")
{
    // Guards against an estimate from the runs that have ended, which are the short ones where
    // callers leave.
    std::uniform_real_distribution<double> patience(10.0, 150.0);
    for (int i = 0; i < runs; ++i) {
        const double time = this->drawTime();
        const double leavesAfter = patience(this->random);
        if (i % 5 < 3 && time > leavesAfter) {
            this->estimate.recordGivenUp(leavesAfter);
        } else {
            this->estimate.recordEnded(time);
        }
    }
    CHECK(this->shareAboveEstimate() < 0.25);
}

TEST_CASE_METHOD(RunTimeFixture, "runTime_timeoutEndsLongRuns_boundGoesBeyondIt", "[routing]")
{
    // Guards against a timeout that is taken for the longest run.
    constexpr double timeout = 100.0;
    for (int i = 0; i < runs; ++i) {
        const double time = this->drawTime();
        if (time > timeout) {
            this->estimate.recordGivenUp(timeout);
        } else {
            this->estimate.recordEnded(time);
        }
    }
    CHECK(this->estimate.upperBound() > 2.0 * timeout);
}
