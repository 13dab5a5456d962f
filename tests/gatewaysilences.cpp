#include <atomic>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

#include <asio/read_until.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>

#include "gatewayfixture.h"

using namespace plantainswitch;
using namespace plantainswitch::gateway;

namespace {

/// Upstreams whose streams pause for longer than callers accept.
class GatewaySilencesFixture : public GatewayFixture
{
protected:
    /// Adds an engine that falls silent after the first event of a stream, and goes on.
    void addPausing(const std::string &id)
    {
        this->addUpstream(id, "model", [this](ServerConnection &connection) {
            while (const auto request = connection.read()) {
                ++this->runs;
                if (request->head.find("Last-Event-Id") == nullptr) {
                    connection.send(makeStreamHead(*request) + makeChunk(makeEvent(1)));
                    if (connection.waitForEnd(silence)) {
                        return;
                    }
                } else {
                    connection.send(makeStreamHead(*request));
                }
                connection.send(makeChunk(makeEvent(2)) + "0\r\n\r\n");
            }
        });
    }

    /// Adds an engine that rejects what it is asked to go on with, and never ends a new stream.
    void addFull(const std::string &id)
    {
        this->addUpstream(id, "model", [this](ServerConnection &connection) {
            while (const auto request = connection.read()) {
                if (request->head.find("Last-Event-Id") != nullptr) {
                    ++this->rejections;
                    connection.send(makeResponse(*request, "", 503, "X-Not-Executed: 1\r\n"));
                    continue;
                }
                connection.send(makeStreamHead(*request) + makeChunk(makeEvent(1)));
                connection.waitForEnd();
                return;
            }
        });
    }

    /// \returns whether \a response is a stream with both events, each once.
    static bool isWhole(const ReceivedResponse &response)
    {
        return response.isComplete && response.body == makeEvent(1) + makeEvent(2);
    }

    /// Longer than the pause from which an upstream counts as silent, one and a half seconds.
    static constexpr std::chrono::milliseconds silence{2200};
    std::atomic<int> runs = 0;
    std::atomic<int> rejections = 0;
};

/// Upstreams that are silent for a while, and others that have no room.
class GatewayFullFixture : public GatewayFixture
{
protected:
    /// Adds an engine that falls silent after the first event of each stream, goes on, and takes no
    /// stream that was begun elsewhere.
    void addPausingEngine(const std::string &id)
    {
        this->addUpstream(id, "model", [this](ServerConnection &connection) {
            while (const auto request = connection.read()) {
                if (this->rejectResumed(connection, *request)) {
                    continue;
                }
                ++this->pauses;
                connection.send(makeStreamHead(*request) + makeChunk(makeEvent(1)));
                if (connection.waitForEnd(silence)) {
                    return;
                }
                connection.send(makeChunk(makeEvent(2)) + "0\r\n\r\n");
            }
        });
    }

    /// Adds an engine that runs new streams only.
    void addFullEngine(const std::string &id)
    {
        this->addUpstream(id, "model", [this](ServerConnection &connection) {
            while (const auto request = connection.read()) {
                if (this->rejectResumed(connection, *request)) {
                    continue;
                }
                connection.send(makeStreamHead(*request) + makeChunk(makeEvent(1)));
                // Engines with as many streams get as many of the next ones.
                if (connection.waitForEnd(silence / 2)) {
                    return;
                }
                connection.send(makeChunk(makeEvent(2)) + "0\r\n\r\n");
            }
        });
    }

    /// Calls \a path \a count times at once. \returns the responses.
    std::vector<ReceivedResponse> callAtOnce(const std::string &path, int count)
    {
        std::vector<ReceivedResponse> responses(count);
        std::vector<std::thread> callers;
        callers.reserve(count);
        for (int i = 0; i < count; ++i) {
            callers.emplace_back([this, &path, &response = responses[i], i] {
                response = this->call(makeRequest(path, "a" + std::to_string(i)));
            });
        }
        for (std::thread &caller : callers) {
            caller.join();
        }
        return responses;
    }

    bool rejectResumed(ServerConnection &connection, const ReceivedRequest &request)
    {
        const bool isResumed = request.head.find("Last-Event-Id") != nullptr;
        if (isResumed) {
            this->reject(connection, request);
        }
        return isResumed;
    }

    void reject(ServerConnection &connection, const ReceivedRequest &request)
    {
        ++this->rejections;
        connection.send(makeResponse(request, "", 503, "X-Not-Executed: 1\r\n"));
    }

