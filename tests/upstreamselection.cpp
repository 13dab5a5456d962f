#include <algorithm>
#include <map>
#include <memory>
#include <random>

#include <catch2/catch.hpp>

#include "plantainswitch/base/hash.h"
#include "plantainswitch/routing/selection.h"

using namespace plantainswitch;

namespace {

class UpstreamChoiceFixture
{
protected:
    void addEngines(std::size_t count, const std::string &place = "hall-a")
    {
        for (std::size_t i = 0; i < count; ++i) {
            auto state = std::make_unique<UpstreamState>();
            state->replica.id = place + "-engine-" + std::to_string(i);
            state->replica.dataCentre = place;
            state->replica.maxConcurrency = 48;
            state->replica.startTime = 1;
            this->pointers.push_back(state.get());
            this->engines.push_back(std::move(state));
        }
    }

    /// A prompt with a part that all prompts share, a large part that those with the same \a
    /// subject share, and a small part of its own.
    static Prompt promptAbout(std::uint64_t subject)
    {
        return {"m", {{1000, 2500}, {subject, 6000}, {subject << 20U, 500}}, 50};
    }

    std::optional<UpstreamSelection> choose(const Prompt &prompt,
                                            const std::vector<std::string> &tried = {})
    {
        const std::vector<std::uint64_t> chain = prefixHashesOf(prompt);
        return selectUpstream(this->pointers, {"hall-a", 0, &prompt, chain, tried}, this->memory,
                              this->policy, this->clock.now());
    }

    void hand(const UpstreamSelection &choice, const Prompt &prompt)
    {
        UpstreamState &state = *this->pointers[choice.index];
        state.ownRunning += 1;
        this->memory.recordUse(prefixHashesOf(prompt), incarnationOf(state.replica),
                               this->clock.now());
    }

    /// Adds nine engines and sends \a prompt to the selected one.
    /// \returns its index.
    std::size_t handToHome(const Prompt &prompt)
    {
        this->addEngines(9);
        const auto home = this->choose(prompt);
        REQUIRE(home);
        this->hand(*home, prompt);
        return home->index;
    }

    std::vector<std::unique_ptr<UpstreamState>> engines;
    std::vector<UpstreamState *> pointers;
    PrefixIndex memory;
    SelectionPolicy policy;
    ManualClock clock;
};

} // namespace

TEST_CASE_METHOD(UpstreamChoiceFixture, "choice_returningChain_findsTheEngineThatReadIt",
                 "[routing]")
{
    this->addEngines(9);
    const Prompt prompt = promptAbout(7);
    const auto first = this->choose(prompt);
    REQUIRE(first);
    this->hand(*first, prompt);
    const auto second = this->choose(prompt);
    REQUIRE(second);
    CHECK(second->index == first->index);
    CHECK(second->uncachedTokens < first->uncachedTokens);
}

TEST_CASE_METHOD(UpstreamChoiceFixture, "choice_routersThatNeverTalked_agreeOnAChainsEngine",
                 "[routing]")
{
    this->addEngines(9);
    const Prompt prompt = promptAbout(7);
    const auto here = this->choose(prompt);
    PrefixIndex empty;
    const std::vector<std::uint64_t> chain = prefixHashesOf(prompt);
    const auto there = selectUpstream(this->pointers, {"hall-b", 0, &prompt, chain, {}}, empty,
                                      this->policy, this->clock.now());
    REQUIRE(here);
    REQUIRE(there);
    CHECK(here->index == there->index);
}

TEST_CASE_METHOD(UpstreamChoiceFixture, "choice_oneSubjectGetsAThirdOfTheTraffic_boundHolds",
                 "[routing]")
{
    // A third of all requests share one prefix, whose home would run far more than twice the mean.
    // The rest is spread over about 130 subjects, as in the users' workload figures. Requests end
    // in the order in which they arrived, 60 at a time.
    this->addEngines(9);
    std::mt19937_64 random(20'261'202);
    std::vector<std::size_t> running;
    constexpr std::size_t most = 60;
    for (int i = 0; i < 4000; ++i) {
        const std::uint64_t subject = random() % 3 == 0 ? 1 : 2 + random() % 130;
        const Prompt prompt = promptAbout(subject);
        const auto choice = this->choose(prompt);
        REQUIRE(choice);
        this->hand(*choice, prompt);
        running.push_back(choice->index);
        if (running.size() > most) {
            this->pointers[running.front()]->ownRunning -= 1;
            running.erase(running.begin());
        }
        std::uint32_t highest = 0;
        for (const UpstreamState *state : this->pointers) {
            highest = std::max(highest, state->ownRunning);
        }
        const double mean = static_cast<double>(running.size()) / 9.0;
        REQUIRE(highest <= 2.0 * mean + 3.0);
    }
}

