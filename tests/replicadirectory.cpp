#include <catch2/catch.hpp>

#include "plantainswitch/routing/replica.h"

using namespace plantainswitch;

namespace {

class ReplicaDirectoryFixture
{
protected:
    static Replica replicaOf(const std::string &id, bool leaving = false, std::uint64_t born = 1)
    {
        Replica replica;
        replica.id = id;
        replica.service = "model";
        replica.dataCentre = "hall-a";
        replica.endpoint = {"10.0.0.1", 8080};
        replica.startTime = born;
        replica.draining = leaving;
        return replica;
    }

    [[nodiscard]] bool knows(const std::string &id) const
    {
        return this->directory.all().contains(id);
    }

    /// \returns until when entries that lapsed in an outage which is just over may come back.
    [[nodiscard]] TimePoint soon() const { return this->clock.now() + missingGracePeriod; }

    ReplicaDirectory directory;
    ManualClock clock;
};

} // namespace

TEST_CASE_METHOD(ReplicaDirectoryFixture, "replicas_listWithoutOne_dropsItAtOnce", "[routing]")
{
    this->directory.applyList({replicaOf("a"), replicaOf("b")}, {}, this->clock.now());
    const auto events = this->directory.applyList({replicaOf("a")}, {}, this->clock.now());
    REQUIRE(events.size() == 1);
    CHECK(events.front().change == ReplicaChange::Removed);
    CHECK_FALSE(this->knows("b"));
}

TEST_CASE_METHOD(ReplicaDirectoryFixture, "replicas_lapsedDuringOutage_areKeptUntilTheyAreBack",
                 "[routing]")
{
    // The store is away for seconds, and entries that could not be renewed lapse. Its first list
    // lacks live upstreams, which are back within two seconds. A router that dropped them would
    // refuse requests though their upstreams work.
    this->directory.applyList({replicaOf("a"), replicaOf("b")}, {}, this->clock.now());
    CHECK(this->directory.applyList({}, this->soon(), this->clock.now()).empty());
    CHECK(this->knows("a"));
    this->clock.advance(missingGracePeriod / 2);
    this->directory.applyEntry(replicaOf("a"));
    this->clock.advance(missingGracePeriod);
    const auto events = this->directory.removeExpired(this->clock.now());
    REQUIRE(events.size() == 1);
    CHECK(events.front().replica.id == "b");
    CHECK(this->knows("a"));
    CHECK_FALSE(this->knows("b"));
    CHECK_FALSE(this->directory.hasMissing());
}

TEST_CASE_METHOD(ReplicaDirectoryFixture, "replicas_leavingOneMissingAfterOutage_isGone",
                 "[routing]")
{
    this->directory.applyList({replicaOf("a", true)}, {}, this->clock.now());
    const auto events = this->directory.applyList({}, this->soon(), this->clock.now());
    REQUIRE(events.size() == 1);
    CHECK(events.front().change == ReplicaChange::Removed);
}

TEST_CASE_METHOD(ReplicaDirectoryFixture, "replicas_secondListWhileMissing_keepsTheGrace",
                 "[routing]")
{
    this->directory.applyList({replicaOf("a")}, {}, this->clock.now());
    this->directory.applyList({}, this->soon(), this->clock.now());
    this->clock.advance(missingGracePeriod / 2);
    CHECK(this->directory.applyList({}, {}, this->clock.now()).empty());
    CHECK(this->knows("a"));
}

TEST_CASE_METHOD(ReplicaDirectoryFixture, "replicas_leavingThenReadyInOneLife_staysLeaving",
                 "[routing]")
{
    // A list that lags says ready again after the upstream said that it leaves. New work sent
    // there would be cut when it exits.
    this->directory.applyEntry(replicaOf("a", true));
    this->directory.applyEntry(replicaOf("a", false));
    CHECK(this->directory.all().at("a").draining);
}

TEST_CASE_METHOD(ReplicaDirectoryFixture, "replicas_sameIdBornAnew_isAnotherLife", "[routing]")
{
    this->directory.applyEntry(replicaOf("a", true, 1));
    const auto events = this->directory.applyEntry(replicaOf("a", false, 2));
    REQUIRE(events.size() == 1);
    CHECK(events.front().change == ReplicaChange::Restarted);
    CHECK_FALSE(this->directory.all().at("a").draining);
}

TEST_CASE_METHOD(ReplicaDirectoryFixture, "replicas_removalRightAfterOutage_hasTheSameGrace",
                 "[routing]")
{
    this->directory.applyEntry(replicaOf("a"));
    CHECK(this->directory.applyRemovals({"a"}, this->soon(), this->clock.now()).empty());
    CHECK(this->knows("a"));
    this->clock.advance(missingGracePeriod);
    CHECK(this->directory.removeExpired(this->clock.now()).size() == 1);
}

