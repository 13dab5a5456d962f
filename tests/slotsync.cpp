#include <set>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "plantainswitch/plantainswitch.h"

using namespace plantainswitch;

namespace {

const Shard theShard{"model", "hall-a", 0};
constexpr std::size_t routerCount = 3;
constexpr std::size_t coordinatorCount = 2;

/// Deliberate omissions, to show that the checkers detect them.
enum class Omission : std::uint8_t { Nothing, NoDigest, NoBound, NoLists };

/// Routers and two rival coordinators over lossy datagrams; the routers' own tables hold what
/// really runs.
class History
{
public:
    explicit History(Omission omission)
        : omission(omission)
    {
        this->context.readyEngines = {11, 22, 33, 44};
        if (omission == Omission::NoBound) {
            this->context.settings.loadFactor = 100;
            this->context.settings.affinityLoadFactor = 100;
        }
    }

    void execute(std::uint32_t step)
    {
        const std::size_t router = step % routerCount;
        const bool lost = step % 5 == 0;
        switch ((step / 16) % 8) {
        case 0:
        case 1:
        case 2:
            this->request(router, (step / 512) % 3, lost);
            break;
        case 3:
        case 4:
            this->finish(router, lost);
            break;
        case 5:
            this->sendDigests();
            break;
        case 6:
            this->coordinatorOfRouter.at(router) = (step / 512) % coordinatorCount;
            break;
        default:
            this->removeRouter(router);
        }
        this->now += Milliseconds{100};
    }

    /// All routers agree on one coordinator and report what they hold, without loss.
    void synchronize()
    {
        this->coordinatorOfRouter.fill(0);
        this->sendDigests();
    }

    /// \returns whether the first coordinator counts exactly what runs.
    [[nodiscard]] bool isCoordinatorExact() const
    {
        std::map<UpstreamId, std::uint32_t> running;
        for (const auto &held : this->held) {
            for (const auto &[requestId, upstream] : held) {
                ++running[upstream];
            }
        }
        return this->coordinators.front().loads(shardIdOf(theShard)) == running;
    }

    bool boundHeld = true;

private:
    void request(std::size_t router, std::uint64_t chat, bool lost)
    {
        const std::size_t coordinator = this->coordinatorOfRouter.at(router);
        const std::uint32_t requestId = this->nextRequestId++;
        const SlotReply reply = this->coordinators.at(coordinator)
                                    .grant(router, {requestId, theShard, chat, chat, {}},
                                           this->context, coordinator == 0, this->now);
        if (lost || reply.verdict != SlotVerdict::Granted) {
            // The reply is lost, the requester gives up, and its release is lost too.
            return;
        }
        this->held.at(router)[requestId] = reply.upstream;
        this->checkBound(reply.upstream);
    }

    /// The sum of two coordinators' grants exceeds the bound of the sum of their peaks by at most
    /// one.
    void checkBound(UpstreamId upstream)
    {
        std::uint64_t peaks = 1;
        for (std::size_t coordinator = 0; coordinator < coordinatorCount; ++coordinator) {
            std::uint64_t total = 0;
            for (const auto &[id, load] :
                 this->coordinators.at(coordinator).loads(shardIdOf(theShard))) {
                total += load;
            }
            this->peak.at(coordinator) = std::max(this->peak.at(coordinator), total);
            peaks += this->peak.at(coordinator);
        }
        std::uint32_t running = 0;
        for (const auto &held : this->held) {
            for (const auto &[requestId, engine] : held) {
                running += engine == upstream ? 1 : 0;
            }
        }
        const std::uint32_t allowed =
            loadBound(LoadBoundSettings{}, peaks, this->context.readyEngines.size()) + 1;
        this->boundHeld = this->boundHeld && running <= allowed;
    }

    void finish(std::size_t router, bool lost)
    {
        auto &held = this->held.at(router);
        if (held.empty()) {
            return;
        }
        const std::uint32_t requestId = held.begin()->first;
        held.erase(held.begin());
        for (ShardCoordinator &coordinator : this->coordinators) {
            if (!lost) {
                coordinator.release(router, {shardIdOf(theShard), {requestId}});
            }
        }
    }

