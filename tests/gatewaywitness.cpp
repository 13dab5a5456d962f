#include <array>
#include <atomic>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <asio/ip/udp.hpp>
#include <catch2/catch.hpp>

#include "peer.pb.h"

#include "gatewayfixture.h"

using namespace plantainswitch;
using namespace plantainswitch::gateway;

namespace {

/// Another router, of another data centre, which is asked to confirm origins of streams.
class Witness
{
public:
    /// \param to where the router under test receives updates
    explicit Witness(const Endpoint &to)
        : to(asio::ip::make_address(to.host), to.port)
        , thread([this] { this->run(); })
    {}
    ~Witness()
    {
        this->isStopped = true;
        this->thread.join();
    }
    Witness(const Witness &) = delete;
    Witness &operator=(const Witness &) = delete;

    /// Requests for the confirmation of one origin that it does not receive; all by default.
    std::atomic<int> lostRequests = -1;
    /// Origins that it has confirmed.
    std::atomic<int> confirmedCount = 0;

private:
    void run()
    {
        for (std::uint64_t sequence = 1; !this->isStopped; ++sequence) {
            wire::GatewayDatagram datagram;
            wire::RouterNews &news = *datagram.mutable_news();
            news.set_id("router-2");
            news.set_place("hall-b");
            news.set_incarnation(1);
            news.set_sequence(sequence);
            news.set_keeps_origins(true);
            news.set_confirms_origins(true);
            this->send(datagram);
            this->confirmReports();
            std::this_thread::sleep_for(std::chrono::milliseconds{2});
        }
    }

    void confirmReports()
    {
        std::array<char, 65536> buffer{};
        while (this->socket.available() > 0) {
            asio::ip::udp::endpoint from;
            const std::size_t size = this->socket.receive_from(asio::buffer(buffer), from);
            wire::GatewayDatagram received;
            const bool isParsed = received.ParseFromArray(buffer.data(), static_cast<int>(size));
            const std::uint64_t number =
                isParsed && received.has_origin_report() ? received.origin_report().number() : 0;
            const int lost = this->lostRequests;
            if (number == 0 || lost < 0 || this->received[number]++ < lost) {
                continue;
            }
            this->confirmedCount += received.origin_report().origins_size();
            wire::GatewayDatagram datagram;
            datagram.mutable_origin_confirmation()->set_number(number);
            this->send(datagram);
        }
    }

    void send(const wire::GatewayDatagram &datagram)
    {
        asio::error_code ignored;
        this->socket.send_to(asio::buffer(datagram.SerializeAsString()), this->to, 0, ignored);
    }

    asio::io_context context;
    asio::ip::udp::socket socket{this->context, {asio::ip::make_address("127.0.0.1"), 0}};
    asio::ip::udp::endpoint to;
    std::map<std::uint64_t, int> received;
    std::atomic<bool> isStopped = false;
    std::thread thread;
};

/// A router whose streams may begin at engines of several versions.
class GatewayWitnessFixture : public GatewayFixture
{
protected:
    void startWith(const std::vector<std::string> &versions)
    {
        for (std::size_t i = 0; i < versions.size(); ++i) {
            this->setVersion(versions[i]);
            this->addUpstream("model-" + std::to_string(i), "model",
                              [this, version = versions[i]](ServerConnection &connection) {
                                  while (const auto request = connection.read()) {
                                      this->recordRun(version);
                                      connection.send(makeStreamHead(*request)
                                                      + makeChunk(makeEvent(1)) + "0\r\n\r\n");
                                  }
                              });
        }
        this->addUpstream("plain-0", "plain", [](ServerConnection &connection) {
            while (const auto request = connection.read()) {
                connection.send(makeResponse(*request, "found"));
            }
        });
        this->start();
        this->witness =
            std::make_unique<Witness>(this->gateway->sharedState().fleet->localEndpoint());
        REQUIRE(eventually([this] { return this->knowsWitness(); }));
    }

    bool knowsWitness()
    {
        std::promise<bool> known;
        this->gateway->post([this, &known] {
            known.set_value(this->gateway->sharedState().peerLoads.knows("router-2", 1));
        });
        return known.get_future().get();
    }

    ReceivedResponse callStream()
    {
        return this->call(makeRequest("/stream/x", "a" + std::to_string(++this->streams)));
    }

