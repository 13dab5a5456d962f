#include <atomic>
#include <functional>

#include <asio/read.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>

#include "gatewayfixture.h"

using namespace plantainswitch;
using namespace plantainswitch::gateway;

namespace {

class GatewayUpstreamsFixture : public GatewayFixture
{
protected:
    /// Adds upstreams of \a service whose \a script counts the requests that reach them.
    void
    addCounting(const std::string &service, int count,
                const std::function<void(ServerConnection &, const ReceivedRequest &, int)> &script)
    {
        for (int i = 0; i < count; ++i) {
            this->addUpstream(service + "-" + std::to_string(i), service,
                              [this, script](ServerConnection &connection) {
                                  while (const auto request = connection.read()) {
                                      script(connection, *request, ++this->requests);
                                  }
                              });
        }
    }

    std::atomic<int> requests = 0;
};

} // namespace

TEST_CASE_METHOD(GatewayUpstreamsFixture, "upstream_resetsAfterOnceRequest_isNotAskedAgain",
                 "[gateway]")
{
    // An upstream has taken an order and its connection is reset. Nobody can tell whether the
    // order ran; sent again it may run twice, and "not run" would be a lie.
    this->addCounting("plain", 3, [](ServerConnection &connection, const ReceivedRequest &, int) {
        connection.reset();
    });
    this->start();
    CHECK(this->call(makeRequest("/once/x", "a1")).status == 502);
    CHECK(this->requests == 1);
}

TEST_CASE_METHOD(GatewayUpstreamsFixture, "upstream_resetsIdempotentRequest_isServedElsewhere",
                 "[gateway]")
{
    this->addCounting("plain", 3,
                      [](ServerConnection &connection, const ReceivedRequest &request, int number) {
                          if (number == 1) {
                              connection.reset();
                          } else {
                              connection.send(makeResponse(request, "second"));
                          }
                      });
    this->start();
    const ReceivedResponse answer = this->call(makeRequest("/safe/x", "a1"));
    CHECK(answer.status == 200);
    CHECK(answer.body == "second");
    CHECK(this->requests == 2);
}

TEST_CASE_METHOD(GatewayUpstreamsFixture, "upstream_failsAndNobodyElseAnswers_failureIsPassedOn",
                 "[gateway]")
{
    // The only upstream answers with a failure of its own. The request may be repeated, so that the
    // router looks for another one and finds none, or one that breaks off. The answer that it has
    // is the caller's; a 502 in its place would hide what the service said.
    this->addCounting("plain", 2,
                      [](ServerConnection &connection, const ReceivedRequest &request, int number) {
                          if (number == 1) {
                              connection.send(makeResponse(request, "out of paper", 500));
                          } else {
                              connection.reset();
                          }
                      });
    this->start();
    const ReceivedResponse answer = this->call(makeRequest("/safe/x", "a1"));
    CHECK(answer.status == 500);
    CHECK(answer.body == "out of paper");
    CHECK(this->requests == 2);
}

TEST_CASE_METHOD(GatewayUpstreamsFixture, "upstream_failsAndIsTheOnlyOne_failureIsPassedOn",
                 "[gateway]")
{
    this->addCounting("plain", 1,
                      [](ServerConnection &connection, const ReceivedRequest &request, int) {
                          connection.send(makeResponse(request, "out of paper", 500));
                      });
    this->start();
    const ReceivedResponse answer = this->call(makeRequest("/safe/x", "a1"));
    CHECK(answer.status == 500);
    CHECK(answer.body == "out of paper");
}

TEST_CASE_METHOD(GatewayUpstreamsFixture, "upstream_turnsOnceRequestAway_isServedElsewhere",
                 "[gateway]")
{
    this->addCounting("plain", 2,
                      [](ServerConnection &connection, const ReceivedRequest &request, int number) {
                          connection.send(number == 1 ? "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n"
                                                        "Content-Length: 0\r\n\r\n"
                                                      : makeResponse(request, "taken"));
                      });
    this->start();
    CHECK(this->call(makeRequest("/once/x", "a1")).body == "taken");
}

