#include <map>
#include <set>

#include <catch2/catch.hpp>

#include "plantainswitch/membership/watchers.h"
#include "plantainswitch/routing/peerloads.h"
#include "plantainswitch/routing/routercontacts.h"
#include "plantainswitch/routing/updatelog.h"

using namespace plantainswitch;

namespace {

class RouterContactsFixture
{
protected:
    RouterContactsFixture() { this->clock.advance(Seconds{100}); }

    static Endpoint addressOf(int number) { return {"10.0.0." + std::to_string(number), 7000}; }

    RouterContact &hear(int number, const std::string &place = "hall-a")
    {
        RouterContact &contact =
            this->contacts.recordReceived(addressOf(number), this->clock.now());
        contact.id = "router-" + std::to_string(number);
        contact.dataCentre = place;
        return contact;
    }

    /// \returns the number of routers to which updates are sent.
    std::size_t tell(BroadcastScope wave = BroadcastScope::Due)
    {
        std::size_t told = 0;
        for (const UpdateGroup &group : this->contacts.takeDueGroups(wave, this->clock.now())) {
            told += group.routers.size();
        }
        return told;
    }

    RouterContacts contacts{"router-0", "hall-a"};
    ManualClock clock;
};

} // namespace

TEST_CASE_METHOD(RouterContactsFixture, "routerContacts_replacedForMonths_keepsOnlyLiveAndSeeds",
                 "[routing]")
{
    // Each restart of a VM may bring a new address. Guards against sending updates to the old ones
    // forever; a seed is kept, because through it two parts of a fleet meet again after a partition
    // longer than contactRetention.
    this->contacts.addSeed(addressOf(1), this->clock.now());
    for (int number = 2; number <= 100; ++number) {
        this->contacts.add(addressOf(number), this->clock.now());
    }
    this->clock.advance(contactRetention);
    this->hear(100);
    this->clock.advance(Seconds{1});
    this->contacts.removeUnresponsive(this->clock.now());
    CHECK(this->contacts.size() == 2);
}

TEST_CASE_METHOD(RouterContactsFixture, "routerContacts_silentAddress_isToldSeldom", "[routing]")
{
    this->contacts.add(addressOf(1), this->clock.now());
    this->hear(2);
    CHECK(this->tell() == 2);
    this->clock.advance(gossipInterval);
    CHECK(this->tell() == 1);
    this->clock.advance(unresponsiveInterval);
    CHECK(this->tell() == 2);
}

TEST_CASE_METHOD(RouterContactsFixture, "routerContacts_toldAtOtherTimes_areToldWhatEachMissed",
                 "[routing]")
{
    this->hear(1);
    const TimePoint first = this->clock.now();
    CHECK(this->tell() == 1);
    this->clock.advance(gossipInterval);
    this->hear(1);
    this->hear(2);
    const auto groups = this->contacts.takeDueGroups(BroadcastScope::Due, this->clock.now());
    REQUIRE(groups.size() == 2);
    CHECK(groups[0].lastSent == TimePoint{});
    CHECK(groups[0].routers == std::vector<Endpoint>{addressOf(2)});
    CHECK(groups[1].lastSent == first);
    CHECK(groups[1].routers == std::vector<Endpoint>{addressOf(1)});
}

TEST_CASE_METHOD(RouterContactsFixture, "routerContacts_fleetOf300_tellsWhatAThinLinkCarries",
                 "[routing]")
{
    // 75 routers in this data centre and 225 in three others, with some datagrams lost. Guards
    // against one interval for all that equals the failure timeout: each loss then removed members,
    // whose return was broadcast at once with long member lists. Each router sent 1 MB/s over links
    // of 1.2 MB/s, so that more and more was lost.
    constexpr int routers = 300;
    constexpr int near = 75;
    std::size_t datagrams = 0;
    std::size_t gone = 0;
    constexpr int seconds = 60;
    for (int turn = 0; turn < seconds * 10; ++turn) {
        for (int number = 1; number < routers; ++number) {
            // Each router is heard at its sending interval; every fifth datagram is lost.
            const bool isNear = number < near;
            const int every = isNear ? 5 : 38;
            const bool isLost = (turn / every + number) % 5 == 0;
            if (turn < every || (turn % every == number % every && !isLost)) {
                this->hear(number, isNear ? "hall-a" : "hall-b");
            }
        }
        gone += this->contacts.removeFailed(this->clock.now()).size();
        const std::size_t told = this->tell();
        datagrams += turn >= 100 ? told : 0;
        this->clock.advance(gossipInterval);
    }
    CHECK(gone == 0);
    CHECK(datagrams / (seconds - 10) < 250);
}

