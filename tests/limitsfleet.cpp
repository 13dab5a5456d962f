#include <algorithm>
#include <atomic>

#include <catch2/catch.hpp>

#include "fleettools.h"

using namespace plantainswitch;
using namespace plantainswitch::lab;

namespace {

constexpr std::uint16_t basePort = 29500;
constexpr std::uint32_t routers = 3;
constexpr std::uint32_t workspaceRate = 20;
const std::string token = "token-lowther-0";

Deployment deploymentWith(std::uint32_t engines)
{
    Deployment deployment = lowtherDeployment(basePort, routers);
    deployment.engines = engines;
    return deployment;
}

template<typename Body>
Body &bodyOf(Deployment &deployment, const std::string &name)
{
    for (Entry &entry : deployment.entries) {
        if (entry.key.name == name) {
            return std::get<Body>(*entry.body);
        }
    }
    throw std::invalid_argument(name);
}

Deployment limitedDeployment()
{
    Deployment deployment = deploymentWith(3);
    bodyOf<Workspace>(deployment, "workspace-0").requestsPerSecond = workspaceRate;
    return deployment;
}

Deployment queueDeployment(std::uint32_t queueMilliseconds)
{
    Deployment deployment = deploymentWith(1);
    Service &service = bodyOf<Service>(deployment, deployment.modelService);
    service.engineCapacity = 1;
    service.queueMilliseconds = queueMilliseconds;
    return deployment;
}

/// Lets router 0 run a long chat, then sends a short one to router 1. The routers must have met:
/// until all know each other they may disagree about owner and coordinator.
/// \returns the answers to both.
std::pair<net::HttpResponse, net::HttpResponse> chatBehindLongOne(Fleet &fleet)
{
    constexpr std::uint32_t longAnswer = 300;
    net::HttpResponse first;
    std::thread caller(
        [&] { first = fleet.chat(0, token, "a", chatBody(fleet, "text", longAnswer)); });
    CHECK(Fleet::eventually([&] { return fleet.standIns.engines.front()->load() == 1; }));
    net::HttpResponse second = fleet.chat(1, token, "b", chatBody(fleet, "text", 1));
    caller.join();
    return {std::move(first), std::move(second)};
}

} // namespace

TEST_CASE("limits_surgeOverAllRouters_staysWithinStatedFactor", "[limitsfleet]")
{
    // Guards against routers admitting more than maxOvershootFactor times a workspace's limit in
    // sum. A workspace with 20 requests a second calls three routers as fast as it can, and each
    // sees only a third.
    Fleet fleet(limitedDeployment());
    REQUIRE(fleet.startAndConverge());
    constexpr int calls = 250;
    std::atomic<int> whole = 0;
    std::atomic<int> limited = 0;
    const auto began = std::chrono::steady_clock::now();
    std::vector<std::thread> callers;
    for (std::size_t router = 0; router < routers; ++router) {
        callers.emplace_back([&, router] {
            for (int each = 0; each < calls; ++each) {
                const auto answer = fleet.chat(router, token, "c", chatBody(fleet, "text", 1));
                whole += answer.status == 200 ? 1 : 0;
                limited += errorOf(answer).value("kind", "") == "limit-reached" ? 1 : 0;
            }
        });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    const std::chrono::duration<double> lasted = std::chrono::steady_clock::now() - began;
    CHECK(whole + limited == calls * static_cast<int>(routers));
    CHECK(whole <= maxOvershootFactor * workspaceRate * (lasted.count() + 1) + routers);
    CHECK(whole >= 1);
    const auto refused = fleet.chat(0, "token-lowther-1", "c", chatBody(fleet, "text", 1));
    CHECK(refused.status == 200);
}

TEST_CASE("queue_engineBusyBeyondBound_refusesAsExpiredAndNotRun", "[limitsfleet]")
{
    Fleet fleet(queueDeployment(200));
    REQUIRE(fleet.startAndConverge());
    const auto [first, second] = chatBehindLongOne(fleet);
    CHECK(first.status == 200);
    CHECK(second.status == 503);
    CHECK(errorOf(second).value("kind", "") == "queue-expired");
    CHECK(errorOf(second).value("ran", "") == "no");
}

TEST_CASE("queue_engineComesFreeInTime_answersTheWaitingRequest", "[limitsfleet]")
{
    Fleet fleet(queueDeployment(20'000));
    REQUIRE(fleet.startAndConverge());
    const auto [first, second] = chatBehindLongOne(fleet);
    CHECK(first.status == 200);
    CHECK(second.status == 200);
}

TEST_CASE("orders_catalogueNamesVersion_allEnginesTakeItOn", "[limitsfleet]")
{
    // Guards against engines that don't reach the version that the catalogue sets. In each data
    // centre the router that holds the lease orders one engine after another until all report it.
    Deployment deployment = deploymentWith(6);
    const std::string wanted = "7";
    Service &service = bodyOf<Service>(deployment, deployment.modelService);
    service.engines.setup.version = wanted;
    service.engines.checkFencing = true;
    service.engines.minReadyPercent = 50;
    Fleet fleet(deployment);
    REQUIRE(fleet.startAndConverge());
    CHECK(Fleet::eventually([&] {
        return std::all_of(fleet.standIns.engines.begin(), fleet.standIns.engines.end(),
                           [&](const auto &engine) { return engine->setup().version == wanted; });
    }));
    CHECK(fleet.standIns.engines.front()->setup().model == "base");
}
