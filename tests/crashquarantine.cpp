#include <catch2/catch.hpp>

#include "plantainswitch/routing/crashquarantine.h"

using namespace plantainswitch;

namespace {

class CrashSuspectsFixture
{
protected:
    /// Loses the request's connection to an upstream that is found down 100 ms later.
    void crash(RequestFingerprint request, std::uint64_t life)
    {
        const TimePoint begunAt = this->clock.now();
        this->clock.advance(Milliseconds{1});
        this->suspects.recordBrokenAnswer(request, life, begunAt, this->clock.now());
        this->clock.advance(Milliseconds{100});
        this->suspects.confirmCrash(life, this->clock.now());
    }

    [[nodiscard]] bool isHeld(RequestFingerprint request) const
    {
        return this->suspects.isQuarantined(request, this->clock.now());
    }

    [[nodiscard]] bool mayRun(bool isFirst)
    {
        return this->suspects.allowTrial(7, isFirst, this->clock.now());
    }

    /// Send time of a request that has been running for a while.
    [[nodiscard]] TimePoint longAgo() const { return this->clock.now() - Milliseconds{50}; }

    [[nodiscard]] CrashReport crashNow(RequestFingerprint request, std::uint64_t life) const
    {
        return {request, life, this->longAgo(), this->clock.now()};
    }

    CrashQuarantine suspects;
    ManualClock clock;
};

} // namespace

TEST_CASE_METHOD(CrashSuspectsFixture, "crashSuspects_threeUpstreamsCrash_requestIsHeldBack",
                 "[routing]")
{
    // A caller keeps sending a request that crashes every upstream that runs it. After the third
    // crash it must not reach a fourth upstream; other requests are unaffected.
    this->crash(7, 1);
    this->crash(7, 2);
    CHECK_FALSE(this->isHeld(7));
    this->crash(7, 3);
    CHECK(this->isHeld(7));
    CHECK_FALSE(this->isHeld(8));
}

TEST_CASE_METHOD(CrashSuspectsFixture, "crashSuspects_answerLostAtLivingUpstream_isNoCrash",
                 "[routing]")
{
    for (std::uint64_t life = 1; life <= 9; ++life) {
        this->suspects.recordBrokenAnswer(7, life, this->longAgo(), this->clock.now());
        this->clock.advance(Milliseconds{100});
    }
    CHECK_FALSE(this->isHeld(7));
}

TEST_CASE_METHOD(CrashSuspectsFixture, "crashSuspects_successBetween_beginsAnew", "[routing]")
{
    // Guards against quarantining a small request that many callers send alike and that was running
    // on two upstreams that crashed for other reasons.
    this->crash(7, 1);
    this->crash(7, 2);
    CHECK(this->suspects.clearSuspect(7, this->clock.now()));
    this->crash(7, 3);
    CHECK_FALSE(this->isHeld(7));
}

TEST_CASE_METHOD(CrashSuspectsFixture, "crashSuspects_upstreamsGoDownTogether_countOnce",
                 "[routing]")
{
    // A data centre loses power while identical requests run on three of its upstreams. Guards
    // against counting this as three crashes.
    for (std::uint64_t life = 1; life <= 3; ++life) {
        this->suspects.recordBrokenAnswer(7, life, this->longAgo(), this->clock.now());
    }
    for (std::uint64_t life = 1; life <= 3; ++life) {
        // Each upstream is found down when it is next tried.
        this->clock.advance(Milliseconds{500});
        this->suspects.confirmCrash(life, this->clock.now());
    }
    CHECK_FALSE(this->isHeld(7));
}

TEST_CASE_METHOD(CrashSuspectsFixture, "crashSuspects_otherRoutersReports_countToo", "[routing]")
{
    // Each attempt reaches another router. The routers' reports add up, and a crash that is
    // reported twice counts once.
    this->crash(7, 1);
    this->suspects.recordCrash(this->crashNow(7, 2), this->clock.now());
    this->clock.advance(Seconds{1});
    this->suspects.recordCrash(this->crashNow(7, 2), this->clock.now());
    CHECK_FALSE(this->isHeld(7));
    this->clock.advance(Seconds{1});
    this->suspects.recordCrash(this->crashNow(7, 3), this->clock.now());
    CHECK(this->isHeld(7));
}

TEST_CASE_METHOD(CrashSuspectsFixture, "crashSuspects_heldForLong_isLetThroughOnceAndLonger",
                 "[routing]")
{
    for (std::uint64_t life = 1; life <= 3; ++life) {
        this->crash(7, life);
    }
    CHECK_FALSE(this->mayRun(true));
    this->clock.advance(initialQuarantine);
    CHECK(this->mayRun(true));
    CHECK_FALSE(this->mayRun(true));
    CHECK(this->isHeld(7));
    this->crash(7, 4);
    this->clock.advance(initialQuarantine);
    CHECK_FALSE(this->mayRun(true));
    this->clock.advance(initialQuarantine * (quarantineGrowth - 1));
    CHECK(this->mayRun(true));
}

TEST_CASE_METHOD(CrashSuspectsFixture, "crashSuspects_manyReportsOfOneTrouble_holdOnceOnly",
                 "[routing]")
{
    // A crashing request takes down many upstreams before it is quarantined, and an innocent
    // request that many callers send alike was running on all of them. It must be quarantined for
    // initialQuarantine only, not for ten minutes.
    for (std::uint64_t life = 1; life <= 12; ++life) {
        this->crash(7, life);
    }
    this->clock.advance(initialQuarantine);
    CHECK(this->mayRun(true));
}

