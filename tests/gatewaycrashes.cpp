#include <atomic>
#include <future>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>

#include "plantainswitch/base/hash.h"

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

    static SuspectKey fingerprintOf(const std::string &body)
    {
        return requestSuspect(mixHash(hashOf("/safe/x", hashOf("alpha")), hashOf(body)));
    }

    QuarantineState stateOf(SuspectKey request)
    {
        std::promise<QuarantineState> state;
        this->gateway->post([this, request, &state] {
            state.set_value(
                this->gateway->sharedState().crashQuarantine.stateOf(request, this->clock.now()));
        });
        return state.get_future().get();
    }

    bool isQuarantined(SuspectKey request)
    {
        return this->stateOf(request) != QuarantineState::Free;
    }

    const SuspectKey poisonFingerprint = fingerprintOf("poison");
    const SuspectKey innocentFingerprint = fingerprintOf("innocent");
    const std::string poisonRecord = formatHash(this->poisonFingerprint);
    const std::string innocentRecord = formatHash(this->innocentFingerprint);
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
    // Three crashes quarantine the request; one more run may have started before the third was
    // found.
    CHECK(this->runs <= 4);
    CHECK(this->call(makeRequest("/safe/x", "b1", "body")).status == 200);
}

TEST_CASE_METHOD(GatewayCrashesFixture, "crash_ofThreeUpstreams_isRecordedInTheStore", "[gateway]")
{
    // Guards against a fleet that forgets a crashing request when all its routers are killed.
    this->addCrashing(8, std::chrono::milliseconds{0});
    this->start();
    for (int i = 0; i < 4; ++i) {
        this->call(makeRequest("/safe/x", "p" + std::to_string(i), "poison"));
    }
    CHECK(eventually([this] { return this->storedTrials(poisonRecord) == 0; }));
}

TEST_CASE_METHOD(GatewayCrashesFixture, "quarantine_recordedInTheStore_holdsAfterTheRoutersStart",
                 "[gateway]")
{
    // Guards against a router that sends a request to upstreams although the fleet had quarantined
    // it before all routers were killed.
    this->addCrashing(4, std::chrono::milliseconds{0});
    this->setTrialRecord(poisonRecord, 3);
    this->start();
    const auto isRefused = [this](int number) {
        return this->call(makeRequest("/safe/x", "p" + std::to_string(number), "poison")).status
               == 503;
    };
    CHECK(eventually([this] { return this->isQuarantined(poisonFingerprint); }));
    for (int i = 0; i < 4; ++i) {
        CHECK(isRefused(i));
    }
    CHECK(this->runs == 0);
}

TEST_CASE_METHOD(GatewayCrashesFixture, "quarantine_trialSucceeds_requestIsServedAndRecordRemoved",
                 "[gateway]")
{
    // Guards against an innocent request that stays quarantined because it once ran beside a
    // crashing one.
    this->addCrashing(2, std::chrono::milliseconds{0});
    this->setTrialRecord(innocentRecord, 0);
    this->start();
    CHECK(eventually([this] { return this->isQuarantined(innocentFingerprint); }));
    CHECK(this->call(makeRequest("/safe/x", "a", "innocent")).status == 503);
    CHECK(eventually(
        [this] { return this->call(makeRequest("/safe/x", "b", "innocent")).body == "served"; }));
    CHECK(eventually([this] { return !this->storedTrials(innocentRecord); }));
    CHECK(this->call(makeRequest("/safe/x", "c", "innocent")).body == "served");
}

TEST_CASE_METHOD(GatewayCrashesFixture, "quarantine_anotherRouterIsPermittedTheTrial_isDenied",
                 "[gateway]")
{
    // Guards against a trial by each router that does not know of the others' trials.
    this->addCrashing(2, std::chrono::milliseconds{0});
    this->setTrialRecord(innocentRecord, 0);
    this->start();
    CHECK(eventually([this] { return this->isQuarantined(innocentFingerprint); }));
    this->setTrialRecord(innocentRecord, 3);
    CHECK(eventually(
        [this] { return this->stateOf(innocentFingerprint) == QuarantineState::TrialDue; }));
    for (int i = 0; i < 4; ++i) {
        CHECK(this->call(makeRequest("/safe/x", "a" + std::to_string(i), "innocent")).status
              == 503);
    }
    CHECK(this->storedTrials(innocentRecord) == 3);
}

TEST_CASE_METHOD(GatewayCrashesFixture,
                 "quarantine_anotherRouterIsAnsweredDuringTheTrial_recordIsRemoved", "[gateway]")
{
    // Guards against a record that nobody removes: the router that was answered counts no crashes,
    // and the one that wrote the record for a trial is not answered.
    this->addUpstream("plain-0", "plain", [this](ServerConnection &connection) {
        if (connection.read()) {
            ++this->runs;
            connection.waitForEnd();
        }
    });
    this->setTrialRecord(poisonRecord, 0);
    this->start();
    CHECK(eventually(
        [this] { return this->stateOf(poisonFingerprint) == QuarantineState::TrialDue; }));
    const auto trial = std::async(
        std::launch::async, [this] { return this->call(makeRequest("/safe/x", "a", "poison")); });
    CHECK(eventually([this] { return this->runs == 1; }));
    CHECK(this->storedTrials(poisonRecord) == 1);
    this->gateway->post([this] {
        this->gateway->sharedState().applyCleared({poisonFingerprint, this->clock.now()});
    });
    CHECK(eventually([this] { return !this->storedTrials(poisonRecord); }));
}