TEST_CASE_METHOD(UpstreamChoiceFixture, "load_oneOfFourRejectsAll_retryBudgetSuffices", "[routing]")
{
    // The pattern: one of four upstreams rejects every request at once, and therefore has the least
    // running. Guards against callers that are refused because the retry budget, a fifth of the
    // requests, is spent on it.
    this->addEngines(4);
    constexpr int requestCount = 500;
    constexpr double retryRatio = 0.2;
    int rejections = 0;
    for (int i = 0; i < requestCount; ++i) {
        const SelectionRequest request{"hall-a", hashOf(std::to_string(i)), nullptr, {}, {}};
        const auto choice =
            selectUpstream(this->pointers, request, this->memory, this->policy, this->clock.now());
        REQUIRE(choice);
        UpstreamHealth &health = this->pointers[choice->index]->health;
        if (choice->index == 0) {
            ++rejections;
            recordFault(health, UpstreamFault::Rejected, this->clock.now());
        } else {
            recordSuccess(health, Duration{0}, this->clock.now());
        }
        this->clock.advance(Milliseconds{20});
    }
    CHECK(rejections < retryRatio * requestCount);
}

TEST_CASE_METHOD(UpstreamChoiceFixture, "load_allRejectAlike_noneIsPenalized", "[routing]")
{
    // Guards against leaving the home of a prefix for rejections that happen everywhere: the whole
    // service is full.
    const Prompt prompt = promptAbout(7);
    const std::size_t home = this->handToHome(prompt);
    for (UpstreamState *const state : this->pointers) {
        state->ownRunning = 20;
        recordFault(state->health, UpstreamFault::Rejected, this->clock.now());
    }
    const auto choice = this->choose(prompt);
    REQUIRE(choice);
    CHECK(choice->index == home);
}

TEST_CASE_METHOD(UpstreamChoiceFixture, "choice_routersWithOldFigures_doNotAllPickTheSameEngine",
                 "[routing]")
{
    // Eight routers see the same loads, up to a tenth of a second old. Guards against all of them
    // spilling over from full engines to the least loaded one, which would run more than twice the
    // mean before any router learnt of it.
    this->addEngines(9);
    for (UpstreamState *state : this->pointers) {
        state->peersRunning = 6;
    }
    this->pointers[3]->peersRunning = 5;
    std::map<std::size_t, int> picks;
    for (std::uint64_t subject = 1; subject <= 90; ++subject) {
        const auto choice = this->choose(promptAbout(subject));
        REQUIRE(choice);
        ++picks[choice->index];
    }
    CHECK(picks[3] < 30);
}

TEST_CASE_METHOD(UpstreamChoiceFixture, "choice_leavingOrTried_isNeverUsed", "[routing]")
{
    this->addEngines(2);
    this->pointers[0]->replica.draining = true;
    const auto choice = this->choose(promptAbout(1));
    REQUIRE(choice);
    CHECK(choice->index == 1);
    CHECK_FALSE(this->choose(promptAbout(1), {this->pointers[1]->replica.id}));
}

TEST_CASE_METHOD(UpstreamChoiceFixture, "choice_avoidedEngine_isUsedOnlyWhenNothingElseIsLeft",
                 "[routing]")
{
    this->addEngines(2);
    recordFault(this->pointers[0]->health, UpstreamFault::Unreachable, this->clock.now());
    for (std::uint64_t subject = 1; subject <= 20; ++subject) {
        const auto choice = this->choose(promptAbout(subject));
        REQUIRE(choice);
        CHECK(choice->index == 1);
    }
    const auto last = this->choose(promptAbout(1), {this->pointers[1]->replica.id});
    REQUIRE(last);
    CHECK(last->index == 0);
}