    /// Longer than the pause from which an upstream counts as silent, one and a half seconds.
    static constexpr std::chrono::milliseconds silence{2200};
    std::atomic<int> pauses = 0;
    std::atomic<int> rejections = 0;
};

/// Four upstreams and a route that allows two: the first one to run a stream falls silent after an
/// event, the second one breaks off.
class GatewayReturnsFixture : public GatewayFixture
{
protected:
    /// How the first upstream responds when the request is sent to it again.
    enum class Return : std::uint8_t { Runs, Refuses, Rejects };

    void startWith(Return answer)
    {
        for (const std::string id : {"model-0", "model-1", "model-2", "model-3"}) {
            this->servers.push_back(
                &this->addUpstream(id, "model", [this, id, answer](ServerConnection &connection) {
                    while (const auto request = connection.read()) {
                        this->run(id, answer, connection, *request);
                    }
                }));
        }
        this->start();
    }

    void run(const std::string &id, Return answer, ServerConnection &connection,
             const ReceivedRequest &request)
    {
        const std::size_t number = this->recordRun(id);
        if (number == 0) {
            if (answer == Return::Refuses) {
                this->servers[id.back() - '0']->stopAccepting();
            }
            connection.send(makeStreamHead(request) + makeChunk(makeEvent(1)));
            connection.waitForEnd();
        } else if (number == 1) {
            connection.close();
        } else if (answer == Return::Rejects && id == this->runs().front()) {
            connection.send(makeResponse(request, "", 503, "X-Not-Executed: 1\r\n"));
        } else {
            connection.send(makeStreamHead(request) + makeChunk(makeEvent(2)) + "0\r\n\r\n");
        }
    }

    /// \returns the number of runs before this one.
    std::size_t recordRun(const std::string &id)
    {
        const std::lock_guard lock(this->mutex);
        this->ranAt.push_back(id);
        return this->ranAt.size() - 1;
    }

    /// \returns the upstreams that ran the stream, in order.
    std::vector<std::string> runs()
    {
        const std::lock_guard lock(this->mutex);
        return this->ranAt;
    }

    std::size_t upstreamCount()
    {
        const std::vector<std::string> all = this->runs();
        return std::set(all.begin(), all.end()).size();
    }

private:
    std::mutex mutex;
    std::vector<std::string> ranAt;
    std::vector<ScriptedServer *> servers;
};

} // namespace

TEST_CASE_METHOD(GatewayReturnsFixture, "return_afterAllAttempts_streamGoesOnWhereItWas",
                 "[gateway]")
{
    // Guards against a third upstream for a stream that returns to the one that it left.
    this->startWith(Return::Runs);
    const ReceivedResponse response = this->call(makeRequest("/stream/x", "a"));
    REQUIRE(this->runs().size() == 3);
    CHECK(this->runs().back() == this->runs().front());
    CHECK(response.isComplete);
    CHECK(response.body == makeEvent(1) + makeEvent(2));
}

TEST_CASE_METHOD(GatewayReturnsFixture, "return_isRefused_noFurtherUpstreamIsTried", "[gateway]")
{
    // Guards against the same when the upstream that was left refuses connections: "nothing was
    // sent".
    this->startWith(Return::Refuses);
    const ReceivedResponse response = this->call(makeRequest("/stream/x", "a"));
    CHECK_FALSE(response.isComplete);
    CHECK(this->upstreamCount() == 2);
}

TEST_CASE_METHOD(GatewayReturnsFixture, "return_isRejected_noFurtherUpstreamIsTried", "[gateway]")
{
    // Guards against the same when the upstream that was left has no room, and "not run" is
    // retried.
    this->startWith(Return::Rejects);
    const ReceivedResponse response = this->call(makeRequest("/stream/x", "a"));
    CHECK_FALSE(response.isComplete);
    CHECK(this->upstreamCount() == 2);
    CHECK(this->runs().size() == 3);
}

TEST_CASE_METHOD(GatewaySilencesFixture, "silence_ofTheOnlyUpstream_streamGoesOn", "[gateway]")
{
    // Guards against giving up a run before another upstream can go on with it: the stream was cut
    // although its upstream was sound.
    this->addPausing("model-0");
    this->start();
    CHECK(isWhole(this->call(makeRequest("/stream/x", "a"))));
    CHECK(this->runs == 1);
}

