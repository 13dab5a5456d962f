#include <catch2/catch.hpp>

#include "brittlemodelfixture.h"

using namespace plantainswitch;

namespace {

constexpr double wideSpread = 1.2;

} // namespace

TEST_CASE_METHOD(BrittleModelFixture, "brittleUpstreams_longRunsAbandoned_rarelyCrash", "[routing]")
{
    // Guards against grants that end after the mean time of a run, while the longer ones, which
    // take most of the slots, go on.
    checkFalls(
        [](BrittleOptions &options) {
            options.runSpread = wideSpread;
            options.abandonedShare = 0.6;
            options.persistentShare = 1.0;
        },
        seedsWith(5, {2000, 2007, 2023, 2043}));
}

TEST_CASE_METHOD(BrittleModelFixture, "brittleUpstreams_longRunsReset_rarelyCrash", "[routing]")
{
    // Guards against the same after resets of many connections at once.
    checkFalls(
        [](BrittleOptions &options) {
            options.runSpread = wideSpread;
            options.meanRun = Milliseconds{500};
            options.resetInterval = Milliseconds{3000};
            options.persistentShare = 1.0;
        },
        seedsWith(5, {2011, 2034, 2077, 2079}));
}

TEST_CASE_METHOD(BrittleModelFixture, "brittleUpstreams_timeoutIsShortened_rarelyCrash",
                 "[routing]")
{
    // Guards against a configuration whose timeout is shorter than many runs: all of them are given
    // up, and only short ones are seen to end.
    checkFalls(
        [](BrittleOptions &options) {
            options.runSpread = wideSpread;
            options.shortenedTimeout = Milliseconds{100};
            options.persistentShare = 1.0;
        },
        seedsWith(5, {2011, 2015, 2066, 2095}));
}

TEST_CASE_METHOD(BrittleModelFixture, "brittleUpstreams_slowOnesKeepAbandonedRuns_rarelyCrash",
                 "[routing]")
{
    // Guards against grants at slow upstreams that end after the service's usual time.
    checkFalls(
        [](BrittleOptions &options) {
            options.speedSpread = 0.7;
            options.abandonedShare = 0.3;
            options.persistentShare = 1.0;
        },
        seedsWith(5, {2023, 2096}));
}
