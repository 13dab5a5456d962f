#include <catch2/catch.hpp>

#include "policy.h"
#include "policysim.h"

using namespace plantainswitch::lab;

namespace {

PolicyOptions shortRun(const std::string &policy)
{
    PolicyOptions options;
    options.policy = policy;
    options.seconds = 40;
    return options;
}

} // namespace

TEST_CASE("policyBench_sameSeed_givesSameReuseAndSkew", "[policy]")
{
    auto first = reportPolicy(shortRun("plantain"));
    auto second = reportPolicy(shortRun("plantain"));
    for (const char *measured : {"control_cpu_share"}) {
        first.erase(measured);
        second.erase(measured);
    }
    CHECK(first == second);
}

TEST_CASE("policyBench_everyPolicy_staysInPermittedPlaces", "[policy]")
{
    for (const char *policy : {"random", "least-loaded", "hash", "local-bound", "plantain"}) {
        PolicyOptions options = shortRun(policy);
        options.flap = 0.2;
        options.disagreeSeconds = 5;
        CHECK(reportPolicy(options)["max_place_violations"] == 0);
    }
}
