#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "membersbench.h"

using namespace plantainswitch;
using namespace plantainswitch::lab;

namespace {

constexpr double detectionLimit = 8.0;

Heartbeat routerOf(const std::string &id, std::uint16_t port,
                   const std::string &dataCentre = "hall-a")
{
    Heartbeat heartbeat;
    heartbeat.id = id;
    heartbeat.dataCentre = dataCentre;
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
        this->receive(routerOf("peer", 2));
    }

    SwimOutput receive(const Heartbeat &sender, std::vector<MemberUpdate> updates = {})
    {
        SwimMessage message;
        message.sender = sender;
        message.updates = std::move(updates);
        return swimReceive(this->state, this->settings, message, sender.datagramEndpoint,
                           this->now);
    }

    SwimSettings settings;
    SwimState state;
    TimePoint now{Seconds{1}};
};

MembersOptions smallOptions()
{
    MembersOptions options;
    options.routers = 24;
    options.places = 2;
    options.seconds = 60;
    options.deaths = 3;
    return options;
}

/// Checks the invariants of a membership run.
bool holdsInvariants(const MembersReport &report)
{
    const bool inTime = std::all_of(report.fleetSeconds.begin(), report.fleetSeconds.end(),
                                    [](double seconds) { return seconds < detectionLimit; });
    return inTime && report.undetected == 0 && report.falseGone == 0 && report.missingAtEnd == 0;
}

} // namespace

TEST_CASE("members_deathsUnderLoss_areKnownEverywhereAndNobodyElseIs", "[members]")
{
    // Routers crash while one datagram in twenty is lost. Coordinators are chosen among the live
    // routers, so all must agree within seconds on who is gone, and a live router declared gone
    // would lose its coordinator role while it serves.
    const bool sound = rc::check("deaths are found, the living are not buried", [] {
        MembersOptions options = smallOptions();
        options.seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
        RC_ASSERT(holdsInvariants(runMembers(options)));
    });
    CHECK(sound);
}

TEST_CASE("members_withoutSuspicionOrHelpers_checkFails", "[members]")
{
    // The broken variant declares a member gone at its first unanswered probe; the check must
    // detect it.
    MembersOptions options = smallOptions();
    options.settings.indirectProbes = 0;
    options.settings.suspicionTimeout = Duration{0};
    CHECK_FALSE(holdsInvariants(runMembers(options)));
}

TEST_CASE("members_placeCutOffAndBack_knowEachOtherAgain", "[members]")
{
    // A data centre is cut off for 20 s; each side declares the other gone and goes on. After the
    // partition heals, neither side would contact a gone member; the pings to seeds do.
    MembersOptions options = smallOptions();
    options.seconds = 120;
    options.cutSeconds = 20;
    const MembersReport report = runMembers(options);
    CHECK(report.falseGone > 0);
    CHECK(report.missingAtEnd == 0);
}

TEST_CASE_METHOD(SwimFixture, "swim_suspicionOfItself_isDeniedWithHigherRefutation", "[members]")
{
    const SwimOutput output =
        this->receive(routerOf("peer", 2), {{this->state.own, MemberState::Suspect}});
    CHECK(this->state.own.refutation == 1);
    CHECK_FALSE(output.sends.empty());
}

TEST_CASE_METHOD(SwimFixture, "swim_lateRumourOfGoneMember_doesNotBringItBack", "[members]")
{
    const Heartbeat third = routerOf("third", 3);
    this->receive(third);
    const SwimOutput gone = this->receive(routerOf("peer", 2), {{third, MemberState::Gone}});
    CHECK(gone.gone.size() == 1);
    this->receive(routerOf("peer", 2), {{third, MemberState::Alive}});
    CHECK(this->state.members.at("third").state == MemberState::Gone);
}

TEST_CASE_METHOD(SwimFixture, "swim_restartedMember_reportsOldProcessGoneAndNewJoined", "[members]")
{
    // A router restarts before its failure is detected. Slots of the old process must be released
    // at their coordinators although the id never vanished.
    Heartbeat restarted = routerOf("peer", 2);
    restarted.incarnation = 2;
    const SwimOutput output = this->receive(restarted);
    REQUIRE(output.gone.size() == 1);
    CHECK(output.gone.front().incarnation == 1);
    CHECK(output.joined.size() == 1);
}

TEST_CASE_METHOD(SwimFixture, "swim_pausedRouter_buriesNobody", "[members]")
{
    // This process is paused for half a minute with a pending probe and a suspected peer. After the
    // pause every timeout looks expired, although only this router was paused.
    static_cast<void>(swimTick(this->state, this->settings, {}, this->now));
    this->receive(routerOf("other", 4), {{routerOf("peer", 2), MemberState::Suspect}});
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
    // The platform returns an empty list, then a truncated one. Dropping the missing VMs would
    // refuse every request at once.
    VmTable table;
    VmPollState pollState;
    std::vector<Vm> complete;
    complete.reserve(10);
    for (int index = 0; index < 10; ++index) {
        complete.push_back(
            {"vm-" + std::to_string(index), VmRole::Engine, "model", "hall-a", {}, false});
    }
    table.applyPoll(pollState, complete, 1);
    table.applyPoll(pollState, {}, 2);
    CHECK(table.vms().size() == 10);
    table.applyPoll(pollState, {complete.begin(), complete.begin() + 3}, 3);
    CHECK(table.vms().size() == 10);
    table.applyPoll(pollState, {complete.begin(), complete.begin() + 9}, 4);
    CHECK(table.vms().size() == 9);
}

TEST_CASE("vmList_linesInAnyOrder_endEqualEverywhere", "[members]")
{
    const bool equal = rc::check("merging is order-free and idempotent", [] {
        std::vector<VmRecord> records;
        const auto versions = *rc::gen::container<std::vector<std::uint64_t>>(
            rc::gen::inRange<std::uint64_t>(1, 1000));
        for (std::size_t index = 0; index < versions.size(); ++index) {
            VmRecord record;
            record.vm.id = "vm-" + std::to_string(versions[index] % 5);
            record.version = versions[index];
            record.gone = versions[index] % 3 == 0;
            records.push_back(record);
        }
        VmList first;
        mergeRecords(first, records);
        std::reverse(records.begin(), records.end());
        VmList second;
        for (const VmRecord &record : records) {
            mergeRecords(second, {record, record});
        }
        RC_ASSERT(digestOf(first) == digestOf(second));
    });
    CHECK(equal);
}
