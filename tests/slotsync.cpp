#include <set>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "plantainswitch/plantainswitch.h"

using namespace plantainswitch;

namespace {

const Shard theShard{"model", "hall-a", 0};
constexpr std::size_t routerCount = 3;
constexpr std::size_t keeperCount = 2;

/// Deliberate omissions, to show that the checkers detect them.
enum class Broken : std::uint8_t { Nothing, NoDigest, NoBound, NoLists };

/// Routers and two rival coordinators over lossy datagrams; the routers' own tables hold what
/// really runs.
class History
{
public:
    explicit History(Broken broken)
        : broken(broken)
    {
        this->view.readyEngines = {11, 22, 33, 44};
        if (broken == Broken::NoBound) {
            this->view.settings.loadFactor = 100;
            this->view.settings.affinityLoadFactor = 100;
        }
    }

    void play(std::uint32_t step)
    {
        const std::size_t router = step % routerCount;
        const bool lost = step % 5 == 0;
        switch ((step / 16) % 8) {
        case 0:
        case 1:
        case 2:
            this->ask(router, (step / 512) % 3, lost);
            break;
        case 3:
        case 4:
            this->finish(router, lost);
            break;
        case 5:
            this->digests();
            break;
        case 6:
            this->keeperOfRouter.at(router) = (step / 512) % keeperCount;
            break;
        default:
            this->loseRouter(router);
        }
        this->now += Milliseconds{100};
    }

    /// All routers agree on one coordinator and report what they hold, without loss.
    void settle()
    {
        this->keeperOfRouter.fill(0);
        this->digests();
    }

    /// \returns whether the first coordinator counts exactly what runs.
    [[nodiscard]] bool keeperIsExact() const
    {
        std::map<UpstreamId, std::uint32_t> running;
        for (const auto &held : this->held) {
            for (const auto &[askId, upstream] : held) {
                ++running[upstream];
            }
        }
        return this->keepers.front().loads(shardIdOf(theShard)) == running;
    }

    bool boundHeld = true;

private:
    void ask(std::size_t router, std::uint64_t chat, bool lost)
    {
        const std::size_t keeper = this->keeperOfRouter.at(router);
        const std::uint32_t askId = this->nextAsk++;
        const SlotReply reply = this->keepers.at(keeper).grant(
            router, {askId, theShard, chat, chat, {}}, this->view, keeper == 0, this->now);
        if (lost || reply.verdict != SlotVerdict::Granted) {
            // The reply is lost, the requester gives up, and its release is lost too.
            return;
        }
        this->held.at(router)[askId] = reply.upstream;
        this->check(reply.upstream);
    }

    /// The sum of two coordinators' grants exceeds the bound of the sum of their peaks by at most
    /// one.
    void check(UpstreamId upstream)
    {
        std::uint64_t peaks = 1;
        for (std::size_t keeper = 0; keeper < keeperCount; ++keeper) {
            std::uint64_t total = 0;
            for (const auto &[id, load] : this->keepers.at(keeper).loads(shardIdOf(theShard))) {
                total += load;
            }
            this->peak.at(keeper) = std::max(this->peak.at(keeper), total);
            peaks += this->peak.at(keeper);
        }
        std::uint32_t running = 0;
        for (const auto &held : this->held) {
            for (const auto &[askId, at] : held) {
                running += at == upstream ? 1 : 0;
            }
        }
        const std::uint32_t allowed =
            loadBound(LoadBoundSettings{}, peaks, this->view.readyEngines.size()) + 1;
        this->boundHeld = this->boundHeld && running <= allowed;
    }

    void finish(std::size_t router, bool lost)
    {
        auto &held = this->held.at(router);
        if (held.empty()) {
            return;
        }
        const std::uint32_t askId = held.begin()->first;
        held.erase(held.begin());
        for (ShardCoordinator &keeper : this->keepers) {
            if (!lost) {
                keeper.release(router, {shardIdOf(theShard), {askId}});
            }
        }
    }

    void digests()
    {
        if (this->broken == Broken::NoDigest) {
            return;
        }
        for (std::size_t router = 0; router < routerCount; ++router) {
            ShardCoordinator &keeper = this->keepers.at(this->keeperOfRouter.at(router));
            const auto digest = digestOf(shardIdOf(theShard), this->held.at(router), this->nextAsk);
            if (!keeper.checkDigest(router, digest, this->now) || this->broken == Broken::NoLists) {
                continue;
            }
            for (const SlotList &list :
                 splitIntoLists(theShard, router, this->held.at(router), this->nextAsk)) {
                keeper.receiveList(router, list, this->now);
            }
        }
    }

    void loseRouter(std::size_t router)
    {
        this->held.at(router).clear();
        for (ShardCoordinator &keeper : this->keepers) {
            keeper.releaseRouter(router);
        }
    }

