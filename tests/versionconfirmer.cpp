#include <catch2/catch.hpp>
#include <fmt/format.h>

#include "plantainswitch/base/hash.h"

#include "fleetgossip.h"
#include "gatewayfixture.h"
#include "versionconfirmer.h"

using namespace plantainswitch;
using namespace plantainswitch::gateway;

namespace {

/// A router whose list has shown upstreams of one version for a long time, and its store.
class VersionConfirmerFixture
{
protected:
    VersionConfirmerFixture()
    {
        Replica replica;
        replica.id = "model-0";
        replica.service = "model";
        replica.version = "v1";
        this->version = versionKeyOf(replica);
        const TimePoint longAgo = this->clock.now() - Seconds{100};
        this->state.serviceVersions.restart(longAgo);
        this->state.serviceVersions.update({{replica.id, replica}}, longAgo);
        this->state.syncStates[StoreObjectKind::Replicas].revision = 7;
        this->state.fleet = &this->fleet;
        this->records = recordOf(this->version);
    }

    static std::string entryOf(const std::string &id, const std::string &version)
    {
        return R"({"metadata":{"name":")" + id
               + R"(","rev":9},"spec":{"service":"model","address":"127.0.0.1:1","zone":"z",)"
               + R"("version":")" + version + R"(","slots":4,"state":"ready","sequence":1}})";
    }

    /// \returns a list with the record that all streams began at \a only, or at any version.
    [[nodiscard]] static std::string recordOf(std::optional<VersionKey> only)
    {
        return R"({"items":[{"metadata":{"name":")" + formatHash(hashOf("model"))
               + R"(","rev":3},"spec":{"only":")" + (only ? formatHash(*only) : std::string())
               + R"("}}],"hasMore":false,"asOf":9})";
    }

    /// \returns the version that is confirmed if the store responds to a watch with \a changes, or
    /// with 410 if that is empty, and to a list with \a list.
    std::optional<VersionKey> confirm(const std::string &changes, const std::string &list)
    {
        const ScriptedServer store([&](ServerConnection &connection) {
            while (const auto request = connection.read()) {
                const bool isRecords =
                    request->head.target.find("plantain-versions") != std::string::npos;
                const bool isWatch = request->head.target.find("watch=") != std::string::npos;
                const std::string &body = isRecords ? this->records : isWatch ? changes : list;
                const std::string status = isWatch && changes.empty() ? "410 Gone" : "200 OK";
                connection.send(fmt::format("HTTP/1.1 {}\r\nContent-Length: {}\r\n\r\n{}", status,
                                            body.size(), body));
            }
        });
        this->state.settings.store = store.endpoint();
        VersionConfirmer confirmer(this->state);
        std::optional<VersionKey> confirmed;
        confirmer.confirm("model", this->clock.now() - Seconds{5},
                          [this, &confirmed](std::optional<VersionKey> found) {
                              confirmed = found;
                              this->context.stop();
                          });
        this->context.restart();
        this->context.run_for(std::chrono::seconds{5});
        confirmer.stop();
        return confirmed;
    }

    asio::io_context context;
    SystemClock clock;
    platform::PlatformDialect dialect;
    GatewayState state{this->context, this->clock, this->dialect, GatewaySettings{}};
    FleetGossip fleet{this->state, 1, [] {}};
    VersionKey version = 0;
    /// The store's response to a list of the records of versions.
    std::string records;
};

} // namespace

TEST_CASE_METHOD(VersionConfirmerFixture, "versionConfirmer_noOtherVersionInTheStore_confirms",
                 "[gateway]")
{
    CHECK(this->confirm(R"({"events":[],"asOf":9})", "") == this->version);
    CHECK(this->confirm(R"({"events":[{"object":)" + entryOf("model-1", "v1")
                            + R"(,"deleted":false}],"asOf":9})",
                        "")
          == this->version);
}

TEST_CASE_METHOD(VersionConfirmerFixture, "versionConfirmer_anotherVersionInTheStore_doesNot",
                 "[gateway]")
{
    // Guards against a router that has not learnt of a release yet.
    CHECK_FALSE(this->confirm(R"({"events":[{"object":)" + entryOf("model-1", "v2")
                                  + R"(,"deleted":false}],"asOf":9})",
                              ""));
    // One that joined and left between two responses.
    CHECK_FALSE(this->confirm(R"({"events":[{"object":)" + entryOf("model-2", "v2")
                                  + R"(,"deleted":true}],"asOf":9})",
                              ""));
}

TEST_CASE_METHOD(VersionConfirmerFixture, "versionConfirmer_historyIsGone_listsTheUpstreams",
                 "[gateway]")
{
    // Guards against refusing streams because no upstream has changed for long.
    const std::string same =
        R"({"items":[)" + entryOf("model-0", "v1") + R"(],"hasMore":false,"asOf":9})";
    CHECK(this->confirm("", same) == this->version);
    const std::string other = R"({"items":[)" + entryOf("model-0", "v1") + ","
                              + entryOf("model-1", "v2") + R"(],"hasMore":false,"asOf":9})";
    CHECK_FALSE(this->confirm("", other));
    CHECK_FALSE(this->confirm("", R"({"items":[],"hasMore":true,"asOf":9})"));
}

TEST_CASE_METHOD(VersionConfirmerFixture, "versionConfirmer_recordStatesNoOnlyVersion_doesNot",
                 "[gateway]")
{
    // Guards against a version whose upstreams left the list but may have begun streams: this
    // router missed it, or they serve on.
    const std::string unchanged = R"({"events":[],"asOf":9})";
    this->records = recordOf(std::nullopt);
    CHECK_FALSE(this->confirm(unchanged, ""));
    this->records = recordOf(this->version + 1);
    CHECK_FALSE(this->confirm(unchanged, ""));
    this->records = R"({"items":[],"hasMore":false,"asOf":9})";
    CHECK_FALSE(this->confirm(unchanged, ""));
    this->records = "no list";
    CHECK_FALSE(this->confirm(unchanged, ""));
}
