#include <atomic>
#include <map>
#include <memory>

#include <asio/read.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>

#include "gatewayfixture.h"

using namespace plantainswitch;
using namespace plantainswitch::gateway;

namespace {

/// Upstreams that count their requests and respond by a function.
class GatewayBackoffFixture : public GatewayFixture
{
protected:
    using Responder = std::function<void(ServerConnection &, const ReceivedRequest &)>;

    void addCounting(const std::string &id, const std::string &service, Responder respond)
    {
        auto &count = this->counts[id];
        this->addUpstream(id, service,
                          [&count, respond = std::move(respond)](ServerConnection &connection) {
                              while (const auto request = connection.read()) {
                                  ++count;
                                  respond(connection, *request);
                              }
                          });
    }

    /// Rejects all requests and asks for a back-off of ten minutes.
    static void rejectWithBackoff(ServerConnection &connection, const ReceivedRequest &request)
    {
        connection.send(
            makeResponse(request, "", 503, "X-Not-Executed: 1\r\nRetry-After: 600\r\n"));
    }

    static void serve(ServerConnection &connection, const ReceivedRequest &request)
    {
        connection.send(makeResponse(request, "served"));
    }

    static std::string promptFields(int number)
    {
        return "X-Model: m\r\nX-Token-Count: 20,5\r\nX-Prompt-Prefix: a1:10,b"
               + std::to_string(number) + ":10\r\n";
    }

    static constexpr int callCount = 12;
    std::map<std::string, std::atomic<int>> counts;
};

} // namespace

TEST_CASE_METHOD(GatewayBackoffFixture, "backoff_requested_upstreamGetsNothingUntilItsEnd",
                 "[gateway]")
{
    // Guards against requests to an upstream that has asked this router for a back-off.
    this->addCounting("plain-0", "plain", rejectWithBackoff);
    this->addCounting("plain-1", "plain", serve);
    this->start();
    for (int i = 0; i < callCount; ++i) {
        CHECK(this->call(makeRequest("/safe/x", "a" + std::to_string(i))).body == "served");
    }
    CHECK(this->counts["plain-0"] <= 1);
}

TEST_CASE_METHOD(GatewayBackoffFixture, "backoff_ofOnlyUpstream_callersAreToldItsEnd", "[gateway]")
{
    // Guards against callers that wait in vain or return early while every upstream backs off.
    this->addCounting("plain-0", "plain", rejectWithBackoff);
    this->start();
    for (int i = 0; i < callCount; ++i) {
        const ReceivedResponse answer = this->call(makeRequest("/once/x", "a" + std::to_string(i)));
        CHECK(answer.status == 503);
        MessageHead head;
        head.fields = answer.fields;
        const std::string *const retryAfter = head.find("Retry-After");
        REQUIRE(retryAfter != nullptr);
        CHECK(std::stod(*retryAfter) > 500.0);
    }
    CHECK(this->counts["plain-0"] == 1);
}

TEST_CASE_METHOD(GatewayBackoffFixture, "backoff_thenStreamBreaks_resumesAtAnotherUpstream",
                 "[gateway]")
{
    // Guards against a resumption that reaches an upstream which backs off: the resumption excludes
    // only the upstreams that its own request was attempted on.
    std::atomic<int> served = 0;
    const auto serveOrBreak = [&served](ServerConnection &connection,
                                        const ReceivedRequest &request) {
        const int number = ++served;
        if (number % 2 == 1) {
            connection.send(makeStreamHead(request) + makeChunk(makeEvent(1)));
            connection.reset();
            return;
        }
        connection.send(makeStreamHead(request) + makeChunk(makeEvent(2)) + "0\r\n\r\n");
    };
    this->addCounting("model-0", "model", rejectWithBackoff);
    this->addCounting("model-1", "model", serveOrBreak);
    this->addCounting("model-2", "model", serveOrBreak);
    this->start();
    for (int i = 0; i < callCount; ++i) {
        this->call(makeRequest("/stream/x", "a" + std::to_string(i), {}, promptFields(i)));
    }
    CHECK(this->counts["model-0"] <= 1);
    CHECK(served > 0);
}

TEST_CASE_METHOD(GatewayBackoffFixture, "draining_announcedBesideSuccess_upstreamGetsNothingNew",
                 "[gateway]")
{
    // Guards against new requests to an upstream whose response said that it is leaving while the
    // store still lists it as ready.
    this->addCounting(
        "plain-0", "plain", [](ServerConnection &connection, const ReceivedRequest &request) {
            connection.send(makeResponse(request, "served", 200, "Server-Leaving: 1\r\n"));
        });
    this->addCounting("plain-1", "plain", serve);
    this->start();
    for (int i = 0; i < callCount; ++i) {
        CHECK(this->call(makeRequest("/safe/x", "a" + std::to_string(i))).body == "served");
    }
    CHECK(this->counts["plain-0"] <= 1);
}

TEST_CASE_METHOD(GatewayBackoffFixture, "draining_announcedBesideFailure_upstreamGetsNothingNew",
                 "[gateway]")
{
    // Guards against heeding the announcement in successful responses only. Both upstreams fail, so
    // that failures alone prefer neither.
    const auto failWith = [](const std::string &fields) {
        return [fields](ServerConnection &connection, const ReceivedRequest &request) {
            connection.send(makeResponse(request, "failed", 500, fields));
        };
    };
    this->addCounting("plain-0", "plain", failWith("Server-Leaving: 1\r\n"));
    this->addCounting("plain-1", "plain", failWith(""));
    this->start();
    for (int i = 0; i < callCount; ++i) {
        CHECK(this->call(makeRequest("/safe/x", "a" + std::to_string(i))).status == 500);
    }
    CHECK(this->counts["plain-0"] <= 1);
}

TEST_CASE_METHOD(GatewayBackoffFixture, "draining_announcedByStream_upstreamGetsNothingNew",
                 "[gateway]")
{
    // Guards against heeding the announcement only once the response has ended: a stream may run
    // for as long as its upstream takes to stop.
    this->addCounting("model-0", "model",
                      [](ServerConnection &connection, const ReceivedRequest &request) {
                          std::string head = makeStreamHead(request);
                          head.insert(head.size() - 2, "Server-Leaving: 1\r\n");
                          connection.send(head + makeChunk(makeEvent(1)));
                          connection.waitForEnd();
                      });
    this->addCounting(
        "model-1", "model", [](ServerConnection &connection, const ReceivedRequest &request) {
            connection.send(makeStreamHead(request) + makeChunk(makeEvent(1)) + "0\r\n\r\n");
        });
    this->start();
    std::vector<asio::ip::tcp::socket> running;
    for (int i = 0; i < callCount; ++i) {
        running.push_back(this->connectCaller());
        const std::string request =
            makeRequest("/stream/x", "a" + std::to_string(i), {}, promptFields(i));
        asio::write(running.back(), asio::buffer(request));
        std::string head(12, '\0');
        asio::read(running.back(), asio::buffer(head));
        CHECK(head.substr(9) == "200");
    }
    CHECK(this->counts["model-0"] <= 1);
}
