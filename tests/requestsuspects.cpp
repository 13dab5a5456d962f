#include <catch2/catch.hpp>

#include "plantainswitch/routing/prompt.h"
#include "plantainswitch/routing/requestsuspects.h"

using namespace plantainswitch;

namespace {

constexpr std::uint64_t service = 3;

class RequestSuspectsFixture
{
protected:
    static SuspectKey partOf(std::uint64_t id) { return partSuspect(service, id); }

    /// A request that no other one equals.
    RequestSuspects makeRequest(const std::vector<std::uint64_t> &parts)
    {
        RequestSuspects suspects;
        suspects.keys.push_back(requestSuspect(1000 + 2 * this->requests++));
        for (const std::uint64_t id : parts) {
            suspects.keys.push_back(partOf(id));
        }
        return suspects;
    }

    /// Crashes an upstream by requests with these parts that run there.
    void crash(const std::vector<RequestSuspects> &running)
    {
        const std::uint64_t incarnation = ++this->incarnations;
        const TimePoint sentAt = this->clock.now();
        this->clock.advance(Milliseconds{100});
        for (const RequestSuspects &request : running) {
            for (const SuspectKey key : accountableSuspects(request)) {
                this->quarantine.recordUnansweredRun({key, incarnation, sentAt, this->clock.now()});
            }
        }
        this->quarantine.confirmCrash(incarnation, this->clock.now());
    }

    void answer(const RequestSuspects &request)
    {
        this->clock.advance(Milliseconds{1});
        for (const SuspectKey key : request.keys) {
            this->quarantine.clearSuspect(key, this->clock.now(), this->clock.now());
        }
    }

    QuarantineState stateOf(const RequestSuspects &request)
    {
        const auto blocking = blockingSuspect(request, this->quarantine, this->clock.now());
        return blocking ? blocking->state : QuarantineState::Free;
    }

    bool isBlocked(const RequestSuspects &request)
    {
        return this->stateOf(request) != QuarantineState::Free;
    }

    CrashQuarantine quarantine;
    ManualClock clock;
    std::uint64_t requests = 0;
    std::uint64_t incarnations = 0;
};

} // namespace

TEST_CASE_METHOD(RequestSuspectsFixture, "promptPart_threeCrashes_blocksRequestsThatHoldIt",
                 "[routing]")
{
    // Guards against a crashing part that no single request shows.
    for (std::uint64_t i = 0; i < 3; ++i) {
        CHECK_FALSE(this->isBlocked(this->makeRequest({i, 9})));
        this->crash({this->makeRequest({i, 9})});
    }
    CHECK(this->isBlocked(this->makeRequest({7, 9})));
    CHECK_FALSE(this->isBlocked(this->makeRequest({1})));
}

TEST_CASE_METHOD(RequestSuspectsFixture, "promptPart_alwaysBesideCrashingOne_isTrialledAlone",
                 "[routing]")
{
    // Guards against a first part that stays quarantined with the crashing one, which always came
    // with it, because all trials of it go to requests that hold both.
    for (int i = 0; i < 3; ++i) {
        this->crash({this->makeRequest({1, 9})});
    }
    CHECK(this->isBlocked(this->makeRequest({1, 2})));
    this->clock.advance(trialDelays.front());
    CHECK(this->stateOf(this->makeRequest({1, 9})) == QuarantineState::Held);
    CHECK(this->stateOf(this->makeRequest({1, 2})) == QuarantineState::TrialDue);
    this->answer(this->makeRequest({1, 2}));
    CHECK_FALSE(this->isBlocked(this->makeRequest({1, 3})));
    CHECK(this->stateOf(this->makeRequest({1, 9})) == QuarantineState::TrialDue);
}

