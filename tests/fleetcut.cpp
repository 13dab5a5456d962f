#include <algorithm>
#include <atomic>
#include <mutex>
#include <random>

#include <catch2/catch.hpp>

#include "fleettools.h"
#include "load.h"
#include "orderrecord.h"

using namespace plantainswitch;
using namespace plantainswitch::lab;

namespace {

constexpr std::uint16_t ownPorts = 30'400;
constexpr int statusOk = 200;
constexpr std::uint32_t callers = 3;
constexpr std::uint32_t ordersPerCaller = 10'000;
/// Order numbers from here on are used by the test's own probes, not by the callers.
constexpr std::uint32_t firstProbeOrder = callers * ordersPerCaller;
constexpr std::uint32_t attemptsPerOrder = 4;
constexpr std::chrono::seconds chatDuration{6};
constexpr std::chrono::milliseconds pollInterval{20};
/// Platform calls after which a router counts as a watcher: a watcher makes one per second. A
/// router that only probes because it has heard of no watcher for long makes one in ten seconds and
/// doesn't reach the count before the test's timeout.
constexpr std::uint64_t minWatcherCalls = 5;

using Partition = std::vector<std::size_t>;

void checkNoViolation(const std::optional<std::string> &violation)
{
    INFO(violation.value_or(""));
    CHECK_FALSE(violation.has_value());
}

Deployment deploymentWith(const std::vector<std::string> &places, std::uint32_t routers)
{
    Deployment deployment = lowtherDeployment(ownPorts, routers);
    deployment.places = places;
    return deployment;
}

/// Polls all routers for the catalogue version that they have applied, and records it.
class VersionRecorder
{
public:
    explicit VersionRecorder(Fleet &fleet)
        : fleet(fleet)
        , startTime(std::chrono::steady_clock::now())
        , thread([this] { this->run(); })
    {}
    ~VersionRecorder() { this->stop(); }
    VersionRecorder(const VersionRecorder &) = delete;
    VersionRecorder &operator=(const VersionRecorder &) = delete;

    [[nodiscard]] RecordedTime now() const
    {
        return std::chrono::duration_cast<RecordedTime>(std::chrono::steady_clock::now()
                                                        - this->startTime);
    }

    /// Waits until each router has reported \a edit. \returns false on Fleet::eventually()'s
    /// timeout.
    [[nodiscard]] bool eventuallyInForce(const AcceptedEdit &edit)
    {
        return Fleet::eventually([&] {
            const std::lock_guard lock(this->mutex);
            for (std::size_t router = 0; router < this->fleet.layout.size(); ++router) {
                if (!propagationTime(this->seen, edit, router)) {
                    return false;
                }
            }
            return true;
        });
    }

    /// Stops recording. \returns all observations.
    const std::vector<VersionObservation> &stop()
    {
        this->isStopped = true;
        if (this->thread.joinable()) {
            this->thread.join();
        }
        return this->seen;
    }

private:
    void run()
    {
        while (!this->isStopped) {
            for (std::size_t router = 0; router < this->fleet.layout.size(); ++router) {
                const RecordedTime askedAt = this->now();
                const nlohmann::json page = this->fleet.status(router);
                if (page.is_object()) {
                    const std::uint64_t version = page.at("catalogueVersion");
                    const std::lock_guard lock(this->mutex);
                    this->seen.push_back({router, version, askedAt});
                }
            }
            std::this_thread::sleep_for(pollInterval);
        }
    }