TEST_CASE_METHOD(ReplicaDirectoryFixture, "replicas_mostOfAServiceRemovedAtOnce_areKeptForAWhile",
                 "[routing]")
{
    // The store falls silent while this router's watch waits, and entries lapse. When it is back
    // the watch tells of their removal like of any other: nothing failed here. All upstreams work
    // on; were they dropped, every request would be refused until they are back in the list.
    for (const char *id : {"a", "b", "c", "d"}) {
        this->directory.applyEntry(replicaOf(id));
    }
    CHECK(this->directory.applyRemovals({"a", "b", "c"}, {}, this->clock.now()).empty());
    CHECK(this->directory.all().size() == 4);
    this->clock.advance(missingGracePeriod / 2);
    this->directory.applyEntry(replicaOf("a"));
    this->clock.advance(missingGracePeriod);
    CHECK(this->directory.removeExpired(this->clock.now()).size() == 2);
    CHECK(this->knows("a"));
}

TEST_CASE_METHOD(ReplicaDirectoryFixture, "replicas_lapseToldInParts_losesAtMostHalf", "[routing]")
{
    for (const char *id : {"a", "b", "c", "d"}) {
        this->directory.applyEntry(replicaOf(id));
    }
    CHECK(this->directory.applyRemovals({"a", "b"}, {}, this->clock.now()).size() == 2);
    CHECK(this->directory.applyRemovals({"c"}, {}, this->clock.now()).empty());
    CHECK(this->directory.applyRemovals({"d"}, {}, this->clock.now()).empty());
    CHECK(this->directory.all().size() == 2);
}

TEST_CASE_METHOD(ReplicaDirectoryFixture, "replicas_releaseOneByOne_dropsEachAtOnce", "[routing]")
{
    // The upstreams of a service are replaced one after the other, without a word of their leaving.
    // Each must be dropped when its entry goes: it serves only for seconds from then on.
    for (const char *id : {"a", "b", "c", "d"}) {
        this->directory.applyEntry(replicaOf(id));
    }
    for (const char *id : {"a", "b", "c", "d"}) {
        this->directory.applyEntry(replicaOf(std::string("new-") + id));
        CHECK(this->directory.applyRemovals({id}, {}, this->clock.now()).size() == 1);
        this->clock.advance(Milliseconds{500});
    }
}

TEST_CASE_METHOD(ReplicaDirectoryFixture, "replicas_fewAreTakenAway_areDroppedWithinTheDrainBound",
                 "[routing]")
{
    // Two of a service's three upstreams are taken away within two seconds, neither says that it
    // leaves. It looks like a lapse, but the platform never was away: whoever still sends the
    // second one requests after the drain bound has them cut when it exits.
    constexpr Milliseconds drainBound{2000};
    ReplicaDirectory bounded(suspectedExpiryGrace(drainBound));
    for (const char *id : {"a", "b", "c"}) {
        bounded.applyEntry(replicaOf(id));
    }
    CHECK(bounded.applyRemovals({"a"}, {}, this->clock.now()).size() == 1);
    this->clock.advance(Milliseconds{1900});
    CHECK(bounded.applyRemovals({"b"}, {}, this->clock.now()).empty());
    this->clock.advance(drainBound - removalPropagationDelay);
    CHECK(bounded.removeExpired(this->clock.now()).size() == 1);
    CHECK(bounded.all().size() == 1);
}

TEST_CASE("suspectedGrace_anyDrainBound_staysBelowIt", "[routing]")
{
    CHECK(suspectedExpiryGrace(Milliseconds{2000}) == Milliseconds{1400});
    CHECK(suspectedExpiryGrace(Milliseconds{300}) == Milliseconds{0});
    CHECK(suspectedExpiryGrace(Milliseconds{9000}) == missingGracePeriod);
}

TEST_CASE_METHOD(ReplicaDirectoryFixture, "replicas_leavingOnesRemovedTogether_areGone",
                 "[routing]")
{
    for (const char *id : {"a", "b", "c"}) {
        this->directory.applyEntry(replicaOf(id, true));
    }
    CHECK(this->directory.applyRemovals({"a", "b", "c"}, {}, this->clock.now()).size() == 3);
}

TEST_CASE_METHOD(ReplicaDirectoryFixture, "replicas_listLacksMost_isTakenForALapse", "[routing]")
{
    for (const char *id : {"a", "b", "c", "d"}) {
        this->directory.applyEntry(replicaOf(id));
    }
    CHECK(this->directory.applyList({replicaOf("d")}, {}, this->clock.now()).empty());
    CHECK(this->directory.hasMissing());
    CHECK(this->directory.all().size() == 4);
}
