#include <atomic>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include <asio/write.hpp>
#include <catch2/catch.hpp>

#include "gatewayfixture.h"
#include "sequentialhttpclient.h"

using namespace plantainswitch;
using namespace plantainswitch::gateway;

namespace {

/// Upstreams whose first response is broken.
class GatewayBrokenFixture : public GatewayFixture
{
protected:
    using MakeBytes = std::function<std::string(const ReceivedRequest &)>;

    /// Adds two upstreams of \a service. The first request of each attempt gets what \a makeBroken
    /// returns, up to the end of its connection; others are served.
    void addUpstreams(const std::string &service, const MakeBytes &makeBroken)
    {
        for (int i = 0; i < 2; ++i) {
            this->addUpstream(service + "-" + std::to_string(i), service,
                              [this, service, makeBroken](ServerConnection &connection) {
                                  this->serve(connection, service, makeBroken);
                              });
        }
    }

    void serve(ServerConnection &connection, const std::string &service,
               const MakeBytes &makeBroken)
    {
        while (const auto request = connection.read()) {
            if (++this->requests == 1) {
                connection.send(makeBroken(*request));
                connection.close();
                return;
            }
            connection.send(service == "model"
                                ? makeStreamHead(*request) + makeChunk(makeEvent(1)) + "0\r\n\r\n"
                                : makeResponse(*request, "served"));
        }
    }

    static std::string attemptOf(const ReceivedRequest &request)
    {
        return *request.head.find("X-Attempt-Id");
    }

    /// \returns a signed response with a status line and fields of the test's choice.
    static std::string makeHead(const ReceivedRequest &request, const std::string &statusLine,
                                const std::string &fields)
    {
        return statusLine + "\r\nX-Attempt-Id: " + attemptOf(request)
               + "\r\nX-Server-Stamp: stamp\r\n" + fields + "\r\n";
    }

    static std::vector<MakeBytes> brokenResponses()
    {
        const std::string length = "Content-Length: 6\r\n";
        const std::string ok = "HTTP/1.1 200 OK";
        return {
            [=](const ReceivedRequest &request) {
                return makeHead(request, "HTTP/1.1 000 OK", length) + "broken";
            },
            [=](const ReceivedRequest &request) {
                return makeHead(request, "HTTP/1.1 700 OK", length) + "broken";
            },
            [=](const ReceivedRequest &request) {
                return makeHead(request, ok, "X Field: v\r\n" + length) + "broken";
            },
            [=](const ReceivedRequest &request) {
                return makeHead(request, ok, "X\x01: v\r\n" + length) + "broken";
            },
            [=](const ReceivedRequest &request) {
                return makeHead(request, ok, "Transfer-Encoding: gzip\r\n") + "broken";
            },
            [=](const ReceivedRequest &request) {
                return makeHead(request, ok, "Transfer-Encoding: chunked\r\n")
                       + "6\r\nbrokenXY0\r\n\r\n";
            },
            [=](const ReceivedRequest &request) {
                return "HTTP/1.1 103 E\r\n" + length + "\r\nbroken" + makeResponse(request, "x");
            },
            // Ends within its head.
            [=](const ReceivedRequest &request) {
                const std::string head = makeHead(request, ok, length);
                return head.substr(0, head.size() - 2);
            },
        };
    }

    /// \returns whether anything of an upstream's response was passed on.
    static bool isFromUpstream(const ReceivedResponse &response)
    {
        return response.body.find("broken") != std::string::npos
               || std::any_of(
                   response.fields.begin(), response.fields.end(),
                   [](const HeaderField &field) { return field.name == "X-Server-Stamp"; });
    }

    std::atomic<int> requests = 0;
};

/// Calls of a gateway to the store and to other routers.
class StoreReplyFixture
{
protected:
    StoreReplyFixture() { this->settings.id = "router-1"; }

