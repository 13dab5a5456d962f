#include <catch2/catch.hpp>

#include "plantainswitch/routing/crashquarantine.h"
#include "plantainswitch/routing/trialrecord.h"
#include "plantainswitch/routing/upstreamstate.h"

using namespace plantainswitch;

namespace {

class CrashQuarantineFixture
{
protected:
    /// Loses the request's connection to an upstream that is found down 100 ms later.
    void crash(SuspectKey request, std::uint64_t incarnation)
    {
        const TimePoint sentAt = this->clock.now();
        this->clock.advance(Milliseconds{1});
        this->quarantine.recordUnansweredRun({request, incarnation, sentAt, this->clock.now()});
        this->clock.advance(Milliseconds{100});
        this->quarantine.confirmCrash(incarnation, this->clock.now());
    }

    void crashThreeUpstreams(SuspectKey request)
    {
        for (std::uint64_t incarnation = 1; incarnation <= 3; ++incarnation) {
            this->crash(request, incarnation);
        }
    }

    /// Records that the run of the request ends now without a response.
    void endRun(SuspectKey request, std::uint64_t incarnation, RunEnd end = RunEnd::ConnectionLost)
    {
        this->quarantine.recordUnansweredRun(
            {request, incarnation, this->longAgo(), this->clock.now(), end});
    }

    void confirmCrash(std::uint64_t incarnation)
    {
        this->quarantine.confirmCrash(incarnation, this->clock.now());
    }

    bool recordAnswer(SuspectKey request)
    {
        return this->quarantine.clearSuspect(request, this->clock.now(), this->clock.now());
    }

    [[nodiscard]] bool isHeld(SuspectKey request) const
    {
        return this->quarantine.isQuarantined(request);
    }

    [[nodiscard]] QuarantineState state(SuspectKey request) const
    {
        return this->quarantine.stateOf(request, this->clock.now());
    }

    /// Send time of a request that has been running for a while.
    [[nodiscard]] TimePoint longAgo() const { return this->clock.now() - Milliseconds{50}; }

    [[nodiscard]] CrashReport crashNow(SuspectKey request, std::uint64_t incarnation) const
    {
        return {request, incarnation, this->longAgo(), this->clock.now()};
    }

    CrashQuarantine quarantine;
    ManualClock clock;
};

} // namespace

TEST_CASE_METHOD(CrashQuarantineFixture, "crashQuarantine_threeUpstreamsCrash_requestIsHeld",
                 "[routing]")
{
    // A caller keeps sending a request that crashes every upstream that runs it. After the third
    // crash it must not reach a fourth upstream; other requests are unaffected.
    this->crash(14, 1);
    this->crash(14, 2);
    CHECK_FALSE(this->isHeld(14));
    this->crash(14, 3);
    CHECK(this->isHeld(14));
    CHECK_FALSE(this->isHeld(16));
}

TEST_CASE_METHOD(CrashQuarantineFixture,
                 "crashQuarantine_copiesCrashUpstreamsCloseTogether_eachCrashCounts", "[routing]")
{
    // Guards against taking crashes of overlapping copies for one outage: four upstreams of four
    // data centres went down 33 ms apart, and the request ran on.
    for (std::uint64_t incarnation = 1; incarnation <= 4; ++incarnation) {
        this->quarantine.recordCrash(this->crashNow(14, incarnation), this->clock.now());
        this->clock.advance(Milliseconds{33});
    }
    CHECK(this->isHeld(14));
    CHECK(this->quarantine.crashCount(14) == 4);
}

TEST_CASE_METHOD(CrashQuarantineFixture, "crashQuarantine_responseLostAtLivingUpstream_isNoCrash",
                 "[routing]")
{
    for (std::uint64_t incarnation = 1; incarnation <= 9; ++incarnation) {
        this->endRun(14, incarnation);
        this->clock.advance(Milliseconds{100});
    }
    CHECK_FALSE(this->isHeld(14));
}

TEST_CASE_METHOD(CrashQuarantineFixture, "crashQuarantine_givenUpRunsUpstreamCrashes_counts",
                 "[routing]")
{
    // Guards against crashes that count against no request, because the router had given the run
    // up as silent before the upstream went down.
    for (std::uint64_t incarnation = 1; incarnation <= 3; ++incarnation) {
        this->endRun(14, incarnation, RunEnd::GivenUp);
        this->clock.advance(Milliseconds{300});
        this->confirmCrash(incarnation);
    }
    CHECK(this->isHeld(14));
}

