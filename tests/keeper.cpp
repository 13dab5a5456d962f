#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "plantainswitch/plantainswitch.h"

using namespace plantainswitch;

namespace {

class KeeperFixture
{
protected:
    [[nodiscard]] SlotAsk askOf(std::uint32_t id, std::uint64_t chat) const
    {
        return {id, this->shard, chat, chat, {}};
    }

    Shard shard{"model", "hall-a", 0};
    std::vector<UpstreamId> engines{11, 22, 33, 44};
    BoundSettings bound;
    GrantView view{this->engines, this->bound, false};
    ShardState state;
    TimePoint now{Seconds{1}};
};

} // namespace

TEST_CASE_METHOD(KeeperFixture, "keeper_repeatedAsk_getsSameGrantOnce", "[keeper]")
{
    // A router's first datagram is answered, but the answer is lost, so it asks again.
    // Counting twice would leave a slot behind that nobody gives back.
    const SlotReply first = grantSlot(this->state, 1, this->askOf(1, 5), this->view, this->now);
    const SlotReply second = grantSlot(this->state, 1, this->askOf(1, 5), this->view, this->now);
    CHECK(first.verdict == SlotVerdict::Granted);
    CHECK(first.upstream == second.upstream);
    CHECK(this->state.slots.size() == 1);
}

TEST_CASE_METHOD(KeeperFixture, "keeper_oneHotChat_staysWithinBound", "[keeper]")
{
    for (std::uint32_t id = 1; id <= 100; ++id) {
        grantSlot(this->state, 1, this->askOf(id, 5), this->view, this->now);
    }
    for (const auto &[engine, load] : this->state.loads) {
        CHECK(load <= loadBound(this->bound, 100, this->engines.size()));
    }
    CHECK(this->state.slots.size() == 100);
}

TEST_CASE_METHOD(KeeperFixture, "keeper_routerGone_givesItsSlotsBack", "[keeper]")
{
    grantSlot(this->state, 1, this->askOf(1, 5), this->view, this->now);
    grantSlot(this->state, 2, this->askOf(1, 6), this->view, this->now);
    releaseRouter(this->state, 1);
    CHECK(this->state.slots.size() == 1);
    CHECK(this->state.slots.begin()->first.first == 2);
}

TEST_CASE_METHOD(KeeperFixture, "keeper_anyHistory_countsWhatIsHeldAndKeepsBound", "[keeper]")
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
            const SlotReply reply =
                grantSlot(generated, 1, this->askOf(nextId, step % 7), this->view, this->now);
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
