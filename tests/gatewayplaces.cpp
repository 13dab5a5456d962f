#include <atomic>

#include <catch2/catch.hpp>

#include "gatewayfixture.h"

using namespace plantainswitch;
using namespace plantainswitch::gateway;

namespace {

class GatewayPlacesFixture : public GatewayFixture
{
protected:
    GatewayPlacesFixture()
    {
        this->addUpstream("plain-0", "plain", [this](ServerConnection &connection) {
            while (const auto request = connection.read()) {
                ++this->executions;
                connection.send(makeResponse(*request, "done"));
            }
        });
        this->changeSettings([](GatewaySettings &settings) {
            settings.followsEvacuations = true;
            settings.areas = {{"hall-a", "south"}, {"hall-b", "north"}};
        });
    }

    std::atomic<int> executions = 0;
};

} // namespace

TEST_CASE_METHOD(GatewayPlacesFixture, "evacuation_ofTheOnlyDataCentre_isRefusedAtOnceAsNotRun",
                 "[gateway]")
{
    // Guards against requests to upstreams of an evacuated data centre, and against callers that
    // wait for one.
    this->setEvacuationItems(makeStoreObject("hall-a", "{}"));
    this->start();
    REQUIRE(eventually([this] { return this->call(makeRequest("/safe/x", "a1")).status == 503; }));
    const int before = this->executions;
    CHECK(this->call(makeRequest("/once/x", "a2")).status == 503);
    CHECK(this->executions == before);
}

TEST_CASE_METHOD(GatewayPlacesFixture, "evacuation_malformedOrUnknown_changesNothing", "[gateway]")
{
    this->setEvacuationItems(makeStoreObject("hall-a", "3") + ","
                             + makeStoreObject("nowhere", "{}"));
    this->start();
    CHECK(this->call(makeRequest("/safe/x", "a1")).status == 200);
}

TEST_CASE_METHOD(GatewayPlacesFixture, "evacuation_reportedByAnotherRouter_isInForce", "[gateway]")
{
    // Guards against a router that the store refuses and that keeps sending to the data centre.
    this->start();
    CHECK(this->call(makeRequest("/safe/x", "a1")).status == 200);
    this->addSilentRouter("router-2", "hall-a", 0, {"hall-a"});
    REQUIRE(eventually([this] { return this->call(makeRequest("/safe/x", "a2")).status == 503; }));
}

TEST_CASE_METHOD(GatewayPlacesFixture, "homes_noUpstreamInTheHome_isRefusedAtOnceAsNotRun",
                 "[gateway]")
{
    // Guards against processing a request outside the areas that its route permits.
    this->start();
    const ReceivedResponse refused = this->call(makeRequest("/homed/x", "a1"));
    CHECK(refused.status == 503);
    CHECK(this->executions == 0);
    CHECK(this->call(makeRequest("/safe/x", "a2")).status == 200);
}