    Fleet &fleet;
    std::chrono::steady_clock::time_point startTime;
    std::mutex mutex;
    std::vector<VersionObservation> seen;
    std::atomic<bool> isStopped = false;
    std::thread thread;
};

/// A fleet of two partitions under a load of chats and orders.
class PartitionedFleet
{
public:
    explicit PartitionedFleet(const Deployment &deployment)
        : fleet(deployment)
    {
        REQUIRE(this->fleet.startAndConverge());
        this->versions = std::make_unique<VersionRecorder>(this->fleet);
        for (std::uint32_t caller = 0; caller < callers; ++caller) {
            this->threads.emplace_back([this, caller] { this->runCaller(caller); });
        }
        LoadOptions options;
        options.duration = chatDuration;
        options.orderShare = 0;
        this->load = std::make_unique<Load>(this->context, deployment, options);
        this->load->start([this] { this->guard.reset(); });
        this->threads.emplace_back([this] { this->context.run(); });
    }
    ~PartitionedFleet() { this->endCallers(); }
    PartitionedFleet(const PartitionedFleet &) = delete;
    PartitionedFleet &operator=(const PartitionedFleet &) = delete;

    AcceptedEdit edit(std::uint32_t weight)
    {
        const std::string name = "workspace-1";
        const auto found = std::find_if(this->fleet.deployment.entries.begin(),
                                        this->fleet.deployment.entries.end(),
                                        [&](const Entry &entry) { return entry.key.name == name; });
        auto body = std::get<Workspace>(*found->body);
        body.weight = weight;
        const RecordedTime now = this->versions->now();
        return {this->fleet.standIns.platform.set("workspace", name, toJson(EntryBody{body})), now};
    }

    /// Waits until each router of \a partition has exactly the routers of its partition as members.
    [[nodiscard]] bool eventuallyIsolated(const Partition &partition)
    {
        return Fleet::eventually([&] {
            return std::all_of(partition.begin(), partition.end(), [&](std::size_t router) {
                return this->fleet.memberCount(router) == partition.size();
            });
        });
    }

    [[nodiscard]] bool eachRouterServes(const Partition &partition)
    {
        return std::all_of(partition.begin(), partition.end(), [&](std::size_t router) {
            const std::uint32_t order = firstProbeOrder + ++this->probes;
            const nlohmann::json chat = chatBody(this->fleet, "text", 1);
            return Fleet::eventually([&] { return this->orders.send(order, router).answered; })
                   && Fleet::eventually([&] {
                          return this->fleet.chat(router, "token-lowther-0", "c", chat).status
                                 == statusOk;
                      });
        });
    }

    /// Waits until each router watches the platform itself.
    [[nodiscard]] bool eventuallyAllWatch()
    {
        std::vector<std::uint64_t> before;
        for (std::size_t router = 0; router < this->fleet.layout.size(); ++router) {
            before.push_back(this->platformCallsWithoutClaims(router));
        }
        return Fleet::eventually([&] {
            for (std::size_t router = 0; router < before.size(); ++router) {
                if (this->platformCallsWithoutClaims(router) < before[router] + minWatcherCalls) {
                    return false;
                }
            }
            return true;
        });
    }

    void checkGuarantees(const std::vector<AcceptedEdit> &edits)
    {
        this->endCallers();
        const std::vector<VersionObservation> &seen = this->versions->stop();
        checkNoViolation(checkVersionsMonotonic(seen));
        for (const AcceptedEdit &edit : edits) {
            RecordedTime longest{0};
            for (std::size_t router = 0; router < this->fleet.layout.size(); ++router) {
                const auto time = propagationTime(seen, edit, router);
                CHECK(time.has_value());
                longest = std::max(longest, time.value_or(RecordedTime{0}));
            }
            UNSCOPED_INFO("edit in force everywhere after " << longest.count() << " ms");
        }
        checkNoViolation(checkOrders(this->orders.history()));
        INFO(this->load->report().dump());
        CHECK(this->load->broken() == 0);
        CHECK(this->load->whole() > 0);
    }

    Fleet fleet;
    std::unique_ptr<VersionRecorder> versions;

private:
    /// Sends each order several times, also after a response, as if that had been lost.
    void runCaller(std::uint32_t caller)
    {
        std::mt19937 random(caller);
        for (std::uint32_t index = 0; !this->isStopped && index < ordersPerCaller; ++index) {
            const std::uint32_t order = caller * ordersPerCaller + index;
            for (std::uint32_t attempt = 0; attempt < attemptsPerOrder; ++attempt) {
                this->orders.send(order, random() % this->fleet.layout.size());
            }
        }
    }