TEST_CASE_METHOD(RouterContactsFixture, "routerContacts_somethingUrgent_nearOnesAreTold",
                 "[routing]")
{
    this->hear(1, "hall-a");
    this->hear(2, "hall-b");
    CHECK(this->tell() == 2);
    this->clock.advance(Milliseconds{20});
    CHECK(this->tell() == 0);
    CHECK(this->tell(BroadcastScope::Local) == 1);
    CHECK(this->tell(BroadcastScope::All) == 2);
}

TEST_CASE_METHOD(RouterContactsFixture, "routerContacts_silentRouter_isGoneOnce", "[routing]")
{
    this->hear(1);
    this->hear(2);
    this->clock.advance(peerTimeout - Milliseconds{1});
    CHECK(this->contacts.removeFailed(this->clock.now()).empty());
    this->hear(2);
    this->clock.advance(Milliseconds{1});
    CHECK(this->contacts.removeFailed(this->clock.now()) == std::vector<std::string>{"router-1"});
    CHECK(this->contacts.removeFailed(this->clock.now()).empty());
    CHECK(this->contacts.addressesOf("router-1").size() == 1);
}

TEST_CASE_METHOD(RouterContactsFixture, "routerContacts_backAtAnotherAddress_isNotGone",
                 "[routing]")
{
    // A router is replaced under the same name: its old address stops responding, but the router is
    // alive.
    this->hear(1);
    this->clock.advance(peerTimeout - Milliseconds{1});
    this->hear(9).id = "router-1";
    this->clock.advance(Milliseconds{1});
    CHECK(this->contacts.removeFailed(this->clock.now()).empty());
}

TEST_CASE("newsLog_routersToldAtOtherTimes_eachHearsOfAllOnce", "[routing]")
{
    UpdateLog log;
    ManualClock clock;
    log.recordPrefix({1, 5}, clock.now());
    clock.advance(Milliseconds{100});
    const TimePoint between = clock.now();
    log.recordPrefix({2, 5}, clock.now());
    log.recordCleared({7, clock.now()}, clock.now());
    log.recordTrials({7, 2, clock.now()}, clock.now());
    CHECK(log.prefixesSince({}, 10).size() == 2);
    CHECK(log.prefixesSince({}, 1).front().prefix == 2);
    CHECK(log.prefixesSince(between, 10).size() == 1);
    const CrashUpdate crashes = log.crashesSince(between);
    REQUIRE(crashes.cleared.size() == 1);
    CHECK(crashes.cleared.front().key == 7);
    REQUIRE(crashes.trials.size() == 1);
    CHECK(crashes.trials.front().trials == 2);
    clock.advance(Milliseconds{100});
    CHECK(log.prefixesSince(clock.now(), 10).empty());
    log.removeBefore(between);
    CHECK(log.prefixesSince({}, 10).size() == 1);
}

TEST_CASE_METHOD(RouterContactsFixture, "routerContacts_allRouters_agreeOnAnEnginesKeeper",
                 "[routing]")
{
    // Coordinators count exactly which requests run on an engine. Guards against two coordinators
    // of one engine, which would each grant its whole load bound.
    for (int number = 1; number <= 5; ++number) {
        this->hear(number, number < 3 ? "hall-a" : "hall-b");
    }
    RouterContacts other("router-5", "hall-b");
    RouterContact &first = other.recordReceived(addressOf(9), this->clock.now());
    first.id = "router-0";
    first.dataCentre = "hall-a";
    for (int number = 1; number <= 4; ++number) {
        RouterContact &contact = other.recordReceived(addressOf(number), this->clock.now());
        contact.id = "router-" + std::to_string(number);
        contact.dataCentre = number < 3 ? "hall-a" : "hall-b";
    }
    std::set<std::string> keepers;
    for (std::uint64_t life = 1; life <= 50; ++life) {
        const auto here = this->contacts.coordinatorOf(life, "hall-b", false, this->clock.now());
        const auto there = other.coordinatorOf(life, "hall-b", false, this->clock.now());
        REQUIRE(here);
        CHECK((there ? *there == *here : *here == addressOf(5)));
        keepers.insert(here->host);
    }
    // All routers of the engine's data centre become coordinators of some engines.
    CHECK(keepers.size() == 3);
}

