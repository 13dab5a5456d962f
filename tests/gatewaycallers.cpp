#include <array>
#include <atomic>
#include <mutex>

#include <asio/read.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>

#include "gatewayfixture.h"

using namespace plantainswitch;
using namespace plantainswitch::gateway;

namespace {

class GatewayCallersFixture : public GatewayFixture
{
protected:
    /// Adds a plain upstream that echoes the body of every request and records the request.
    void addEcho(const std::string &id = "echo-1")
    {
        this->addUpstream(id, "plain", [this](ServerConnection &connection) {
            while (const auto request = connection.read()) {
                {
                    const std::lock_guard lock(this->mutex);
                    this->seen.push_back(*request);
                }
                connection.send(makeResponse(*request, "echo " + request->body));
            }
        });
    }

    std::size_t seenCount()
    {
        const std::lock_guard lock(this->mutex);
        return this->seen.size();
    }

    std::mutex mutex;
    std::vector<ReceivedRequest> seen;
};

std::string valueOf(const std::vector<HeaderField> &fields, std::string_view name)
{
    for (const HeaderField &field : fields) {
        if (isSameFieldName(field.name, name)) {
            return field.value;
        }
    }
    return {};
}

} // namespace

TEST_CASE_METHOD(GatewayCallersFixture, "gateway_plainRequest_getsTheUpstreamsWholeAnswer",
                 "[gateway]")
{
    this->addEcho();
    this->start();
    const ReceivedResponse answer = this->call(makeRequest("/once/x?a=1", "a1", "hello"));
    CHECK(answer.status == 200);
    CHECK(answer.body == "echo hello");
    CHECK(answer.isComplete);
    CHECK(valueOf(answer.fields, "X-Server-Stamp") == "stamp");
    REQUIRE(this->seenCount() == 1);
    const MessageHead &head = this->seen.front().head;
    CHECK(head.target == "/once/x?a=1");
    CHECK(*head.find("X-Expect-Instance") == "echo-1");
    CHECK(*head.find("X-Tenant") == "alpha");
    CHECK(head.find("Authorization") == nullptr);
    CHECK(std::stoi(*head.find("X-Time-Budget")) <= 4000);
}

TEST_CASE_METHOD(GatewayCallersFixture, "gateway_fieldsThatOnlyTheRouterSets_areDropped",
                 "[gateway]")
{
    // Guards against spoofing: a caller sends header fields that claim another workspace or an
    // engine's reserved memory. The upstream must only see the values that the router sets.
    this->addEcho();
    this->start();
    this->call(makeRequest("/once/x", "a1", "",
                           "X-Tenant: beta\r\nX-Hold: h\r\nKv-From: 1:2/h\r\nKv-Fetch: 1:2\r\n"
                           "X-Expect-Instance: other\r\nX-Own: kept\r\n"));
    REQUIRE(this->seenCount() == 1);
    const MessageHead &head = this->seen.front().head;
    CHECK(head.count("X-Tenant") == 1);
    CHECK(*head.find("X-Tenant") == "alpha");
    CHECK(head.count("X-Expect-Instance") == 1);
    CHECK(head.find("X-Hold") == nullptr);
    CHECK(head.find("Kv-From") == nullptr);
    CHECK(head.find("Kv-Fetch") == nullptr);
    CHECK(*head.find("X-Own") == "kept");
}

TEST_CASE_METHOD(GatewayCallersFixture, "gateway_unknownKeyOrRoute_isRefusedUnrun", "[gateway]")
{
    this->addEcho();
    this->start();
    std::string stranger = makeRequest("/once/x", "a1");
    stranger.replace(stranger.find("key-a"), 5, "key-z");
    CHECK(this->call(stranger).status == 401);
    CHECK(this->call(makeRequest("/nothing/x", "a2")).status == 404);
    CHECK(this->seenCount() == 0);
}

TEST_CASE_METHOD(GatewayCallersFixture, "gateway_noUpstream_refusesAtOnceWithTimeToComeBack",
                 "[gateway]")
{
    this->start();
    const ReceivedResponse answer = this->call(makeRequest("/once/x", "a1"));
    CHECK(answer.status == 503);
    CHECK_FALSE(valueOf(answer.fields, "Retry-After").empty());
    CHECK(valueOf(answer.fields, "X-Server-Stamp").empty());
}

TEST_CASE_METHOD(GatewayCallersFixture, "gateway_requestWithTwoReadings_reachesNoUpstream",
                 "[gateway]")
{
    // Guards against request smuggling: a caller hides a second request in the first. The router
    // would read one request, the upstream two, and the second would run in the name of another
    // caller. Any ambiguous message must end the connection and must not be forwarded.
    this->addEcho();
    this->start();
    const std::string head = "POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a1\r\n"
                             "Authorization: Bearer key-a\r\n";
    const std::string hidden = "GET /safe/y HTTP/1.1\r\nHost: h.example\r\n\r\n";
    const std::vector<std::string> heads{
        "Content-Length: 5\r\nContent-Length: 6\r\n\r\n",
        "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
        "Content-Length : 5\r\n\r\n",
        "Content-Length: 5\n\r\n",
        "X-Folded: a\r\n b\r\nContent-Length: 5\r\n\r\n",
        "Content-Length: +5\r\n\r\n",
        "X-Bare: a\rb\r\nContent-Length: 5\r\n\r\n",
        "Transfer-Encoding: chunked, identity\r\nContent-Length: 5\r\n\r\n",
    };
    for (const std::string &rest : heads) {
        INFO(rest);
        std::string bytes = head;
        bytes.append(rest).append(hidden);
        const ReceivedResponse answer = this->call(bytes);
        CHECK((answer.status == 0 || answer.status == 400));
    }
    CHECK(this->seenCount() == 0);
}