    void sendDigests()
    {
        if (this->omission == Omission::NoDigest) {
            return;
        }
        for (std::size_t router = 0; router < routerCount; ++router) {
            ShardCoordinator &coordinator =
                this->coordinators.at(this->coordinatorOfRouter.at(router));
            const auto digest =
                digestOf(shardIdOf(theShard), this->held.at(router), this->nextRequestId);
            if (!coordinator.checkDigest(router, digest, this->now)
                || this->omission == Omission::NoLists) {
                continue;
            }
            for (const SlotList &list :
                 splitIntoLists(theShard, router, this->held.at(router), this->nextRequestId)) {
                coordinator.receiveList(router, list, this->now);
            }
        }
    }

    void removeRouter(std::size_t router)
    {
        this->held.at(router).clear();
        for (ShardCoordinator &coordinator : this->coordinators) {
            coordinator.releaseRouter(router);
        }
    }

    Omission omission;
    GrantContext context;
    TimePoint now{Seconds{1}};
    std::uint32_t nextRequestId = 1;
    std::array<ShardCoordinator, coordinatorCount> coordinators;
    std::array<std::size_t, routerCount> coordinatorOfRouter{};
    std::array<std::map<std::uint32_t, UpstreamId>, routerCount> held;
    std::array<std::uint64_t, coordinatorCount> peak{};
};

struct Invariants
{
    bool bound = true;
    bool exact = true;
};

/// Runs one generated history. \returns which invariants held.
Invariants runHistory(Omission omission)
{
    History history(omission);
    for (const std::uint32_t step : *rc::gen::container<std::vector<std::uint32_t>>(
             200, rc::gen::inRange<std::uint32_t>(0, 1U << 16U))) {
        history.execute(step);
    }
    history.synchronize();
    return {history.boundHeld, history.isCoordinatorExact()};
}

} // namespace

TEST_CASE("slotSync_lostRelease_slotStaysUntilTheDigestDiffers", "[slotsync]")
{
    // A request ends and its release is lost. Without reconciliation the slot would leak and the
    // engine get less and less work. The router's next digest differs, and the coordinator requests
    // the list and releases what isn't in it.
    ShardCoordinator coordinator;
    const TimePoint now{Seconds{1}};
    const GrantContext context{{11, 22}, {}, false};
    const ShardId id = shardIdOf(theShard);
    coordinator.grant(1, {1, theShard, 5, 5, {}}, context, true, now);
    const SlotReply second = coordinator.grant(1, {2, theShard, 6, 6, {}}, context, true, now);
    const std::map<std::uint32_t, UpstreamId> held{{2, second.upstream}};
    CHECK(coordinator.loads(id).size() == 2);
    REQUIRE(coordinator.checkDigest(1, digestOf(id, held, 3), now));
    coordinator.receiveList(1, splitIntoLists(theShard, 1, held, 3).front(), now);
    CHECK(coordinator.loads(id) == std::map<UpstreamId, std::uint32_t>{{second.upstream, 1}});
    CHECK_FALSE(coordinator.checkDigest(1, digestOf(id, held, 3), now));
}

TEST_CASE("slotSync_askUnderWay_isNotTakenBack", "[slotsync]")
{
    // The coordinator has granted request 2, its reply is still in transit, and the router's digest
    // arrives in between. The digest only counts requests below the oldest one in transit.
    ShardCoordinator coordinator;
    const TimePoint now{Seconds{1}};
    const GrantContext context{{11, 22}, {}, false};
    coordinator.grant(1, {2, theShard, 6, 6, {}}, context, true, now);
    const ShardId id = shardIdOf(theShard);
    CHECK_FALSE(coordinator.checkDigest(1, digestOf(id, {}, 2), now));
    coordinator.receiveList(1, splitIntoLists(theShard, 1, {}, 2).front(), now);
    CHECK(coordinator.loads(id).size() == 1);
}