TEST_CASE_METHOD(RouterContactsFixture, "routerContacts_keeperStopsOrFallsSilent_anotherTakesOver",
                 "[routing]")
{
    this->hear(1, "hall-b");
    this->hear(2, "hall-b");
    const auto keeper = this->contacts.coordinatorOf(7, "hall-b", false, this->clock.now());
    REQUIRE(keeper);
    this->contacts.recordReceived(*keeper, this->clock.now()).stopping = true;
    const auto next = this->contacts.coordinatorOf(7, "hall-b", false, this->clock.now());
    REQUIRE(next);
    CHECK(*next != *keeper);
    this->clock.advance(peerTimeout);
    CHECK_FALSE(this->contacts.coordinatorOf(7, "hall-b", false, this->clock.now()));
}

TEST_CASE_METHOD(RouterContactsFixture, "routerContacts_manyKnowMore_nearOnesAreAskedInTurn",
                 "[routing]")
{
    // Guards against all routers asking the same one for a large configuration, which would take
    // seconds over its one slow link.
    for (int number = 1; number <= 8; ++number) {
        this->hear(number, number <= 4 ? "hall-a" : "hall-b").configVersion = 9;
    }
    std::set<std::string> asked;
    for (std::uint64_t turn = 1; turn <= 50; ++turn) {
        const auto best = this->contacts.routerWithNewerState(8, 0, turn, this->clock.now());
        REQUIRE(best);
        asked.insert(best->host);
    }
    CHECK(asked == std::set<std::string>{"10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4"});
    CHECK_FALSE(this->contacts.routerWithNewerState(9, 0, 1, this->clock.now()));
}

TEST_CASE_METHOD(RouterContactsFixture, "routerContacts_someHeard_comeRoundToAll", "[routing]")
{
    for (int number = 1; number <= 10; ++number) {
        this->hear(number);
    }
    std::set<std::string> told;
    for (std::uint64_t turn = 1; turn <= 5; ++turn) {
        const auto some = this->contacts.aliveSubset(4, turn, this->clock.now());
        CHECK(some.size() == 4);
        for (const Endpoint &each : some) {
            told.insert(each.host);
        }
    }
    CHECK(told.size() == 10);
}

TEST_CASE("storeWatch_wholeFleetStartsAtABusyPlatform_onlyTheChosenAskOn", "[routing]")
{
    // 240 routers lose power together and list 43 pages each on restart. The platform rejects most
    // calls. Guards against all routers retrying: hardly any list would be completed, and no
    // requests would be served for half a minute.
    WatchConditions situation;
    situation.sinceServedRouter = watchTakeoverDelay;
    situation.sinceStart = watchTakeoverDelay;
    situation.knowsOthers = true;
    CHECK(shouldWatch(situation));
    situation.isPlatformBusy = true;
    CHECK_FALSE(shouldWatch(situation));
    situation.sinceStart = startupBackoff;
    CHECK(shouldWatch(situation));
    situation.sinceStart = watchTakeoverDelay;
    situation.knowsOthers = false;
    CHECK(shouldWatch(situation));
}

TEST_CASE("storeWatch_allWatchersDie_othersTakeOverAlsoAtABusyPlatform", "[routing]")
{
    // Guards against waiting in a router that serves from known state: an edit has to be in force
    // within two seconds.
    WatchConditions situation;
    situation.knowsOthers = true;
    situation.knowsUpstreams = true;
    situation.isPlatformBusy = true;
    situation.sinceStart = Seconds{5};
    CHECK_FALSE(shouldWatch(situation));
    situation.sinceServedRouter = watchTakeoverDelay;
    CHECK(shouldWatch(situation));
    situation.sinceServedRouter = Milliseconds{0};
    situation.isChosenWatcher = true;
    CHECK(shouldWatch(situation));
}

TEST_CASE_METHOD(RouterContactsFixture, "routerContacts_allReceiveAll_nobodyLacksAddresses",
                 "[routing]")
{
    // Guards against a stable fleet that keeps sending lists of addresses that all routers have.
    constexpr std::size_t others = 194;
    for (int number = 1; number <= static_cast<int>(others); ++number) {
        this->hear(number, number <= 30 ? "hall-a" : "hall-b").aliveRouters = others;
    }
    const std::size_t alive = this->contacts.aliveCount(this->clock.now());
    CHECK(alive == others);
    for (int number = 1; number <= static_cast<int>(others); ++number) {
        CHECK_FALSE(this->contacts.lacksAddresses(addressOf(number), alive));
    }
}

