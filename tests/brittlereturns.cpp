#include <catch2/catch.hpp>

#include "brittlemodelfixture.h"

using namespace plantainswitch;

TEST_CASE_METHOD(BrittleModelFixture, "brittleUpstreams_returnIsLearntLate_rarelyCrash",
                 "[routing]")
{
    // Guards against two counts of one upstream: routers whose list is old request grants for its
    // previous incarnation, and all slots are granted there once more.
    checkFalls(
        [](BrittleOptions &options) {
            options.crashInterval = Milliseconds{2000};
            options.entryLag = Milliseconds{3000};
        },
        seedsWith(5, {2000, 2003, 2034, 2077, 2079}));
}