TEST_CASE_METHOD(CrashQuarantineFixture, "crashQuarantine_givenUpLongBeforeTheCrash_isNotBlamed",
                 "[routing]")
{
    // Guards against blaming requests that left a slow upstream long before it went down.
    for (std::uint64_t incarnation = 1; incarnation <= 3; ++incarnation) {
        this->endRun(14, incarnation, RunEnd::GivenUp);
        this->clock.advance(givenUpConfirmationWindow + Milliseconds{1});
        this->confirmCrash(incarnation);
    }
    CHECK(this->quarantine.crashCount(14) == 0);
}

TEST_CASE_METHOD(CrashQuarantineFixture, "crashQuarantine_successBetween_startsAgain", "[routing]")
{
    // Guards against quarantining a small request that many callers send alike and that was running
    // on two upstreams that crashed for other reasons.
    this->crash(14, 1);
    this->crash(14, 2);
    CHECK(this->recordAnswer(14));
    this->crash(14, 3);
    CHECK_FALSE(this->isHeld(14));
}

TEST_CASE_METHOD(CrashQuarantineFixture,
                 "crashQuarantine_successBeforeTheCrashesReportedLate_clearsNothing", "[routing]")
{
    // Guards against a report of a success that arrives after crashes which came later than it.
    const TimePoint answeredAt = this->clock.now();
    this->clock.advance(Milliseconds{10});
    this->crashThreeUpstreams(14);
    this->quarantine.clearSuspect(14, answeredAt, this->clock.now());
    CHECK(this->isHeld(14));
}

TEST_CASE_METHOD(CrashQuarantineFixture,
                 "crashQuarantine_upstreamsLosePowerTogether_innocentRequestIsFreeAfterItsTrial",
                 "[routing]")
{
    // A data centre loses power while identical requests run on three of its upstreams. Guards
    // against holding such a request for longer than its first trial, which is due within a second.
    for (std::uint64_t incarnation = 1; incarnation <= 3; ++incarnation) {
        this->endRun(14, incarnation);
    }
    for (std::uint64_t incarnation = 1; incarnation <= 3; ++incarnation) {
        // Each upstream is found down when it is next tried.
        this->clock.advance(Milliseconds{300});
        this->confirmCrash(incarnation);
    }
    this->clock.advance(trialDelays.front() - 3 * Milliseconds{300});
    REQUIRE(this->state(14) == QuarantineState::TrialDue);
    this->quarantine.beginTrial(14, 1, this->clock.now());
    CHECK(this->recordAnswer(14));
    CHECK(this->state(14) == QuarantineState::Free);
}

TEST_CASE_METHOD(CrashQuarantineFixture, "crashQuarantine_otherRoutersReports_countToo",
                 "[routing]")
{
    // Each attempt reaches another router. The routers' reports add up, and a crash that is
    // reported twice counts once.
    this->crash(14, 1);
    CHECK(this->quarantine.recordCrash(this->crashNow(14, 2), this->clock.now())
          == CrashVerdict::Counted);
    this->clock.advance(Seconds{1});
    CHECK(this->quarantine.recordCrash(this->crashNow(14, 2), this->clock.now())
          == CrashVerdict::KnownUpstream);
    CHECK_FALSE(this->isHeld(14));
    this->quarantine.recordCrash(this->crashNow(14, 3), this->clock.now());
    CHECK(this->isHeld(14));
}

TEST_CASE_METHOD(CrashQuarantineFixture, "crashQuarantine_secondCrashReported_bothArePassedOn",
                 "[routing]")
{
    // Guards against a router that never learns of a crash, because the report to it was lost or
    // its data centre cannot reach that of the reporting router.
    this->quarantine.recordCrash(this->crashNow(14, 1), this->clock.now());
    CHECK(this->quarantine.reportsToForward(this->crashNow(14, 1)).empty());
    this->quarantine.recordCrash(this->crashNow(14, 2), this->clock.now());
    CHECK(this->quarantine.reportsToForward(this->crashNow(14, 2)).size() == 2);
    this->quarantine.recordCrash(this->crashNow(14, 3), this->clock.now());
    const auto third = this->quarantine.reportsToForward(this->crashNow(14, 3));
    REQUIRE(third.size() == 1);
    CHECK(third.front().incarnation == 3);
}

