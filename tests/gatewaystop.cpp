#include <atomic>
#include <future>
#include <string>

#include <asio/write.hpp>
#include <catch2/catch.hpp>

#include "gatewayfixture.h"

using namespace plantainswitch;
using namespace plantainswitch::gateway;

namespace {

/// A gateway that stops within a short grace period. Its upstreams respond to no request with the
/// body "silent", and to others at once.
class GatewayStopFixture : public GatewayFixture
{
protected:
    void begin()
    {
        for (const char *const service : {"plain", "model"}) {
            this->addUpstream(std::string(service) + "-0", service,
                              [this](ServerConnection &connection) { this->serve(connection); });
        }
        this->changeSettings(
            [](GatewaySettings &settings) { settings.stopGrace = Milliseconds{3000}; });
        this->start();
    }

    void serve(ServerConnection &connection)
    {
        while (const auto request = connection.read()) {
            ++this->requests;
            if (request->body == "stream") {
                connection.send(makeStreamHead(*request) + makeChunk(makeEvent(1)));
            }
            if (request->body != "served") {
                connection.waitForEnd();
                return;
            }
            connection.send(makeResponse(*request, "whole"));
        }
    }

    void stop()
    {
        this->gateway->post([this] { this->gateway->stop(); });
        REQUIRE(eventually([this] { return !this->isReady(); }));
    }

    /// Waits until late requests are no longer admitted without condition.
    void waitUntilLate()
    {
        REQUIRE(eventually([this] {
            std::promise<bool> isLate;
            this->gateway->post([this, &isLate] {
                const GatewayState &state = this->gateway->sharedState();
                isLate.set_value(state.clock.now() > state.stopSchedule.admitAllUntil);
            });
            return isLate.get_future().get();
        }));
    }

    /// Begins to send a request before the stop, and ends late in it.
    ReceivedResponse callAcrossStop(const std::string &request)
    {
        asio::ip::tcp::socket socket = this->connectCaller();
        const std::size_t half = request.size() / 2;
        asio::write(socket, asio::buffer(request.substr(0, half)));
        this->stop();
        this->waitUntilLate();
        asio::write(socket, asio::buffer(request.substr(half)));
        return readResponse(socket);
    }

    static std::string withBudget(std::string request, const std::string &milliseconds)
    {
        const std::string budget = "X-Time-Budget: 4000";
        return request.replace(request.find(budget), budget.size(),
                               "X-Time-Budget: " + milliseconds);
    }

    static bool closes(const ReceivedResponse &response)
    {
        return std::any_of(response.fields.begin(), response.fields.end(),
                           [](const HeaderField &field) {
                               return field.name == "Connection" && field.value == "close";
                           });
    }

    std::atomic<int> requests = 0;
};

} // namespace

TEST_CASE_METHOD(GatewayStopFixture, "stop_lateRequestThatMayOutlastIt_isRefusedUnrun", "[gateway]")
{
    // Guards against late requests, also such that must not be repeated, that are passed on and cut
    // at the end of the grace period.
    const std::string path = GENERATE("/once/x", "/stream/x");
    this->begin();
    const ReceivedResponse response = this->callAcrossStop(makeRequest(path, "a1", "silent"));
    CHECK(response.status == 503);
    CHECK(response.isComplete);
    CHECK(closes(response));
    CHECK(this->requests == 0);
}

TEST_CASE_METHOD(GatewayStopFixture, "stop_lateRequestThatEndsBefore_isServed", "[gateway]")
{
    // Guards against refusals of requests for which there is time.
    this->begin();
    const ReceivedResponse response =
        this->callAcrossStop(withBudget(makeRequest("/once/x", "a1", "served"), "2000"));
    CHECK(response.status == 200);
    CHECK(response.body == "whole");
    CHECK(closes(response));
}

TEST_CASE_METHOD(GatewayStopFixture, "stop_requestsOnOpenAndNewConnections_areServed", "[gateway]")
{
    // Guards against refusals while the load balancer still chooses the router.
    this->begin();
    asio::ip::tcp::socket open = this->connectCaller();
    asio::write(open, asio::buffer(makeRequest("/once/x", "a1", "served")));
    CHECK(readResponse(open).body == "whole");
    this->stop();
    asio::write(open, asio::buffer(makeRequest("/once/x", "a2", "served")));
    const ReceivedResponse onOpen = readResponse(open);
    CHECK(onOpen.body == "whole");
    CHECK(closes(onOpen));
    const ReceivedResponse onNew = this->call(makeRequest("/once/x", "a3", "served"));
    CHECK(onNew.body == "whole");
    CHECK(closes(onNew));
}

TEST_CASE_METHOD(GatewayStopFixture, "stop_requestStillRuns_isAnsweredAndNotCut", "[gateway]")
{
    // Guards against requests that end without a response at the end of the grace period, so that
    // their callers don't know what became of them.
    this->begin();
    asio::ip::tcp::socket order = this->connectCaller();
    asio::ip::tcp::socket stream = this->connectCaller();
    asio::write(order, asio::buffer(makeRequest("/once/x", "a1", "silent")));
    asio::write(stream, asio::buffer(makeRequest("/stream/x", "a2", "stream")));
    REQUIRE(eventually([this] { return this->requests == 2; }));
    this->stop();
    const ReceivedResponse response = readResponse(order);
    CHECK(response.status == 502);
    CHECK(response.isComplete);
    const ReceivedResponse cut = readResponse(stream);
    CHECK(cut.status == 200);
    CHECK_FALSE(cut.isComplete);
}
