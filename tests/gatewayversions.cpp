#include <array>
#include <atomic>
#include <functional>
#include <future>
#include <map>
#include <mutex>
#include <set>
#include <thread>

#include <asio/ip/udp.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>

#include "peer.pb.h"

#include "gatewayfixture.h"

using namespace plantainswitch;
using namespace plantainswitch::gateway;

namespace {

/// Engines of two software versions, which write their version into each event.
class GatewayVersionsFixture : public GatewayFixture
{
protected:
    using StreamEnd = std::function<void(ServerConnection &)>;

    /// Adds an engine of \a version that calls \a end after the first event of each new stream, and
    /// completes each resumed one with its next event.
    void addEngine(const std::string &id, const std::string &version, const StreamEnd &end)
    {
        this->setVersion(version);
        this->addUpstream(id, "model", [this, version, end](ServerConnection &connection) {
            while (const auto request = connection.read()) {
                const std::string *const last = request->head.find("Last-Event-Id");
                const int next = last == nullptr ? 1 : std::stoi(*last) + 1;
                connection.send(makeStreamHead(*request)
                                + makeChunk(makeVersionedEvent(next, version)));
                if (last == nullptr) {
                    end(connection);
                    return;
                }
                ++this->resumed;
                connection.send("0\r\n\r\n");
            }
        });
    }

    /// Adds an engine that breaks new streams off.
    void addBreaking(const std::string &id, const std::string &version)
    {
        this->addEngine(id, version, [](ServerConnection &connection) { connection.reset(); });
    }

    /// Adds an engine that leaves new streams open until their caller disconnects.
    void addWaiting(const std::string &id, const std::string &version)
    {
        this->addEngine(id, version, [](ServerConnection &connection) { connection.waitForEnd(); });
    }

    static std::string makeVersionedEvent(int id, const std::string &version)
    {
        return "id: " + std::to_string(id) + "\ndata: of " + version + ";\n\n";
    }

    /// \returns the versions whose events \a body holds.
    static std::set<std::string> versionsIn(const std::string &body)
    {
        std::set<std::string> versions;
        for (std::size_t at = body.find("of "); at != std::string::npos;
             at = body.find("of ", at + 1)) {
            versions.insert(body.substr(at + 3, body.find(';', at) - at - 3));
        }
        return versions;
    }

    static std::string promptFields(int number)
    {
        return "X-Model: m\r\nX-Token-Count: 20,5\r\nX-Prompt-Prefix: a1:10,b"
               + std::to_string(number) + ":10\r\n";
    }

    static std::string makeStreamRequest(int number, const std::string &attempt,
                                         const std::string &more = {})
    {
        return makeRequest("/stream/x", attempt, {}, promptFields(number) + more);
    }

    static std::string resumption(const std::string &attempt, int lastEvent)
    {
        return "Resumes: " + attempt + "\r\nLast-Event-Id: " + std::to_string(lastEvent) + "\r\n";
    }

    /// \returns a request without a prompt, which no engine has a claim to.
    static std::string makePromptlessRequest(const std::string &attempt,
                                             const std::string &more = {})
    {
        return makeRequest("/stream/x", attempt, {}, more);
    }

    /// Sends a request on a connection of its own, which is closed after the first event.
    /// \returns the version that wrote it.
    std::string readFirstEvent(const std::string &attempt)
    {
        asio::ip::tcp::socket caller = this->connectCaller();
        asio::write(caller, asio::buffer(makePromptlessRequest(attempt)));
        std::string received;
        asio::read_until(caller, asio::dynamic_buffer(received), ";");
        const std::set<std::string> versions = versionsIn(received);
        return versions.empty() ? std::string() : *versions.begin();
    }

