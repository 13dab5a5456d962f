#include <atomic>
#include <memory>

#include <asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "gatewayfixture.h"
#include "httpclient.h"

using namespace plantainswitch::net;

namespace {

/// Owns its exchange and is owned by its callbacks, like a request handler.
struct Owner
{
    std::shared_ptr<HttpExchange> exchange;
};

std::weak_ptr<Owner> startOwned(HttpClient &client)
{
    auto owner = std::make_shared<Owner>();
    HttpEvents events;
    events.onEnd = [owner](HttpOutcome, const std::string &) {};
    HttpCall call;
    call.url = "http://127.0.0.1:1/";
    owner->exchange = client.start(std::move(call), std::move(events));
    return owner;
}

/// Fetches from a server that sends \a begin, and then \a filler until the connection is closed.
/// \returns the outcome, and nothing if the client took all of 64 MiB.
std::optional<HttpOutcome> fetchWithoutEnd(const std::string &begin, const std::string &filler)
{
    constexpr std::size_t most = 64 << 20;
    std::atomic<bool> hasTakenAll = false;
    plantainswitch::gateway::ScriptedServer server(
        [&](plantainswitch::gateway::ServerConnection &peer) {
            static_cast<void>(peer.read());
            peer.send(begin);
            std::size_t sent = 0;
            while (sent < most && !peer.waitForEnd(std::chrono::milliseconds{0})) {
                peer.send(filler);
                sent += filler.size();
            }
            hasTakenAll = sent >= most;
            peer.close();
        });
    asio::io_context context;
    HttpClient client(context);
    HttpCall call;
    call.url = "http://" + toText(server.endpoint()) + "/";
    std::optional<HttpOutcome> outcome;
    const auto exchange = client.fetch(std::move(call), [&](HttpResponse response) {
        outcome = response.outcome;
        context.stop();
    });
    context.run_for(std::chrono::seconds(30));
    return hasTakenAll ? std::nullopt : outcome;
}

} // namespace

TEST_CASE("httpClient_endedBeforeExchangeBegan_letsGoOfItsOwner", "[httpclient]")
{
    // Guards against a leak when a router is killed between the start of an exchange and its first
    // step. The request and its exchange own each other and must be destroyed with the router.
    std::weak_ptr<Owner> owner;
    {
        asio::io_context context;
        HttpClient client(context);
        owner = startOwned(client);
    }
    CHECK(owner.expired());
}

TEST_CASE("httpClient_endedWhileExchangeRuns_letsGoOfItsOwner", "[httpclient]")
{
    std::weak_ptr<Owner> owner;
    {
        asio::io_context context;
        HttpClient client(context);
        owner = startOwned(client);
        context.poll_one();
    }
    CHECK(owner.expired());
}

TEST_CASE("httpClient_responseWithoutEnd_isBrokenOff", "[httpclient]")
{
    // Guards against bytes without end, in each part of a response, that take the memory of the
    // process.
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string letters(64 << 10, 'a');
    std::string fields;
    std::string interim;
    std::string chunks;
    for (int i = 0; i < 1000; ++i) {
        fields += "X-" + std::to_string(i) + ": value\r\n";
        interim += "HTTP/1.1 100 Continue\r\n\r\n";
        chunks += "4\r\nbody\r\n";
    }
    CHECK(fetchWithoutEnd("HTTP/1.1 200 ", letters) == HttpOutcome::Broken);
    CHECK(fetchWithoutEnd(ok + "X-A: ", letters) == HttpOutcome::Broken);
    CHECK(fetchWithoutEnd(ok, fields) == HttpOutcome::Broken);
    CHECK(fetchWithoutEnd("", interim) == HttpOutcome::Broken);
    CHECK(fetchWithoutEnd(ok + "\r\n", letters) == HttpOutcome::Broken);
    CHECK(fetchWithoutEnd(chunked, chunks) == HttpOutcome::Broken);
    CHECK(fetchWithoutEnd(chunked + "4;", letters) == HttpOutcome::Broken);
    CHECK(fetchWithoutEnd(chunked + "0\r\n", fields) == HttpOutcome::Broken);
}