TEST_CASE_METHOD(RequestSuspectsFixture, "promptParts_onlyComeTogether_getOneTrialInTheEnd",
                 "[routing]")
{
    // Guards against innocent parts that stay quarantined because no request holds just one.
    for (int i = 0; i < 3; ++i) {
        this->crash({this->makeRequest({1, 9})});
    }
    this->clock.advance(trialDelays.front() + Seconds{30});
    RequestSuspects trial = this->makeRequest({1, 9});
    const auto first = blockingSuspect(trial, this->quarantine, this->clock.now());
    REQUIRE(first);
    CHECK(first->state == QuarantineState::TrialDue);
    trial.trials.push_back({first->key, true});
    this->quarantine.beginTrial(first->key, 1, this->clock.now());
    const auto second = blockingSuspect(trial, this->quarantine, this->clock.now());
    REQUIRE(second);
    CHECK(second->key != first->key);
    CHECK(second->state == QuarantineState::TrialDue);
}

TEST_CASE_METHOD(RequestSuspectsFixture, "promptPart_answeredLately_withstandsOutageOfUpstreams",
                 "[routing]")
{
    // Guards against parts in frequent use that are quarantined when upstreams go down together.
    this->answer(this->makeRequest({1, 2}));
    for (int i = 0; i < 3; ++i) {
        this->crash({this->makeRequest({1, 2})});
        CHECK_FALSE(this->isBlocked(this->makeRequest({1, 2})));
    }
    for (int i = 0; i < 3; ++i) {
        this->crash({this->makeRequest({1, 2})});
    }
    CHECK(this->isBlocked(this->makeRequest({1, 2})));
}

TEST_CASE_METHOD(RequestSuspectsFixture, "promptPart_trialCrashes_othersAreNotBlamed", "[routing]")
{
    // Guards against parts that are quarantined because they came with the trial of another one.
    RequestSuspects trial = this->makeRequest({4, 9});
    trial.trials.push_back({partOf(9), true});
    for (int i = 0; i < 3; ++i) {
        this->crash({trial});
    }
    CHECK(this->quarantine.crashCount(partOf(9)) == 3);
    CHECK(this->quarantine.crashCount(partOf(4)) == 0);
    CHECK_FALSE(this->isBlocked(trial));
}

TEST_CASE_METHOD(RequestSuspectsFixture, "heldAndDueSuspects_heldOneBlocks", "[routing]")
{
    // Guards against a trial of one suspect that takes another one along which has none.
    for (int i = 0; i < 3; ++i) {
        this->crash({this->makeRequest({8})});
    }
    this->clock.advance(trialDelays.front());
    for (int i = 0; i < 3; ++i) {
        this->crash({this->makeRequest({9})});
    }
    const auto blocking =
        blockingSuspect(this->makeRequest({8, 9}), this->quarantine, this->clock.now());
    REQUIRE(blocking);
    CHECK(blocking->key == partOf(9));
    CHECK(blocking->state == QuarantineState::Held);
}

TEST_CASE_METHOD(RequestSuspectsFixture, "quarantinedPart_manyOtherSuspects_isNotEvicted",
                 "[routing]")
{
    // Guards against a crashing part that is forgotten first because its requests are refused.
    for (int i = 0; i < 3; ++i) {
        this->crash({this->makeRequest({9})});
    }
    for (std::size_t i = 0; i < maxCrashSuspects; ++i) {
        this->crash({this->makeRequest({100 + i})});
    }
    CHECK(this->isBlocked(this->makeRequest({9})));
}

TEST_CASE("suspectsOfPrompt_repeatedAndLastParts_countOnceAndNever", "[routing]")
{
    // Guards against blame on the part of one request or chat, and unbounded work for long lists.
    Prompt prompt;
    CHECK(partSuspectsOf(service, prompt).empty());
    prompt.parts = {{5, 10}};
    CHECK(partSuspectsOf(service, prompt).empty());
    prompt.parts = {{5, 10}, {6, 10}, {5, 10}, {7, 10}};
    CHECK(partSuspectsOf(service, prompt).size() == 2);
    prompt.parts.assign(10'000, PromptPart{5, 10});
    CHECK(partSuspectsOf(service, prompt).size() == 1);
    for (std::uint64_t i = 0; i < 10'000; ++i) {
        prompt.parts[i].id = i;
    }
    CHECK(partSuspectsOf(service, prompt).size() == maxSuspectParts);
    CHECK(kindOf(requestSuspect(7)) == SuspectKind::Request);
    CHECK(kindOf(partSuspect(service, 7)) == SuspectKind::PromptPart);
}