TEST_CASE_METHOD(CrashQuarantineFixture, "crashQuarantine_heldForLong_isTriedOnceAndThenLater",
                 "[routing]")
{
    this->crashThreeUpstreams(14);
    CHECK(this->state(14) == QuarantineState::Held);
    for (std::uint32_t trial = 0; trial < trialDelays.size(); ++trial) {
        this->clock.advance(trialDelays.at(trial));
        REQUIRE(this->state(14) == QuarantineState::TrialDue);
        this->quarantine.beginTrial(14, trial + 1, this->clock.now());
        CHECK(this->state(14) == QuarantineState::Held);
        this->crash(14, 10 + trial);
        CHECK(this->state(14) == QuarantineState::Held);
    }
    this->clock.advance(trialDelays.back());
    CHECK(this->state(14) == QuarantineState::TrialDue);
}

TEST_CASE_METHOD(CrashQuarantineFixture, "crashQuarantine_manyReportsOfOneTrouble_holdOnceOnly",
                 "[routing]")
{
    // A crashing request takes down many upstreams before it is quarantined, and an innocent
    // request that many callers send alike was running on all of them. It must be held until its
    // first trial only, not for ten minutes.
    for (std::uint64_t incarnation = 1; incarnation <= 12; ++incarnation) {
        this->crash(14, incarnation);
    }
    this->clock.advance(trialDelays.front());
    CHECK(this->state(14) == QuarantineState::TrialDue);
}

TEST_CASE_METHOD(CrashQuarantineFixture, "crashQuarantine_outcomeOfTrialIsLost_isTriedLater",
                 "[routing]")
{
    // Another router was permitted a trial, but its report of the success never arrives here.
    // Guards against an indefinite quarantine.
    this->crashThreeUpstreams(14);
    CHECK(this->quarantine.recordTrials({14, 1, this->clock.now()}, this->clock.now()));
    CHECK_FALSE(this->quarantine.recordTrials({14, 1, this->clock.now()}, this->clock.now()));
    this->clock.advance(trialDelays.front());
    CHECK(this->state(14) == QuarantineState::Held);
    this->clock.advance(trialDelays.at(1));
    CHECK(this->state(14) == QuarantineState::TrialDue);
}

TEST_CASE_METHOD(CrashQuarantineFixture, "crashQuarantine_trialReachesNoUpstream_isDueAgainSoon",
                 "[routing]")
{
    // Guards against trials of an innocent request that are spent while no upstream is up.
    this->crashThreeUpstreams(14);
    this->clock.advance(trialDelays.front());
    this->quarantine.beginTrial(14, 1, this->clock.now());
    this->quarantine.returnTrial(14, this->clock.now());
    CHECK(this->quarantine.trialCount(14) == 0);
    this->clock.advance(trialRetryDelay);
    CHECK(this->state(14) == QuarantineState::TrialDue);
}

TEST_CASE_METHOD(CrashQuarantineFixture, "crashQuarantine_otherRouterReturnsTrial_isDueAgainSoon",
                 "[routing]")
{
    // Guards against routers that wait for the outcome of another one's trial, of which they were
    // notified, although it reached no upstream.
    this->crashThreeUpstreams(14);
    const TrialCount permitted{14, 3, this->clock.now(), 7};
    const TrialCount returned{14, 2, this->clock.now(), 8};
    CHECK(this->quarantine.recordTrials(permitted, this->clock.now()));
    CHECK(this->quarantine.recordTrials(returned, this->clock.now()));
    CHECK(this->quarantine.trialCount(14) == 2);
    // It may arrive again, by way of another router.
    CHECK_FALSE(this->quarantine.recordTrials(permitted, this->clock.now()));
    this->clock.advance(trialRetryDelay);
    CHECK(this->state(14) == QuarantineState::TrialDue);
}

TEST_CASE_METHOD(CrashQuarantineFixture, "crashQuarantine_returnedTrialIsConfirmed_staysDueSoon",
                 "[routing]")
{
    // Guards against a router that takes the store's record of its own returned trial for another
    // trial.
    this->crashThreeUpstreams(14);
    this->quarantine.recordTrials({14, 2, this->clock.now(), 7}, this->clock.now());
    this->quarantine.returnTrial(14, this->clock.now());
    CHECK(this->quarantine.recordTrials({14, 1, this->clock.now(), 8}, this->clock.now()));
    this->clock.advance(trialRetryDelay);
    CHECK(this->state(14) == QuarantineState::TrialDue);
}

