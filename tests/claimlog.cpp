#include <random>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "claimworld.h"

using namespace plantainswitch;
using namespace plantainswitch::lab;

namespace {

constexpr std::size_t stepsOfHistory = 600;

ClaimLogLimits smallLimits()
{
    ClaimLogLimits limits;
    limits.positionsPerSegment = 4;
    limits.maxSegments = 1000;
    limits.maxEntriesPerPosition = 3;
    return limits;
}

std::vector<std::uint32_t> stepsOf(std::uint32_t seed)
{
    std::mt19937 random(seed);
    std::vector<std::uint32_t> steps(stepsOfHistory);
    for (std::uint32_t &step : steps) {
        step = static_cast<std::uint32_t>(random());
    }
    return steps;
}

/// \returns how many of a hundred seeds violate a guarantee under \a injectedFault.
std::size_t violations(InjectedFault injectedFault)
{
    std::size_t found = 0;
    for (std::uint32_t seed = 1; seed <= 100; ++seed) {
        ClaimSimulation simulation(injectedFault, smallLimits());
        for (const std::uint32_t step : stepsOf(seed)) {
            simulation.execute(step);
        }
        found +=
            checkAtMostOnce(simulation.history) || checkNoFalseNotRun(simulation.history) ? 1 : 0;
    }
    return found;
}

} // namespace

TEST_CASE("claimLog_anyHistory_runsAtMostOnceAndTellsTheTruth", "[claims]")
{
    // Three routers write one log concurrently. Responses are lost, writes take effect long after
    // their writer stopped waiting, and routers crash, pause between a written claim and its
    // dispatch, and give up claims, while callers retry at every router. No request may run twice,
    // and none may run after its caller was told that it did not.
    std::size_t granted = 0;
    const bool held = rc::check("at most once, no false not-run", [&granted] {
        const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(
            stepsOfHistory, rc::gen::arbitrary<std::uint32_t>());
        ClaimSimulation simulation(InjectedFault::None, smallLimits());
        for (const std::uint32_t step : steps) {
            simulation.execute(step);
        }
        granted += simulation.granted;
        RC_ASSERT(!checkAtMostOnce(simulation.history));
        RC_ASSERT(!checkNoFalseNotRun(simulation.history));
    });
    CHECK(held);
    CHECK(granted > 1000);
    CHECK(violations(InjectedFault::None) == 0);
}

TEST_CASE("claimLog_brokenVariants_areCaught", "[claims]")
{
    CHECK(violations(InjectedFault::UnconditionalWrites) > 0);
    CHECK(violations(InjectedFault::DispatchEarly) > 0);
    CHECK(violations(InjectedFault::DispatchAbandoned) > 0);
    CHECK(violations(InjectedFault::ReleaseDispatched) > 0);
}

TEST_CASE("claimLog_keysOlderThanTheLog_areRefusedNotRunAgain", "[claims]")
{
    // The log keeps only three segments, so it forgets keys while their callers still retry. A key
    // with a creation time is refused once it is older than the log's retention; otherwise it would
    // look new and run a second time.
    ClaimLogLimits limits = smallLimits();
    limits.maxSegments = 3;
    limits.maxClockSkew = Milliseconds{1000};
    std::size_t expired = 0;
    for (std::uint32_t seed = 1; seed <= 100; ++seed) {
        ClaimSimulation simulation(InjectedFault::None, limits);
        simulation.statesKeyTime = true;
        for (std::uint32_t part = 0; part < 4; ++part) {
            for (const std::uint32_t step : stepsOf(seed + part * 1000)) {
                simulation.execute(step);
            }
        }
        expired += simulation.expired;
        CHECK_FALSE(checkAtMostOnce(simulation.history));
    }
    CHECK(expired > 0);
}

TEST_CASE("ownClaims_answersBeyondBound_areForgottenOldestFirst", "[claims]")
{
    OwnClaims own;
    own.limits.maxResponseBytes = 10;
    own.limits.maxEndedClaims = 2;
    const TimePoint now{Seconds{1}};
    for (std::uint64_t nonce = 1; nonce <= 3; ++nonce) {
        beginClaim(own, {{nonce, 0}, 7, nonce, 0}, now);
        REQUIRE(dispatchClaim(own, nonce, now));
        endClaim(own, nonce, OwnClaimState::Done, CachedResponse{200, "", "12345678"}, now);
    }
    CHECK(ownClaimOf(own, 1).state == OwnClaimState::Unknown);
    CHECK(ownClaimOf(own, 2).state == OwnClaimState::Done);
    CHECK_FALSE(ownClaimOf(own, 2).response);
    CHECK(ownClaimOf(own, 3).response);
}

TEST_CASE("repeatReason_everyState_isTrueOfTheRequest", "[claims]")
{
    const Claim holder{{1, 1}, 2, 3, 4};
    CHECK(duplicateRequestReason(4, holder, OwnClaimState::Unknown).kind == ErrorKind::MayHaveRun);
    CHECK(duplicateRequestReason(4, holder, OwnClaimState::Lost).kind == ErrorKind::MayHaveRun);
    CHECK(duplicateRequestReason(4, holder, OwnClaimState::Running).kind == ErrorKind::InProgress);
    CHECK(duplicateRequestReason(4, holder, OwnClaimState::Done).kind == ErrorKind::AlreadyRan);
    CHECK(duplicateRequestReason(4, holder, OwnClaimState::Abandoned).kind
          == ErrorKind::ClaimUnavailable);
    CHECK(duplicateRequestReason(5, holder, OwnClaimState::Done).kind == ErrorKind::KeyReused);
    CHECK_FALSE(claimIdOf("a", "key") == claimIdOf("b", "key"));
}

TEST_CASE("historyCheckers_violations_areSeen", "[claims]")
{
    CHECK(checkAtMostOnce({{HistoryKind::Ran, 1, 1, 0}, {HistoryKind::Ran, 1, 2, 0}}));
    CHECK(checkOwnAnswer({{HistoryKind::Answered, 1, 1, 2}}));
    CHECK(checkNoFalseNotRun({{HistoryKind::Ran, 1, 1, 0}, {HistoryKind::RefusedNotRun, 1, 1, 0}}));
    CHECK(checkCrashBound({{HistoryKind::Crashed, 1, 1, 0}, {HistoryKind::Crashed, 1, 2, 0}}, 1));
}