TEST_CASE_METHOD(GatewayUpstreamsFixture, "upstream_allTurnAway_refusalSaysNotRun", "[gateway]")
{
    this->addCounting("plain", 2, [](ServerConnection &connection, const ReceivedRequest &, int) {
        connection.send("HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    });
    this->start();
    CHECK(this->call(makeRequest("/once/x", "a1")).status == 503);
}

TEST_CASE_METHOD(GatewayUpstreamsFixture, "upstream_says503WithoutNotRun_isNoRefusal", "[gateway]")
{
    this->addCounting("plain", 1, [](ServerConnection &connection, const ReceivedRequest &, int) {
        connection.send("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n");
    });
    this->start();
    CHECK(this->call(makeRequest("/once/x", "a1")).status == 502);
}

TEST_CASE_METHOD(GatewayUpstreamsFixture, "upstream_unsignedOrForeignSuccess_neverReachesCaller",
                 "[gateway]")
{
    // Something else listens at the upstream's address, or it answers another request. Its bytes
    // must not pass for the answer.
    this->addCounting(
        "plain", 1, [](ServerConnection &connection, const ReceivedRequest &, int number) {
            if (number == 1) {
                connection.send(
                    "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nContent-Length: 3\r\n\r\nbad");
            } else {
                connection.send(
                    "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nContent-Length: 3\r\n\r\nbad");
            }
            connection.close();
        });
    this->start();
    CHECK(this->call(makeRequest("/once/x", "a1")).status == 502);
    CHECK(this->call(makeRequest("/once/x", "a2")).status == 502);
}

TEST_CASE_METHOD(GatewayUpstreamsFixture, "upstream_lateAnswerOfAnotherAttempt_isSkipped",
                 "[gateway]")
{
    // A late second answer to an earlier request arrives where the next one is due. It belongs to
    // nobody; the right answer still follows on the same connection.
    this->addCounting("plain", 1,
                      [](ServerConnection &connection, const ReceivedRequest &request, int) {
                          connection.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\n"
                                          "X-Server-Stamp: s\r\nContent-Length: 3\r\n\r\nold"
                                          + makeResponse(request, "new"));
                      });
    this->start();
    CHECK(this->call(makeRequest("/once/x", "a1")).body == "new");
}

TEST_CASE_METHOD(GatewayUpstreamsFixture, "upstream_bytesBehindWholeAnswer_endItsConnection",
                 "[gateway]")
{
    ScriptedServer &server =
        this->addUpstream("plain-x", "plain", [this](ServerConnection &connection) {
            while (const auto request = connection.read()) {
                ++this->requests;
                connection.send(makeResponse(*request, "mine") + makeResponse(*request, "surplus"));
            }
        });
    this->start();
    for (int i = 0; i < 3; ++i) {
        CHECK(this->call(makeRequest("/safe/x", "a" + std::to_string(i))).body == "mine");
    }
    CHECK(server.connectionCount() == 3);
}

TEST_CASE_METHOD(GatewayUpstreamsFixture, "upstream_answerWithoutLengthEndedByReset_isNotWhole",
                 "[gateway]")
{
    this->addCounting(
        "plain", 1, [](ServerConnection &connection, const ReceivedRequest &, int number) {
            connection.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: a" + std::to_string(number)
                            + "\r\nX-Server-Stamp: s\r\n\r\nhalf");
            if (number == 1) {
                connection.reset();
            } else {
                connection.close();
            }
        });
    this->start();
    CHECK(this->call(makeRequest("/once/x", "a1")).status == 502);
    const ReceivedResponse ended = this->call(makeRequest("/once/x", "a2"));
    CHECK(ended.status == 200);
    CHECK(ended.body == "half");
}

TEST_CASE_METHOD(GatewayUpstreamsFixture, "upstream_brokenChunk_isNotAnEnd", "[gateway]")
{
    this->addCounting("plain", 1, [](ServerConnection &connection, const ReceivedRequest &, int) {
        connection.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\n"
                        "X-Server-Stamp: s\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\nzz\r\n");
        connection.close();
    });
    this->start();
    CHECK(this->call(makeRequest("/once/x", "a1")).status == 502);
}

TEST_CASE_METHOD(GatewayUpstreamsFixture, "stream_breaksWithinEvent_goesOnElsewhereWithoutGap",
                 "[gateway]")
{
    // An engine dies in the middle of the third event. The caller's stream goes on within the
    // same answer: the next engine is asked for what follows the second event, and no event is
    // missing, doubled or torn.
    std::atomic<bool> asked = false;
    this->addCounting(
        "model", 2,
        [&asked](ServerConnection &connection, const ReceivedRequest &request, int number) {
            if (number == 1) {
                connection.send(makeStreamHead(request) + makeChunk(makeEvent(1) + makeEvent(2))
                                + makeChunk("id: 3\ndata: pie"));
                connection.reset();
                return;
            }
            const std::string *const resume = request.head.find("Last-Event-Id");
            asked = resume != nullptr && *resume == "2";
            connection.send(makeStreamHead(request) + makeChunk(makeEvent(3))
                            + makeChunk(makeEvent(4)) + "0\r\n\r\n");
        });
    this->start();
    const ReceivedResponse answer = this->call(makeRequest("/stream/x", "a1"));
    CHECK(asked);
    CHECK(answer.isComplete);
    CHECK(answer.body == makeEvent(1) + makeEvent(2) + makeEvent(3) + makeEvent(4));
}

