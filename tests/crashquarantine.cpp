#include <catch2/catch.hpp>

#include "plantainswitch/routing/crashquarantine.h"

using namespace plantainswitch;

namespace {

class CrashSuspectsFixture
{
protected:
    /// The request breaks at an upstream that is found down a moment later.
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

    /// When a request was sent that has been running for a while.
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
    // One request crashes each upstream that begins to run it, and its caller sends it again. After
    // the third it must not reach a fourth; all others go on.
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
    // A small call that many send alike was on two upstreams that crashed for another reason.
    this->crash(7, 1);
    this->crash(7, 2);
    CHECK(this->suspects.clearSuspect(7, this->clock.now()));
    this->crash(7, 3);
    CHECK_FALSE(this->isHeld(7));
}

TEST_CASE_METHOD(CrashSuspectsFixture, "crashSuspects_upstreamsGoDownTogether_countOnce",
                 "[routing]")
{
    // A data centre loses power, and calls that are all alike ran on three of its upstreams.
    for (std::uint64_t life = 1; life <= 3; ++life) {
        this->suspects.recordBrokenAnswer(7, life, this->longAgo(), this->clock.now());
    }
    for (std::uint64_t life = 1; life <= 3; ++life) {
        // Each is found down when it is tried again.
        this->clock.advance(Milliseconds{500});
        this->suspects.confirmCrash(life, this->clock.now());
    }
    CHECK_FALSE(this->isHeld(7));
}

TEST_CASE_METHOD(CrashSuspectsFixture, "crashSuspects_otherRoutersReports_countToo", "[routing]")
{
    // Each attempt reaches another router. What they tell each other adds up, and the same crash
    // told twice doesn't.
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
    // The crasher takes many upstreams down before it is held, and a call that many send alike was
    // running on all of them. It is locked out for the first hold, not for ten minutes.
    for (std::uint64_t life = 1; life <= 12; ++life) {
        this->crash(7, life);
    }
    this->clock.advance(initialQuarantine);
    CHECK(this->mayRun(true));
}

TEST_CASE_METHOD(CrashSuspectsFixture, "crashSuspects_wordOfClearingLost_isTriedLater", "[routing]")
{
    // Another router tries a held request for all; this one never hears that it was answered.
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
    // A call that many send alike ran beside the crasher three times in a row. The one of them that
    // is let through is answered, and all others may run again.
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
    // Many callers send the same harmless call, and some of them run beside a request that crashes
    // one upstream after the other. Others are answered all the while. The upstreams are found down
    // only then: who was answered since did not crash them, or half of all calls would be refused.
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
    // Another router's word of a crash comes after the request was answered here, and is older.
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
    // A router sends a request on to the next upstream as soon as its answer breaks off, so that
    // three upstreams are down within some milliseconds. Each run began after the one before had
    // ended: that isn't one trouble of all three, and the caller's next call must not run.
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
    // Routers are restarted in turn while a crashing request comes again and again. Whoever starts
    // hears from the others what is held back, and nothing of requests that crashed once.
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