TEST_CASE_METHOD(UpstreamChoiceFixture, "choice_mostEnginesFailAlike_avoidanceIsIgnored",
                 "[routing]")
{
    // If nearly all engines fail at once, the cause is elsewhere. Guards against ejecting them,
    // which would move all load to the remaining one: nine times its share.
    this->addEngines(9);
    for (std::size_t i = 0; i < 8; ++i) {
        recordFault(this->pointers[i]->health, UpstreamFault::ConnectionLost, this->clock.now());
        recordFault(this->pointers[i]->health, UpstreamFault::ConnectionLost, this->clock.now());
        REQUIRE(isEjected(this->pointers[i]->health, this->clock.now()));
    }
    std::map<std::size_t, int> picks;
    for (std::uint64_t subject = 1; subject <= 90; ++subject) {
        const auto choice = this->choose(promptAbout(subject));
        REQUIRE(choice);
        ++picks[choice->index];
    }
    CHECK(picks[8] < 30);
    CHECK(picks.size() > 5);
}

TEST_CASE_METHOD(UpstreamChoiceFixture, "choice_dataCentreCutOff_usesItsOwnEnginesOnly",
                 "[routing]")
{
    // A data centre is cut off, with two of the nine engines in it. Each attempt on another engine
    // costs its caller a connection timeout, and three of them the whole objective. The two
    // reachable engines must get all requests at once, although most of the service is unreachable.
    this->addEngines(2, "hall-a");
    this->addEngines(7, "hall-b");
    for (std::size_t i = 2; i < 9; ++i) {
        recordFault(this->pointers[i]->health, UpstreamFault::Unreachable, this->clock.now());
    }
    for (std::uint64_t subject = 1; subject <= 60; ++subject) {
        const Prompt prompt = promptAbout(subject);
        const auto choice = this->choose(prompt);
        REQUIRE(choice);
        CHECK(choice->index < 2);
        this->hand(*choice, prompt);
    }
}

TEST_CASE_METHOD(UpstreamChoiceFixture, "choice_nobodyCanBeReached_refusesUntilItIsTimeToTry",
                 "[routing]")
{
    this->addEngines(3);
    for (UpstreamState *state : this->pointers) {
        recordFault(state->health, UpstreamFault::Unreachable, this->clock.now());
    }
    CHECK(this->choose(promptAbout(1)));
    for (UpstreamState *state : this->pointers) {
        recordFault(state->health, UpstreamFault::Unreachable, this->clock.now());
    }
    CHECK_FALSE(this->choose(promptAbout(1)));
    this->clock.advance(maxEjectionTime);
    CHECK(this->choose(promptAbout(1)));
}

TEST_CASE_METHOD(UpstreamChoiceFixture, "choice_newLife_holdsNothingOfTheOld", "[routing]")
{
    this->addEngines(1);
    const Prompt prompt = promptAbout(1);
    const auto before = this->choose(prompt);
    this->hand(*before, prompt);
    CHECK(this->choose(prompt)->uncachedTokens == 0.0);
    this->pointers[0]->replica.startTime = 2;
    CHECK(this->choose(prompt)->uncachedTokens > 0.0);
}

TEST_CASE_METHOD(UpstreamChoiceFixture, "choice_plainRequest_staysInItsDataCentre", "[routing]")
{
    this->addEngines(1, "hall-b");
    this->addEngines(1, "hall-a");
    this->addEngines(1, "hall-c");
    for (std::uint64_t hash = 0; hash < 50; ++hash) {
        const auto choice =
            selectUpstream(this->pointers, {"hall-a", hashOf("r", hash), nullptr, {}, {}},
                           this->memory, this->policy, this->clock.now());
        REQUIRE(choice);
        CHECK(choice->index == 1);
    }
}

TEST_CASE("chainMemory_moreThanItsMost_forgetsTheOldest", "[routing]")
{
    PrefixIndex memory(100);
    ManualClock clock;
    for (std::uint64_t chain = 1; chain <= 101; ++chain) {
        memory.recordUse({&chain, 1}, 5, clock.now());
        clock.advance(Milliseconds{1});
    }
    const std::uint64_t oldest = 1;
    const std::uint64_t newest = 101;
    CHECK(memory.cachedParts({&oldest, 1}, 5, clock.now()) == 0);
    CHECK(memory.cachedParts({&newest, 1}, 5, clock.now()) == 1);
}

TEST_CASE("chainMemory_enginesReplacedForMonths_remembersThoseInUse", "[routing]")
{
    // All prompts share a prefix, whose entry is therefore always in use, while its engines are
    // replaced one after the other. Guards against an entry that grows with the number of replaced
    // engines.
    PrefixIndex memory;
    ManualClock clock;
    const std::uint64_t prefix = 1;
    for (std::uint64_t life = 1; life <= 1000; ++life) {
        memory.recordUse({&prefix, 1}, life, clock.now());
        clock.advance(Seconds{1});
    }
    CHECK(memory.holderCount(prefix) <= 65);
    CHECK(memory.cachedParts({&prefix, 1}, 1000, clock.now()) == 1);
}

