#include <catch2/catch.hpp>

#include "plantainswitch/routing/health.h"

using namespace plantainswitch;

namespace {

class UpstreamHealthFixture
{
protected:
    [[nodiscard]] bool avoided() const { return isEjected(this->health, this->clock.now()); }

    UpstreamHealth health;
    ManualClock clock;
};

} // namespace

TEST_CASE_METHOD(UpstreamHealthFixture, "health_unreachable_isAvoidedForLongerEachTime",
                 "[routing]")
{
    recordFault(this->health, UpstreamFault::Unreachable, this->clock.now());
    CHECK(this->avoided());
    this->clock.advance(minEjectionTime);
    CHECK_FALSE(this->avoided());
    recordFault(this->health, UpstreamFault::Unreachable, this->clock.now());
    this->clock.advance(minEjectionTime);
    CHECK(this->avoided());
    for (int i = 0; i < 100; ++i) {
        recordFault(this->health, UpstreamFault::Unreachable, this->clock.now());
    }
    this->clock.advance(maxEjectionTime);
    CHECK_FALSE(this->avoided());
}

TEST_CASE_METHOD(UpstreamHealthFixture, "health_oneBrokenAnswer_isTheRequestsOwn", "[routing]")
{
    recordFault(this->health, UpstreamFault::ConnectionLost, this->clock.now());
    CHECK_FALSE(this->avoided());
    recordFault(this->health, UpstreamFault::ConnectionLost, this->clock.now());
    CHECK(this->avoided());
}

TEST_CASE_METHOD(UpstreamHealthFixture, "health_answerAgain_endsTheAvoidance", "[routing]")
{
    recordFault(this->health, UpstreamFault::Unreachable, this->clock.now());
    REQUIRE(this->avoided());
    recordSuccess(this->health, Duration{0}, this->clock.now());
    CHECK_FALSE(this->avoided());
    CHECK(this->health.consecutiveDownFaults == 0);
}

TEST_CASE_METHOD(UpstreamHealthFixture, "health_silenceOfLongAgo_isNoNewsForANewcomer", "[routing]")
{
    // Two routers have each seen a timeout of an upstream. A router that starts an hour later is
    // sent everything that it hasn't heard. Guards against ejecting a healthy upstream because of
    // these old timeouts.
    this->clock.advance(Seconds{1});
    CHECK_FALSE(isNewTimeout(this->health, {}, this->clock.now()));
    recordFault(this->health, UpstreamFault::TimedOut, this->clock.now());
    const TimePoint told = this->clock.now() + Milliseconds{1};
    this->clock.advance(Milliseconds{100});
    CHECK(isNewTimeout(this->health, {}, this->clock.now()));
    CHECK_FALSE(isNewTimeout(this->health, told, this->clock.now()));
    this->clock.advance(Seconds{3600});
    CHECK_FALSE(isNewTimeout(this->health, {}, this->clock.now()));
}

TEST_CASE_METHOD(UpstreamHealthFixture, "health_silenceSeenByTwo_isADarkEngine", "[routing]")
{
    // An engine loses power. Each caller that waits for it misses its objective, so the first two
    // timeouts, on whichever routers, must eject it. A single one may be coincidence.
    this->clock.advance(Seconds{1});
    recordFault(this->health, UpstreamFault::TimedOut, this->clock.now());
    CHECK_FALSE(this->avoided());
    CHECK(this->health.ownTimeoutAt == this->clock.now());
    recordPeerTimeout(this->health, this->clock.now());
    CHECK(this->avoided());
}

TEST_CASE_METHOD(UpstreamHealthFixture, "health_silencesFarApart_areChance", "[routing]")
{
    for (int i = 0; i < 20; ++i) {
        recordFault(this->health, UpstreamFault::TimedOut, this->clock.now());
        CHECK_FALSE(this->avoided());
        this->clock.advance(2 * timeoutScoreHalfLife);
    }
}

TEST_CASE_METHOD(UpstreamHealthFixture, "health_halfOfRequestsFail_showsInTheShareAndFades",
                 "[routing]")
{
    // An upstream fails nearly half of its requests while its health probes succeed. It isn't down,
    // so that only the failure rate distinguishes it from the others.
    for (int i = 0; i < 100; ++i) {
        recordFault(this->health, UpstreamFault::Failed, this->clock.now());
        recordSuccess(this->health, Duration{0}, this->clock.now());
    }
    const double share = failureRateOf(this->health, this->clock.now());
    CHECK(share > 0.4);
    CHECK(share < 0.6);
    CHECK_FALSE(this->avoided());
    this->clock.advance(penaltyHalfLife);
    CHECK(failureRateOf(this->health, this->clock.now()) == Approx(share / 2));
}

TEST_CASE_METHOD(UpstreamHealthFixture, "health_fullUpstream_isNotBlamed", "[routing]")
{
    recordFault(this->health, UpstreamFault::Rejected, this->clock.now());
    CHECK_FALSE(this->avoided());
    CHECK(failureRateOf(this->health, this->clock.now()) == 0.0);
}

TEST_CASE_METHOD(UpstreamHealthFixture, "health_peersWord_isNotPassedOn", "[routing]")
{
    // Routers report to each other which upstreams they eject. Guards against passing on what was
    // only reported: two routers would keep an upstream ejected forever.
    const TimePoint now = this->clock.now();
    recordPeerEjection(this->health, now + Seconds{100}, now);
    CHECK(this->avoided());
    CHECK(this->health.ownEjectedUntil <= now);
    this->clock.advance(maxEjectionTime);
    CHECK_FALSE(this->avoided());
}

TEST_CASE("silence_engineThatAnswersOthers_isBusyNotDark", "[routing]")
{
    // Caches are cold and long prompts are queued: requests wait for their first token while the
    // engine streams others. Guards against ejecting each engine in turn as if it were down.
    const TimePoint sent{Seconds{10}};
    CHECK(classifyTimeout(sent, TimePoint{Seconds{9}}) == TimeoutCause::Unresponsive);
    CHECK(classifyTimeout(sent, TimePoint{Seconds{11}}) == TimeoutCause::Busy);
}
