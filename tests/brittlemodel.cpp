#include <catch2/catch.hpp>

#include "brittlemodelfixture.h"

using namespace plantainswitch;

TEST_CASE_METHOD(BrittleModelFixture, "brittleUpstreams_underFullLoad_rarelyCrash", "[routing]")
{
    // Guards against rejections that each router keeps within the announced number for itself, but
    // that exceed it in sum.
    checkFalls([](BrittleOptions &) {});
}

TEST_CASE_METHOD(BrittleModelFixture, "brittleUpstreams_routersRestart_rarelyCrash", "[routing]")
{
    // Guards against restarted routers that know neither the announcement nor what runs already.
    checkFalls([](BrittleOptions &options) {
        options.restartInterval = Milliseconds{700};
        options.crashInterval = Milliseconds{4000};
    });
}

TEST_CASE_METHOD(BrittleModelFixture, "brittleUpstreams_allRoutersKilled_rarelyCrash", "[routing]")
{
    // Guards against a fleet that forgets the announcement as a whole.
    checkFalls([](BrittleOptions &options) { options.killAllAt = Milliseconds{12'000}; });
}

TEST_CASE_METHOD(BrittleModelFixture, "brittleUpstreams_routersStandStill_rarelyCrash", "[routing]")
{
    // Guards against routers that each send what they consider little while the coordinator is
    // silent, and against what a router sends at once when it goes on.
    checkFalls([](BrittleOptions &options) { options.freezeInterval = Milliseconds{2500}; });
}

TEST_CASE_METHOD(BrittleModelFixture, "brittleUpstreams_routersAreCutOff_rarelyCrash", "[routing]")
{
    // Guards against two coordinators of one upstream that each grant all of its room.
    checkFalls([](BrittleOptions &options) { options.cutAt = Milliseconds{11'000}; });
}
