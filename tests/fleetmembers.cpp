#include <atomic>
#include <thread>

#include <catch2/catch.hpp>

#include "fleettools.h"

using namespace plantainswitch;
using namespace plantainswitch::lab;

namespace {

constexpr std::uint16_t ownPorts = 28000;
/// Four in each of two data centres, so that one router of each isn't a watcher.
constexpr std::size_t routerCount = 8;
constexpr std::size_t stoppedCount = 4;
constexpr int callersPerRouter = 2;

Deployment eightRouterDeployment()
{
    Deployment deployment = lowtherDeployment(ownPorts, routerCount);
    deployment.places = {"hall-a", "hall-b"};
    return deployment;
}

class FleetMembersFixture
{
protected:
    FleetMembersFixture()
        : fleet(eightRouterDeployment())
    {
        REQUIRE(this->fleet.start());
        REQUIRE(Fleet::eventually([this] { return this->fleet.hasConverged(); }));
    }

    [[nodiscard]] nlohmann::json status(std::size_t router)
    {
        return nlohmann::json::parse(this->fleet.operatorPage(router, "/status").body, nullptr,
                                     false);
    }

    bool hasApplied(std::size_t router, std::uint64_t version)
    {
        const auto page = this->status(router);
        return page.is_object() && page["catalogueVersion"].get<std::uint64_t>() >= version;
    }

    std::uint64_t restrictDataClass(const std::string &place)
    {
        return this->fleet.standIns.platform.set("dataclass", "regulated",
                                                 toJson(EntryBody(DataClass{"o", {place}, 0})));
    }

    [[nodiscard]] nlohmann::json body(int tokens = 8) const
    {
        return {{"model", this->fleet.deployment.modelService},
                {"max_tokens", tokens},
                {"messages", {{{"role", "user"}, {"content", "hello"}}}}};
    }

    /// Requests long responses from half of the routers, starts a platform outage and calls \a stop
    /// for each of these routers while they are relaying. \returns how many responses were
    /// complete.
    template<typename End>
    int completeResponsesDuring(End stop)
    {
        std::atomic<int> complete = 0;
        std::vector<std::thread> callers;
        callers.reserve(callersPerRouter * stoppedCount);
        for (int caller = 0; caller < callersPerRouter * static_cast<int>(stoppedCount); ++caller) {
            callers.emplace_back([this, caller, &complete] {
                const auto answer =
                    this->fleet.chat(static_cast<std::size_t>(caller) % stoppedCount, this->token,
                                     std::to_string(caller), this->body(150));
                const bool isComplete =
                    answer.status == 200 && answer.outcome == net::HttpOutcome::Complete;
                complete += isComplete ? 1 : 0;
            });
        }
        for (std::size_t router = 0; router < stoppedCount; ++router) {
            CHECK(Fleet::eventually(
                [&] { return this->status(router)["inFlight"] == callersPerRouter; }));
        }
        this->fleet.setFaults({{"outage", true}});
        for (std::size_t router = 0; router < stoppedCount; ++router) {
            stop(router);
        }
        for (std::thread &caller : callers) {
            caller.join();
        }
        return complete;
    }

    Fleet fleet;
    std::string token = "token-lowther-0";
};

} // namespace

TEST_CASE_METHOD(FleetMembersFixture, "fleet_edit_isInForceOnWatchersAndOthers", "[fleet]")
{
    const std::uint64_t version = this->restrictDataClass("hall-a");
    for (std::size_t router = 0; router < routerCount; ++router) {
        CHECK(Fleet::eventually([&] { return this->hasApplied(router, version); }));
    }
    const auto answer = this->fleet.chat(1, this->token, "c", this->body());
    CHECK(answer.status == 200);
}

TEST_CASE_METHOD(FleetMembersFixture, "fleet_allButOneRestartedInOutage_keepTheNewestEdit",
                 "[fleet]")
{
    // After an edit the platform goes down and all routers but one are restarted. The new ones can
    // only get the edit from the one that kept running. Guards against serving without a catalogue
    // or by an older one.
    const std::uint64_t version = this->restrictDataClass("hall-b");
    CHECK(Fleet::eventually([&] { return this->hasApplied(0, version); }));
    this->fleet.setFaults({{"outage", true}});
    for (std::size_t router = 1; router < routerCount; ++router) {
        this->fleet.killRouter(router);
        this->fleet.startRouter(router);
    }
    for (std::size_t router = 1; router < routerCount; ++router) {
        CHECK(this->fleet.awaitReady(router));
        CHECK(this->hasApplied(router, version));
    }
    CHECK(Fleet::eventually([this] { return this->fleet.hasConverged(); }));
    for (std::size_t router = 0; router < routerCount; ++router) {
        CHECK(this->fleet.chat(router, this->token, "c", this->body()).status == 200);
    }
    this->fleet.setFaults({{"outage", false}});
    const std::uint64_t next = this->restrictDataClass("hall-a");
    for (std::size_t router = 0; router < routerCount; ++router) {
        CHECK(Fleet::eventually([&] { return this->hasApplied(router, next); }));
    }
}