    /// \returns how often \a router called the platform, except for claims.
    std::uint64_t platformCallsWithoutClaims(std::size_t router)
    {
        const std::string page = this->fleet.operatorPage(router, "/metrics").body;
        const auto valueOf = [&page](const std::string &counter) {
            const std::string name = "\nplantainswitch_" + counter + "_total ";
            const std::size_t at = page.find(name);
            return at == std::string::npos ? 0 : std::stoull(page.substr(at + name.size()));
        };
        return valueOf("platform_calls") - valueOf("claim_writes") - valueOf("claim_reads");
    }

    void endCallers()
    {
        this->isStopped = true;
        for (std::thread &thread : this->threads) {
            thread.join();
        }
        this->threads.clear();
    }

    OrderRecord orders{fleet};
    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> guard{context.get_executor()};
    std::unique_ptr<Load> load;
    std::vector<std::thread> threads;
    std::atomic<bool> isStopped = false;
    std::uint32_t probes = 0;
};

/// Partitions \a one from \a other while callers continue and an operator edits entries, heals the
/// partition and checks the recordings.
void partitionAndHeal(PartitionedFleet &partitioned, const Partition &one, const Partition &other)
{
    partitioned.fleet.cut(one, other);
    std::vector<AcceptedEdit> edits{partitioned.edit(2)};
    CHECK(partitioned.eventuallyIsolated(one));
    CHECK(partitioned.eventuallyIsolated(other));
    edits.push_back(partitioned.edit(3));
    CHECK(partitioned.eventuallyAllWatch());
    CHECK(partitioned.eachRouterServes(one));
    CHECK(partitioned.eachRouterServes(other));
    CHECK(partitioned.versions->eventuallyInForce(edits.back()));
    partitioned.fleet.heal();
    edits.push_back(partitioned.edit(4));
    CHECK(Fleet::eventually([&] { return partitioned.fleet.hasConverged(); }));
    CHECK(partitioned.versions->eventuallyInForce(edits.back()));
    CHECK(partitioned.eachRouterServes(one));
    partitioned.checkGuarantees(edits);
}

} // namespace

TEST_CASE("fleet_placesCutFromEachOther_eachServesAndEditsHold", "[fleetcut]")
{
    // One data centre is partitioned from the two others under load while an operator edits
    // entries. Each partition has to drop the other's routers, keep serving and read the edits
    // itself. Guards against a partition that after healing runs a non-idempotent order again or
    // reverts an edit.
    PartitionedFleet partitioned(deploymentWith({"hall-a", "hall-b", "hall-c"}, 6));
    partitionAndHeal(partitioned, {0, 3}, {1, 2, 4, 5});
}

TEST_CASE("fleet_watchersCutFromTheirPlace_othersWatchThemselves", "[fleetcut]")
{
    // The three watchers of a data centre are partitioned from its two other routers, which get the
    // catalogue only from them. An edit reaches the watchers at once. Guards against the two others
    // silently serving by the old catalogue instead of watching the platform themselves.
    const Deployment deployment = deploymentWith({"hall-a"}, 5);
    std::vector<Heartbeat> routers;
    for (const RouterLayout &router : routersOf(deployment)) {
        routers.emplace_back();
        routers.back().id = router.id;
        routers.back().dataCentre = router.place;
    }
    Partition watchers;
    Partition others;
    for (std::size_t index = 0; index < routers.size(); ++index) {
        const Heartbeat &router = routers[index];
        (isWatcher(router.id, router.dataCentre, routers) ? watchers : others).push_back(index);
    }
    REQUIRE(watchers.size() == platformWatchersPerDataCentre);
    PartitionedFleet partitioned(deployment);
    partitionAndHeal(partitioned, watchers, others);
}
