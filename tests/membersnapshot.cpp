#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "plantainswitch/plantainswitch.h"

using namespace plantainswitch;

namespace {

Heartbeat routerOf(const std::string &id)
{
    Heartbeat heartbeat;
    heartbeat.id = id;
    heartbeat.dataCentre = "hall-a";
    heartbeat.datagramEndpoint = {"127.0.0.1", 1};
    heartbeat.incarnation = 1;
    return heartbeat;
}

/// Heartbeats that a router may send about itself or others, from few values so that they collide.
Heartbeat anyRouter()
{
    Heartbeat heartbeat = routerOf(*rc::gen::element<std::string>("a", "b", "c", "own"));
    heartbeat.incarnation = *rc::gen::inRange<std::uint64_t>(1, 3);
    heartbeat.refutation = *rc::gen::inRange<std::uint32_t>(0, 4);
    heartbeat.leaving = *rc::gen::inRange(0, 4) == 0;
    heartbeat.datagramEndpoint.port = *rc::gen::inRange<std::uint16_t>(1, 3);
    heartbeat.catalogueVersion = *rc::gen::inRange<std::uint64_t>(0, 9);
    return heartbeat;
}

SwimMessage anyMessage()
{
    SwimMessage message;
    message.kind = *rc::gen::element(SwimKind::Gossip, SwimKind::JoinReply, SwimKind::Ack);
    message.sender = anyRouter();
    const auto updates = *rc::gen::inRange(0, 3);
    for (int index = 0; index < updates; ++index) {
        message.updates.push_back(
            {anyRouter(),
             *rc::gen::element(MemberState::Alive, MemberState::Suspect, MemberState::Gone)});
    }
    return message;
}

using ListedMember = std::tuple<std::string, std::uint64_t, Endpoint>;

std::vector<ListedMember> listedIn(const std::vector<Heartbeat> &members)
{
    std::vector<ListedMember> result;
    for (const Heartbeat &member : members) {
        if (!member.leaving) {
            result.emplace_back(member.id, member.incarnation, member.datagramEndpoint);
        }
    }
    return result;
}

class SnapshotFixture
{
protected:
    SnapshotFixture()
    {
        this->members.initialize(routerOf("own"), 1);
        this->members.receiveHeartbeat(routerOf("a"), this->now);
        this->members.receiveHeartbeat(routerOf("b"), this->now);
    }

    MemberTable members;
    TimePoint now{Seconds{1}};
};

} // namespace

TEST_CASE("snapshot_anyHistory_isWhatTheTableKnows", "[members]")
{
    // Messages and pauses change the members in any order while the snapshot is cached. A change
    // missing from the snapshot would send requests to a coordinator that left, or past one that
    // joined, until the next change. The snapshot is therefore compared with the whole table after
    // each step.
    const bool sound = rc::check("the snapshot follows the table", [] {
        MemberTable members;
        Heartbeat own = routerOf("own");
        members.initialize(own, 1);
        TimePoint now{Seconds{1}};
        const auto steps = *rc::gen::inRange(1, 40);
        for (int step = 0; step < steps; ++step) {
            now += Milliseconds{*rc::gen::element(10, 600, 2500, 61'000)};
            const auto action = *rc::gen::inRange(0, 4);
            if (action == 0) {
                own.leaving = *rc::gen::arbitrary<bool>();
                static_cast<void>(members.gossipSelf(own));
            } else if (action == 1) {
                static_cast<void>(members.tick(own, {}, now));
            } else {
                const SwimMessage message = anyMessage();
                static_cast<void>(members.receive(message, message.sender.datagramEndpoint, now));
            }
            RC_ASSERT(listedIn(*members.active()) == listedIn(members.all()));
        }
    });
    CHECK(sound);
}

TEST_CASE_METHOD(SnapshotFixture, "snapshot_newerVersionsOnly_isShared", "[members]")
{
    const MemberSnapshot earlier = this->members.active();
    Heartbeat peer = routerOf("a");
    peer.catalogueVersion = 7;
    peer.catalogueAgeMilliseconds = 3;
    this->members.receiveHeartbeat(peer, this->now);
    Heartbeat own = routerOf("own");
    own.catalogueVersion = 7;
    static_cast<void>(this->members.tick(own, {}, this->now));
    CHECK(this->members.active() == earlier);
    CHECK(this->members.find("a")->catalogueVersion == 7);
}

TEST_CASE_METHOD(SnapshotFixture, "snapshot_memberLeaves_keepsWhatReadersHold", "[members]")
{
    const MemberSnapshot earlier = this->members.active();
    Heartbeat peer = routerOf("a");
    peer.leaving = true;
    peer.refutation = 1;
    this->members.receiveHeartbeat(peer, this->now);
    CHECK(earlier->size() == 3);
    CHECK(this->members.active()->size() == 2);
}
