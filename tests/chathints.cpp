#include <algorithm>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "peercodec.h"

using namespace plantainswitch;

namespace {

Heartbeat routerOf(std::uint16_t port)
{
    Heartbeat member;
    member.id = "router-" + std::to_string(port);
    member.dataCentre = "hall-a";
    member.datagramEndpoint = {"127.0.0.1", port};
    return member;
}

class ChatHintsFixture
{
protected:
    [[nodiscard]] GrantContext context() const { return {this->engines, this->bound, false}; }

    SlotReply grant(ShardCoordinator &coordinator, std::uint64_t chat,
                    std::vector<UpstreamId> avoid = {})
    {
        return coordinator.grant(1,
                                 {this->nextRequestId++, this->shard, chat, chat, std::move(avoid)},
                                 this->context(), true, this->now);
    }

    /// Runs each chat once, away from its first engine. \returns where each ran.
    std::map<std::uint64_t, UpstreamId> displace(ShardCoordinator &coordinator, std::uint64_t chats)
    {
        std::map<std::uint64_t, UpstreamId> result;
        for (std::uint64_t chat = 1; chat <= chats; ++chat) {
            ShardCoordinator empty;
            const UpstreamId first = this->grant(empty, chat).upstream;
            result[chat] = this->grant(coordinator, chat, {first}).upstream;
            coordinator.release(1, {shardIdOf(this->shard), {this->nextRequestId - 1}});
            REQUIRE(result[chat] != first);
        }
        this->now += ejectionPeriod;
        return result;
    }

    /// \returns how many of the chats run on the same engines as before.
    std::size_t countUnmoved(ShardCoordinator &coordinator,
                             const std::map<std::uint64_t, UpstreamId> &locations)
    {
        std::size_t count = 0;
        for (const auto &[chat, engine] : locations) {
            count += this->grant(coordinator, chat).upstream == engine ? 1 : 0;
            coordinator.release(1, {shardIdOf(this->shard), {this->nextRequestId - 1}});
        }
        return count;
    }

    /// Delivers one second's hints from \a from to \a to, if addressed to it.
    void deliverHints(ShardCoordinator &from, const Heartbeat &sender, ShardCoordinator &to,
                      const Heartbeat &target)
    {
        for (const auto &[endpoint, hints] :
             from.takeHints(sender.datagramEndpoint, this->members, this->now)) {
            if (endpoint == target.datagramEndpoint) {
                to.receiveHints(hints, sender.datagramEndpoint, this->now);
            }
        }
    }

    Shard shard{"model", "hall-a", 0};
    std::vector<UpstreamId> engines{11, 22, 33, 44};
    LoadBoundSettings bound;
    TimePoint now{Seconds{1}};
    std::uint32_t nextRequestId = 1;
    std::vector<Heartbeat> members =
        coordinatorsOf(this->shard, {routerOf(1), routerOf(2), routerOf(3), routerOf(4)});
    ShardCoordinator coordinator;
    ShardCoordinator next;
};

} // namespace

TEST_CASE_METHOD(ChatHintsFixture, "chatHints_keeperDies_nextOneFindsChatsAtTheirEngines",
                 "[chathints]")
{
    // Chats run away from their first engines, whose caches hold none of them, and the coordinator
    // dies. The next one has received hints every second; by hash it would find no chat.
    const auto locations = this->displace(this->coordinator, 40);
    this->deliverHints(this->coordinator, this->members[0], this->next, this->members[1]);
    CHECK(this->countUnmoved(this->next, locations) == locations.size());
    ShardCoordinator untold;
    CHECK(this->countUnmoved(untold, locations) == 0);
}

TEST_CASE_METHOD(ChatHintsFixture, "chatHints_plannedStop_handsWholeMemoryOver", "[chathints]")
{
    const auto locations = this->displace(this->coordinator, 400);
    for (const auto &[to, hints] : this->coordinator.handOverHints({this->members[1]})) {
        CHECK(to == this->members[1].datagramEndpoint);
        this->next.receiveHints(hints, this->members[0].datagramEndpoint, this->now);
    }
    CHECK(this->countUnmoved(this->next, locations) == locations.size());
}

TEST_CASE_METHOD(ChatHintsFixture, "chatHints_routerJoinsAsKeeper_isToldWithinSeconds",
                 "[chathints]")
{
    // A router joins that comes first in the shard's order. The coordinator before it has sent
    // hints to another router until now; it detects the new target and sends it all chats in parts.
    const auto locations = this->displace(this->coordinator, 400);
    const Heartbeat joined = this->members.front();
    this->members.erase(this->members.begin());
    this->deliverHints(this->coordinator, this->members[0], this->next, joined);
    this->members.insert(this->members.begin(), joined);
    for (int second = 0; second < 3; ++second) {
        this->deliverHints(this->coordinator, this->members[1], this->next, joined);
    }
    CHECK(this->countUnmoved(this->next, locations) == locations.size());
}