TEST_CASE_METHOD(GatewayCallersFixture, "gateway_severalRequestsAhead_areAnsweredInOrder",
                 "[gateway]")
{
    this->addEcho();
    this->start();
    asio::ip::tcp::socket socket = this->connectCaller();
    std::string all;
    for (int i = 0; i < 5; ++i) {
        all.append(makeRequest("/safe/x", "a" + std::to_string(i), std::to_string(i)));
    }
    asio::write(socket, asio::buffer(all));
    // Reads by hand, as the fixture's parser keeps no bytes between responses.
    std::string bytes;
    std::array<char, 4096> buffer{};
    while (bytes.find("echo 4") == std::string::npos) {
        asio::error_code error;
        const std::size_t size = socket.read_some(asio::buffer(buffer), error);
        REQUIRE_FALSE(error);
        bytes.append(buffer.data(), size);
    }
    std::size_t at = 0;
    for (int i = 0; i < 5; ++i) {
        at = bytes.find("echo " + std::to_string(i), at);
        CHECK(at != std::string::npos);
    }
}

TEST_CASE_METHOD(GatewayCallersFixture, "gateway_bodyInChunks_reachesTheUpstreamWhole", "[gateway]")
{
    this->addEcho();
    this->start();
    const ReceivedResponse answer =
        this->call("POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a1\r\n"
                   "Authorization: Bearer key-a\r\nTransfer-Encoding: chunked\r\n\r\n"
                   "3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n");
    CHECK(answer.body == "echo abcdefg");
}

TEST_CASE_METHOD(GatewayCallersFixture, "gateway_bodyAboveTheLimit_isRefused", "[gateway]")
{
    this->addEcho();
    this->start();
    CHECK(this->call("POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a1\r\n"
                     "Content-Length: 100001\r\n\r\n")
              .status
          == 413);
}

TEST_CASE_METHOD(GatewayCallersFixture, "gateway_callerLeaves_upstreamSeesItsConnectionEnd",
                 "[gateway]")
{
    // Guards against work for a caller that has disconnected: when it does so before the first byte
    // of its response, the connection to the upstream must be closed at once.
    std::atomic<bool> begun = false;
    std::atomic<bool> ended = false;
    this->addUpstream("slow-1", "plain", [&begun, &ended](ServerConnection &connection) {
        if (connection.read()) {
            begun = true;
            connection.waitForEnd();
            ended = true;
        }
    });
    this->start();
    {
        asio::ip::tcp::socket socket = this->connectCaller();
        asio::write(socket, asio::buffer(makeRequest("/once/x", "a1")));
        CHECK(eventually([&begun] { return begun.load(); }));
    }
    CHECK(eventually([&ended] { return ended.load(); }));
}

TEST_CASE_METHOD(GatewayCallersFixture, "gateway_stop_isNotReadyAndEndsRunningStreamWhole",
                 "[gateway]")
{
    // Guards against streams cut by a planned stop: the load balancer must learn at once that the
    // router is not ready; the stream must be completed and its connection closed after it.
    std::atomic<bool> goOn = false;
    this->addUpstream("engine-1", "model", [&goOn](ServerConnection &connection) {
        const auto request = connection.read();
        if (!request) {
            return;
        }
        connection.send(makeStreamHead(*request) + makeChunk(makeEvent(1)));
        eventually([&goOn] { return goOn.load(); });
        connection.send(makeChunk(makeEvent(2)) + "0\r\n\r\n");
        connection.waitForEnd();
    });
    this->start();
    asio::ip::tcp::socket socket = this->connectCaller();
    asio::write(socket, asio::buffer(makeRequest("/stream/x", "a1")));
    std::array<char, 1> first{};
    asio::read(socket, asio::buffer(first));
    this->gateway->post([this] { this->gateway->stop(); });
    CHECK(eventually([this] { return !this->isReady(); }));
    goOn = true;
    std::string bytes(first.data(), 1);
    std::array<char, 4096> buffer{};
    while (bytes.find("0\r\n\r\n") == std::string::npos) {
        asio::error_code error;
        const std::size_t size = socket.read_some(asio::buffer(buffer), error);
        REQUIRE_FALSE(error);
        bytes.append(buffer.data(), size);
    }
    CHECK(bytes.find(makeEvent(2)) != std::string::npos);
    asio::error_code error;
    socket.read_some(asio::buffer(buffer), error);
    CHECK(error == asio::error::eof);
}

TEST_CASE_METHOD(GatewayCallersFixture, "gateway_ended_laterSignalsCannotEndTheProcess",
                 "[gateway]")
{
    // Guards against a clean stop that looks like a crash: another signal arrives during the
    // shutdown, when its handlers are already gone and the default disposition would terminate the
    // process.
    this->start();
    CHECK(this->isSignalBlockedAfterStop(SIGHUP));
    CHECK(this->isSignalBlockedAfterStop(SIGTERM));
}

TEST_CASE_METHOD(GatewayCallersFixture, "gateway_metricsPage_tellsWhatItBelievesAndHowOldThatIs",
                 "[gateway]")
{
    this->addUpstream("engine-1", "model",
                      [](ServerConnection &connection) { connection.waitForEnd(); });
    this->start();
    const ReceivedResponse page = this->getInternalPage("/metrics");
    CHECK(page.status == 200);
    CHECK(page.body.find("plantainswitch_config_version 7\n") != std::string::npos);
    CHECK(page.body.find("plantainswitch_config_age_seconds ") != std::string::npos);
    CHECK(eventually([this] {
        return this->getInternalPage("/metrics").body.find("plantainswitch_store_connected 1\n")
               != std::string::npos;
    }));
    CHECK(page.body.find(R"(upstreams{service="model",condition="usable"} 1)")
          != std::string::npos);
}
