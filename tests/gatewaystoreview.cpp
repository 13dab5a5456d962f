#include <atomic>
#include <future>
#include <limits>
#include <thread>

#include <asio/ip/udp.hpp>
#include <catch2/catch.hpp>

#include "peer.pb.h"

#include "gatewayfixture.h"
#include "loopback.h"
#include "storeview.h"

using namespace plantainswitch;
using namespace plantainswitch::gateway;

namespace {

/// A router that leaves the watch to others of its data centre. One of them knows a newer
/// configuration and a newer list of upstreams; it sends configurations only when the test lets it.
class GatewayStoreViewFixture : public GatewayFixture
{
protected:
    GatewayStoreViewFixture()
    {
        this->addUpstream("plain-0", "plain",
                          [](ServerConnection &connection) { connection.waitForEnd(); });
        this->callPort = freePort(2);
        this->changeSettings([this](GatewaySettings &settings) {
            // One that is not chosen to watch the store beside these watchers.
            settings.id = "router-2";
            settings.peerDatagrams = {ownAddress(1), this->callPort};
            settings.peerCalls = {ownAddress(1), this->callPort};
        });
        this->server.emplace([this](ServerConnection &connection) { this->serve(connection); },
                             Endpoint{ownAddress(2), this->callPort});
    }
    ~GatewayStoreViewFixture()
    {
        this->isStopped = true;
        this->updates.join();
    }

    void startAmongWatchers()
    {
        this->updates = std::thread([this] { this->sendUpdates(); });
        this->start();
    }

    bool isDraining(const std::string &id)
    {
        std::promise<bool> draining;
        this->gateway->post([this, &id, &draining] {
            const auto upstream = this->gateway->sharedState().upstreams.find(id);
            draining.set_value(upstream && upstream->replica.draining);
        });
        return draining.get_future().get();
    }

    static constexpr std::uint64_t newVersion = 99;
    std::atomic<bool> sendsConfig = false;
    /// Time until the other router sends the first byte of a configuration.
    Milliseconds configDelay{0};

private:
    static constexpr std::uint64_t newRevision = 50;
    static constexpr int watchers = 6;

    void serve(ServerConnection &connection)
    {
        while (const auto request = connection.read()) {
            const auto query = parseStoreViewQuery(request->head.target);
            const bool asksForConfig = query && query->configVersion < newVersion;
            if (asksForConfig && !this->sendsConfig) {
                connection.waitForEnd();
                return;
            }
            StoreView view;
            view.revision = newRevision;
            view.routingDocument = makeRouting(newVersion);
            recordReplica(view, "plain-0", drainingEntry(), newRevision);
            std::this_thread::sleep_for(asksForConfig ? this->configDelay : Milliseconds{0});
            const std::string body =
                query ? serializeStoreView(view, newVersion, *query) : std::string();
            connection.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size())
                            + "\r\n\r\n" + body);
        }
    }

    static std::string drainingEntry()
    {
        return R"({"service":"plain","address":"127.0.0.1:1","zone":"hall-a","version":"v1",)"
               R"("slots":4,"state":"draining","coldLeftMs":0,"sequence":2})";
    }

    void sendUpdates()
    {
        asio::io_context context;
        std::vector<asio::ip::udp::socket> sockets;
        for (int i = 0; i < watchers; ++i) {
            const auto host = asio::ip::make_address(ownAddress(2 + i));
            sockets.emplace_back(context, asio::ip::udp::endpoint(host, 0));
        }
        const asio::ip::udp::endpoint to(asio::ip::make_address(ownAddress(1)), this->callPort);
        for (std::uint64_t sequence = 1; !this->isStopped; ++sequence) {
            for (int i = 0; i < watchers; ++i) {
                wire::GatewayDatagram datagram;
                wire::RouterNews &news = *datagram.mutable_news();
                news.set_id("watcher-" + std::to_string(i));
                news.set_place("hall-a");
                news.set_incarnation(1);
                news.set_sequence(sequence);
                news.set_store_connected(true);
                news.set_store_revision(i == 0 ? newRevision : 1);
                news.set_config_version(i == 0 ? newVersion : 1);
                asio::error_code ignored;
                sockets[static_cast<std::size_t>(i)].send_to(
                    asio::buffer(datagram.SerializeAsString()), to, 0, ignored);
            }
            std::this_thread::sleep_for(std::chrono::milliseconds{20});
        }
    }

    std::uint16_t callPort = 0;
    std::optional<ScriptedServer> server;
    std::atomic<bool> isStopped = false;
    std::thread updates;
};

} // namespace

TEST_CASE_METHOD(GatewayStoreViewFixture, "storeView_configIsSlow_drainingArrivesBeforeIt",
                 "[gateway]")
{
    // Guards against an upstream's draining that waits behind a large configuration.
    this->startAmongWatchers();
    CHECK(eventually([this] { return this->isDraining("plain-0"); }));
    CHECK(this->appliedConfigVersion() < newVersion);
    this->sendsConfig = true;
    CHECK(eventually([this] { return this->appliedConfigVersion() == newVersion; }));
}

TEST_CASE_METHOD(GatewayStoreViewFixture, "storeView_linkIsCongested_configArrivesAllTheSame",
                 "[gateway]")
{
    // Guards against fetches of a configuration that are all given up before the first byte, at one
    // router after the other.
    this->sendsConfig = true;
    this->configDelay = Milliseconds{600};
    this->startAmongWatchers();
    CHECK(eventually([this] { return this->appliedConfigVersion() == newVersion; }));
}
