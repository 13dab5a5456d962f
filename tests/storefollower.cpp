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
    // A router starts while the store is down and hears of the upstreams from another router. Their
    // entries lapse. The router's first list, right after the outage, lacks them all: dropped at
    // once, every request would be refused though the upstreams work.
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
    // All routers of a large fleet start at once and list thousands of entries, page by page,
    // faster than the store allows. A router that began anew after each refusal never came to the
    // end, and one that took the first page's revision for heard told others that it knew all: they
    // asked for nothing older, and the whole fleet served nobody, as if there were no upstreams.
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
    // What changed since the first page came is heard by watching from there.
    CHECK(follower.revision() == 12);
    follower.stop();
}

TEST_CASE_METHOD(StoreFollowerFixture, "follower_confirmerOfSilentStore_asksAtItsInterval",
                 "[gateway]")
{
    // Guards against a confirmer that replaces its watch at each look while the store is silent.
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
    // Guards against taking a list that lacks the last seconds for proof of what the store holds.
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