TEST_CASE("chainMemory_partUnusedForLong_isTakenAsDropped", "[routing]")
{
    // An engine's cache is filled with newer prefixes. Guards against sending a prompt to an engine
    // that is assumed to have its prefix cached but has to prefill all of it.
    PrefixIndex memory;
    ManualClock clock;
    const std::uint64_t part = 1;
    memory.recordUse({&part, 1}, 5, clock.now());
    clock.advance(cacheResidency);
    CHECK(memory.cachedParts({&part, 1}, 5, clock.now()) == 1);
    clock.advance(Milliseconds{1});
    CHECK(memory.cachedParts({&part, 1}, 5, clock.now()) == 0);
}

TEST_CASE_METHOD(UpstreamChoiceFixture, "choice_homeIsFull_spillsToTheChainsNextAndNamesADonor",
                 "[routing]")
{
    // The home of a prefix is at its load bound. All routers must spill over to the same next
    // engine, which transfers the prompt from the home instead of prefilling it.
    const Prompt prompt = promptAbout(7);
    const std::size_t home = this->handToHome(prompt);
    this->pointers[home]->ownRunning = 40;
    const auto next = this->choose(prompt);
    REQUIRE(next);
    CHECK(next->index != home);
    CHECK(next->transferSource == home);
    CHECK(next->transferredTokens == 9000.0);
    CHECK(next->uncachedTokens == 0.0);
    PrefixIndex empty;
    const std::vector<std::uint64_t> chain = prefixHashesOf(prompt);
    const auto elsewhere = selectUpstream(this->pointers, {"hall-b", 0, &prompt, chain, {}}, empty,
                                          this->policy, this->clock.now());
    REQUIRE(elsewhere);
    CHECK(elsewhere->index == next->index);
}

TEST_CASE_METHOD(UpstreamChoiceFixture, "choice_donorIsAvoided_isNotCopiedFrom", "[routing]")
{
    // Guards against a transfer from an engine that is down, which would block the request until
    // its timeout.
    const Prompt prompt = promptAbout(7);
    const std::size_t home = this->handToHome(prompt);
    recordFault(this->pointers[home]->health, UpstreamFault::Unreachable, this->clock.now());
    const auto next = this->choose(prompt);
    REQUIRE(next);
    CHECK(next->index != home);
    CHECK_FALSE(next->transferSource);
}

TEST_CASE_METHOD(UpstreamChoiceFixture, "choice_engineShouldHaveThePrompt_stillNamesADonor",
                 "[routing]")
{
    // The engine may have evicted the prompt; naming a transfer source costs nothing otherwise.
    const Prompt prompt = promptAbout(7);
    const std::size_t home = this->handToHome(prompt);
    UpstreamSelection second;
    second.index = (home + 1) % 9;
    this->hand(second, prompt);
    const auto again = this->choose(prompt);
    REQUIRE(again);
    CHECK(again->index == home);
    CHECK(again->transferSource == second.index);
    CHECK(again->transferredTokens == 0.0);
}

TEST_CASE_METHOD(UpstreamChoiceFixture, "choice_homeIsNew_copiesFromTheHomeBeforeIt", "[routing]")
{
    // An engine joins and becomes the home of some prefixes. It has none of them cached except the
    // prefix that all prompts share, and must transfer them from their previous home.
    this->addEngines(9);
    std::vector<std::size_t> before;
    for (std::uint64_t subject = 1; subject <= 90; ++subject) {
        const Prompt prompt = promptAbout(subject);
        const auto choice = this->choose(prompt);
        REQUIRE(choice);
        before.push_back(choice->index);
        this->memory.recordUse(prefixHashesOf(prompt),
                               incarnationOf(this->pointers[choice->index]->replica),
                               this->clock.now());
    }
    this->addEngines(1);
    this->pointers.back()->replica.id = "newcomer";
    const std::uint64_t prefix = prefixHashesOf(promptAbout(1)).front();
    this->memory.recordUse({&prefix, 1}, incarnationOf(this->pointers.back()->replica),
                           this->clock.now());
    int moved = 0;
    for (std::uint64_t subject = 1; subject <= 90; ++subject) {
        this->pointers[before[subject - 1]]->ownRunning = 40;
        const auto choice = this->choose(promptAbout(subject));
        this->pointers[before[subject - 1]]->ownRunning = 0;
        REQUIRE(choice);
        if (choice->index == 9) {
            ++moved;
            CHECK(choice->transferSource == before[subject - 1]);
            CHECK(choice->transferredTokens > 0.0);
        }
    }
    CHECK(moved > 0);
}