TEST_CASE_METHOD(RouterContactsFixture, "routerContacts_routerBehindACut_lacksAddresses",
                 "[routing]")
{
    // Guards against a router that knows a part of the fleet and is never sent the rest.
    this->hear(1).aliveRouters = 3;
    this->hear(2).aliveRouters = 3;
    this->hear(3).aliveRouters = 1;
    this->contacts.add(addressOf(4), this->clock.now());
    const std::size_t alive = this->contacts.aliveCount(this->clock.now());
    CHECK(alive == 3);
    CHECK(this->contacts.lacksAddresses(addressOf(3), alive));
    CHECK_FALSE(this->contacts.lacksAddresses(addressOf(4), alive));
    // A failed router is not counted.
    this->clock.advance(peerTimeout);
    this->hear(1).aliveRouters = 2;
    this->hear(2).aliveRouters = 2;
    CHECK_FALSE(
        this->contacts.lacksAddresses(addressOf(1), this->contacts.aliveCount(this->clock.now())));
}

TEST_CASE_METHOD(RouterContactsFixture, "routerContacts_firstWatcherFails_standbyIsFirst",
                 "[routing]")
{
    // Guards against a data centre whose standby waits for a watcher that has failed.
    std::map<std::string, RouterContacts> fleet;
    for (int number = 0; number < 5; ++number) {
        const std::string id = "router-" + std::to_string(number);
        fleet.emplace(id, RouterContacts(id, "hall-a"));
    }
    const auto exchange = [this, &fleet](const std::string &failed) {
        for (auto &[id, contacts] : fleet) {
            for (int number = 0; number < 5; ++number) {
                const std::string other = "router-" + std::to_string(number);
                if (other != id && other != failed) {
                    RouterContact &contact =
                        contacts.recordReceived(addressOf(number), this->clock.now());
                    contact.id = other;
                    contact.dataCentre = "hall-a";
                }
            }
        }
    };
    const auto atRank = [this, &fleet](std::size_t rank, const std::string &failed) {
        std::vector<std::string> found;
        for (const auto &[id, contacts] : fleet) {
            if (id != failed && contacts.watchRank(this->clock.now()) == rank) {
                found.push_back(id);
            }
        }
        return found;
    };
    exchange({});
    const auto first = atRank(0, {});
    const auto standby = atRank(1, {});
    REQUIRE(first.size() == 1);
    REQUIRE(standby.size() == 1);
    CHECK(atRank(2, {}).empty());
    this->clock.advance(peerTimeout);
    exchange(first.front());
    CHECK(atRank(0, first.front()) == standby);
    CHECK(atRank(1, first.front()).size() == 1);
}

TEST_CASE_METHOD(RouterContactsFixture,
                 "routerContacts_foundAtOnce_updatesAreSpreadOverTheInterval", "[routing]")
{
    // Guards against a fleet that starts at once and sends all updates to other data centres in one
    // burst, between which a data centre seems unresponsive.
    constexpr int far = 160;
    for (int number = 1; number <= far; ++number) {
        this->hear(number, "hall-b");
    }
    std::size_t sent = 0;
    std::size_t most = 0;
    for (int turn = 0; turn < 200; ++turn) {
        this->clock.advance(gossipInterval);
        for (int number = 1; number <= far; ++number) {
            this->hear(number, "hall-b");
        }
        const std::size_t now = this->tell();
        sent += turn > 0 ? now : 0;
        most = turn > 0 ? std::max(most, now) : 0;
    }
    // Six per turn, by the interval for 160 routers.
    CHECK(sent / 199 >= 5);
    CHECK(sent / 199 <= 7);
    CHECK(most < 20);
}

TEST_CASE_METHOD(RouterContactsFixture,
                 "routerContacts_cutOffFromMostOfItsDataCentre_hasNoMajority", "[routing]")
{
    // Guards against several routers that each consider themselves the only coordinator of an
    // engine, because none of them reaches the others.
    for (int number = 1; number <= 4; ++number) {
        this->hear(number);
        this->hear(10 + number, "hall-b");
    }
    CHECK(this->contacts.reachesLocalMajority(this->clock.now()));
    this->clock.advance(Seconds{5});
    CHECK_FALSE(this->contacts.reachesLocalMajority(this->clock.now()));
    this->hear(1);
    CHECK_FALSE(this->contacts.reachesLocalMajority(this->clock.now()));
    this->hear(2);
    CHECK(this->contacts.reachesLocalMajority(this->clock.now()));
}