TEST_CASE_METHOD(CrashQuarantineFixture, "crashQuarantine_callForTrialRunning_otherCopiesAreHeld",
                 "[routing]")
{
    // Guards against a call to the store for each copy that arrives while the first one waits.
    this->crashThreeUpstreams(14);
    this->clock.advance(trialDelays.front());
    this->quarantine.deferTrial(14, this->clock.now());
    CHECK(this->state(14) == QuarantineState::Held);
    CHECK(this->quarantine.timeToTrial(14, this->clock.now()) == trialRetryDelay);
}

TEST_CASE_METHOD(CrashQuarantineFixture, "crashQuarantine_recordInTheStore_isHeldByANewRouter",
                 "[routing]")
{
    // Guards against a fleet that learns again what crashes upstreams, after all routers were
    // killed at once.
    CHECK(this->quarantine.recordTrials({14, 0, this->clock.now()}, this->clock.now()));
    CHECK(this->state(14) == QuarantineState::Held);
    CHECK(this->quarantine.crashCount(14) == quarantineThreshold);
    this->clock.advance(trialDelays.front());
    CHECK(this->state(14) == QuarantineState::TrialDue);
}

TEST_CASE_METHOD(CrashQuarantineFixture, "crashQuarantine_trialsReportedAfterASuccess_areIgnored",
                 "[routing]")
{
    // Guards against a quarantine that returns after the request was answered, because what the
    // store had before is still passed on among the routers.
    const TimePoint readAt = this->clock.now();
    this->clock.advance(Milliseconds{100});
    this->recordAnswer(14);
    CHECK_FALSE(this->quarantine.recordTrials({14, 1, readAt}, this->clock.now()));
    CHECK_FALSE(this->isHeld(14));
    CHECK(this->quarantine.recordTrials({14, 1, this->clock.now() + Milliseconds{1}},
                                        this->clock.now()));
}

TEST_CASE_METHOD(CrashQuarantineFixture, "crashQuarantine_longAgo_isForgotten", "[routing]")
{
    this->crashThreeUpstreams(14);
    this->crash(16, 9);
    this->clock.advance(maxQuarantine);
    CHECK(this->quarantine.removeExpired(this->clock.now()) == std::vector<SuspectKey>{14});
    CHECK_FALSE(this->isHeld(14));
}

TEST_CASE_METHOD(CrashQuarantineFixture, "crashQuarantine_foundDownMuchLater_isNoCrash",
                 "[routing]")
{
    for (std::uint64_t incarnation = 1; incarnation <= 3; ++incarnation) {
        this->endRun(14, incarnation);
        this->clock.advance(crashConfirmationWindow + Milliseconds{1});
        CHECK(this->quarantine.confirmCrash(incarnation, this->clock.now()).empty());
    }
    CHECK_FALSE(this->isHeld(14));
}

TEST_CASE_METHOD(CrashQuarantineFixture, "crashQuarantine_answeredSinceItBroke_isNotBlamedLater",
                 "[routing]")
{
    // Many callers send the same innocent request, and some copies run beside a request that
    // crashes one upstream after the other, while other copies are answered. The upstreams are
    // found down only afterwards. Guards against quarantining a request that was answered since,
    // which would reject half of all requests.
    for (std::uint64_t incarnation = 1; incarnation <= 3; ++incarnation) {
        this->endRun(14, incarnation);
        this->endRun(16, incarnation);
        this->clock.advance(Milliseconds{100});
    }
    this->recordAnswer(14);
    this->clock.advance(Milliseconds{100});
    for (std::uint64_t incarnation = 1; incarnation <= 3; ++incarnation) {
        this->confirmCrash(incarnation);
    }
    CHECK_FALSE(this->isHeld(14));
    CHECK(this->isHeld(16));
}

TEST_CASE_METHOD(CrashQuarantineFixture, "crashQuarantine_oldReportAfterASuccess_isIgnored",
                 "[routing]")
{
    // Another router's report of a crash arrives after the request was answered here, but the crash
    // happened before that.
    this->crash(14, 1);
    const TimePoint before = this->clock.now();
    this->clock.advance(Milliseconds{100});
    CHECK(this->recordAnswer(14));
    for (std::uint64_t incarnation = 2; incarnation <= 4; ++incarnation) {
        const Milliseconds apart{100 * static_cast<int>(incarnation)};
        CHECK(this->quarantine.recordCrash({14, incarnation, before - 2 * apart, before - apart},
                                           this->clock.now())
              == CrashVerdict::AnsweredSince);
    }
    CHECK_FALSE(this->isHeld(14));
}

