#include <atomic>
#include <thread>
#include <vector>

#include <asio/write.hpp>
#include <catch2/catch.hpp>

#include "gatewayfixture.h"

using namespace plantainswitch;
using namespace plantainswitch::gateway;

namespace {

/// Upstreams that send bytes without end in response to some requests, until the connection is
/// closed, and serve the others.
class GatewayEndlessFixture : public GatewayFixture
{
protected:
    static constexpr int callers = 24;
    /// Bytes that one response may have if no other is buffered.
    static constexpr std::size_t limitOfOne = 16 << 20;

    void addEndless(const std::string &id, const std::string &service)
    {
        this->addUpstream(id, service, [this](ServerConnection &connection) {
            while (const auto request = connection.read()) {
                if (request->body != "endless") {
                    connection.send(this->makeServed(*request));
                    continue;
                }
                this->sendWithoutEnd(connection, *request);
                return;
            }
        });
    }

    /// Adds an upstream that responds to each request with a body of \a size bytes.
    void addLarge(const std::string &id, std::size_t size)
    {
        this->addUpstream(id, "plain", [size](ServerConnection &connection) {
            while (const auto request = connection.read()) {
                connection.send(makeResponse(*request, std::string(size, 'a')));
            }
        });
    }

    /// \returns what the gateway counts as buffered of responses.
    std::size_t bufferedBytes()
    {
        const std::string page = this->getInternalPage("/metrics").body;
        const std::string name = "\nplantainswitch_response_buffer_bytes ";
        const std::size_t at = page.find(name);
        return at == std::string::npos
                   ? 0
                   : static_cast<std::size_t>(std::stod(page.substr(at + name.size())));
    }

    [[nodiscard]] std::string makeServed(const ReceivedRequest &request) const
    {
        return this->isStream ? makeStreamHead(request) + makeChunk(makeEvent(1)) + "0\r\n\r\n"
                              : makeResponse(request, "served");
    }

    void sendWithoutEnd(ServerConnection &connection, const ReceivedRequest &request)
    {
        connection.send(this->begin(request));
        int sent = 0;
        while (sent < this->most && !connection.waitForEnd(std::chrono::milliseconds{0})) {
            connection.send(this->filler);
            ++sent;
        }
        this->closedEarly += sent < this->most ? 1 : 0;
        const std::size_t size = static_cast<std::size_t>(sent) * this->filler.size();
        this->sentBeyondLimit += size >= limitOfOne ? 1 : 0;
    }

    /// Calls for endless responses from many callers at once, and for others beside them.
    void callAtOnce(const std::string &path, const std::string &fields = {})
    {
        std::vector<std::thread> threads;
        threads.reserve(callers);
        for (int i = 0; i < callers; ++i) {
            threads.emplace_back([this, i, &path, &fields] {
                const bool isEndless = i % 2 == 0;
                const std::string attempt = "c" + std::to_string(i);
                const int status =
                    this->call(makeRequest(path, attempt, isEndless ? "endless" : "", fields))
                        .status;
                this->failed += isEndless && status == 502 ? 1 : 0;
                this->served += !isEndless && status == 200 ? 1 : 0;
            });
        }
        for (std::thread &thread : threads) {
            thread.join();
        }
    }

    void checkOutcome()
    {
        CHECK(this->failed == callers / 2);
        CHECK(this->served == callers / 2);
        CHECK(eventually([this] { return this->closedEarly == callers / 2; }));
        CHECK(this->sentBeyondLimit == 0);
        CHECK(eventually([this] { return this->bufferedBytes() == 0; }));
    }

