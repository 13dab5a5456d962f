#include <string>
#include <vector>

#include <asio/read.hpp>
#include <asio/write.hpp>

#include <catch2/catch.hpp>

#include "gatewayfixture.h"

using namespace plantainswitch;
using namespace plantainswitch::gateway;

namespace {

class GatewayColdFixture : public GatewayFixture
{
protected:
    GatewayColdFixture()
    {
        this->setColdTime(Seconds{600});
        this->changeSettings(
            [](GatewaySettings &settings) { settings.coldStart = ColdStartTolerance{}; });
    }

    /// Sends a request with a prompt. \returns its status, after the first event.
    int startStream(int number)
    {
        this->streams.push_back(this->connectCaller());
        const std::string more = "X-Model: m\r\nX-Token-Count: 20,5\r\nX-Prompt-Prefix: a1:10,b"
                                 + std::to_string(number) + ":10\r\n";
        const std::string request =
            makeRequest("/stream/x", "s" + std::to_string(number), "", more);
        asio::write(this->streams.back(), asio::buffer(request));
        std::string head(12, '\0');
        asio::read(this->streams.back(), asio::buffer(head));
        return std::stoi(head.substr(9));
    }

    std::vector<asio::ip::tcp::socket> streams;
};

} // namespace

TEST_CASE_METHOD(GatewayColdFixture, "cold_onlyUpstreamThatWorks_servesOncePermitted", "[gateway]")
{
    // Guards against a cold upstream that never gets a permit although nothing else can serve, and
    // against a search among such upstreams that does not end.
    const auto reset = [](ServerConnection &connection) {
        connection.read();
        connection.reset();
    };
    this->addUpstream("model-0", "model", reset);
    this->addUpstream("model-1", "model", reset);
    this->addUpstream("model-2", "model", [](ServerConnection &connection) {
        const auto request = connection.read();
        if (request) {
            connection.send(makeStreamHead(*request) + makeChunk(makeEvent(1)));
            connection.waitForEnd();
        }
    });
    this->addUpstream("plain-0", "plain", [](ServerConnection &connection) {
        while (const auto request = connection.read()) {
            connection.send(makeResponse(*request, "done"));
        }
    });
    this->start();
    int number = 0;
    int served = 0;
    constexpr int enough = 8;
    CHECK(eventually([this, &number, &served] {
        served += this->startStream(++number) == 200 ? 1 : 0;
        return served >= enough;
    }));
    CHECK(this->call(makeRequest("/safe/x", "a1")).status == 200);
}