    CallReply callServer(const ScriptedServer::Script &script)
    {
        ScriptedServer server(script);
        asio::io_context context;
        GatewayState state(context, this->clock, this->dialect, this->settings);
        SequentialHttpClient client(state);
        CallReply reply;
        client.call(server.endpoint(), "GET", "/objects", {}, {Milliseconds{20'000}, {}},
                    [&reply, &context](CallReply received) {
                        reply = std::move(received);
                        context.stop();
                    });
        context.run_for(std::chrono::seconds(30));
        return reply;
    }

    SystemClock clock;
    platform::PlatformDialect dialect;
    GatewaySettings settings;
};

} // namespace

TEST_CASE_METHOD(GatewayBrokenFixture, "brokenResponse_toOrder_isNeitherPassedOnNorRepeated",
                 "[gateway]")
{
    // Guards against bytes that are no response but reach the caller as one, and against orders
    // that are repeated although they may have run.
    const std::size_t variant = GENERATE(range(std::size_t{0}, brokenResponses().size()));
    INFO(variant);
    this->addUpstreams("plain", brokenResponses()[variant]);
    this->start();
    const ReceivedResponse response = this->call(makeRequest("/once/x", "a1", "order"));
    CHECK(response.status == 502);
    CHECK_FALSE(isFromUpstream(response));
    CHECK(this->requests == 1);
}

TEST_CASE_METHOD(GatewayBrokenFixture, "brokenResponse_toRepeatableRequest_isServedElsewhere",
                 "[gateway]")
{
    // Guards against a broken response that ends a request which another upstream can serve.
    const std::size_t variant = GENERATE(range(std::size_t{0}, brokenResponses().size()));
    INFO(variant);
    this->addUpstreams("plain", brokenResponses()[variant]);
    this->start();
    const ReceivedResponse response = this->call(makeRequest("/safe/x", "a1"));
    CHECK(response.status == 200);
    CHECK(response.body == "served");
    CHECK(this->requests == 2);
}

TEST_CASE_METHOD(GatewayBrokenFixture, "brokenResponse_toStream_isServedElsewhere", "[gateway]")
{
    // The same for streams, also one that breaks between two events.
    std::vector<MakeBytes> variants = brokenResponses();
    variants.push_back([](const ReceivedRequest &request) {
        return makeHead(request, "HTTP/1.1 200 OK",
                        "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")
               + "0\r\nX Trailer: v\r\n\r\n";
    });
    const std::size_t variant = GENERATE_REF(range(std::size_t{0}, variants.size()));
    INFO(variant);
    this->addUpstreams("model", variants[variant]);
    this->start();
    const ReceivedResponse response = this->call(makeRequest("/stream/x", "a1"));
    CHECK(response.status == 200);
    CHECK(response.isComplete);
    CHECK(response.body == makeEvent(1));
    CHECK(this->requests == 2);
}

TEST_CASE_METHOD(GatewayBrokenFixture, "brokenResponse_toTakenUpStream_goesOnWithoutGap",
                 "[gateway]")
{
    // Guards against a stream that is resumed by bytes which are no response.
    std::atomic<int> runs = 0;
    for (const char *const id : {"model-0", "model-1"}) {
        this->addUpstream(id, "model", [&runs](ServerConnection &connection) {
            while (const auto request = connection.read()) {
                if (++runs == 1) {
                    connection.send(makeStreamHead(*request) + makeChunk(makeEvent(1)) + "zz\r\n");
                    connection.waitForEnd();
                    return;
                }
                connection.send(makeStreamHead(*request) + makeChunk(makeEvent(2)) + "0\r\n\r\n");
            }
        });
    }
    this->start();
    const ReceivedResponse response = this->call(makeRequest("/stream/x", "a1"));
    CHECK(response.isComplete);
    CHECK(response.body == makeEvent(1) + makeEvent(2));
}

TEST_CASE_METHOD(GatewayBrokenFixture, "brokenRejection_ofOrder_isNoPromise", "[gateway]")
{
    // Guards against a refusal as "not run", or a repetition, on the word of a rejection that is no
    // whole response.
    const std::string fields = "X-Not-Executed: 1\r\nContent-Length: 6\r\n";
    const std::string status = GENERATE("HTTP/1.1 503 X", "HTTP/1.1 000 X");
    this->addUpstreams("plain", [&](const ReceivedRequest &request) {
        return makeHead(request, status, fields) + "bro";
    });
    this->start();
    CHECK(this->call(makeRequest("/once/x", "a1", "order")).status == 502);
    CHECK(this->requests == 1);
}

TEST_CASE_METHOD(GatewayBrokenFixture, "brokenResponse_signatureWithoutValue_isUnsigned",
                 "[gateway]")
{
    // Guards against a success without a signature that is taken for signed.
    this->addUpstreams("plain", [](const ReceivedRequest &request) {
        return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attemptOf(request)
               + "\r\nX-Server-Stamp: \r\nContent-Length: 6\r\n\r\nbroken";
    });
    this->start();
    const ReceivedResponse response = this->call(makeRequest("/once/x", "a1", "order"));
    CHECK(response.status == 502);
    CHECK_FALSE(isFromUpstream(response));
}

TEST_CASE_METHOD(GatewayBrokenFixture, "eventStream_ofOtherSuccess_isPassedOnWhole", "[gateway]")
{
    // Guards against a response that loses its body, because streams have another status.
    this->addUpstreams("plain", [](const ReceivedRequest &request) {
        return makeResponse(request, "body", 201, "Content-Type: text/event-stream\r\n");
    });
    this->start();
    const ReceivedResponse response = this->call(makeRequest("/once/x", "a1"));
    CHECK(response.status == 201);
    CHECK(response.body == "body");
}

TEST_CASE_METHOD(GatewayBrokenFixture, "response_afterOneToHead_keepsItsBody", "[gateway]")
{
    // Guards against a response whose body is dropped, because the request before it on the
    // connection was a HEAD.
    this->addUpstream("plain-0", "plain", [](ServerConnection &connection) {
        while (const auto request = connection.read()) {
            const std::string response = makeResponse(*request, "body");
            const bool isHead = request->head.method == "HEAD";
            connection.send(isHead ? response.substr(0, response.size() - 4) : response);
        }
    });
    this->start();
    const std::string head = "HEAD /safe/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a0\r\n"
                             "Authorization: Bearer key-a\r\nConnection: close\r\n\r\n";
    CHECK(this->call(head).status == 200);
    const ReceivedResponse response = this->call(makeRequest("/safe/x", "a1"));
    CHECK(response.status == 200);
    CHECK(response.body == "body");
}

TEST_CASE_METHOD(GatewayBrokenFixture, "earlyResponse_cutDuringUpload_neverReachesCaller",
                 "[gateway]")
{
    // Guards against a part of a body that the caller takes for whole: the upstream responds
    // without a length, and closes its connection while the request is still being written.
    const bool isReset = GENERATE(true, false);
    constexpr std::size_t size = 24 << 20;
    this->setMaxBodyBytes(size);
    this->addUpstream("plain-0", "plain", [isReset](ServerConnection &connection) {
        connection.readBytes(size / 100);
        connection.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Server-Stamp: s\r\n\r\nbroken");
        if (isReset) {
            connection.reset();
        } else {
            connection.close();
        }
    });
    this->start();
    const ReceivedResponse response =
        this->call(makeRequest("/once/x", "a1", std::string(size, 'a')));
    CHECK(response.status == 502);
    CHECK_FALSE(isFromUpstream(response));
}

TEST_CASE_METHOD(StoreReplyFixture, "storeReply_broken_isNoReply", "[gateway]")
{
    // Guards against a list of the store, or a view of another router, that is applied although it
    // is no response.
    for (const std::string bytes :
         {"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}",
          "HTTP/1.1 200 OK\r\nX A: b\r\nContent-Length: 2\r\n\r\n{}",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}XY0\r\n\r\n",
          "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{}", "HTTP/1.1 200 OK\r\nContent-Le"}) {
        INFO(bytes);
        const CallReply reply = this->callServer([&bytes](ServerConnection &peer) {
            static_cast<void>(peer.read());
            peer.send(bytes);
            peer.close();
        });
        CHECK(reply.status == 0);
        CHECK(reply.body.empty());
    }
}

TEST_CASE_METHOD(StoreReplyFixture, "storeReply_withoutEnd_isBrokenOff", "[gateway]")
{
    // Guards against a reply without end that takes the memory of all callers.
    for (const bool isHead : {true, false}) {
        constexpr std::size_t most = 64 << 20;
        const std::string filler(64 << 10, 'a');
        std::atomic<std::size_t> sent = 0;
        const CallReply reply = this->callServer([&](ServerConnection &peer) {
            static_cast<void>(peer.read());
            peer.send(isHead ? "HTTP/1.1 200 OK\r\nX-Filler: " : "HTTP/1.1 200 OK\r\n\r\n");
            while (sent < most && !peer.waitForEnd(std::chrono::milliseconds{0})) {
                peer.send(filler);
                sent += filler.size();
            }
            peer.close();
        });
        CHECK(reply.status == 0);
        CHECK(sent < most);
    }
}
