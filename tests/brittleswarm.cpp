#include <catch2/catch.hpp>

#include "brittlemodelfixture.h"
#include "brittleswarm.h"

using namespace plantainswitch;

TEST_CASE_METHOD(BrittleModelFixture, "brittleUpstreams_anyDisturbancesTogether_rarelyCrash",
                 "[routing]")
{
    // Guards against limits that hold under each disturbance alone.
    for (const std::uint64_t seed : seedsWith(20, {57, 102, 245, 297, 416})) {
        checkFalls([seed](BrittleOptions &options) { BrittleSwarm(seed).apply(options); }, {seed});
    }
}
