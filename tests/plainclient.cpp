#include <optional>

#include <catch2/catch.hpp>

#include "gatewayfixture.h"
#include "sequentialhttpclient.h"

using namespace plantainswitch;
using namespace plantainswitch::gateway;

namespace {

/// Longer than any test may run: a call that is only ended by it fails its test.
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
    // A data centre is cut off. Its routers were heard a moment ago, and one of them is asked for
    // what it knows of the store: it takes the call and never answers. Were the whole limit waited
    // for, upstreams that begin to leave meanwhile would get requests for seconds.
    ScriptedServer silent([](ServerConnection &connection) { connection.waitForEnd(); });
    const CallReply reply = this->call(silent.endpoint(), {endless, shortSilence});
    CHECK(reply.status == 0);
}