    std::function<std::string(const ReceivedRequest &)> begin;
    std::string filler;
    /// Times for which the filler is sent.
    int most = 2000;
    bool isStream = false;
    std::atomic<int> closedEarly = 0;
    std::atomic<int> sentBeyondLimit = 0;
    std::atomic<int> failed = 0;
    std::atomic<int> served = 0;
};

std::string chunkedHead(const std::string &attempt)
{
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt
           + "\r\nX-Server-Stamp: stamp\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string attemptOf(const ReceivedRequest &request)
{
    return *request.head.find("X-Attempt-Id");
}

} // namespace

TEST_CASE_METHOD(GatewayEndlessFixture, "responseHead_withoutEnd_failsAlone", "[gateway]")
{
    // Guards against heads without end that take the memory of all callers.
    this->begin = [](const ReceivedRequest &) { return "HTTP/1.1 200 OK\r\nX-Filler: "; };
    this->filler.assign(16 << 10, 'a');
    this->addEndless("plain-0", "plain");
    this->start();
    this->callAtOnce("/once/x");
    this->checkOutcome();
}

TEST_CASE_METHOD(GatewayEndlessFixture, "responseHead_inSmallParts_failsAlone", "[gateway]")
{
    // The same for heads that arrive in parts of few bytes, with the start of an end in each.
    this->begin = [](const ReceivedRequest &) { return "HTTP/1.1 200 OK\r\nX-Filler: a"; };
    this->filler = "\r\na:";
    this->most = 200'000;
    this->addEndless("plain-0", "plain");
    this->start();
    this->callAtOnce("/once/x");
    this->checkOutcome();
}

TEST_CASE_METHOD(GatewayEndlessFixture, "chunkSize_withoutEnd_failsAlone", "[gateway]")
{
    // Guards against a size line of a chunk that never ends, in parts of few bytes.
    this->begin = [](const ReceivedRequest &request) { return chunkedHead(attemptOf(request)); };
    this->filler = "000";
    this->most = 200'000;
    this->addEndless("plain-0", "plain");
    this->start();
    this->callAtOnce("/once/x");
    this->checkOutcome();
}

TEST_CASE_METHOD(GatewayEndlessFixture, "responseBody_withoutEnd_failsAlone", "[gateway]")
{
    // Guards against bodies without end that take the memory of all callers together, though each
    // is below the limit of one.
    this->begin = [](const ReceivedRequest &request) { return chunkedHead(attemptOf(request)); };
    this->filler = makeChunk(std::string(64 << 10, 'a'));
    this->addEndless("plain-0", "plain");
    this->changeSettings([](GatewaySettings &settings) { settings.responseBufferBytes = 4 << 20; });
    this->start();
    this->callAtOnce("/once/x");
    this->checkOutcome();
}

TEST_CASE_METHOD(GatewayEndlessFixture, "skippedBody_withoutEnd_failsAlone", "[gateway]")
{
    // Guards against a response to another request that is skipped without end.
    this->begin = [](const ReceivedRequest &) { return chunkedHead("other"); };
    this->filler = makeChunk(std::string(64 << 10, 'a'));
    this->addEndless("plain-0", "plain");
    this->start();
    this->callAtOnce("/once/x");
    this->checkOutcome();
}

TEST_CASE_METHOD(GatewayEndlessFixture, "interimResponses_withoutEnd_failAlone", "[gateway]")
{
    // Guards against informational responses that are never followed by a final one.
    this->begin = [](const ReceivedRequest &) { return std::string(); };
    for (int i = 0; i < 500; ++i) {
        this->filler += "HTTP/1.1 100 Continue\r\n\r\n";
    }
    this->addEndless("plain-0", "plain");
    this->start();
    this->callAtOnce("/once/x");
    this->checkOutcome();
}

TEST_CASE_METHOD(GatewayEndlessFixture, "trailers_withoutEnd_failAlone", "[gateway]")
{
    // Guards against trailers without end behind a body that is complete.
    this->begin = [](const ReceivedRequest &request) {
        return chunkedHead(attemptOf(request)) + makeChunk("a") + "0\r\n";
    };
    for (int i = 0; i < 500; ++i) {
        this->filler += "X-Trailer: value\r\n";
    }
    this->addEndless("plain-0", "plain");
    this->start();
    this->callAtOnce("/once/x");
    this->checkOutcome();
}

TEST_CASE_METHOD(GatewayEndlessFixture, "responseBody_callerReadsNothing_countsUntilItIsWritten",
                 "[gateway]")
{
    // Guards against large responses to callers that read slowly: they wait in memory that nothing
    // bounds.
    constexpr std::size_t size = 12 << 20;
    this->addLarge("plain-0", size);
    this->start();
    asio::ip::tcp::socket slow = this->connectCaller();
    asio::write(slow, asio::buffer(makeRequest("/once/x", "c1")));
    REQUIRE(eventually([this] { return this->bufferedBytes() > size / 2; }));
    CHECK(this->call(makeRequest("/once/x", "c2")).status == 502);
    const ReceivedResponse whole = readResponse(slow);
    CHECK(whole.body.size() == size);
    CHECK(eventually([this] { return this->bufferedBytes() == 0; }));
    CHECK(this->call(makeRequest("/once/x", "c3")).body.size() == size);
}

TEST_CASE_METHOD(GatewayEndlessFixture, "errorResponse_keptDuringRetry_countsAsBuffered",
                 "[gateway]")
{
    // Guards against error responses that are kept for the caller while the request is retried, in
    // memory that nothing bounds.
    constexpr std::size_t size = 4 << 20;
    std::atomic<bool> wasCounted = false;
    std::atomic<int> requests = 0;
    for (const char *const id : {"plain-0", "plain-1"}) {
        this->addUpstream(id, "plain", [&, this](ServerConnection &connection) {
            while (const auto request = connection.read()) {
                if (++requests == 2) {
                    wasCounted = eventually([this] { return this->bufferedBytes() > size / 2; });
                }
                connection.send(makeResponse(*request, std::string(size, 'a'), 500));
            }
        });
    }
    this->start();
    CHECK(this->call(makeRequest("/safe/x", "c1")).body.size() == size);
    CHECK(requests == 2);
    CHECK(wasCounted);
    CHECK(eventually([this] { return this->bufferedBytes() == 0; }));
}

TEST_CASE_METHOD(GatewayEndlessFixture, "event_withoutEnd_failsAlone", "[gateway]")
{
    // Guards against events without end: each is below the limit of one, all together are not.
    this->isStream = true;
    this->begin = [](const ReceivedRequest &request) { return makeStreamHead(request); };
    this->filler = makeChunk(std::string(64 << 10, 'a'));
    this->addEndless("model-0", "model");
    this->changeSettings([](GatewaySettings &settings) { settings.responseBufferBytes = 4 << 20; });
    this->start();
    this->callAtOnce("/stream/x");
    this->checkOutcome();
}
