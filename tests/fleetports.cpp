#include <catch2/catch.hpp>

#include "fleettools.h"

using namespace plantainswitch::lab;

TEST_CASE("fleet_overlappingPortsAskedFor_getsABlockOfItsOwn", "[fleetports]")
{
    // Two test programs run side by side and ask for ports 100 apart. Were the blocks taken as
    // asked for, a router of one would now and then find its port taken by the other.
    constexpr std::uint16_t ports = 22'000;
    constexpr int blockSize = 400;
    const Fleet first(lowtherDeployment(ports, 1));
    const Fleet second(lowtherDeployment(ports + 100, 1));
    const int distance = second.deployment.basePort - first.deployment.basePort;
    CHECK(std::abs(distance) >= blockSize);
}