    static constexpr int streamCount = 12;
    std::atomic<int> resumed = 0;
};

/// Another router, which keeps the origins of streams.
class OriginPeer
{
public:
    /// \param to where the router under test receives updates
    /// \param reports whether its updates carry \a known; it is asked for them otherwise
    /// \param incarnation when its process was started
    OriginPeer(const Endpoint &to, std::map<StreamKey, VersionKey> known, bool reports,
               std::uint64_t incarnation = 1)
        : to(asio::ip::make_address(to.host), to.port)
        , known(std::move(known))
        , reports(reports)
        , incarnation(incarnation)
        , thread([this] { this->run(); })
    {}
    ~OriginPeer()
    {
        this->isStopped = true;
        this->thread.join();
    }
    OriginPeer(const OriginPeer &) = delete;
    OriginPeer &operator=(const OriginPeer &) = delete;

    /// \returns the origins that were reported to this router outside of updates.
    std::map<StreamKey, VersionKey> reportedOrigins()
    {
        const std::lock_guard lock(this->mutex);
        return this->reported;
    }

    std::atomic<int> askCount = 0;

private:
    void recordReport(const wire::OriginReport &report)
    {
        const std::lock_guard lock(this->mutex);
        for (const wire::StreamOrigins &group : report.origins()) {
            for (const StreamKey stream : group.streams()) {
                this->reported[stream] = group.version();
            }
        }
    }

    void run()
    {
        for (std::uint64_t sequence = 1; !this->isStopped; ++sequence) {
            wire::GatewayDatagram datagram;
            wire::RouterNews &news = *datagram.mutable_news();
            news.set_id("router-2");
            news.set_place("hall-b");
            news.set_incarnation(this->incarnation);
            news.set_sequence(sequence);
            news.set_keeps_origins(true);
            for (const auto &[stream, version] : this->known) {
                if (this->reports) {
                    wire::StreamOrigins *const origins = news.add_origins();
                    origins->set_version(version);
                    origins->add_streams(stream);
                    origins->add_left_ms(keptTime);
                    origins->set_owner(routerProcessOf("router-2", this->incarnation));
                }
            }
            this->send(datagram);
            this->replyToAsks();
            std::this_thread::sleep_for(std::chrono::milliseconds{2});
        }
    }

    void replyToAsks()
    {
        std::array<char, 65536> buffer{};
        while (this->socket.available() > 0) {
            asio::ip::udp::endpoint from;
            const std::size_t size = this->socket.receive_from(asio::buffer(buffer), from);
            wire::GatewayDatagram received;
            const bool isParsed = received.ParseFromArray(buffer.data(), static_cast<int>(size));
            if (isParsed && received.has_origin_report()) {
                this->recordReport(received.origin_report());
            }
            if (!isParsed || !received.has_origin_ask()) {
                continue;
            }
            ++this->askCount;
            wire::GatewayDatagram datagram;
            wire::OriginReply &reply = *datagram.mutable_origin_reply();
            reply.set_number(received.origin_ask().number());
            const auto found = this->known.find(received.origin_ask().stream());
            reply.set_known(found != this->known.end());
            if (found != this->known.end()) {
                reply.set_version(found->second);
                reply.set_left_ms(keptTime);
            }
            this->send(datagram);
        }
    }

    void send(const wire::GatewayDatagram &datagram)
    {
        asio::error_code ignored;
        this->socket.send_to(asio::buffer(datagram.SerializeAsString()), this->to, 0, ignored);
    }

    static constexpr std::uint32_t keptTime = 60'000;
    asio::io_context context;
    asio::ip::udp::socket socket{this->context, {asio::ip::make_address("127.0.0.1"), 0}};
    asio::ip::udp::endpoint to;
    std::map<StreamKey, VersionKey> known;
    bool reports;
    std::uint64_t incarnation;
    std::mutex mutex;
    std::map<StreamKey, VersionKey> reported;
    std::atomic<bool> isStopped = false;
    std::thread thread;
};

/// A router that meets another one.
class GatewayPeerFixture : public GatewayVersionsFixture
{
protected:
    static StreamKey keyOf(int number)
    {
        return streamKeyOf("elsewhere" + std::to_string(number), "alpha", "model");
    }

