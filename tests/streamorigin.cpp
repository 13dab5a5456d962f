#include <catch2/catch.hpp>

#include "plantainswitch/routing/originhandover.h"
#include "plantainswitch/routing/originsearch.h"
#include "plantainswitch/routing/routercontacts.h"
#include "plantainswitch/routing/streamorigin.h"

using namespace plantainswitch;

namespace {

class StreamOriginFixture
{
protected:
    static Replica makeReplica(const std::string &id, const std::string &version)
    {
        Replica replica;
        replica.id = id;
        replica.service = "model";
        replica.version = version;
        return replica;
    }

    [[nodiscard]] StreamOrigin originOf(StreamKey stream, VersionKey version,
                                        Milliseconds left = Seconds{10}) const
    {
        return {stream, version, this->now + left};
    }

    const TimePoint now{Seconds{1000}};
    StreamOriginTable table;
};

/// A router of hall-0 that knows routers of several data centres.
class OriginHoldersFixture
{
protected:
    static Endpoint addressOf(std::size_t index) { return {"10.0.0." + std::to_string(index), 7}; }

    void addRouters(std::size_t count, std::size_t dataCentres)
    {
        for (std::size_t i = 1; i < count; ++i) {
            RouterContact &contact = this->contacts.recordReceived(addressOf(i), this->now);
            contact.id = "router-" + std::to_string(i);
            contact.dataCentre = "hall-" + std::to_string(i % dataCentres);
            contact.keepsOrigins = true;
        }
    }

    const TimePoint now{Seconds{1000}};
    RouterContacts contacts{"router-0", "hall-0"};
};

} // namespace

TEST_CASE_METHOD(StreamOriginFixture, "streamOrigin_recordedTwice_staysAndIsKeptLonger",
                 "[routing]")
{
    CHECK(this->table.record(this->originOf(1, 7), this->now));
    CHECK_FALSE(this->table.record(this->originOf(1, 7, Seconds{30}), this->now));
    CHECK_FALSE(this->table.record(this->originOf(1, 7, Seconds{5}), this->now));
    this->table.removeExpired(this->now + Seconds{20});
    REQUIRE(this->table.find(1, this->now + Seconds{20}));
    CHECK(this->table.find(1, this->now + Seconds{20})->version == 7);
    CHECK_FALSE(this->table.find(1, this->now + Seconds{30}));
    this->table.removeExpired(this->now + Seconds{31});
    CHECK(this->table.size() == 0);
}

TEST_CASE_METHOD(StreamOriginFixture, "streamOrigin_contradicted_isUnknown", "[routing]")
{
    // Guards against a stream that goes on at the version of whichever report came last.
    this->table.record(this->originOf(1, 7), this->now);
    this->table.record(this->originOf(1, 8), this->now);
    CHECK_FALSE(this->table.find(1, this->now));
    this->table.record(this->originOf(1, 7), this->now);
    CHECK_FALSE(this->table.find(1, this->now));
}