TEST_CASE("slotSync_handedOverList_keepsWhatTheNextKeeperGranted", "[slotsync]")
{
    // A leaving coordinator hands over what it knows of router 1, which has already got slot 3 from
    // the next coordinator. The handed-over list must not release that one.
    ShardCoordinator old;
    ShardCoordinator next;
    const TimePoint now{Seconds{1}};
    const GrantContext context{{11, 22}, {}, false};
    old.grant(1, {2, theShard, 6, 6, {}}, context, true, now);
    old.grant(1, {4, theShard, 7, 7, {}}, context, true, now);
    next.grant(1, {3, theShard, 8, 8, {}}, context, true, now);
    constexpr std::uint64_t oldCoordinator = 99;
    for (const SlotList &list : old.slotLists()) {
        next.receiveList(oldCoordinator, list, now);
    }
    std::uint32_t total = 0;
    for (const auto &[engine, load] : next.loads(shardIdOf(theShard))) {
        total += load;
    }
    CHECK(total == 3);
}

TEST_CASE("slotSync_manySlots_listsFitAndCoverAll", "[slotsync]")
{
    std::map<std::uint32_t, UpstreamId> held;
    for (std::uint32_t id = 1; id <= 3 * maxSlotsPerList + 1; ++id) {
        held[id] = 11;
    }
    ShardState state;
    for (const SlotList &list : splitIntoLists(theShard, 1, held, 1000)) {
        CHECK(list.slots.size() <= maxSlotsPerList);
        applySlotList(state, list, true, TimePoint{});
    }
    CHECK(state.slots.size() == held.size());
}

TEST_CASE("slotSync_anyHistory_boundHoldsAndCountsBecomeExact", "[slotsync]")
{
    // Datagrams are lost, routers crash and disagree on the coordinator. Two coordinators together
    // never load an engine above the bound of their sum plus one, and one digest later the
    // coordinator is exact.
    CHECK(rc::check("bound and exactness", [] {
        const Invariants invariants = runHistory(Omission::Nothing);
        RC_ASSERT(invariants.bound);
        RC_ASSERT(invariants.exact);
    }));
}

TEST_CASE("slotSync_brokenVariants_areCaught", "[slotsync]")
{
    for (const Omission omission : {Omission::NoDigest, Omission::NoBound, Omission::NoLists}) {
        bool caught = false;
        rc::check("a broken variant", [&caught, omission] {
            const Invariants invariants = runHistory(omission);
            caught = caught || !invariants.bound || !invariants.exact;
        });
        CHECK(caught);
    }
}

namespace {

/// Plans placement for a generated fleet and catalogue; \a broken plans ignore permissions.
bool planStaysInside(bool omission)
{
    const std::vector<std::string> dataCentres{"a", "b", "c", "d"};
    const auto subset = [&dataCentres] {
        std::vector<std::string> result;
        const auto bits = *rc::gen::inRange<std::uint32_t>(0, 16);
        for (std::size_t index = 0; index < dataCentres.size(); ++index) {
            if ((bits >> index & 1U) != 0) {
                result.push_back(dataCentres[index]);
            }
        }
        return result;
    };
    UpstreamTable upstreams;
    std::vector<Vm> vms;
    for (const std::string &dataCentre : subset()) {
        vms.push_back(
            {"engine-" + dataCentre, VmRole::Engine, "model", dataCentre, {"127.0.0.1", 1}, false});
    }
    upstreams.replace(vms);
    std::vector<Heartbeat> active;
    for (const std::string &dataCentre : subset()) {
        active.push_back({"router-" + dataCentre, dataCentre, {}, {}, 1, 1, false});
    }
    Authorization authorization;
    authorization.service = "model";
    authorization.dataCentres = subset();
    const std::set<std::string> permitted(authorization.dataCentres.begin(),
                                          authorization.dataCentres.end());
    if (omission) {
        authorization.dataCentres = dataCentres;
    }
    Reason reason;
    auto plan = planPlacement(authorization, 7, upstreams, TimePoint{Seconds{1}}, reason);
    if (!plan) {
        return true;
    }
    preferLiveDataCentres(*plan, active);
    return std::all_of(plan->shards.begin(), plan->shards.end(), [&permitted](const Shard &shard) {
        return permitted.contains(shard.dataCentre);
    });
}

} // namespace

TEST_CASE("plan_anyFleetAndClasses_staysInPermittedPlaces", "[placement]")
{
    CHECK(rc::check("places", [] { RC_ASSERT(planStaysInside(false)); }));
    bool caught = false;
    rc::check("a broken plan", [&caught] { caught = caught || !planStaysInside(true); });
    CHECK(caught);
}