    static VersionKey versionOf(int number)
    {
        Replica replica;
        replica.service = "model";
        replica.version = versionName(number);
        return versionKeyOf(replica);
    }

    static std::string versionName(int number) { return number % 2 == 0 ? "v1" : "v2"; }

    /// \returns the origins of all streams that began elsewhere.
    static std::map<StreamKey, VersionKey> originsElsewhere()
    {
        std::map<StreamKey, VersionKey> origins;
        for (int i = 0; i < streamCount; ++i) {
            origins.emplace(keyOf(i), versionOf(i));
        }
        return origins;
    }

    void waitForPeer()
    {
        eventually([this] {
            std::promise<bool> known;
            this->gateway->post([this, &known] {
                known.set_value(this->gateway->sharedState().peerLoads.knows("router-2", 1));
            });
            return known.get_future().get();
        });
    }

    /// Takes up streams that began elsewhere, and checks that they go on at their version.
    void takeUpAll()
    {
        for (int i = 0; i < streamCount; ++i) {
            const ReceivedResponse answer = this->call(makePromptlessRequest(
                "b" + std::to_string(i), resumption("elsewhere" + std::to_string(i), 4)));
            CHECK(versionsIn(answer.body) == std::set<std::string>{versionName(i)});
            CHECK(answer.isComplete);
        }
    }
};

/// A router that other routers tell where streams began.
class GatewayOriginFixture : public GatewayPeerFixture
{
protected:
    GatewayOriginFixture()
    {
        for (const std::string version : {"v1", "v2"}) {
            this->addWaiting("model-0-" + version, version);
            this->addWaiting("model-1-" + version, version);
        }
    }
};

/// A router whose callers receive streams that don't end.
class GatewayHandoverFixture : public GatewayPeerFixture
{
protected:
    GatewayHandoverFixture()
    {
        this->addWaiting("model-v1", "v1");
        this->addWaiting("model-v2", "v2");
    }

    /// Begins streams at engines of both versions.
    /// \returns the callers that receive them.
    std::vector<asio::ip::tcp::socket> beginStreams()
    {
        std::vector<asio::ip::tcp::socket> callers;
        for (int i = 0; i < streamCount; ++i) {
            const std::string attempt = "running" + std::to_string(i);
            callers.push_back(this->connectCaller());
            asio::write(callers.back(), asio::buffer(makePromptlessRequest(attempt)));
            std::string received;
            asio::read_until(callers.back(), asio::dynamic_buffer(received), ";");
            const bool isOfFirst = versionsIn(received).contains(versionName(0));
            this->begun.emplace(streamKeyOf(attempt, "alpha", "model"),
                                versionOf(isOfFirst ? 0 : 1));
        }
        return callers;
    }

    /// Waits until regular updates no longer carry the origins of the streams.
    void waitUntilUpdatesEnd()
    {
        REQUIRE(eventually([this] {
            std::promise<bool> isEmpty;
            this->gateway->post([this, &isEmpty] {
                isEmpty.set_value(
                    this->gateway->sharedState().updateLog.originsSince({}, 1).empty());
            });
            return isEmpty.get_future().get();
        }));
    }

    std::map<StreamKey, VersionKey> begun;
};

} // namespace

TEST_CASE_METHOD(GatewayHandoverFixture, "versions_routerJoins_learnsWhereRunningStreamsBegan",
                 "[gateway]")
{
    // Guards against streams that no router knows any more after all were restarted in turn.
    this->start();
    const std::vector<asio::ip::tcp::socket> callers = this->beginStreams();
    this->waitUntilUpdatesEnd();
    OriginPeer peer(this->gateway->datagramEndpoint(), {}, false);
    CHECK(eventually([this, &peer] { return peer.reportedOrigins() == this->begun; }));
}