TEST_CASE_METHOD(UpstreamChoiceFixture, "choice_homeIsLeaving_nextOneCopiesFromIt", "[routing]")
{
    // A draining engine's cache can be used until it stops.
    const Prompt prompt = promptAbout(7);
    const std::size_t home = this->handToHome(prompt);
    this->pointers[home]->replica.draining = true;
    const auto next = this->choose(prompt);
    REQUIRE(next);
    CHECK(next->transferSource == home);
}

TEST_CASE("chainMemory_onlyTheSharedPartHeardOf_standsForThoseBeforeIt", "[routing]")
{
    // Other routers report one hash per prompt, not one for each of its parts.
    PrefixIndex memory;
    ManualClock clock;
    const std::vector<std::uint64_t> chain{1, 2, 3};
    memory.recordUse({&chain[1], 1}, 5, clock.now());
    CHECK(memory.cachedParts(chain, 5, clock.now()) == 2);
    clock.advance(Seconds{3});
    CHECK(memory.wasUsed(2, 5, Seconds{3}, clock.now()));
    CHECK_FALSE(memory.wasUsed(2, 5, Seconds{2}, clock.now()));
}

// Guards against underestimating the prefill of long prompts that no engine has cached.
TEST_CASE_METHOD(UpstreamChoiceFixture, "choice_prefixNobodyHas_countsAllOfThePrompt", "[routing]")
{
    this->addEngines(9);
    const Prompt prompt = promptAbout(7);
    const auto choice = this->choose(prompt);
    REQUIRE(choice);
    CHECK(choice->isFirstPrefill);
    CHECK(choice->uncachedTokens == 9000.0);
    CHECK(choice->expectedDelay >= 9000.0 / this->policy.performance.prefillRate);
}

// Guards against prefills that stall the streams of the busiest engine.
TEST_CASE_METHOD(UpstreamChoiceFixture, "choice_longPrefill_goesWhereFewRequestsRun", "[routing]")
{
    this->addEngines(2);
    this->policy.preferredUpstreams = false;
    this->policy.preferenceStepRequests = 0.0;
    this->policy.loadBoundFactor = 10.0;
    this->policy.performance.delayPerRunning = 0.0;
    for (const std::size_t busy : {0U, 1U}) {
        this->pointers[busy]->ownRunning = 20;
        this->pointers[1 - busy]->ownRunning = 2;
        const auto choice = this->choose(promptAbout(7));
        REQUIRE(choice);
        CHECK(choice->index == 1 - busy);
    }
}

// Guards against transfers over links on which they take longer than a prefill.
TEST_CASE_METHOD(UpstreamChoiceFixture, "choice_transferSlowerThanPrefill_prefills", "[routing]")
{
    this->policy.performance.prefillRate = 45.0;
    this->policy.performance.transferRate = 15.0;
    const Prompt prompt = promptAbout(7);
    const std::size_t home = this->handToHome(prompt);
    this->pointers[home]->ownRunning = 40;
    const auto next = this->choose(prompt);
    REQUIRE(next);
    CHECK(next->index != home);
    CHECK_FALSE(next->transferSource);
    CHECK(next->uncachedTokens == 9000.0);
}

// Guards against estimating the queue for slots as if it moved as fast as the steps of an engine.
TEST_CASE_METHOD(UpstreamChoiceFixture, "choice_allSlotsBusy_expectsAShareOfTheHoldTime",
                 "[routing]")
{
    this->addEngines(1);
    this->policy.performance.slotHoldTime = 2400.0;
    this->pointers[0]->ownRunning = 48;
    const auto atLimit = this->choose(promptAbout(7));
    REQUIRE(atLimit);
    this->pointers[0]->ownRunning = 47 + 48;
    const auto queued = this->choose(promptAbout(7));
    REQUIRE(queued);
    CHECK(queued->expectedDelay - atLimit->expectedDelay
          == Approx(2400.0 * 47.0 / 48.0 + 47.0 * this->policy.performance.delayPerRunning));
    CHECK(queued->occupancy == Approx(95.0 / 48.0));
}

