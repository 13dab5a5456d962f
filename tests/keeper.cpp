#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "plantainswitch/plantainswitch.h"

using namespace plantainswitch;

namespace {

class CoordinatorFixture
{
protected:
    [[nodiscard]] SlotRequest requestOf(std::uint32_t id, std::uint64_t chat) const
    {
        return {id, this->shard, chat, chat, {}};
    }

    Shard shard{"model", "hall-a", 0};
    std::vector<UpstreamId> engines{11, 22, 33, 44};
    LoadBoundSettings bound;
    GrantContext context{this->engines, this->bound, false};
    ShardState state;
    TimePoint now{Seconds{1}};
};

} // namespace

TEST_CASE_METHOD(CoordinatorFixture, "keeper_repeatedAsk_getsSameGrantOnce", "[keeper]")
{
    // The reply to a router's first request is lost, so it repeats the request. Counting it twice
    // would leak a slot.
    const SlotReply first =
        grantSlot(this->state, 1, this->requestOf(1, 5), this->context, this->now);
    const SlotReply second =
        grantSlot(this->state, 1, this->requestOf(1, 5), this->context, this->now);
    CHECK(first.verdict == SlotVerdict::Granted);
    CHECK(first.upstream == second.upstream);
    CHECK(this->state.slots.size() == 1);
}

TEST_CASE_METHOD(CoordinatorFixture, "keeper_oneHotChat_staysWithinBound", "[keeper]")
{
    for (std::uint32_t id = 1; id <= 100; ++id) {
        grantSlot(this->state, 1, this->requestOf(id, 5), this->context, this->now);
    }
    for (const auto &[engine, load] : this->state.loads) {
        CHECK(load <= loadBound(this->bound, 100, this->engines.size()));
    }
    CHECK(this->state.slots.size() == 100);
}

TEST_CASE_METHOD(CoordinatorFixture, "keeper_routerGone_givesItsSlotsBack", "[keeper]")
{
    grantSlot(this->state, 1, this->requestOf(1, 5), this->context, this->now);
    grantSlot(this->state, 2, this->requestOf(1, 6), this->context, this->now);
    releaseRouter(this->state, 1);
    CHECK(this->state.slots.size() == 1);
    CHECK(this->state.slots.begin()->first.first == 2);
}

TEST_CASE_METHOD(CoordinatorFixture, "keeper_anyHistory_countsWhatIsHeldAndKeepsBound", "[keeper]")
{
    const bool held = rc::check("loads equal the slots held, each grant within the bound", [this] {
        ShardState generated;
        std::uint32_t nextId = 1;
        std::vector<SlotKey> open;
        const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(
            rc::gen::inRange<std::uint32_t>(0, 1000));
        for (const std::uint32_t step : steps) {
            if (step % 3 == 0 && !open.empty()) {
                const std::size_t index = step % open.size();
                releaseSlot(generated, open[index]);
                open.erase(open.begin() + static_cast<std::ptrdiff_t>(index));
                continue;
            }
            const std::uint64_t total = generated.slots.size();
            const SlotReply reply = grantSlot(generated, 1, this->requestOf(nextId, step % 7),
                                              this->context, this->now);
            if (reply.verdict == SlotVerdict::Granted) {
                RC_ASSERT(generated.loads.at(reply.upstream)
                          <= loadBound(this->bound, total, this->engines.size()));
                open.emplace_back(1, nextId);
            }
            ++nextId;
        }
        std::uint64_t sum = 0;
        for (const auto &[engine, load] : generated.loads) {
            sum += load;
        }
        RC_ASSERT(sum == open.size());
    });
    CHECK(held);
}

TEST_CASE_METHOD(CoordinatorFixture, "keeper_displacedChat_returnsWhereItRan", "[keeper]")
{
    // A chat's engine is full, so it runs on another one, which caches its prefix. When it returns,
    // the first engine has capacity again; going there would lose the prefix a second time.
    const auto first = grantSlot(this->state, 1, this->requestOf(1, 5), this->context, this->now);
    const auto second = grantSlot(this->state, 1, this->requestOf(2, 5), this->context, this->now);
    REQUIRE(first.upstream != second.upstream);
    releaseSlot(this->state, {1, 1});
    releaseSlot(this->state, {1, 2});
    const auto third = grantSlot(this->state, 1, this->requestOf(3, 5), this->context, this->now);
    CHECK(third.upstream == second.upstream);
}

TEST_CASE_METHOD(CoordinatorFixture, "keeper_failedEngine_getsNothingForASecond", "[keeper]")
{
    // An engine died; the first request says so through its list of engines to avoid. The dead
    // engine has no load, and would otherwise attract every request that goes to the least loaded
    // one.
    SlotRequest retry = this->requestOf(1, 5);
    retry.avoid = {22};
    grantSlot(this->state, 1, retry, this->context, this->now);
    for (std::uint32_t id = 2; id < 40; ++id) {
        const auto reply =
            grantSlot(this->state, 1, this->requestOf(id, id), this->context, this->now);
        CHECK(reply.upstream != 22);
    }
    const TimePoint later = this->now + ejectionPeriod;
    CHECK(grantSlot(this->state, 1, this->requestOf(40, 40), this->context, later).upstream == 22);
}

TEST_CASE("keeperTable_otherShardHeard_boundIsThePools", "[keeper]")
{
    // Two shards of one pool. The other one is idle, so this one exceeds the pool's mean long
    // before its own, and its requests overflow to the other.
    ShardCoordinator coordinator;
    const Shard local{"model", "hall-a", 0};
    const GrantContext context{{11, 22}, {}, false};
    const TimePoint now{Seconds{10}};
    coordinator.grant(1, {1, local, 1, 1, {}}, context, true, now);
    coordinator.grant(1, {2, local, 2, 2, {}}, context, true, now);
    coordinator.receiveSummary({{"model", "hall-a", 1}, 0, 2}, now);
    CHECK(coordinator.grant(1, {3, local, 3, 3, {}}, context, true, now).verdict
          == SlotVerdict::Overflow);
    const TimePoint stale = now + summaryLifetime;
    CHECK(coordinator.grant(1, {4, local, 4, 4, {}}, context, true, stale).verdict
          == SlotVerdict::Granted);
}

TEST_CASE("keeper_newOrRivalled_isCareful", "[keeper]")
{
    ShardState state;
    state.coordinatingSince = TimePoint{Seconds{1}};
    const TimePoint settled = state.coordinatingSince + slotLearningPeriod;
    CHECK(needsConservativeBound(state, true, state.coordinatingSince));
    CHECK_FALSE(needsConservativeBound(state, true, settled));
    CHECK(needsConservativeBound(state, false, settled));
    state.rivalSeenAt = settled;
    CHECK(needsConservativeBound(state, true, settled));
    CHECK(loadBound({}, 20, 4, true) == 6);
    CHECK(loadBound({}, 20, 4, false) == 7);
}