TEST_CASE_METHOD(GatewayOriginFixture, "versions_routerJoins_learnsWhereStreamsOfLostRoutersBegan",
                 "[gateway]")
{
    // Guards against streams of a killed router that nobody knows once the others were restarted.
    this->start();
    {
        const OriginPeer lost(this->gateway->datagramEndpoint(), originsElsewhere(), true);
        this->waitForPeer();
    }
    REQUIRE(eventually([this] {
        std::promise<bool> isGone;
        this->gateway->post([this, &isGone] {
            isGone.set_value(this->gateway->sharedState().peerLoads.routerCount() == 0);
        });
        return isGone.get_future().get();
    }));
    OriginPeer peer(this->gateway->datagramEndpoint(), {}, false, 2);
    CHECK(eventually([&peer] { return peer.reportedOrigins() == originsElsewhere(); }));
}

TEST_CASE_METHOD(GatewayHandoverFixture, "versions_routerStops_passesOnWhereItsStreamsBegan",
                 "[gateway]")
{
    // Guards against callers of a stopped router whose streams are refused everywhere else.
    this->start();
    OriginPeer peer(this->gateway->datagramEndpoint(), {}, false);
    this->waitForPeer();
    const std::vector<asio::ip::tcp::socket> callers = this->beginStreams();
    CHECK(peer.reportedOrigins().empty());
    this->gateway->post([this] { this->gateway->forceStop(); });
    CHECK(eventually([this, &peer] { return peer.reportedOrigins() == this->begun; }));
}

TEST_CASE_METHOD(GatewayOriginFixture, "versions_originReportedByAnotherRouter_goesOnThere",
                 "[gateway]")
{
    // Guards against a stream that can't go on because the router that began it was killed.
    this->start();
    const OriginPeer peer(this->gateway->datagramEndpoint(), originsElsewhere(), true);
    this->waitForPeer();
    this->takeUpAll();
    CHECK(peer.askCount == 0);
}

TEST_CASE_METHOD(GatewayOriginFixture, "versions_originKnownElsewhere_isAskedFor", "[gateway]")
{
    // Guards against a stream that can't go on because no report of its origin has arrived.
    this->start();
    const OriginPeer peer(this->gateway->datagramEndpoint(), originsElsewhere(), false);
    this->waitForPeer();
    this->takeUpAll();
    CHECK(peer.askCount >= streamCount);
}

TEST_CASE_METHOD(GatewayOriginFixture, "versions_callerNamesStreamOfAnotherService_refused",
                 "[gateway]")
{
    // Guards against a stream that goes on for a caller who names an attempt that isn't its own.
    this->start();
    std::map<StreamKey, VersionKey> origins;
    origins.emplace(streamKeyOf("elsewhere0", "beta", "model"), versionOf(0));
    origins.emplace(streamKeyOf("elsewhere0", "alpha", "plain"), versionOf(0));
    const OriginPeer peer(this->gateway->datagramEndpoint(), origins, true);
    this->waitForPeer();
    const ReceivedResponse answer =
        this->call(makePromptlessRequest("b", resumption("elsewhere0", 4)));
    CHECK(answer.status == 503);
    CHECK(this->resumed == 0);
}

TEST_CASE_METHOD(GatewayOriginFixture, "versions_noUpstreamOfTheVersionLeft_refusedAtOnce",
                 "[gateway]")
{
    // Guards against a caller that waits until its deadline for a version that is gone.
    this->start();
    Replica gone;
    gone.service = "model";
    gone.version = "v0";
    const OriginPeer peer(this->gateway->datagramEndpoint(), {{keyOf(0), versionKeyOf(gone)}},
                          true);
    this->waitForPeer();
    const ReceivedResponse answer =
        this->call(makePromptlessRequest("b", resumption("elsewhere0", 4)));
    CHECK(answer.status == 503);
    MessageHead head;
    head.fields = answer.fields;
    CHECK(head.find("Retry-After") != nullptr);
    CHECK(this->resumed == 0);
}

