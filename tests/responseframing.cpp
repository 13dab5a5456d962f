#include <vector>

#include <catch2/catch.hpp>

#include "gatewayfixture.h"
#include "upstreamconnection.h"

using namespace plantainswitch;
using namespace plantainswitch::gateway;

namespace {

/// What the upstream does after its last byte.
enum class ConnectionEnd : std::uint8_t { Open, Closed, Reset };

struct FramingCase
{
    std::string what;
    std::string response;
    ConnectionEnd end = ConnectionEnd::Closed;
    ResponseOutcome outcome = ResponseOutcome::Complete;
    std::string body;
    bool isHead = false;
    bool isReusable = false;
};

const std::string ok = "HTTP/1.1 200 OK\r\n";
const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";

std::vector<FramingCase> wholeResponses()
{
    using enum ConnectionEnd;
    const auto whole = ResponseOutcome::Complete;
    return {
        {"length", ok + "Content-Length: 4\r\n\r\nbody", Open, whole, "body", false, true},
        {"length, closed", ok + "Content-Length: 4\r\n\r\nbody", Closed, whole, "body", false,
         true},
        {"length of nothing", ok + "Content-Length: 0\r\n\r\n", Open, whole, "", false, true},
        {"neither length nor chunks", ok + "\r\nbody", Closed, whole, "body"},
        {"neither, and empty", ok + "\r\n", Closed, whole, ""},
        {"HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\nbody", Closed, whole, "body"},
        {"chunks", chunked + "2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n", Open, whole, "body", false, true},
        {"chunks and a trailer", chunked + "4\r\nbody\r\n0\r\nX-A: b\r\n\r\n", Open, whole, "body",
         false, true},
        {"informational response before",
         "HTTP/1.1 103 E\r\n\r\n" + ok + "Content-Length: 1\r\n\r\nb", Open, whole, "b", false,
         true},
        {"204 without length", "HTTP/1.1 204 N\r\n\r\n", Open, whole, "", false, true},
        {"304 with length", "HTTP/1.1 304 N\r\nContent-Length: 4\r\n\r\n", Open, whole, "", false,
         true},
        {"response to HEAD", ok + "Content-Length: 4\r\n\r\n", Open, whole, "", true, true},
        {"response to HEAD, chunked", chunked, Open, whole, "", true, true},
        {"close announced", ok + "Connection: close\r\nContent-Length: 4\r\n\r\nbody", Open, whole,
         "body"},
        {"bytes behind it", ok + "Content-Length: 4\r\n\r\nbodyHTTP/1.1", Open, whole, "body"},
    };
}

std::vector<FramingCase> brokenResponses()
{
    using enum ConnectionEnd;
    const auto lost = ResponseOutcome::ConnectionLost;
    const auto malformed = ResponseOutcome::Malformed;
    return {
        {"nothing", "", Closed, lost, ""},
        {"head cut", ok + "Content-Le", Closed, lost, ""},
        {"informational response alone", "HTTP/1.1 103 E\r\n\r\n", Closed, lost, ""},
        {"shorter than its length", ok + "Content-Length: 5\r\n\r\nbody", Closed, lost, "body"},
        {"neither length nor chunks, reset", ok + "\r\nbody", Reset, lost, "body"},
        {"chunk cut", chunked + "5\r\nbody", Closed, lost, "body"},
        {"chunk's size cut", chunked + "4\r\nbody\r\n1", Closed, lost, "body"},
        {"no last chunk", chunked + "4\r\nbody\r\n", Closed, lost, "body"},
        {"last chunk cut", chunked + "4\r\nbody\r\n0\r\n", Closed, lost, "body"},
        {"trailer cut", chunked + "4\r\nbody\r\n0\r\nX-A: b\r\n", Closed, lost, "body"},
        {"chunk's size is no number", chunked + "zz\r\nbody", Closed, malformed, ""},
        {"length beside chunks",
         ok + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n4\r\nbody\r\n0\r\n\r\n", Open,
         malformed, ""},
        {"two lengths", ok + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nbodyx", Open, malformed,
         ""},
        {"length is no number", ok + "Content-Length: four\r\n\r\nbody", Open, malformed, ""},
        {"length below zero", ok + "Content-Length: -4\r\n\r\nbody", Open, malformed, ""},
        {"length beyond 64 bits", ok + "Content-Length: 18446744073709551620\r\n\r\nbody", Open,
         malformed, ""},
        {"no response", "SSH-2.0-x\r\n\r\n", Closed, malformed, ""},
    };
}

/// Reads one response of a scripted upstream.
class ResponseFramingFixture
{
protected:
    void check(const FramingCase &expected)
    {
        INFO(expected.what);
        ScriptedServer server([&expected](ServerConnection &peer) {
            static_cast<void>(peer.read());
            peer.send(expected.response);
            if (expected.end == ConnectionEnd::Closed) {
                peer.close();
            } else if (expected.end == ConnectionEnd::Reset) {
                peer.reset();
            } else {
                peer.waitForEnd();
            }
        });
        asio::io_context context;
        const auto connection = std::make_shared<UpstreamConnection>(context, this->clock);
        std::string body;
        std::optional<ResponseOutcome> outcome;
        bool isReusable = false;
        connection->connectAndSend(server.endpoint(), Milliseconds{5000},
                                   std::string(expected.isHead ? "HEAD" : "GET")
                                       + " / HTTP/1.1\r\nHost: h\r\n\r\n",
                                   {[](const MessageHead &) { return true; },
                                    [&body](std::string_view bytes) { body.append(bytes); },
                                    [&](ResponseOutcome end) {
                                        outcome = end;
                                        isReusable = connection->isReusable();
                                        context.stop();
                                    }},
                                   expected.isHead);
        context.run_for(std::chrono::seconds(20));
        CHECK(outcome == expected.outcome);
        if (expected.end != ConnectionEnd::Reset) {
            CHECK(body == expected.body);
        }
        CHECK(isReusable == expected.isReusable);
        connection->abort();
    }

    SystemClock clock;
};

} // namespace

TEST_CASE_METHOD(ResponseFramingFixture, "response_wholeInEachFraming_isComplete", "[gateway]")
{
    // Guards against whole responses that are retried or fail, or for whose end the router waits.
    for (const FramingCase &each : wholeResponses()) {
        this->check(each);
    }
}

TEST_CASE_METHOD(ResponseFramingFixture, "response_brokenInEachFraming_isNotComplete", "[gateway]")
{
    // Guards against a response that is passed on as whole although a part of it is missing.
    for (const FramingCase &each : brokenResponses()) {
        this->check(each);
    }
}