TEST_CASE("chainMemory_sharedUses_givesTheNewestOfSharedPrefixesOnly", "[routing]")
{
    PrefixIndex memory;
    ManualClock clock;
    clock.advance(Seconds{60});
    const std::vector<std::uint64_t> chain{1, 2, 3};
    memory.recordUse(chain, 5, clock.now());
    memory.recordSharedUse(2, 5, clock.now());
    memory.recordSharedUse(4, 6, clock.now() - Seconds{1});
    memory.recordSharedUse(7, 6, clock.now() - cacheResidency - Seconds{1});
    const auto uses = memory.recentSharedUses(10, clock.now());
    REQUIRE(uses.size() == 2);
    CHECK(uses[0].prefix == 2);
    CHECK(uses[0].incarnation == 5);
    CHECK(uses[1].prefix == 4);
    CHECK(memory.recentSharedUses(1, clock.now()).size() == 1);
}

// Guards against an older report that makes a prefix look older than its last use.
TEST_CASE("chainMemory_olderUseReported_keepsTheNewerOne", "[routing]")
{
    PrefixIndex memory;
    ManualClock clock;
    clock.advance(Seconds{60});
    memory.recordSharedUse(2, 5, clock.now());
    memory.recordSharedUse(2, 5, clock.now() - Seconds{5});
    CHECK(memory.wasUsed(2, 5, Seconds{1}, clock.now()));
}

TEST_CASE_METHOD(UpstreamChoiceFixture, "choice_fewUpstreamsCanBeReached_boundIsThatOfTheService",
                 "[routing]")
{
    // Guards against a router that takes the mean load of the few upstreams that it reaches, which
    // is its own, for that of the service.
    this->addEngines(10);
    for (std::size_t i = 0; i < this->pointers.size(); ++i) {
        UpstreamState &state = *this->pointers[i];
        state.peersRunning = 2;
        if (i == 0) {
            state.ownRunning = 18;
        } else {
            recordFault(state.health, UpstreamFault::Unreachable, this->clock.now());
        }
    }
    const auto choice = this->choose(promptAbout(7));
    REQUIRE(choice);
    CHECK(choice->index == 0);
    CHECK(choice->isOverBound);
    CHECK(choice->boundOver == 10);
    CHECK(choice->loadBound < 10.0);
    CHECK(isReachLimited(this->pointers, this->clock.now()));
}

TEST_CASE_METHOD(UpstreamChoiceFixture, "choice_upstreamsAreDownForAll_boundIsThatOfTheOthers",
                 "[routing]")
{
    // Guards against crashed upstreams that lower the share of those that have their load.
    this->addEngines(10);
    for (std::size_t i = 0; i < this->pointers.size(); ++i) {
        UpstreamState &state = *this->pointers[i];
        if (i < 5) {
            recordFault(state.health, UpstreamFault::Unreachable, this->clock.now());
        } else {
            state.peersRunning = 8;
        }
    }
    const auto choice = this->choose(promptAbout(7));
    REQUIRE(choice);
    CHECK_FALSE(choice->isOverBound);
    CHECK(choice->boundOver == 5);
    CHECK_FALSE(isReachLimited(this->pointers, this->clock.now()));
    CHECK(unreachableCount(this->pointers, this->clock.now()) == 5);
}

TEST_CASE_METHOD(UpstreamChoiceFixture, "choice_slowUpstream_isUsedOnceOthersAreBusier",
                 "[routing]")
{
    // Guards against a slow upstream that gets as much as the others, and against one that is
    // starved although the others are busier by more than it is slower.
    this->addEngines(2);
    this->policy.promptlessJitter = 0.0;
    this->policy.performance.delayPerRunning = 5.0;
    this->pointers[0]->slowdown = 2.0;
    const auto select = [this] {
        return selectUpstream(this->pointers, {"hall-a", 1, nullptr, {}, {}}, this->memory,
                              this->policy, this->clock.now());
    };
    this->pointers[0]->ownRunning = 8;
    this->pointers[1]->ownRunning = 10;
    const auto busy = select();
    REQUIRE(busy);
    CHECK(busy->index == 1);
    CHECK(busy->serviceDelay == Approx(busy->expectedDelay));
    this->pointers[1]->ownRunning = 18;
    const auto busier = select();
    REQUIRE(busier);
    CHECK(busier->index == 0);
    CHECK(busier->expectedDelay == Approx(2.0 * busier->serviceDelay));
}
