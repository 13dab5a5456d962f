#include <catch2/catch.hpp>

#include "fleettools.h"

using namespace plantainswitch::lab;

TEST_CASE("fleet_overlappingPortsAskedFor_getsABlockOfItsOwn", "[fleetports]")
{
    // Guards against two test programs that run in parallel and request port blocks 100 apart: with
    // overlapping blocks a router sometimes finds its port in use by the other program.
    constexpr std::uint16_t requestedPort = 22'000;
    constexpr int blockSize = 400;
    const Fleet first(lowtherDeployment(requestedPort, 1));
    const Fleet second(lowtherDeployment(requestedPort + 100, 1));
    const int distance = second.deployment.basePort - first.deployment.basePort;
    CHECK(std::abs(distance) >= blockSize);
}
