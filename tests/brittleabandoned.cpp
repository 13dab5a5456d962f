#include <catch2/catch.hpp>

#include "brittlemodelfixture.h"

using namespace plantainswitch;

TEST_CASE_METHOD(BrittleModelFixture, "brittleUpstreams_standStillForASecond_rarelyCrash",
                 "[routing]")
{
    // Guards against grants that routers release while the requests still lie at an upstream that
    // is silent: others get the same slots, and it rejects them all at once when it goes on.
    checkFalls([](BrittleOptions &options) {
        options.silenceInterval = Milliseconds{1500};
        options.persistentShare = 1.0;
    });
}

TEST_CASE_METHOD(BrittleModelFixture, "brittleUpstreams_goOnWithAbandonedRuns_rarelyCrash",
                 "[routing]")
{
    // Guards against grants that end with the caller's connection, although the upstream goes on
    // with the run.
    checkFalls([](BrittleOptions &options) {
        options.abandonedShare = 0.6;
        options.persistentShare = 1.0;
    });
}

TEST_CASE_METHOD(BrittleModelFixture, "brittleUpstreams_sixtyRoutersAmidKillsAndLoss_rarelyCrash",
                 "[routing]")
{
    // Guards against a limit that holds only while updates between routers are frequent.
    checkFalls([](BrittleOptions &options) {
        options.routers = 60;
        options.dataCentres = 4;
        options.upstreams = 24;
        options.slots = 16;
        options.waitingBefore = 2 * options.slots;
        options.datagramLoss = 0.03;
        options.slownessInterval = Milliseconds{500};
        options.restartInterval = Milliseconds{700};
    });
}

TEST_CASE_METHOD(BrittleModelFixture, "brittleUpstreams_connectionsResetOnTheWay_rarelyCrash",
                 "[routing]")
{
    // Guards against grants that end with a connection which the network reset, although the
    // upstream goes on with the run.
    checkFalls([](BrittleOptions &options) {
        options.resetInterval = Milliseconds{3000};
        options.persistentShare = 1.0;
    });
}