TEST_CASE_METHOD(CrashQuarantineFixture, "crashQuarantine_retriedWithinOneMoment_countsEachCrash",
                 "[routing]")
{
    // A router retries a request on the next upstream as soon as its connection is lost, so that
    // three upstreams go down within some milliseconds. Guards against taking them for one outage
    // and running the caller's next attempt.
    for (std::uint64_t incarnation = 1; incarnation <= 3; ++incarnation) {
        const TimePoint sentAt = this->clock.now();
        this->clock.advance(Milliseconds{2});
        this->quarantine.recordUnansweredRun({14, incarnation, sentAt, this->clock.now()});
    }
    for (std::uint64_t incarnation = 1; incarnation <= 3; ++incarnation) {
        this->confirmCrash(incarnation);
    }
    CHECK(this->isHeld(14));
}

TEST_CASE_METHOD(CrashQuarantineFixture, "crashQuarantine_upstreamRespondsAfterTheReport_isNoCrash",
                 "[routing]")
{
    // A router that is cut off from the upstreams takes them for crashed and reports its requests.
    // Guards against quarantining those on routers that still reach the upstreams.
    for (std::uint64_t incarnation = 1; incarnation <= 3; ++incarnation) {
        this->quarantine.recordCrash(this->crashNow(14, incarnation), this->clock.now());
    }
    REQUIRE(this->isHeld(14));
    const TimePoint sentAt = this->clock.now() + Milliseconds{10};
    this->quarantine.recordResponse(2, sentAt);
    CHECK_FALSE(this->isHeld(14));
    CHECK(this->quarantine.crashCount(14) == 2);
}

TEST_CASE_METHOD(CrashQuarantineFixture,
                 "crashQuarantine_upstreamRespondsAfterItsRestart_crashStillCounts", "[routing]")
{
    // Guards against an upstream that is back under its id and seems never to have crashed.
    this->crashThreeUpstreams(14);
    this->quarantine.recordResponse(2, this->clock.now() + crashRefutationWindow);
    CHECK(this->isHeld(14));
}

TEST_CASE_METHOD(CrashQuarantineFixture, "crashQuarantine_routerStarts_isToldWhatIsSuspected",
                 "[routing]")
{
    // Routers are restarted one after the other while a crashing request is retried again and
    // again. Each new router must learn which requests are quarantined or close to it, but not of
    // requests that crashed once.
    this->crashThreeUpstreams(14);
    this->crash(16, 4);
    this->quarantine.recordTrials({18, 2, this->clock.now()}, this->clock.now());
    CrashQuarantine started;
    for (const CrashReport &report : this->quarantine.sharedCrashes()) {
        started.recordCrash(report, this->clock.now());
    }
    for (const TrialCount &count : this->quarantine.sharedTrials()) {
        started.recordTrials(count, this->clock.now());
    }
    CHECK(started.isQuarantined(14));
    CHECK(started.isQuarantined(18));
    CHECK(started.trialCount(18) == 2);
    CHECK(started.crashCount(16) == 0);
    CHECK(this->quarantine.sharedCrashes().size() == quarantineThreshold);
}

TEST_CASE_METHOD(CrashQuarantineFixture, "upstreamState_dataAfterReportedCrash_refutesIt",
                 "[routing]")
{
    // Guards against believing a router that merely lost its way to an upstream.
    UpstreamState state;
    const CrashReport report = this->crashNow(14, 1);
    state.lastReceived = this->clock.now() + Milliseconds{50};
    CHECK_FALSE(refutes(state, report));
    state.lastReceived = this->clock.now() + Milliseconds{150};
    CHECK(refutes(state, report));
}

TEST_CASE("trialStep_byWhatTheStoreHas_permitsEachTrialOnce", "[routing]")
{
    // Guards against a trial by each router that does not know of the others' trials.
    CHECK(nextTrialStep(std::nullopt, 0) == TrialStep::Create);
    CHECK(nextTrialStep(TrialRecord{14, 0, true, 5}, 0) == TrialStep::Increment);
    CHECK(nextTrialStep(TrialRecord{14, 1, true, 6}, 0) == TrialStep::Denied);
    CHECK(nextTrialStep(TrialRecord{14, 1, true, 6}, 1) == TrialStep::Increment);
}
