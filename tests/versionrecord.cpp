#include <catch2/catch.hpp>

#include "plantainswitch/routing/route.h"
#include "plantainswitch/routing/serviceversions.h"
#include "plantainswitch/routing/versionrecord.h"

using namespace plantainswitch;

namespace {

class VersionRecordFixture
{
protected:
    static std::optional<VersionRecord> next(const std::optional<VersionRecord> &stored,
                                             const ListedVersions &seen)
    {
        return nextVersionRecord(service, stored, seen);
    }

    static constexpr std::uint64_t service = 5;
    const VersionRecord one{service, 7, 30};
    const VersionRecord several{service, std::nullopt, 31};
};

/// A list of upstreams over time.
class ServiceVersionsFixture
{
protected:
    void list(const std::vector<std::string> &versions, Seconds at)
    {
        std::map<std::string, Replica> listed;
        for (const std::string &version : versions) {
            listed.emplace("model-" + version, makeReplica(version));
        }
        this->versions.update(listed, this->start + at);
    }

    static Replica makeReplica(const std::string &version)
    {
        Replica replica;
        replica.id = "model-" + version;
        replica.service = "model";
        replica.version = version;
        return replica;
    }

    const TimePoint start{Seconds{1000}};
    ServiceVersions versions;
};

} // namespace

TEST_CASE_METHOD(VersionRecordFixture, "versionRecord_systemStartsForTheFirstTime_isWritten",
                 "[routing]")
{
    const auto written = next(std::nullopt, {{7}, std::nullopt, true});
    REQUIRE(written);
    CHECK(written->only == 7);
    CHECK(written->revision == 0);
}

TEST_CASE_METHOD(VersionRecordFixture, "versionRecord_firstStartAmidARelease_statesSeveral",
                 "[routing]")
{
    // Guards against taking the version that is left for the only one once the other has left.
    const auto written = next(std::nullopt, {{7, 8}, std::nullopt, true});
    REQUIRE(written);
    CHECK_FALSE(written->only);
    CHECK_FALSE(next(written, {{8}, std::nullopt, true}));
}

TEST_CASE_METHOD(VersionRecordFixture, "versionRecord_missingAfterARestart_waitsUntilSettled",
                 "[routing]")
{
    // Guards against a router that takes what it sees at its start for all there was.
    CHECK_FALSE(next(std::nullopt, {{7}, std::nullopt, false}));
    CHECK(next(std::nullopt, {{7}, 7, false})->only == 7);
}

TEST_CASE_METHOD(VersionRecordFixture, "versionRecord_anotherVersionListed_statesSeveral",
                 "[routing]")
{
    for (const std::set<VersionKey> &listed : {std::set<VersionKey>{7, 8}, {8}}) {
        const auto written = next(this->one, {listed, std::nullopt, true});
        REQUIRE(written);
        CHECK_FALSE(written->only);
        CHECK(written->revision == this->one.revision);
    }
    CHECK_FALSE(next(this->one, {{7}, 7, false}));
    CHECK_FALSE(next(this->one, {{}, std::nullopt, false}));
}

TEST_CASE_METHOD(VersionRecordFixture, "versionRecord_severalUntilStreamsHaveEnded_statesOneAgain",
                 "[routing]")
{
    // Guards against forgetting a version while callers hold streams that began at it.
    CHECK_FALSE(next(this->several, {{8}, std::nullopt, true}));
    const auto written = next(this->several, {{8}, 8, false});
    REQUIRE(written);
    CHECK(written->only == 8);
    CHECK(written->revision == this->several.revision);
}

TEST_CASE_METHOD(ServiceVersionsFixture, "serviceVersions_versionLeft_countsUntilItsStreamsEnd",
                 "[routing]")
{
    // Guards against a version that serves on after its entries were removed.
    this->versions.restart(this->start);
    this->list({"v1", "v2"}, Seconds{1});
    this->list({"v2"}, Seconds{5});
    const VersionKey second = versionKeyOf(makeReplica("v2"));
    CHECK(this->versions.listedOf("model") == std::set<VersionKey>{second});
    CHECK_FALSE(this->versions.onlyVersionSince("model", this->start + Seconds{4}));
    CHECK(this->versions.onlyVersionSince("model", this->start + Seconds{6}) == second);
}

TEST_CASE_METHOD(ServiceVersionsFixture, "serviceVersions_changesMissed_onlyVersionIsUnknown",
                 "[routing]")
{
    // Guards against a router that stood still while another version joined and left.
    this->versions.restart(this->start);
    this->list({"v1"}, Seconds{1});
    this->versions.restart(this->start + Seconds{50});
    const VersionKey first = versionKeyOf(makeReplica("v1"));
    CHECK_FALSE(this->versions.onlyVersionSince("model", this->start + Seconds{40}));
    CHECK(this->versions.onlySeenSince("model", this->start + Seconds{40}) == first);
    CHECK(this->versions.onlyVersionSince("model", this->start + Seconds{51}) == first);
}
