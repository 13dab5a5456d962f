#include <atomic>
#include <future>
#include <vector>

#include <asio/ip/udp.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>

#include "peer.pb.h"

#include "gatewayfixture.h"

using namespace plantainswitch;
using namespace plantainswitch::gateway;

namespace {

/// A router whose event loop stands still while the test sends it events of several kinds.
class GatewayOverloadFixture : public GatewayFixture
{
protected:
    GatewayOverloadFixture()
    {
        this->addUpstream("plain-0", "plain", [this](ServerConnection &connection) {
            while (const auto request = connection.read()) {
                ++this->executions;
                connection.send(makeResponse(*request, "done"));
            }
        });
        this->changeSettings([](GatewaySettings &settings) { settings.followsEvacuations = true; });
    }

    /// Blocks the event loop until resume().
    void stall()
    {
        this->released = std::promise<void>();
        std::promise<void> stalled;
        this->gateway->post([this, &stalled] {
            stalled.set_value();
            this->released.get_future().wait();
        });
        stalled.get_future().wait();
    }

    void resume() { this->released.set_value(); }

    /// Sends an update of another router.
    /// \param evacuates whether it reports that the upstreams' data centre is evacuated
    void sendUpdate(int number, bool evacuates)
    {
        wire::GatewayDatagram datagram;
        datagram.mutable_news()->set_id("router-" + std::to_string(number));
        datagram.mutable_news()->set_place("hall-a");
        datagram.mutable_news()->set_incarnation(1);
        datagram.mutable_news()->set_sequence(1);
        if (evacuates) {
            datagram.mutable_news()->set_evacuations_revision(9);
            datagram.mutable_news()->add_evacuated("hall-a");
        }
        const Endpoint to = this->gateway->datagramEndpoint();
        this->peer.send_to(asio::buffer(datagram.SerializeAsString()),
                           {asio::ip::make_address(to.host), to.port});
    }

    /// Sends a request on each of \a callers.
    static void sendRequests(std::vector<asio::ip::tcp::socket> &callers)
    {
        int number = 0;
        for (asio::ip::tcp::socket &caller : callers) {
            const std::string attempt = "a" + std::to_string(++number);
            asio::write(caller, asio::buffer(makeRequest("/safe/x", attempt)));
        }
    }

    std::vector<asio::ip::tcp::socket> connectCallers(int count)
    {
        std::vector<asio::ip::tcp::socket> callers;
        callers.reserve(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i) {
            callers.push_back(this->connectCaller());
        }
        return callers;
    }

    std::uint64_t acceptedConnections()
    {
        std::promise<std::uint64_t> accepted;
        this->gateway->post([this, &accepted] {
            accepted.set_value(
                this->gateway->sharedState().metrics.value(Counter::ConnectionsAccepted));
        });
        return accepted.get_future().get();
    }

    /// Runs \a done after \a turns events, the work of each of which waits behind all others.
    void afterTurns(int turns, std::function<void()> done)
    {
        this->gateway->post([this, turns, done = std::move(done)]() mutable {
            this->gateway->sharedState().work.push([this, turns, done = std::move(done)]() mutable {
                if (turns == 0) {
                    done();
                } else {
                    this->afterTurns(turns - 1, std::move(done));
                }
            });
        });
    }

    std::atomic<int> executions = 0;

private:
    std::promise<void> released;
    asio::ip::udp::socket peer{this->callerContext, {asio::ip::make_address("127.0.0.1"), 0}};
};

} // namespace

TEST_CASE_METHOD(GatewayOverloadFixture,
                 "updatesOfPeers_severalWait_allAreReadBeforeTheNextRequest", "[gateway]")
{
    // Guards against an overloaded router that reads one datagram in each turn of its event loop:
    // it takes its peers for lost, and learns of changes too late.
    this->start();
    std::vector<asio::ip::tcp::socket> callers = this->connectCallers(1);
    asio::write(callers.front(), asio::buffer(makeRequest("/safe/x", "a0")));
    REQUIRE(readResponse(callers.front()).status == 200);
    this->stall();
    constexpr int peers = 60;
    for (int i = 1; i <= peers; ++i) {
        this->sendUpdate(i, i == peers);
    }
    sendRequests(callers);
    this->resume();
    CHECK(readResponse(callers.front()).status == 503);
}

TEST_CASE_METHOD(GatewayOverloadFixture, "updateOfAPeer_manyRequestsWait_isReadBeforeThem",
                 "[gateway]")
{
    // Guards against a router whose callers delay what it learns from its peers.
    this->start();
    std::vector<asio::ip::tcp::socket> callers = this->connectCallers(40);
    REQUIRE(eventually([this] { return this->acceptedConnections() >= 40; }));
    this->stall();
    sendRequests(callers);
    this->sendUpdate(1, true);
    this->resume();
    int refused = 0;
    for (asio::ip::tcp::socket &caller : callers) {
        refused += readResponse(caller).status == 503 ? 1 : 0;
    }
    CHECK(refused == 40);
    CHECK(this->executions == 0);
}

TEST_CASE_METHOD(GatewayOverloadFixture, "newConnections_manyWait_areAcceptedWithinFewTurns",
                 "[gateway]")
{
    // Guards against an overloaded router that reports itself ready and accepts one connection in
    // each turn of its event loop.
    this->start();
    const std::uint64_t before = this->acceptedConnections();
    constexpr int connections = 30;
    this->stall();
    const std::vector<asio::ip::tcp::socket> callers = this->connectCallers(connections);
    std::promise<std::uint64_t> accepted;
    this->afterTurns(3, [this, &accepted] {
        accepted.set_value(
            this->gateway->sharedState().metrics.value(Counter::ConnectionsAccepted));
    });
    this->resume();
    CHECK(accepted.get_future().get() - before == connections);
}

TEST_CASE_METHOD(GatewayOverloadFixture, "callers_haveLeftBeforeTheirRequestsAreRead_nothingIsSent",
                 "[gateway]")
{
    // Guards against an overloaded router that sends requests on whose callers have given up.
    this->start();
    std::vector<asio::ip::tcp::socket> callers = this->connectCallers(20);
    REQUIRE(eventually([this] { return this->acceptedConnections() >= 20; }));
    this->stall();
    sendRequests(callers);
    for (asio::ip::tcp::socket &caller : callers) {
        caller.close();
    }
    this->resume();
    CHECK(this->call(makeRequest("/safe/x", "last")).status == 200);
    CHECK(this->executions == 1);
}
