#include <atomic>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>

#include "gatewayfixture.h"

using namespace plantainswitch;
using namespace plantainswitch::gateway;

namespace {

/// Upstreams of one service of which each crashes some time after it began to run a request with
/// the body "poison": its connections are reset and new ones are refused.
class GatewayCrashesFixture : public GatewayFixture
{
protected:
    void addCrashing(int count, std::chrono::milliseconds delay)
    {
        this->servers.resize(static_cast<std::size_t>(count), nullptr);
        for (std::size_t i = 0; i < this->servers.size(); ++i) {
            this->servers.at(i) =
                &this->addUpstream("plain-" + std::to_string(i), "plain",
                                   [this, i, delay](ServerConnection &connection) {
                                       this->serve(connection, i, delay);
                                   });
        }
    }

    void serve(ServerConnection &connection, std::size_t index, std::chrono::milliseconds delay)
    {
        while (const auto request = connection.read()) {
            if (request->body != "poison") {
                connection.send(makeResponse(*request, "served"));
                continue;
            }
            ++this->runs;
            std::this_thread::sleep_for(delay);
            this->servers.at(index)->stopAccepting();
            connection.reset();
            return;
        }
    }

    std::vector<ScriptedServer *> servers;
    std::atomic<int> runs = 0;
};

} // namespace

TEST_CASE_METHOD(GatewayCrashesFixture, "crash_afterRunWasGivenUpAsSilent_countsAgainstItsRequest",
                 "[gateway]")
{
    // Guards against a crash that counts against no request because the router had given the run up
    // as silent, and closed its connection, before the upstream went down.
    constexpr int upstreams = 8;
    constexpr int callers = 12;
    this->addCrashing(upstreams, std::chrono::milliseconds{700});
    this->start();
    for (int i = 0; i < callers; ++i) {
        const ReceivedResponse answer =
            this->call(makeRequest("/safe/x", "p" + std::to_string(i), "poison"));
        CHECK((answer.status == 502 || answer.status == 503 || answer.status == 504));
    }
    // Three crashes quarantine the request; one more run may have begun before the third was found.
    CHECK(this->runs <= 4);
    CHECK(this->call(makeRequest("/safe/x", "b1", "body")).status == 200);
}