TEST_CASE_METHOD(GatewaySilencesFixture, "silence_otherUpstreamOfAnotherVersion_streamGoesOn",
                 "[gateway]")
{
    // Guards against the same during a release, when the last upstream of a version falls silent.
    this->addPausing("model-0");
    this->setVersion("v2");
    this->addPausing("model-1");
    this->start();
    CHECK(isWhole(this->call(makeRequest("/stream/x", "a"))));
    CHECK(this->runs == 1);
}

TEST_CASE_METHOD(GatewaySilencesFixture, "silence_otherUpstreamRejects_streamGoesOnWhereItWas",
                 "[gateway]")
{
    // Guards against a stream that is cut because the upstream for which it left a silent one has
    // no room.
    this->addPausing("model-0");
    this->addFull("model-1");
    this->start();
    // Streams begin at either engine. Those of the second one have nowhere to go.
    for (int i = 0; i < 20 && this->runs == 0; ++i) {
        asio::ip::tcp::socket caller = this->connectCaller();
        asio::write(caller, asio::buffer(makeRequest("/stream/x", "a" + std::to_string(i))));
        std::string received;
        asio::read_until(caller, asio::dynamic_buffer(received), "\n\n");
        if (this->runs > 0) {
            asio::error_code error;
            asio::read_until(caller, asio::dynamic_buffer(received), "\r\n0\r\n\r\n", error);
            CHECK_FALSE(error);
            CHECK(received.find(makeEvent(2)) != std::string::npos);
        }
    }
    REQUIRE(this->runs > 0);
    CHECK(this->rejections > 0);
}

TEST_CASE_METHOD(GatewayFullFixture, "silence_othersRejectManyStreams_allGoOnWhereTheyWere",
                 "[gateway]")
{
    // Guards against streams that end because the retry budget was spent on upstreams without room.
    constexpr int streams = 60;
    this->addPausingEngine("model-0");
    this->addFullEngine("model-1");
    this->start();
    int whole = 0;
    for (const ReceivedResponse &response : this->callAtOnce("/stream/x", streams)) {
        whole += response.isComplete && response.body == makeEvent(1) + makeEvent(2) ? 1 : 0;
    }
    CHECK(whole == streams);
    REQUIRE(this->pauses > streams / 4);
    const FleetRetryLimit limit;
    CHECK(this->rejections > 0);
    CHECK(this->rejections <= limit.ratio * streams + limit.margin);
}

TEST_CASE_METHOD(GatewayFullFixture, "silence_beforeResponseAndOtherRejects_requestRunsOnce",
                 "[gateway]")
{
    // Guards against a second run of a request whose first one was given up for an upstream without
    // room.
    constexpr int requests = 6;
    static constexpr std::chrono::milliseconds delay{1200};
    this->addUpstream("plain-0", "plain", [this](ServerConnection &connection) {
        while (const auto request = connection.read()) {
            ++this->pauses;
            if (connection.waitForEnd(delay)) {
                return;
            }
            connection.send(makeResponse(*request, "late"));
        }
    });
    this->addUpstream("plain-1", "plain", [this](ServerConnection &connection) {
        while (const auto request = connection.read()) {
            this->reject(connection, *request);
        }
    });
    this->start();
    for (const ReceivedResponse &response : this->callAtOnce("/safe/x", requests)) {
        CHECK(response.isComplete);
        CHECK(response.body == "late");
    }
    CHECK(this->pauses == requests);
    CHECK(this->rejections > 0);
}

TEST_CASE_METHOD(GatewaySilencesFixture, "silence_causedByASlowCaller_isNoFaultOfTheUpstream",
                 "[gateway]")
{
    // Guards against giving up a run from which the router reads nothing because its caller is
    // slow.
    // More than the buffers of all connections hold.
    constexpr int eventCount = 400;
    std::string large;
    for (int i = 1; i <= eventCount; ++i) {
        large += "id: " + std::to_string(i) + "\ndata: " + std::string(std::size_t{64} << 10, 'x')
                 + "\n\n";
    }
    for (const std::string id : {"model-0", "model-1"}) {
        this->addUpstream(id, "model", [this, &large](ServerConnection &connection) {
            while (const auto request = connection.read()) {
                ++this->runs;
                connection.send(makeStreamHead(*request) + makeChunk(large) + "0\r\n\r\n");
            }
        });
    }
    this->start();
    asio::ip::tcp::socket caller = this->connectCaller();
    asio::write(caller, asio::buffer(makeRequest("/stream/x", "a")));
    std::this_thread::sleep_for(silence);
    const ReceivedResponse answer = readResponse(caller);
    CHECK(answer.isComplete);
    CHECK(answer.body == large);
    CHECK(this->runs == 1);
}