TEST_CASE_METHOD(GatewayVersionsFixture, "versions_streamBreaks_goesOnAtTheVersionThatBeganIt",
                 "[gateway]")
{
    // Guards against one response with events of two software versions.
    for (const std::string version : {"v1", "v2"}) {
        this->addBreaking("model-0-" + version, version);
        this->addBreaking("model-1-" + version, version);
    }
    this->start();
    int complete = 0;
    for (int i = 0; i < streamCount; ++i) {
        const ReceivedResponse answer = this->call(makeStreamRequest(i, "a" + std::to_string(i)));
        CHECK(versionsIn(answer.body).size() == 1);
        complete += answer.isComplete ? 1 : 0;
    }
    CHECK(complete == streamCount);
}

TEST_CASE_METHOD(GatewayVersionsFixture, "versions_lastUpstreamOfItsVersionBreaks_streamIsCut",
                 "[gateway]")
{
    // Guards against a stream that goes on at another version because none of its own is left, and
    // against a caller that is kept waiting for one.
    this->addBreaking("model-0", "v1");
    this->addBreaking("model-1", "v2");
    this->start();
    for (int i = 0; i < streamCount; ++i) {
        const ReceivedResponse answer = this->call(makeStreamRequest(i, "a" + std::to_string(i)));
        CHECK(versionsIn(answer.body).size() <= 1);
        CHECK_FALSE(answer.isComplete);
    }
    CHECK(this->resumed == 0);
}

TEST_CASE_METHOD(GatewayVersionsFixture,
                 "versions_callerTakesStreamUp_goesOnAtTheVersionThatBeganIt", "[gateway]")
{
    // Guards against a caller that returns and gets events of another software version.
    for (const std::string version : {"v1", "v2"}) {
        this->addWaiting("model-0-" + version, version);
        this->addWaiting("model-1-" + version, version);
    }
    this->start();
    for (int i = 0; i < streamCount; ++i) {
        const std::string attempt = "a" + std::to_string(i);
        const std::string version = this->readFirstEvent(attempt);
        const ReceivedResponse answer =
            this->call(makePromptlessRequest("b" + std::to_string(i), resumption(attempt, 1)));
        CHECK(versionsIn(answer.body) == std::set<std::string>{version});
        CHECK(answer.isComplete);
    }
    CHECK(this->resumed == streamCount);
}

TEST_CASE_METHOD(GatewayVersionsFixture, "versions_onlyOneEverListed_unnamedStreamGoesOn",
                 "[gateway]")
{
    // Guards against refusing streams of unknown origin that can have begun at one version only.
    this->addWaiting("model-0", "v1");
    this->addWaiting("model-1", "v1");
    this->start();
    // Before that, an upstream of another version may have been listed not long ago.
    CHECK(this->call(makePromptlessRequest("a", "Last-Event-Id: 1\r\n")).status == 503);
    int attempt = 0;
    const bool goesOn = eventually([this, &attempt] {
        const std::string id = "b" + std::to_string(++attempt);
        return this->call(makePromptlessRequest(id, "Last-Event-Id: 1\r\n")).isComplete
               && this->resumed > 0;
    });
    CHECK(goesOn);
}

TEST_CASE_METHOD(GatewayVersionsFixture, "versions_originUnknown_refusedAsNotRun", "[gateway]")
{
    // Guards against a stream that no router knows and that goes on at any version.
    this->addWaiting("model-0", "v1");
    this->addWaiting("model-1", "v2");
    this->start();
    for (int i = 0; i < streamCount; ++i) {
        const ReceivedResponse answer =
            this->call(makeStreamRequest(i, "b" + std::to_string(i), resumption("elsewhere", 1)));
        CHECK(answer.status == 503);
    }
    const ReceivedResponse unnamed = this->call(makeStreamRequest(0, "c", "Last-Event-Id: 1\r\n"));
    CHECK(unnamed.status == 503);
    CHECK(this->resumed == 0);
}
