#include <optional>

#include <catch2/catch.hpp>

#include "gatewayfixture.h"
#include "sequentialhttpclient.h"

using namespace plantainswitch;
using namespace plantainswitch::gateway;

namespace {

/// Longer than any test may run: a call that only ends by this timeout fails its test.
constexpr Milliseconds endless{600'000};
constexpr Milliseconds shortSilence{50};

class PlainClientFixture
{
protected:
    CallReply call(const Endpoint &server, CallTimeouts limits)
    {
        std::optional<CallReply> reply;
        this->client.call(server, "GET", "/x", {}, limits, [this, &reply](CallReply ended) {
            reply = std::move(ended);
            this->context.stop();
        });
        this->context.run_for(std::chrono::seconds{20});
        this->context.restart();
        REQUIRE(reply);
        return *reply;
    }

    asio::io_context context;
    SystemClock clock;
    platform::PlatformDialect dialect;
    GatewayState state{this->context, this->clock, this->dialect, {}};
    SequentialHttpClient client{this->state};
};

} // namespace

TEST_CASE_METHOD(PlainClientFixture, "call_serverFallsSilent_endsLongBeforeTheWholeLimit",
                 "[gateway]")
{
    // Guards against long waits for a router behind a new partition: it was heard of a moment ago,
    // seems to accept the call and never responds. With the total timeout alone, upstreams that
    // begin to drain meanwhile would still get requests for seconds.
    ScriptedServer silent([](ServerConnection &connection) { connection.waitForEnd(); });
    const CallReply reply = this->call(silent.endpoint(), {endless, shortSilence});
    CHECK(reply.status == 0);
}
