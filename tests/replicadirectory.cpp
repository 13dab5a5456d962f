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

    /// \returns the time until which entries that expired in an outage that has just ended may be
    /// listed again.
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
    // The store is unavailable for some seconds, so that entries expire that could not be renewed.
    // Its first list lacks live upstreams, which are listed again within two seconds. Guards
    // against removing them and rejecting requests although their upstreams are running.
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
    // A stale list shows an upstream as ready after it has reported that it is draining. Guards
    // against new requests that would be cut off when it stops.
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
    // The store has an outage while this router's watch is pending, and entries expire. Afterwards
    // the watch reports their removal like any other, and no call has failed. Guards against
    // removing all upstreams, which are running, and rejecting every request until they are listed
    // again.
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
    // The upstreams of a service are replaced one after the other without notice of draining. Each
    // must be removed as soon as its entry is: it serves for only a few seconds after that.
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
    // Two of a service's three upstreams are removed within two seconds without notice of draining.
    // This looks like expired leases, but there was no outage. Guards against requests to the
    // second one after the drain bound, which would be cut off when it stops.
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
