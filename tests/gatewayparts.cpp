#include <atomic>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "gatewayfixture.h"

using namespace plantainswitch;
using namespace plantainswitch::gateway;

namespace {

/// Engines of which each crashes when it has sent the head of a response to a prompt with one
/// certain part: its connections are reset and new ones are refused.
class GatewayPartsFixture : public GatewayFixture
{
protected:
    static constexpr const char *crashingPart = "dead0";

    void addEngines(int count)
    {
        this->servers.resize(static_cast<std::size_t>(count), nullptr);
        for (std::size_t i = 0; i < this->servers.size(); ++i) {
            this->servers.at(i) = &this->addUpstream(
                "model-" + std::to_string(i), "model",
                [this, i](ServerConnection &connection) { this->serve(connection, i); });
        }
    }

    void serve(ServerConnection &connection, std::size_t index)
    {
        while (const auto request = connection.read()) {
            connection.send(makeStreamHead(*request));
            if (request->head.find("X-Prompt-Prefix")->find(crashingPart) == std::string::npos) {
                connection.send(makeChunk(makeEvent(1)) + "0\r\n\r\n");
                continue;
            }
            ++this->crashes;
            this->servers.at(index)->stopAccepting();
            connection.reset();
            return;
        }
    }

    /// Sends a request that no other one equals. \returns whether it was served.
    bool callWith(const std::string &sharedParts)
    {
        const std::string number = std::to_string(++this->calls);
        const ReceivedResponse response =
            this->call(makeRequest("/stream/x", "a" + number, "body " + number,
                                   "X-Model: m\r\nX-Token-Count: 30,5\r\nX-Prompt-Prefix: "
                                       + sharedParts + ",f" + number + ":10\r\n"));
        return response.status == 200 && response.isComplete;
    }

    std::vector<ScriptedServer *> servers;
    std::atomic<int> crashes = 0;
    int calls = 0;
};

} // namespace

TEST_CASE_METHOD(GatewayPartsFixture, "promptPart_crashesEachEngine_isQuarantined", "[gateway]")
{
    // Guards against requests that share nothing but a part that crashes engines, each of which
    // counts as a request of its own.
    constexpr int engines = 16;
    this->addEngines(engines);
    this->start();
    CHECK(this->callWith("a1:10,b2:10"));
    for (int i = 0; i < 2 * engines; ++i) {
        CHECK_FALSE(this->callWith("a1:10,dead0:10"));
    }
    // Three crashes, and a retry before the second one was counted.
    CHECK(this->crashes <= 4);
    CHECK(this->callWith("a1:10,b2:10"));
}

TEST_CASE_METHOD(GatewayPartsFixture, "promptPart_sharedWithCrashingRequests_isServed", "[gateway]")
{
    // Guards against sound requests that are refused because they share their other parts with
    // those on which engines crash.
    this->addEngines(16);
    this->start();
    for (int i = 0; i < 12; ++i) {
        CHECK_FALSE(this->callWith("a1:10,b2:10,dead0:10"));
        CHECK(this->callWith("a1:10,b2:10"));
    }
    CHECK(this->crashes <= 4);
}

TEST_CASE_METHOD(GatewayPartsFixture, "promptPart_neverAnsweredBesideCrashingOne_isServedAgain",
                 "[gateway]")
{
    // Guards against a part that stays quarantined with the crashing one, which always came with
    // it, because requests that hold both use up its trials.
    this->addEngines(16);
    this->start();
    for (int i = 0; i < 12; ++i) {
        CHECK_FALSE(this->callWith("a1:10,dead0:10"));
    }
    CHECK(eventually([this] {
        this->callWith("a1:10,dead0:10");
        return this->callWith("a1:10,b2:10");
    }));
    CHECK(this->callWith("a1:10,b3:10"));
}
