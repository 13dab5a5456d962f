#include <algorithm>
#include <future>

#include <catch2/catch.hpp>

#include "fleettools.h"

using namespace plantainswitch;
using namespace plantainswitch::lab;

namespace {

constexpr std::uint16_t ownPorts = 30'000;
constexpr int statusOk = 200;
constexpr std::uint32_t routers = 3;
constexpr std::uint32_t replicas = 3;
constexpr std::uint32_t queuedRequests = 9;
constexpr std::uint32_t queueMilliseconds = 25'000;
const std::string permittedDataCentre = "hall-a";
const std::string dataClass = "regulated";

/// One replica per data centre, each with a capacity of one request.
Deployment singleSlotDeployment()
{
    Deployment deployment = lowtherDeployment(ownPorts, routers);
    deployment.plainReplicas = replicas;
    for (Entry &entry : deployment.entries) {
        if (entry.key.name == deployment.plainService) {
            auto &service = std::get<Service>(*entry.body);
            service.engineCapacity = 1;
            service.queueMilliseconds = queueMilliseconds;
        }
    }
    return deployment;
}

class RestrictFixture
{
protected:
    using Answers = std::vector<std::future<net::HttpResponse>>;

    RestrictFixture()
        : fleet(singleSlotDeployment())
    {
        REQUIRE(this->fleet.startAndConverge());
        this->fleet.standIns.orders->hold();
    }

    Answers sendAsync(std::uint32_t count, const std::string &prefix)
    {
        Answers answers;
        for (std::uint32_t index = 0; index < count; ++index) {
            net::HttpCall call;
            call.method = "POST";
            call.url = "/services/" + this->fleet.deployment.plainService + "/notes";
            call.headers = {{"authorization", "Bearer token-lowther-0"},
                            {"idempotency-key", prefix + std::to_string(index)}};
            answers.push_back(std::async(std::launch::async, [this, index, call = std::move(call)] {
                return this->fleet.call(index % routers, call);
            }));
        }
        return answers;
    }

    [[nodiscard]] bool eventuallyInFlight(std::uint64_t expected)
    {
        return Fleet::eventually([&] {
            std::uint64_t inFlight = 0;
            for (std::size_t router = 0; router < routers; ++router) {
                inFlight += this->fleet.status(router).value("inFlight", std::uint64_t{0});
            }
            return inFlight == expected;
        });
    }

    [[nodiscard]] std::size_t runCount() const { return this->fleet.standIns.runs->keys(); }

    /// Permits only one data centre to the data class and waits until all routers have applied it.
    [[nodiscard]] bool restrictDataClass()
    {
        const DataClass restricted{this->fleet.deployment.name, {permittedDataCentre}, 0};
        const std::uint64_t version = this->fleet.standIns.platform.set(
            "dataclass", dataClass, toJson(EntryBody{restricted}));
        return this->fleet.eventuallyInForce(version);
    }

    Fleet fleet;
};

std::string replicaOf(const net::HttpResponse &answer)
{
    const auto json = nlohmann::json::parse(answer.body, nullptr, false);
    return json.is_object() ? json.value("replica", "") : "";
}

} // namespace

TEST_CASE_METHOD(RestrictFixture, "edit_narrowsClassWhileRequestsQueue_noneRunsInForbiddenPlace",
                 "[fleetnarrow]")
{
    // One request runs in each data centre and others are queued. An operator restricts the data
    // class to one data centre, and every router applies the edit before the replicas become free.
    // Guards against sending queued requests, which were admitted under the old entry and may
    // already hold a slot, to a data centre that is now forbidden.
    Answers running = this->sendAsync(replicas, "running-");
    REQUIRE(Fleet::eventually([this] { return this->runCount() == replicas; }));
    Answers queued = this->sendAsync(queuedRequests, "queued-");
    REQUIRE(this->eventuallyInFlight(replicas + queuedRequests));
    REQUIRE(this->restrictDataClass());
    REQUIRE(this->runCount() == replicas);
    this->fleet.standIns.orders->letGo();
    for (auto &answer : running) {
        CHECK(answer.get().status == statusOk);
    }
    for (auto &each : queued) {
        const net::HttpResponse answer = each.get();
        CHECK(answer.status == statusOk);
        CHECK(replicaOf(answer).rfind(permittedDataCentre, 0) == 0);
    }
    CHECK(this->runCount() == replicas + queuedRequests);
}
