#include <memory>

#include <asio/io_context.hpp>
#include <catch2/catch.hpp>

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
