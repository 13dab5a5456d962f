#include <catch2/catch.hpp>

#include "gatewayfixture.h"
#include "upstreamconnection.h"

using namespace plantainswitch;
using namespace plantainswitch::gateway;

namespace {

class UpstreamConnectionFixture
{
protected:
    UpstreamConnectionFixture()
        : server([this](ServerConnection &peer) {
            while (const auto request = peer.read()) {
                ++this->requests;
                peer.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            }
        })
        , connection(std::make_shared<UpstreamConnection>(this->context, this->clock))
    {}

    /// \returns handlers that record the outcome and leave the event loop.
    ResponseHandlers handlers()
    {
        return {[](const MessageHead &) { return true; }, [](std::string_view) {},
                [this](ResponseOutcome end) {
                    this->outcome = end;
                    this->context.stop();
                }};
    }

    void runLoop()
    {
        this->context.restart();
        this->context.run_for(std::chrono::seconds(20));
    }

    static constexpr const char *request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    asio::io_context context;
    SystemClock clock;
    std::atomic<int> requests = 0;
    ScriptedServer server;
    std::shared_ptr<UpstreamConnection> connection;
    std::optional<ResponseOutcome> outcome;
};

} // namespace

TEST_CASE_METHOD(UpstreamConnectionFixture, "connection_requestWithheld_sendsNothingAndStaysUsable",
                 "[gateway]")
{
    // Guards against a request that reaches an upstream which asked for a back-off, or announced
    // that it leaves, while the connection was being established.
    ResponseHandlers withholding = this->handlers();
    withholding.maySend = [] { return false; };
    this->connection->connectAndSend(this->server.endpoint(), Milliseconds{5000}, request,
                                     std::move(withholding));
    this->runLoop();
    REQUIRE(this->outcome == ResponseOutcome::Withheld);
    CHECK(this->requests == 0);
    REQUIRE(this->connection->isReusable());
    this->connection->send(request, this->handlers());
    this->runLoop();
    CHECK(this->outcome == ResponseOutcome::Complete);
    CHECK(this->requests == 1);
    this->connection->abort();
}
