#include <catch2/catch.hpp>

#include "plantainswitch/routing/coldstart.h"
#include "plantainswitch/routing/selection.h"

using namespace plantainswitch;

namespace {

class ColdStartFixture
{
protected:
    ColdStartFixture() { this->clock.advance(Seconds{100}); }

    ManualClock clock;
    PermitWindow window;
    ColdState state;
};

} // namespace

TEST_CASE_METHOD(ColdStartFixture, "permitLimits_noColdRate_areUnlimited", "[routing]")
{
    CHECK(permitLimitsOf({Milliseconds{3000}, 0.0}, {1.5, 5.0}).cold == 0);
    CHECK(permitLimitsOf({Milliseconds{3000}, 0.0}, {1.5, 5.0}).warm == 0);
}

TEST_CASE_METHOD(ColdStartFixture, "permitLimits_twoCoordinators_stayWithinBound", "[routing]")
{
    const PermitLimits limits = permitLimitsOf({Milliseconds{3000}, 17.0}, {1.5, 5.0});
    CHECK(limits.cold == 15);
    CHECK(limits.warm == 30);
    // Where the tolerance is wide, the rate itself is the limit.
    CHECK(permitLimitsOf({Milliseconds{3000}, 10.0}, {4.0, 5.0}).cold == 10);
}

TEST_CASE_METHOD(ColdStartFixture, "permitWindow_full_waitEndsWhenTheNextIsAvailable", "[routing]")
{
    CHECK(this->window.tryTake(2, this->clock.now()));
    this->clock.advance(Milliseconds{250});
    CHECK(this->window.tryTake(2, this->clock.now()));
    CHECK_FALSE(this->window.tryTake(2, this->clock.now()));
    const Milliseconds wait = this->window.waitFor(2, this->clock.now());
    CHECK(wait == Milliseconds{1000});
    this->clock.advance(wait - Milliseconds{1});
    CHECK_FALSE(this->window.tryTake(2, this->clock.now()));
    this->clock.advance(Milliseconds{1});
    CHECK(this->window.tryTake(2, this->clock.now()));
}

TEST_CASE_METHOD(ColdStartFixture, "permitWindow_steadyDemand_isKnownInTheNextWindow", "[routing]")
{
    for (int i = 0; i < 40; ++i) {
        this->window.recordDemand(this->clock.now());
    }
    CHECK(this->window.previousDemand(this->clock.now()) == 0);
    this->clock.advance(permitWindow);
    this->window.recordDemand(this->clock.now());
    CHECK(this->window.previousDemand(this->clock.now()) == 40);
    this->clock.advance(3 * permitWindow);
    CHECK(this->window.previousDemand(this->clock.now()) == 0);
}

TEST_CASE_METHOD(ColdStartFixture, "coldState_statementOfNoColdness_endsTheStatedTime", "[routing]")
{
    this->state.applyStatement(Milliseconds{3000}, this->clock.now());
    CHECK(this->state.remaining(this->clock.now()) == Milliseconds{3000});
    this->state.applyStatement(Milliseconds{0}, this->clock.now());
    CHECK(this->state.remaining(this->clock.now()) == Milliseconds{0});
}

TEST_CASE_METHOD(ColdStartFixture, "coldState_olderStatementAfterRestart_keepsThePresumption",
                 "[routing]")
{
    // Guards against an entry from before a restart that declares the upstream warm.
    this->state.recordDown(Milliseconds{3000}, this->clock.now());
    this->clock.advance(Seconds{10});
    CHECK(this->state.recordResponse(Milliseconds{3000}, this->clock.now()));
    this->state.applyStatement(Milliseconds{0}, this->clock.now());
    CHECK(this->state.remaining(this->clock.now()) == Milliseconds{3000});
    CHECK_FALSE(this->state.recordResponse(Milliseconds{3000}, this->clock.now()));
    this->clock.advance(Seconds{3});
    CHECK(this->state.remaining(this->clock.now()) == Milliseconds{0});
}

TEST_CASE_METHOD(ColdStartFixture, "choice_coldUpstreamWithoutPermits_goesElsewhereAtOnce",
                 "[routing]")
{
    // Load: after a restart of half of the engines, the cold ones are empty and would attract every
    // request; those without a permit are skipped, and warm ones that are blocked are used last.
    std::vector<UpstreamState> engines(3);
    std::vector<UpstreamState *> candidates;
    for (UpstreamState &engine : engines) {
        engine.replica.id = "engine-" + std::to_string(candidates.size());
        engine.replica.dataCentre = "hall-a";
        engine.replica.maxConcurrency = 24;
        candidates.push_back(&engine);
    }
    const TimePoint now = this->clock.now();
    engines[0].cold.presume(Milliseconds{3000}, now);
    engines[0].permitBlockedUntil = now + Milliseconds{500};
    engines[1].permitBlockedUntil = now + Milliseconds{500};
    engines[2].ownRunning = 20;
    const PrefixIndex prefixes;
    const SelectionRequest request{"hall-a", 1, nullptr, {}, {}};
    const auto selected = selectUpstream(candidates, request, prefixes, SelectionPolicy{}, now);
    REQUIRE(selected);
    CHECK(selected->index != 0);
    engines[1].replica.draining = true;
    engines[2].replica.draining = true;
    CHECK_FALSE(selectUpstream(candidates, request, prefixes, SelectionPolicy{}, now));
}