    Broken broken;
    GrantContext view;
    TimePoint now{Seconds{1}};
    std::uint32_t nextAsk = 1;
    std::array<ShardCoordinator, keeperCount> keepers;
    std::array<std::size_t, routerCount> keeperOfRouter{};
    std::array<std::map<std::uint32_t, UpstreamId>, routerCount> held;
    std::array<std::uint64_t, keeperCount> peak{};
};

struct Verdicts
{
    bool bound = true;
    bool exact = true;
};

/// Runs one generated history. \returns which invariants held.
Verdicts playHistory(Broken broken)
{
    History history(broken);
    for (const std::uint32_t step : *rc::gen::container<std::vector<std::uint32_t>>(
             200, rc::gen::inRange<std::uint32_t>(0, 1U << 16U))) {
        history.play(step);
    }
    history.settle();
    return {history.boundHeld, history.keeperIsExact()};
}

} // namespace

TEST_CASE("slotSync_lostRelease_slotStaysUntilTheDigestDiffers", "[slotsync]")
{
    // A request ends and its release is lost. Without reconciliation the slot would leak and the
    // engine get less and less work. The router's next digest differs, and the coordinator requests
    // the list and releases what isn't in it.
    ShardCoordinator keeper;
    const TimePoint now{Seconds{1}};
    const GrantContext view{{11, 22}, {}, false};
    const ShardId id = shardIdOf(theShard);
    keeper.grant(1, {1, theShard, 5, 5, {}}, view, true, now);
    const SlotReply second = keeper.grant(1, {2, theShard, 6, 6, {}}, view, true, now);
    const std::map<std::uint32_t, UpstreamId> held{{2, second.upstream}};
    CHECK(keeper.loads(id).size() == 2);
    REQUIRE(keeper.checkDigest(1, digestOf(id, held, 3), now));
    keeper.receiveList(1, splitIntoLists(theShard, 1, held, 3).front(), now);
    CHECK(keeper.loads(id) == std::map<UpstreamId, std::uint32_t>{{second.upstream, 1}});
    CHECK_FALSE(keeper.checkDigest(1, digestOf(id, held, 3), now));
}

TEST_CASE("slotSync_askUnderWay_isNotTakenBack", "[slotsync]")
{
    // The coordinator has granted request 2, its reply is still in transit, and the router's digest
    // arrives in between. The digest only counts requests below the oldest one in transit.
    ShardCoordinator keeper;
    const TimePoint now{Seconds{1}};
    const GrantContext view{{11, 22}, {}, false};
    keeper.grant(1, {2, theShard, 6, 6, {}}, view, true, now);
    const ShardId id = shardIdOf(theShard);
    CHECK_FALSE(keeper.checkDigest(1, digestOf(id, {}, 2), now));
    keeper.receiveList(1, splitIntoLists(theShard, 1, {}, 2).front(), now);
    CHECK(keeper.loads(id).size() == 1);
}

TEST_CASE("slotSync_handedOverList_keepsWhatTheNextKeeperGranted", "[slotsync]")
{
    // A leaving coordinator hands over what it knows of router 1, which has already got slot 3 from
    // the next coordinator. The handed-over list must not release that one.
    ShardCoordinator old;
    ShardCoordinator next;
    const TimePoint now{Seconds{1}};
    const GrantContext view{{11, 22}, {}, false};
    old.grant(1, {2, theShard, 6, 6, {}}, view, true, now);
    old.grant(1, {4, theShard, 7, 7, {}}, view, true, now);
    next.grant(1, {3, theShard, 8, 8, {}}, view, true, now);
    constexpr std::uint64_t oldKeeper = 99;
    for (const SlotList &list : old.slotLists()) {
        next.receiveList(oldKeeper, list, now);
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
        const Verdicts verdicts = playHistory(Broken::Nothing);
        RC_ASSERT(verdicts.bound);
        RC_ASSERT(verdicts.exact);
    }));
}

TEST_CASE("slotSync_brokenVariants_areCaught", "[slotsync]")
{
    for (const Broken broken : {Broken::NoDigest, Broken::NoBound, Broken::NoLists}) {
        bool caught = false;
        rc::check("a broken variant", [&caught, broken] {
            const Verdicts verdicts = playHistory(broken);
            caught = caught || !verdicts.bound || !verdicts.exact;
        });
        CHECK(caught);
    }
}

namespace {

/// Plans placement for a generated fleet and catalogue; \a broken plans ignore permissions.
bool planStaysInside(bool broken)
{
    const std::vector<std::string> places{"a", "b", "c", "d"};
    const auto subset = [&places] {
        std::vector<std::string> result;
        const auto bits = *rc::gen::inRange<std::uint32_t>(0, 16);
        for (std::size_t index = 0; index < places.size(); ++index) {
            if ((bits >> index & 1U) != 0) {
                result.push_back(places[index]);
            }
        }
        return result;
    };
    UpstreamTable upstreams;
    std::vector<Vm> vms;
    for (const std::string &place : subset()) {
        vms.push_back({"engine-" + place, VmRole::Engine, "model", place, {"127.0.0.1", 1}, false});
    }
    upstreams.replace(vms);
    std::vector<Heartbeat> active;
    for (const std::string &place : subset()) {
        active.push_back({"router-" + place, place, {}, {}, 1, 1, false});
    }
    Authorization admission;
    admission.service = "model";
    admission.dataCentres = subset();
    const std::set<std::string> permitted(admission.dataCentres.begin(),
                                          admission.dataCentres.end());
    if (broken) {
        admission.dataCentres = places;
    }
    Reason reason;
    auto plan = planPlacement(admission, 7, upstreams, TimePoint{Seconds{1}}, reason);
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
