#include <catch2/catch.hpp>

#include "gatewayfixture.h"

using namespace plantainswitch;
using namespace plantainswitch::gateway;

TEST_CASE_METHOD(GatewayFixture, "gateway_watchHearsNothingThoughOthersDo_listsAnew", "[gateway]")
{
    // Guards against stale state after the store has silently dropped this router's watches: the
    // connections live and nothing fails, but no change is reported any more. The router would send
    // requests to upstreams that have left until the watches time out. Another router knows of
    // later changes.
    this->start();
    // The stale list at the start, and the one before the watch.
    REQUIRE(this->eventually([this] { return this->replicaListCount() >= 2; }));
    const int before = this->replicaListCount();
    this->addSilentRouter("router-2", "hall-b", 9);
    CHECK(this->eventually([this, before] { return this->replicaListCount() > before; }));
}
