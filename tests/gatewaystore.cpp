#include <catch2/catch.hpp>

#include "gatewayfixture.h"

using namespace plantainswitch;
using namespace plantainswitch::gateway;

TEST_CASE_METHOD(GatewayFixture, "gateway_watchHearsNothingThoughOthersDo_listsAnew", "[gateway]")
{
    // The store was silent for a moment and has swallowed this router's watches: their connections
    // live, nothing fails, and nothing is told any more. The router would serve by what it knew,
    // and send requests to upstreams that have left, until the watches are over. Another router
    // knows of later changes.
    this->start();
    // The stale list of the start, and that from which it watches.
    REQUIRE(this->eventually([this] { return this->replicaListCount() >= 2; }));
    const int before = this->replicaListCount();
    this->addSilentRouter("router-2", "hall-b", 9);
    CHECK(this->eventually([this, before] { return this->replicaListCount() > before; }));
}