TEST_CASE_METHOD(ChatHintsFixture, "chatHints_twoKeepers_eachTellsTheOther", "[chathints]")
{
    // The second coordinator doesn't know the first one as a member and would send its hints to a
    // third router. It receives the first one's hints and replies with its own.
    this->displace(this->coordinator, 2);
    const auto locations = this->displace(this->next, 5);
    this->deliverHints(this->coordinator, this->members[0], this->next, this->members[1]);
    const Heartbeat first = this->members.front();
    this->members.erase(this->members.begin());
    this->deliverHints(this->next, this->members[0], this->coordinator, first);
    CHECK(this->countUnmoved(this->coordinator, locations) == locations.size());
}

TEST_CASE_METHOD(ChatHintsFixture, "chatHints_lateOlderHint_doesNotReplaceOwnKnowledge",
                 "[chathints]")
{
    const auto locations = this->displace(this->next, 5);
    ChatHints late{shardIdOf(this->shard), false, {}};
    for (const auto &[chat, engine] : locations) {
        late.chats.push_back({chat, engine == 11 ? 22U : 11U});
    }
    this->next.receiveHints(late, this->members[0].datagramEndpoint, this->now);
    CHECK(this->countUnmoved(this->next, locations) == locations.size());
}

TEST_CASE_METHOD(ChatHintsFixture, "chatHints_anyHostileHints_neverLeadOutsideShardOrBound",
                 "[chathints]")
{
    // Hints name engines that are gone, in another data centre, or at their bound. The chat still
    // runs on a ready engine of the shard, within the bound.
    const bool held = rc::check("each grant on a ready engine within the bound", [this] {
        ShardState state;
        const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(
            rc::gen::inRange<std::uint32_t>(0, 10'000));
        for (const std::uint32_t step : steps) {
            const std::uint64_t chat = step % 5;
            const UpstreamId hinted = (step / 5) % 2 == 0 ? 11 : (step / 10) % 60;
            applyHints(state.affinity, {1, (step / 7) % 2 == 0, {{chat, hinted}}}, 4);
            const std::uint64_t total = state.slots.size();
            const SlotReply reply =
                grantSlot(state, 1, {this->nextRequestId++, this->shard, chat, chat, {}},
                          this->context(), this->now);
            if (reply.verdict == SlotVerdict::Granted) {
                RC_ASSERT(std::count(this->engines.begin(), this->engines.end(), reply.upstream)
                          == 1);
                RC_ASSERT(state.loads.at(reply.upstream)
                          <= loadBound(this->bound, total, this->engines.size()));
            }
        }
    });
    CHECK(held);
}

TEST_CASE_METHOD(ChatHintsFixture, "chatHints_manyMoves_stayWithinDatagramsASecond", "[chathints]")
{
    this->displace(this->coordinator, 5000);
    for (int second = 0; second < 20; ++second) {
        const auto sendings = this->coordinator.takeHints(this->members[0].datagramEndpoint,
                                                          this->members, this->now);
        CHECK(sendings.size() <= 1 + handOverDatagramsPerSecond);
    }
}

TEST_CASE("chatHintsCodec_fullestHints_fitAndComeBack", "[chathints]")
{
    ChatHints hints{7, true, {}};
    for (std::uint64_t chat = 0; chat < maxChatsPerHintMessage; ++chat) {
        hints.chats.push_back({~chat, ~(chat * 1000)});
    }
    const std::string bytes = encode({1, hints});
    REQUIRE(bytes.size() <= maxDatagramBytes);
    const auto message = decode(bytes);
    REQUIRE(message);
    const auto &read = std::get<ChatHints>(message->body);
    CHECK(read.moved);
    REQUIRE(read.chats.size() == hints.chats.size());
    CHECK(read.chats.back().chat == hints.chats.back().chat);
    CHECK(read.chats.back().upstream == hints.chats.back().upstream);
}

TEST_CASE("chatHintsCodec_engineOutsideTheList_isRefused", "[chathints]")
{
    std::string bytes = encode({1, ChatHints{7, true, {{5, 11}}}});
    // The last byte is the index of the chat's engine; only index 0 is listed.
    REQUIRE(bytes.back() == '\0');
    bytes.back() = '\1';
    CHECK_FALSE(decode(bytes));
}