TEST_CASE_METHOD(GatewayUpstreamsFixture, "stream_everyEngineDies_neverLooksWhole", "[gateway]")
{
    this->addCounting("model", 2,
                      [](ServerConnection &connection, const ReceivedRequest &request, int number) {
                          connection.send(makeStreamHead(request) + makeChunk(makeEvent(number)));
                          connection.reset();
                      });
    this->start();
    const ReceivedResponse answer = this->call(makeRequest("/stream/x", "a1"));
    CHECK(answer.status == 200);
    CHECK_FALSE(answer.isComplete);
}

TEST_CASE_METHOD(GatewayUpstreamsFixture, "upstream_cannotBeReached_anotherServesAtOnce",
                 "[gateway]")
{
    // An upstream's process is gone and its address refuses connections. Nothing was sent, so
    // that even a request that may run only once goes to another one.
    this->addCounting("plain", 1,
                      [](ServerConnection &connection, const ReceivedRequest &request, int) {
                          connection.send(makeResponse(request, "served"));
                      });
    this->addDeadUpstream("plain-dead", "plain");
    this->start();
    for (int i = 0; i < 10; ++i) {
        CHECK(this->call(makeRequest("/once/x", "a" + std::to_string(i))).body == "served");
    }
}

TEST_CASE_METHOD(GatewayUpstreamsFixture, "stream_keeperSilentAfterFailedAttempt_isServedElsewhere",
                 "[gateway]")
{
    // An engine breaks a stream off just before its silence would count against it. The router
    // asks the next engine's keeper, which has died unnoticed. The look at the first attempt comes
    // due while nobody has the request: it once ended the whole process.
    this->addCounting(
        "model", 4, [](ServerConnection &connection, const ReceivedRequest &request, int number) {
            if (number % 2 == 1) {
                std::this_thread::sleep_for(std::chrono::milliseconds(50));
                connection.reset();
                return;
            }
            connection.send(makeStreamHead(request) + makeChunk(makeEvent(1)) + "0\r\n\r\n");
        });
    this->start();
    this->addSilentRouter("router-2", "hall-a");
    this->addSilentRouter("router-3", "hall-a");
    this->addSilentRouter("router-4", "hall-a");
    // As many as the retry budget of one of four routers allows.
    for (int i = 0; i < 3; ++i) {
        const ReceivedResponse answer =
            this->call(makeRequest("/hasty/x", "a" + std::to_string(i), {},
                                   "X-Model: m\r\nX-Token-Count: 30,5\r\nX-Prompt-Prefix: a"
                                       + std::to_string(i) + ":10,b:20\r\n"));
        CHECK(answer.status == 200);
    }
}

TEST_CASE_METHOD(GatewayUpstreamsFixture, "upstreams_crashOnOneRequest_areSparedItSoon",
                 "[gateway]")
{
    // One request crashes each upstream that begins to run it, and its caller sends it again at
    // once. The router looks at an upstream whose answer broke off, so that it knows of each crash
    // before the next call, and holds the request back. A look only when the next request happens
    // to be placed there came seconds later, and the caller took down upstream after upstream.
    constexpr int count = 6;
    std::vector<ScriptedServer *> servers(count, nullptr);
    for (int i = 0; i < count; ++i) {
        servers.at(i) =
            &this->addUpstream("plain-" + std::to_string(i), "plain",
                               [this, &servers, i](ServerConnection &connection) {
                                   while (const auto request = connection.read()) {
                                       if (request->body != "poison") {
                                           connection.send(makeResponse(*request, "well"));
                                           continue;
                                       }
                                       ++this->requests;
                                       servers.at(i)->stopAccepting();
                                       connection.reset();
                                       return;
                                   }
                               });
    }
    this->start();
    for (int number = 1; number <= count; ++number) {
        const ReceivedResponse answer =
            this->call(makeRequest("/safe/x", "p" + std::to_string(number), "poison"));
        CHECK((answer.status == 502 || answer.status == 503));
    }
    // The third call may still be on its way to a fourth upstream when the third one is looked at.
    CHECK(this->requests <= 4);
    CHECK(this->call(makeRequest("/safe/x", "b1", "body")).status == 200);
}