TEST_CASE_METHOD(FleetMembersFixture, "fleet_platformLosesWatches_editIsInForceAllTheSame",
                 "[fleet]")
{
    // Guards against serving by an old catalogue while a watch is pending that the platform lost.
    this->fleet.setFaults({{"silent", true}});
    this->fleet.setFaults({{"silent", false}});
    const std::uint64_t version = this->restrictDataClass("hall-a");
    for (std::size_t router = 0; router < routerCount; ++router) {
        CHECK(Fleet::eventually([&] { return this->hasApplied(router, version); }));
    }
}

TEST_CASE_METHOD(FleetMembersFixture, "fleet_oldListAfterEdit_turnsNothingBack", "[fleet]")
{
    // The platform keeps returning a list from before an edit that the routers have applied. Guards
    // against the list reverting the edit.
    this->fleet.setFaults({{"oldList", true}});
    const std::uint64_t hidden = this->restrictDataClass("hall-a");
    this->fleet.killRouter(3);
    this->fleet.startRouter(3);
    CHECK(this->fleet.awaitReady(3));
    CHECK_FALSE(this->hasApplied(3, hidden));
    this->fleet.setFaults({{"oldList", false}});
    for (std::size_t router = 0; router < routerCount; ++router) {
        CHECK(Fleet::eventually([&] { return this->hasApplied(router, hidden); }));
    }
}

TEST_CASE_METHOD(FleetMembersFixture, "fleet_halfStoppedTwiceDuringStreams_cutsNothing", "[fleet]")
{
    // Half of the routers are asked to stop, twice, while each relays long responses and the
    // platform is down. Guards against truncated responses, refused late requests, and remaining
    // routers that still depend on the stopped coordinators.
    const int complete = this->completeResponsesDuring([this](std::size_t router) {
        this->fleet.stopRouter(router);
        this->fleet.stopRouter(router);
        CHECK(Fleet::eventually(
            [&] { return this->fleet.operatorPage(router, "/readyz").status == 503; }));
        CHECK(this->fleet.chat(router, this->token, "late", this->body()).status == 200);
    });
    CHECK(complete == callersPerRouter * static_cast<int>(stoppedCount));
    for (std::size_t router = 0; router < stoppedCount; ++router) {
        this->fleet.awaitStopped(router);
    }
    CHECK(Fleet::eventually([this] {
        return this->status(routerCount - 1)["members"].size() == routerCount - stoppedCount;
    }));
    CHECK(this->fleet.chat(routerCount - 1, this->token, "after", this->body()).status == 200);
}

TEST_CASE_METHOD(FleetMembersFixture, "fleet_halfKilledDuringStreams_checkSeesCutAnswers",
                 "[fleet]")
{
    // Negative control of the test above: routers that end at once must be detected by its check.
    const int complete = this->completeResponsesDuring(
        [this](std::size_t router) { this->fleet.killRouter(router); });
    CHECK(complete == 0);
}

TEST_CASE_METHOD(FleetMembersFixture, "fleet_leavingByList_reachesRoutersThatDoNotWatch", "[fleet]")
{
    // All engines of hall-a drain, and the data class permits only hall-a, so each router that has
    // learned of it refuses. Guards against routers that don't watch and keep sending work there.
    const std::uint64_t version = this->restrictDataClass("hall-a");
    for (Vm vm : upstreamsOf(this->fleet.deployment)) {
        if (vm.dataCentre == "hall-a") {
            vm.leaving = true;
            this->fleet.standIns.platform.setVm(vm);
        }
    }
    for (std::size_t router = 0; router < routerCount; ++router) {
        CHECK(Fleet::eventually([&] { return this->hasApplied(router, version); }));
        CHECK(Fleet::eventually([&] {
            return this->fleet.chat(router, this->token, "c", this->body()).status == 503;
        }));
    }
}