TEST_CASE_METHOD(CrashSuspectsFixture, "crashSuspects_wordOfClearingLost_isTriedLater", "[routing]")
{
    // The designated router runs the trial of a quarantined request, but its report of the success
    // never arrives here. Guards against an indefinite quarantine.
    for (std::uint64_t life = 1; life <= 3; ++life) {
        this->crash(7, life);
    }
    this->clock.advance(initialQuarantine);
    CHECK_FALSE(this->mayRun(false));
    this->clock.advance(2 * initialQuarantine);
    CHECK(this->mayRun(false));
}

TEST_CASE_METHOD(CrashSuspectsFixture, "crashSuspects_triedAgainAndAnswered_isFree", "[routing]")
{
    // An innocent request that many callers send alike ran beside the crashing one three times in a
    // row. Its trial succeeds, so all copies may run again.
    for (std::uint64_t life = 1; life <= 3; ++life) {
        this->crash(7, life);
    }
    this->clock.advance(initialQuarantine);
    REQUIRE(this->mayRun(true));
    CHECK(this->suspects.clearSuspect(7, this->clock.now()));
    CHECK_FALSE(this->isHeld(7));
}

TEST_CASE_METHOD(CrashSuspectsFixture, "crashSuspects_longAgo_isForgotten", "[routing]")
{
    for (std::uint64_t life = 1; life <= 3; ++life) {
        this->crash(7, life);
    }
    this->clock.advance(maxQuarantine);
    CHECK_FALSE(this->isHeld(7));
}

TEST_CASE_METHOD(CrashSuspectsFixture, "crashSuspects_foundDownMuchLater_isNoCrash", "[routing]")
{
    for (std::uint64_t life = 1; life <= 3; ++life) {
        this->suspects.recordBrokenAnswer(7, life, this->longAgo(), this->clock.now());
        this->clock.advance(crashConfirmationWindow + Milliseconds{1});
        CHECK(this->suspects.confirmCrash(life, this->clock.now()).empty());
    }
    CHECK_FALSE(this->isHeld(7));
}

TEST_CASE_METHOD(CrashSuspectsFixture, "crashSuspects_answeredSinceItBroke_isNotBlamedLater",
                 "[routing]")
{
    // Many callers send the same innocent request, and some copies run beside a request that
    // crashes one upstream after the other, while other copies are answered. The upstreams are
    // found down only afterwards. Guards against quarantining a request that was answered since,
    // which would reject half of all requests.
    for (std::uint64_t life = 1; life <= 3; ++life) {
        this->suspects.recordBrokenAnswer(7, life, this->longAgo(), this->clock.now());
        this->suspects.recordBrokenAnswer(8, life, this->longAgo(), this->clock.now());
        this->clock.advance(Milliseconds{100});
    }
    this->suspects.clearSuspect(7, this->clock.now());
    this->clock.advance(Milliseconds{100});
    for (std::uint64_t life = 1; life <= 3; ++life) {
        this->suspects.confirmCrash(life, this->clock.now());
    }
    CHECK_FALSE(this->isHeld(7));
    CHECK(this->isHeld(8));
}

TEST_CASE_METHOD(CrashSuspectsFixture, "crashSuspects_oldWordAfterItsSuccess_isIgnored",
                 "[routing]")
{
    // Another router's report of a crash arrives after the request was answered here, but the crash
    // happened before that.
    this->crash(7, 1);
    const TimePoint before = this->clock.now();
    this->clock.advance(Milliseconds{100});
    CHECK(this->suspects.clearSuspect(7, this->clock.now()));
    for (std::uint64_t life = 2; life <= 4; ++life) {
        const Milliseconds apart{100 * static_cast<int>(life)};
        this->suspects.recordCrash({7, life, before - 2 * apart, before - apart},
                                   this->clock.now());
    }
    CHECK_FALSE(this->isHeld(7));
}

TEST_CASE_METHOD(CrashSuspectsFixture, "crashSuspects_sentOnWithinOneMoment_countsEachCrash",
                 "[routing]")
{
    // A router retries a request on the next upstream as soon as its connection is lost, so that
    // three upstreams go down within some milliseconds. Each run started after the previous one had
    // ended. Guards against taking them for one outage and running the caller's next attempt.
    for (std::uint64_t life = 1; life <= 3; ++life) {
        const TimePoint begunAt = this->clock.now();
        this->clock.advance(Milliseconds{2});
        this->suspects.recordBrokenAnswer(7, life, begunAt, this->clock.now());
    }
    for (std::uint64_t life = 1; life <= 3; ++life) {
        this->suspects.confirmCrash(life, this->clock.now());
    }
    CHECK(this->isHeld(7));
}

TEST_CASE_METHOD(CrashSuspectsFixture, "crashSuspects_routerStartsAnew_isToldWhatIsHeld",
                 "[routing]")
{
    // Routers are restarted one after the other while a crashing request is retried again and
    // again. Each new router must be told which requests are quarantined, but not of requests that
    // crashed once.
    for (std::uint64_t life = 1; life <= 3; ++life) {
        this->crash(7, life);
    }
    this->crash(8, 4);
    CrashQuarantine started;
    for (const CrashReport &report : this->suspects.quarantinedCrashes(this->clock.now())) {
        started.recordCrash(report, this->clock.now());
    }
    CHECK(started.isQuarantined(7, this->clock.now()));
    CHECK(this->suspects.quarantinedCrashes(this->clock.now()).size() == quarantineThreshold);
}