    static bool isWhole(const ReceivedResponse &response)
    {
        return response.status == 200 && response.isComplete && response.body == makeEvent(1);
    }

    void recordRun(const std::string &version)
    {
        const std::lock_guard lock(this->mutex);
        ++this->runs;
        this->lastVersion = version;
    }

    /// \returns the version of the engine that ran the last stream.
    std::string versionOfRun()
    {
        const std::lock_guard lock(this->mutex);
        return this->lastVersion;
    }

    /// Lets the router forget the origins that it knows, as a restart does.
    void forgetOrigins()
    {
        std::promise<void> done;
        this->gateway->post([this, &done] {
            this->gateway->sharedState().streamOrigins = {};
            done.set_value();
        });
        done.get_future().get();
    }

    std::unique_ptr<Witness> witness;
    std::atomic<int> runs = 0;
    int streams = 0;

private:
    std::mutex mutex;
    std::string lastVersion;
};

} // namespace

TEST_CASE_METHOD(GatewayWitnessFixture, "streamOfMixedVersions_witnessAndStoreFail_givesNoEvent",
                 "[gateway]")
{
    // Guards against a caller with events of a stream whose version is lost with this router.
    this->startWith({"v1", "v2"});
    this->setOriginsRefused(true);
    const ReceivedResponse response = this->callStream();
    CHECK(response.status == 502);
    CHECK(response.body.empty());
}

TEST_CASE_METHOD(GatewayWitnessFixture, "streamOfMixedVersions_noWitnessConfirms_isRefusedAsNotRun",
                 "[gateway]")
{
    // Guards against streams that begin at a router which is cut off from all others.
    this->startWith({"v1", "v2"});
    this->setOriginsRefused(true);
    SECTION("while updates of the witness arrive")
    {
        this->callStream();
    }
    SECTION("after the witness is gone")
    {
        this->witness.reset();
    }
    REQUIRE(eventually([this] { return !this->isReady(); }));
    const int before = this->runs;
    CHECK(this->callStream().status == 503);
    CHECK(this->runs == before);
    CHECK(this->call(makeRequest("/safe/x", "plain")).status == 200);
    if (this->witness) {
        this->witness->lostRequests = 0;
        CHECK(eventually([this] { return this->isReady(); }));
        CHECK(isWhole(this->callStream()));
    }
}

TEST_CASE_METHOD(GatewayWitnessFixture, "streamOfMixedVersions_noWitnessConfirms_goesOnByTheStore",
                 "[gateway]")
{
    // Guards against refusing streams for the loss of all other routers, and against a stream that
    // only the store can tell the version of.
    this->startWith({"v1", "v2"});
    this->witness.reset();
    REQUIRE(eventually([this] { return !this->isReady(); }));
    REQUIRE(eventually([this] { return this->isReady(); }));
    for (int i = 0; i < 8; ++i) {
        CHECK(isWhole(this->callStream()));
        const std::string version = this->versionOfRun();
        const std::string first = "a" + std::to_string(this->streams);
        this->forgetOrigins();
        const ReceivedResponse response =
            this->call(makeRequest("/stream/x", "again" + std::to_string(i), {},
                                   "Resumes: " + first + "\r\nLast-Event-Id: 1\r\n"));
        CHECK(response.isComplete);
        CHECK(this->versionOfRun() == version);
    }
}

TEST_CASE_METHOD(GatewayWitnessFixture, "streamOfMixedVersions_requestsAreLost_followsConfirmation",
                 "[gateway]")
{
    // Guards against an origin that counts as confirmed because it was sent.
    this->startWith({"v1", "v2"});
    this->setOriginsRefused(true);
    this->witness->lostRequests = 2;
    for (int i = 1; i <= 3; ++i) {
        CHECK(isWhole(this->callStream()));
        CHECK(this->witness->confirmedCount == i);
    }
}

TEST_CASE_METHOD(GatewayWitnessFixture, "streamOfOneVersion_witnessIsSilent_isServed", "[gateway]")
{
    // Guards against routers that turn callers away although no version can be mistaken.
    this->startWith({"v1", "v1"});
    this->setOriginsRefused(true);
    for (int i = 0; i < 10; ++i) {
        CHECK(isWhole(this->callStream()));
    }
    CHECK(this->isReady());
}