TEST_CASE_METHOD(StreamOriginFixture, "streamOrigin_tableFull_firstExpiringAreRemoved", "[routing]")
{
    // Guards against memory that grows with the callers' attempt ids.
    for (StreamKey stream = 0; stream < 3 * maxStreamOrigins; ++stream) {
        const auto left = Milliseconds{10'000 + stream / 20};
        this->table.record(this->originOf(stream, 7, left), this->now);
    }
    CHECK(this->table.size() <= maxStreamOrigins);
    CHECK(this->table.size() > maxStreamOrigins / 2);
    CHECK_FALSE(this->table.find(0, this->now));
    CHECK(this->table.find(3 * maxStreamOrigins - 1, this->now));
}

TEST_CASE_METHOD(StreamOriginFixture, "streamOrigin_otherWorkspaceOrService_isAnotherStream",
                 "[routing]")
{
    // Guards against a caller who names an attempt of another workspace and gets its stream.
    const StreamKey key = streamKeyOf("a1", "alpha", "model");
    CHECK(key != streamKeyOf("a1", "beta", "model"));
    CHECK(key != streamKeyOf("a1", "alpha", "other"));
    CHECK(key != streamKeyOf("a2", "alpha", "model"));
    CHECK(key != streamKeyOf(std::string(100'000, '\0'), "alpha", "model"));
}

TEST_CASE_METHOD(StreamOriginFixture, "streamOrigin_versionNotStated_isOfOneIncarnation",
                 "[routing]")
{
    // Guards against taking upstreams of unknown versions for upstreams of the same one.
    CHECK(versionKeyOf(makeReplica("m-0", "v1")) == versionKeyOf(makeReplica("m-1", "v1")));
    CHECK(versionKeyOf(makeReplica("m-0", "v1")) != versionKeyOf(makeReplica("m-0", "v2")));
    CHECK(versionKeyOf(makeReplica("m-0", "")) != versionKeyOf(makeReplica("m-1", "")));
    Replica restarted = makeReplica("m-0", "");
    restarted.startTime = 5;
    CHECK(versionKeyOf(makeReplica("m-0", "")) != versionKeyOf(restarted));
    Replica other = makeReplica("m-0", "v1");
    other.service = "plain";
    CHECK(versionKeyOf(makeReplica("m-0", "v1")) != versionKeyOf(other));
}

TEST_CASE_METHOD(StreamOriginFixture, "streamState_firstEvents_bindTheStream", "[routing]")
{
    const Replica first = makeReplica("m-0", "v1");
    const Replica second = makeReplica("m-1", "v2");
    StreamState stream;
    CHECK(isPermitted(stream, first));
    stream.currentVersion = versionKeyOf(first);
    CHECK(recordEvents(stream));
    CHECK(isPermitted(stream, first));
    CHECK_FALSE(isPermitted(stream, second));
    // A later attempt does not bind it again.
    stream.currentVersion = versionKeyOf(second);
    CHECK_FALSE(recordEvents(stream));
    CHECK(isPermitted(stream, makeReplica("m-2", "v1")));
}

TEST_CASE_METHOD(StreamOriginFixture, "streamState_versionOfEventsUnknown_goesOnNowhere",
                 "[routing]")
{
    // Guards against a stream of unknown version that counts as one without events.
    StreamState stream;
    CHECK_FALSE(recordEvents(stream));
    CHECK(stream.binding == BindingState::Unknown);
    CHECK_FALSE(isPermitted(stream, makeReplica("m-0", "v1")));
    CHECK_FALSE(isPermitted(stream, makeReplica("m-0", "")));
}

TEST_CASE("originSearch_allOthersIgnorant_endsAtOnce", "[routing]")
{
    const Endpoint one{"10.0.0.1", 7};
    const Endpoint two{"10.0.0.2", 7};
    OriginSearch search;
    CHECK(nextRound(search, {one, two})->size() == 2);
    CHECK_FALSE(recordIgnorance(search, one, 2));
    CHECK_FALSE(recordIgnorance(search, one, 2));
    CHECK(recordIgnorance(search, two, 2));
}

TEST_CASE("originSearch_onlySomeAsked_asksAgainUntilTheLastRound", "[routing]")
{
    // Guards against a stream that is given up because its caller returned sooner than the report
    // of its origin arrived.
    const Endpoint one{"10.0.0.1", 7};
    const Endpoint two{"10.0.0.2", 7};
    OriginSearch search;
    CHECK(nextRound(search, {})->empty());
    CHECK(nextRound(search, {one})->size() == 1);
    CHECK_FALSE(recordIgnorance(search, one, 50));
    CHECK(nextRound(search, {one, two})->size() == 2);
    CHECK_FALSE(nextRound(search, {one, two}));
}

TEST_CASE_METHOD(OriginHoldersFixture, "originHolders_updatesAreFrequent_none", "[routing]")
{
    this->addRouters(8, 4);
    CHECK(this->contacts.originHolders(5, this->now).empty());
    CHECK(this->contacts.originSources(5, this->now).size() == 7);
}

TEST_CASE_METHOD(OriginHoldersFixture, "originHolders_updatesAreRare_areAmongTheSources",
                 "[routing]")
{
    // Guards against copies that nobody asks for after a data centre was lost.
    constexpr std::size_t routers = 100;
    constexpr std::size_t dataCentres = 4;
    this->addRouters(routers, dataCentres);
    for (StreamKey stream = 1; stream < 300; ++stream) {
        const auto holders = this->contacts.originHolders(stream, this->now);
        CHECK(holders.size() == originCopies);
        const auto ownSources = this->contacts.originSources(stream, this->now);
        CHECK(ownSources.size() <= maxOriginSources);
        // A router of another data centre, to which the callers of hall-0 return.
        RouterContacts other("router-1", "hall-1");
        for (std::size_t i = 0; i < routers; ++i) {
            if (i != 1) {
                RouterContact &contact = other.recordReceived(addressOf(i), this->now);
                contact.id = "router-" + std::to_string(i);
                contact.dataCentre = "hall-" + std::to_string(i % dataCentres);
                contact.keepsOrigins = true;
            }
        }
        const auto sources = other.originSources(stream, this->now);
        CHECK(sources.size() <= maxOriginSources);
        for (const Endpoint &holder : holders) {
            const bool isOther = holder == addressOf(1);
            CHECK((isOther || std::count(sources.begin(), sources.end(), holder) == 1));
            CHECK(std::count(ownSources.begin(), ownSources.end(), holder) == 1);
        }
    }
}

TEST_CASE_METHOD(OriginHoldersFixture, "originHolders_routerOfAnEarlierBuild_isNotAsked",
                 "[routing]")
{
    this->addRouters(4, 2);
    this->contacts.recordReceived(addressOf(2), this->now).keepsOrigins = false;
    CHECK(this->contacts.originSources(5, this->now).size() == 2);
}

TEST_CASE_METHOD(OriginHoldersFixture, "originHandover_ownStreams_arePassedToRoutersThatJoin",
                 "[routing]")
{
    this->addRouters(8, 4);
    constexpr RouterProcess own = 77;
    StreamOriginTable table;
    const TimePoint expiry = this->now + Seconds{20};
    table.record({1, 7, expiry, own}, this->now);
    table.record({2, 7, expiry, own}, this->now);
    table.record({3, 7, this->now + Seconds{1}, own}, this->now);
    table.complete(2);
    const TimePoint later = this->now + Milliseconds{1100};
    for (std::size_t i = 1; i < 8; ++i) {
        this->contacts.recordReceived(addressOf(i), later);
    }
    const auto passed = originsForJoining(table, this->contacts, addressOf(3), own, later);
    REQUIRE(passed.size() == 1);
    CHECK(passed.front().stream == 1);
    CHECK(passed.front().owner == own);
    CHECK(originsAtStop(table, this->contacts, own, later).size() == 7);
}

TEST_CASE_METHOD(OriginHoldersFixture, "originHandover_streamsOfAFailedRouter_arePassedByTwo",
                 "[routing]")
{
    // Guards against origins of a killed router that nobody passes on, or everybody.
    constexpr std::size_t routers = 8;
    constexpr StreamKey streams = 200;
    std::map<StreamKey, int> copies;
    for (std::size_t self = 1; self < routers; ++self) {
        RouterContacts known("router-" + std::to_string(self), "hall-0");
        for (std::size_t i = 0; i < routers; ++i) {
            RouterContact &contact = known.recordReceived(addressOf(i), this->now);
            contact.id = "router-" + std::to_string(i);
            contact.dataCentre = "hall-0";
            contact.keepsOrigins = true;
            contact.incarnation = 5;
        }
        known.recordReceived(addressOf(self), this->now).keepsOrigins = false;
        StreamOriginTable table;
        for (StreamKey stream = 1; stream <= streams; ++stream) {
            // An earlier process of router 2 for one half, one that is alive for the other.
            const std::uint64_t incarnation = stream % 2 == 0 ? 4 : 5;
            table.record(
                {stream, 7, this->now + Seconds{20}, routerProcessOf("router-2", incarnation)},
                this->now);
        }
        for (const StreamOrigin &origin :
             originsForJoining(table, known, addressOf(0), 99, this->now)) {
            copies[origin.stream] += 1;
        }
    }
    for (StreamKey stream = 1; stream <= streams; ++stream) {
        CHECK(copies[stream] == (stream % 2 == 0 ? 2 : 0));
    }
}

TEST_CASE_METHOD(OriginHoldersFixture, "originHandover_fullSizeFleet_staysSmall", "[routing]")
{
    // Guards against a joining router that is flooded with the origins of the whole fleet.
    constexpr std::size_t routers = 1200;
    constexpr std::size_t dataCentres = 23;
    constexpr StreamKey streams = 200;
    for (std::size_t i = 1; i < routers; ++i) {
        const Endpoint address{"10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250),
                               7};
        RouterContact &contact = this->contacts.recordReceived(address, this->now);
        contact.id = "router-" + std::to_string(i);
        contact.dataCentre = "hall-" + std::to_string(i % dataCentres);
        contact.keepsOrigins = true;
    }
    StreamOriginTable table;
    for (StreamKey stream = 1; stream <= streams; ++stream) {
        table.record({stream, 7, this->now + Seconds{20}, 77}, this->now);
    }
    std::size_t local = 0;
    std::size_t remote = 0;
    for (std::size_t i = 1; i < routers; ++i) {
        const Endpoint joining{"10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250),
                               7};
        const std::size_t passed =
            originsForJoining(table, this->contacts, joining, 77, this->now).size();
        (i % dataCentres == 0 ? local : remote) += passed;
    }
    // Each router of the own data centre gets all, and each stream has two copies elsewhere.
    CHECK(local == streams * (routers / dataCentres));
    CHECK(remote == streams * originCopies);
}
