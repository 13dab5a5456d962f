#include <algorithm>
#include <atomic>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>

#include "gatewayfixture.h"

using namespace plantainswitch;
using namespace plantainswitch::gateway;

namespace {

/// Upstreams with four slots, as the store says, that let no request wait and announce that they
/// are brittle.
class GatewayBrittleFixture : public GatewayFixture
{
protected:
    struct Load
    {
        std::atomic<int> running = 0;
        std::atomic<int> rejected = 0;
        std::atomic<int> served = 0;
    };

    void addBrittle(const std::string &id, const std::string &service, const std::string &fields)
    {
        this->addUpstream(id, service, [this, fields](ServerConnection &connection) {
            while (const auto request = connection.read()) {
                this->respond(connection, *request, fields);
            }
        });
    }

    void respond(ServerConnection &connection, const ReceivedRequest &request,
                 const std::string &fields)
    {
        constexpr int slots = 4;
        if (this->load.running.fetch_add(1) >= slots) {
            this->load.running -= 1;
            this->load.rejected += 1;
            connection.send(makeResponse(request, "", 503, "X-Not-Executed: 1\r\n" + fields));
            return;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{100});
        this->load.running -= 1;
        this->load.served += 1;
        connection.send(makeResponse(request, "served", 200, fields));
    }

    /// Sends requests of many callers at once. \returns the number of status codes that are neither
    /// 200 nor 503.
    int callAtOnce(const std::string &fields)
    {
        constexpr int callers = 24;
        std::atomic<int> unexpected = 0;
        std::vector<std::thread> threads;
        threads.reserve(callers);
        for (int i = 0; i < callers; ++i) {
            threads.emplace_back([this, i, &unexpected, &fields] {
                const int status =
                    this->call(makeRequest("/safe/x", "b" + std::to_string(i), {}, fields)).status;
                unexpected += status == 200 || status == 503 ? 0 : 1;
            });
        }
        for (std::thread &thread : threads) {
            thread.join();
        }
        return unexpected;
    }

    Load load;
};

} // namespace

TEST_CASE_METHOD(GatewayBrittleFixture, "brittleUpstream_manyCallers_getsNoMoreThanItsSlots",
                 "[gateway]")
{
    // Guards against rejections for want of room, which crash a brittle upstream.
    this->addBrittle("plain-0", "plain", "Server-Brittle: 3\r\n");
    this->start();
    CHECK(this->call(makeRequest("/safe/x", "a1")).body == "served");
    CHECK(this->callAtOnce({}) == 0);
    CHECK(this->load.rejected <= 3);
    CHECK(this->load.served > 1);
}

TEST_CASE_METHOD(GatewayBrittleFixture, "brittleUpstream_announcedByRejection_isHeeded",
                 "[gateway]")
{
    // Guards against heeding the announcement in successful responses only.
    this->addUpstream("plain-0", "plain", [this](ServerConnection &connection) {
        while (const auto request = connection.read()) {
            this->load.rejected += 1;
            connection.send(
                makeResponse(*request, "", 503, "X-Not-Executed: 1\r\nServer-Brittle: 3\r\n"));
        }
    });
    this->start();
    CHECK(this->call(makeRequest("/safe/x", "a1")).status == 503);
    const int before = this->load.rejected;
    CHECK(this->callAtOnce({}) == 0);
    CHECK(this->load.rejected - before <= 3);
}

TEST_CASE_METHOD(GatewayBrittleFixture, "brittleAnnouncement_malformed_isIgnored", "[gateway]")
{
    this->addBrittle("plain-0", "plain", "Server-Brittle: often\r\n");
    this->start();
    CHECK(this->call(makeRequest("/safe/x", "a1")).body == "served");
    this->callAtOnce({});
    CHECK(this->load.rejected > 3);
}

TEST_CASE_METHOD(GatewayBrittleFixture, "brittleUpstream_connectionOfARunReset_keepsItsGrant",
                 "[gateway]")
{
    // Guards against a slot that is granted again although the upstream may go on with a run whose
    // connection was reset on its way.
    this->addUpstream("plain-0", "plain", [this](ServerConnection &connection) {
        while (const auto request = connection.read()) {
            if (request->body == "reset") {
                connection.reset();
                return;
            }
            connection.send(makeResponse(*request, "served", 200, "Server-Brittle: 3\r\n"));
        }
    });
    this->start();
    REQUIRE(this->call(makeRequest("/once/x", "a1")).body == "served");
    CHECK(this->call(makeRequest("/once/x", "a2", "reset")).status == 502);
    CHECK(eventually([this] {
        return this->getInternalPage("/metrics").body.find("plantainswitch_abandoned_grants 1\n")
               != std::string::npos;
    }));
}
