#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "membersbench.h"

using namespace plantainswitch;
using namespace plantainswitch::lab;

namespace {

constexpr double detectionLimit = 8.0;

Heartbeat routerOf(const std::string &id, std::uint16_t port, const std::string &place = "hall-a")
{
    Heartbeat heartbeat;
    heartbeat.id = id;
    heartbeat.dataCentre = place;
    heartbeat.datagramEndpoint = {"127.0.0.1", port};
    heartbeat.incarnation = 1;
    return heartbeat;
}

class SwimFixture
{
protected:
    SwimFixture()
    {
        this->state.own = routerOf("own", 1);
        this->hear(routerOf("peer", 2));
    }

    SwimOutput hear(const Heartbeat &from, std::vector<MemberUpdate> updates = {})
    {
        SwimMessage message;
        message.sender = from;
        message.updates = std::move(updates);
        return swimReceive(this->state, this->settings, message, from.datagramEndpoint, this->now);
    }

    SwimSettings settings;
    SwimState state;
    TimePoint now{Seconds{1}};
};

MembersOptions smallRun()
{
    MembersOptions options;
    options.routers = 24;
    options.places = 2;
    options.seconds = 60;
    options.deaths = 3;
    return options;
}

/// Checks what a run of the membership has to show.
bool isSound(const MembersReport &report)
{
    const bool inTime = std::all_of(report.fleetSeconds.begin(), report.fleetSeconds.end(),
                                    [](double seconds) { return seconds < detectionLimit; });
    return inTime && report.undetected == 0 && report.falseGone == 0 && report.missingAtEnd == 0;
}

} // namespace

TEST_CASE("members_deathsUnderLoss_areKnownEverywhereAndNobodyElseIs", "[members]")
{
    // Routers die without a word while one datagram in twenty is lost. Keepers are chosen among
    // the live routers, so all have to agree on who is gone within seconds, and a living router
    // that was held for gone would lose its keeper work while it serves.
    const bool sound = rc::check("deaths are found, the living are not buried", [] {
        MembersOptions options = smallRun();
        options.seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
        RC_ASSERT(isSound(runMembers(options)));
    });
    CHECK(sound);
}

TEST_CASE("members_withoutSuspicionOrHelpers_checkFails", "[members]")
{
    // The broken variant buries a member at its first unanswered probe; the check must see it.
    MembersOptions options = smallRun();
    options.settings.indirectProbes = 0;
    options.settings.suspicionTimeout = Duration{0};
    CHECK_FALSE(isSound(runMembers(options)));
}

TEST_CASE("members_placeCutOffAndBack_knowEachOtherAgain", "[members]")
{
    // A place loses the others for 20 s; each side holds the other for gone and goes on. Once
    // they can speak again, nobody would speak to a gone member: the listed addresses do it.
    MembersOptions options = smallRun();
    options.seconds = 120;
    options.cutSeconds = 20;
    const MembersReport report = runMembers(options);
    CHECK(report.falseGone > 0);
    CHECK(report.missingAtEnd == 0);
}

TEST_CASE_METHOD(SwimFixture, "swim_suspicionOfItself_isDeniedWithHigherRefutation", "[members]")
{
    const SwimOutput output =
        this->hear(routerOf("peer", 2), {{this->state.own, MemberState::Suspect}});
    CHECK(this->state.own.refutation == 1);
    CHECK_FALSE(output.sends.empty());
}

TEST_CASE_METHOD(SwimFixture, "swim_lateRumourOfGoneMember_doesNotBringItBack", "[members]")
{
    const Heartbeat third = routerOf("third", 3);
    this->hear(third);
    const SwimOutput gone = this->hear(routerOf("peer", 2), {{third, MemberState::Gone}});
    CHECK(gone.gone.size() == 1);
    this->hear(routerOf("peer", 2), {{third, MemberState::Alive}});
    CHECK(this->state.members.at("third").state == MemberState::Gone);
}

TEST_CASE_METHOD(SwimFixture, "swim_restartedMember_reportsOldProcessGoneAndNewJoined", "[members]")
{
    // A router restarts faster than it is missed. Slots of the old process must come back to
    // their keepers although the id never vanished.
    Heartbeat restarted = routerOf("peer", 2);
    restarted.incarnation = 2;
    const SwimOutput output = this->hear(restarted);
    REQUIRE(output.gone.size() == 1);
    CHECK(output.gone.front().incarnation == 1);
    CHECK(output.joined.size() == 1);
}

TEST_CASE_METHOD(SwimFixture, "swim_pausedRouter_buriesNobody", "[members]")
{
    // This process is paused for half a minute with a probe open and a peer under suspicion.
    // After it, all looks overdue although only this router was away.
    static_cast<void>(swimTick(this->state, this->settings, {}, this->now));
    this->hear(routerOf("other", 4), {{routerOf("peer", 2), MemberState::Suspect}});
    this->now += Seconds{30};
    const SwimOutput output = swimTick(this->state, this->settings, {}, this->now);
    CHECK(output.gone.empty());
}

TEST_CASE("watchers_anyMembers_areAtMostThreeAndTheSameForAll", "[members]")
{
    std::vector<Heartbeat> active;
    for (std::uint16_t index = 0; index < 52; ++index) {
        active.push_back(routerOf("router-" + std::to_string(index), index));
    }
    const auto count = std::count_if(active.begin(), active.end(), [&](const Heartbeat &each) {
        return isWatcher(each.id, each.dataCentre, active);
    });
    CHECK(count == 3);
    CHECK(isWatcher("alone", "hall-a", {routerOf("alone", 1), routerOf("far", 2, "hall-b")}));
}

TEST_CASE("vmList_emptyOrCutList_dropsNothing", "[members]")
{
    // The platform hands out an empty list, then one cut in the middle. Dropping what is missing
    // would refuse every request at once.
    VmTable table;
    VmPollState polls;
    std::vector<Vm> whole;
    whole.reserve(10);
    for (int index = 0; index < 10; ++index) {
        whole.push_back(
            {"vm-" + std::to_string(index), VmRole::Engine, "model", "hall-a", {}, false});
    }
    table.applyPoll(polls, whole, 1);
    table.applyPoll(polls, {}, 2);
    CHECK(table.vms().size() == 10);
    table.applyPoll(polls, {whole.begin(), whole.begin() + 3}, 3);
    CHECK(table.vms().size() == 10);
    table.applyPoll(polls, {whole.begin(), whole.begin() + 9}, 4);
    CHECK(table.vms().size() == 9);
}

TEST_CASE("vmList_linesInAnyOrder_endEqualEverywhere", "[members]")
{
    const bool equal = rc::check("merging is order-free and idempotent", [] {
        std::vector<VmRecord> lines;
        const auto stamps = *rc::gen::container<std::vector<std::uint64_t>>(
            rc::gen::inRange<std::uint64_t>(1, 1000));
        for (std::size_t index = 0; index < stamps.size(); ++index) {
            VmRecord line;
            line.vm.id = "vm-" + std::to_string(stamps[index] % 5);
            line.version = stamps[index];
            line.gone = stamps[index] % 3 == 0;
            lines.push_back(line);
        }
        VmList first;
        mergeRecords(first, lines);
        std::reverse(lines.begin(), lines.end());
        VmList second;
        for (const VmRecord &line : lines) {
            mergeRecords(second, {line, line});
        }
        RC_ASSERT(digestOf(first) == digestOf(second));
    });
    CHECK(equal);
}
