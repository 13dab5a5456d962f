#include <optional>

#include <catch2/catch.hpp>

#include "gatewayfixture.h"
#include "storefollower.h"

using namespace plantainswitch;
using namespace plantainswitch::gateway;

namespace {

class StoreFollowerFixture
{
protected:
    asio::io_context context;
    SystemClock clock;
    platform::PlatformDialect dialect;
};

} // namespace

TEST_CASE_METHOD(StoreFollowerFixture, "follower_firstListAfterFailures_keepsWhatIsMissing",
                 "[gateway]")
{
    // Guards against dropping all upstreams at once: a router starts during an outage of the store
    // and learns of the upstreams from another router. Their entries lapse, and the first list
    // after the outage lacks them all. Every request would be refused although the upstreams work.
    std::atomic<int> calls = 0;
    ScriptedServer store([&calls](ServerConnection &connection) {
        while (connection.read()) {
            connection.send(++calls == 1 ? "HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n"
                                         : "HTTP/1.1 200 OK\r\nContent-Length: 38\r\n\r\n"
                                           R"({"items":[],"hasMore":false,"asOf":12})");
        }
    });
    GatewaySettings settings;
    settings.store = store.endpoint();
    GatewayState state(this->context, this->clock, this->dialect, settings);
    std::optional<TimePoint> keptUntil;
    StoreFollower follower(
        state, StoreObjectKind::Replicas, {},
        {[this, &keptUntil](const std::vector<StoreObject> &, TimePoint keepUntil) {
             keptUntil = keepUntil;
             this->context.stop();
         },
         [](const std::vector<StoreObject> &, TimePoint) {},
         {}});
    const TimePoint begun = this->clock.now();
    follower.start();
    this->context.run_for(std::chrono::seconds{20});
    REQUIRE(keptUntil);
    CHECK(*keptUntil > begun + missingGracePeriod);
    follower.stop();
}

TEST_CASE_METHOD(StoreFollowerFixture, "follower_storeBusyAmidAList_goesOnAndSaysNothingBefore",
                 "[gateway]")
{
    // Guards against a fleet that starts without upstreams: all routers list thousands of entries
    // page by page, faster than the store allows. A router that started over after each refusal
    // never finished. One that announced the first page's revision too early was taken for up to
    // date by the others, which then asked for nothing older.
    std::vector<std::string> targets;
    std::uint64_t heardAmid = 0;
    StoreFollower *asked = nullptr;
    ScriptedServer store([&](ServerConnection &connection) {
        while (const auto request = connection.read()) {
            targets.push_back(request->head.target);
            if (targets.size() == 2) {
                heardAmid = asked->revision();
                connection.send("HTTP/1.1 429 Busy\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            const std::string body =
                targets.size() == 1
                    ? R"({"items":[{"metadata":{"name":"a","rev":3},"spec":{}}],"hasMore":true,"asOf":12})"
                    : R"({"items":[{"metadata":{"name":"b","rev":4},"spec":{}}],"hasMore":false,"asOf":15})";
            connection.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size())
                            + "\r\n\r\n" + body);
        }
    });
    GatewaySettings settings;
    settings.store = store.endpoint();
    GatewayState state(this->context, this->clock, this->dialect, settings);
    std::vector<std::string> listed;
    StoreFollower follower(state, StoreObjectKind::Replicas, {},
                           {[this, &listed](const std::vector<StoreObject> &items, TimePoint) {
                                for (const StoreObject &item : items) {
                                    listed.push_back(item.name);
                                }
                                this->context.stop();
                            },
                            [](const std::vector<StoreObject> &, TimePoint) {},
                            {}});
    asked = &follower;
    follower.start();
    this->context.run_for(std::chrono::seconds{20});
    CHECK(listed == std::vector<std::string>{"a", "b"});
    REQUIRE(targets.size() == 3);
    CHECK(targets[1] == targets[2]);
    CHECK(heardAmid == 0);
    // Changes since the first page are found by watching from its revision.
    CHECK(follower.revision() == 12);
    follower.stop();
}

TEST_CASE_METHOD(StoreFollowerFixture, "follower_confirmerOfSilentStore_asksAtItsInterval",
                 "[gateway]")
{
    // Guards against a confirmer that replaces its watch at every check while the store is silent.
    std::atomic<int> watches = 0;
    ScriptedServer store([&watches](ServerConnection &connection) {
        while (const auto request = connection.read()) {
            if (request->head.target.find("watch=") != std::string::npos) {
                ++watches;
                connection.waitForEnd();
                return;
            }
            connection.send("HTTP/1.1 200 OK\r\nContent-Length: 38\r\n\r\n"
                            R"({"items":[],"hasMore":false,"asOf":12})");
        }
    });
    GatewaySettings settings;
    settings.store = store.endpoint();
    GatewayState state(this->context, this->clock, this->dialect, settings);
    constexpr Milliseconds interval{500};
    StoreFollower follower(state, StoreObjectKind::Replicas,
                           {interval, 60 * interval, Milliseconds{0}},
                           {[](const std::vector<StoreObject> &, TimePoint) {},
                            [](const std::vector<StoreObject> &, TimePoint) {},
                            {}});
    follower.start();
    this->context.run_for(interval / 2);
    follower.resume();
    constexpr int looks = 40;
    for (int look = 0; look < looks; ++look) {
        this->context.restart();
        this->context.run_for(interval / 10);
        follower.checkConfirmation({});
    }
    CHECK(watches >= 2);
    CHECK(watches <= 8);
    follower.stop();
}

TEST_CASE_METHOD(StoreFollowerFixture, "follower_staleFirstList_isUsedAndConfirmsNothing",
                 "[gateway]")
{
    // Guards against taking a stale list, which lacks the last seconds, as a confirmation.
    std::vector<std::string> targets;
    ScriptedServer store([&targets](ServerConnection &connection) {
        while (const auto request = connection.read()) {
            targets.push_back(request->head.target);
            connection.send("HTTP/1.1 200 OK\r\nContent-Length: 38\r\n\r\n"
                            R"({"items":[],"hasMore":false,"asOf":12})");
        }
    });
    GatewaySettings settings;
    settings.store = store.endpoint();
    GatewayState state(this->context, this->clock, this->dialect, settings);
    int lists = 0;
    StoreFollower follower(state, StoreObjectKind::Replicas, {},
                           {[this, &lists](const std::vector<StoreObject> &, TimePoint) {
                                ++lists;
                                this->context.stop();
                            },
                            [](const std::vector<StoreObject> &, TimePoint) {},
                            {}});
    follower.start(ReadConsistency::Stale);
    this->context.run_for(std::chrono::seconds{20});
    CHECK(lists == 1);
    CHECK(follower.revision() == 0);
    CHECK(follower.latestChange() == 0);
    CHECK(state.syncStates.at(StoreObjectKind::Replicas).confirmedAt == TimePoint{});
    this->context.restart();
    follower.resume();
    this->context.run_for(std::chrono::seconds{20});
    CHECK(lists == 2);
    CHECK(follower.revision() == 12);
    CHECK(state.syncStates.at(StoreObjectKind::Replicas).confirmedAt > TimePoint{});
    REQUIRE(targets.size() >= 2);
    CHECK(targets[0]
          == this->dialect.listTarget(StoreObjectKind::Replicas, {}, ReadConsistency::Stale));
    CHECK(
        targets[1]
        == this->dialect.listTarget(StoreObjectKind::Replicas, {}, ReadConsistency::Linearizable));
    follower.stop();
}
