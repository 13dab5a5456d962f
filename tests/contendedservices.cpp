#include <algorithm>

#include <catch2/catch.hpp>

#include "plantainswitch/routing/coldstart.h"
#include "plantainswitch/routing/contendedservices.h"
#include "plantainswitch/routing/grantsequence.h"

using namespace plantainswitch;

namespace {

constexpr std::uint64_t service = 5;
constexpr Seconds retention{10};

class ContendedServicesFixture
{
protected:
    bool sign(TimePoint observedAt)
    {
        return this->services.recordSign({service, observedAt}, retention, this->clock.now());
    }

    [[nodiscard]] bool isContended() const
    {
        return this->services.isContended(service, retention, this->clock.now());
    }

    ContendedServices services;
    ManualClock clock;
};

} // namespace

TEST_CASE_METHOD(ContendedServicesFixture, "contention_noSignForTheRetention_ends", "[contention]")
{
    // Guards against a service that waits for slots for good after one burst.
    CHECK_FALSE(this->isContended());
    CHECK(this->sign(this->clock.now()));
    CHECK_FALSE(this->sign(this->clock.now()));
    this->clock.advance(retention - Milliseconds{1});
    CHECK(this->isContended());
    CHECK(this->services.removeEnded(retention, this->clock.now()).empty());
    this->clock.advance(Milliseconds{1});
    CHECK_FALSE(this->isContended());
    CHECK(this->services.removeEnded(retention, this->clock.now()).size() == 1);
}

TEST_CASE_METHOD(ContendedServicesFixture, "contentionNotice_passedAround_doesNotRenewItself",
                 "[contention]")
{
    // Guards against routers that keep a service contended by telling each other about it.
    const TimePoint seen = this->clock.now();
    this->sign(seen);
    this->clock.advance(Seconds{6});
    const auto notices = this->services.notices(retention, this->clock.now());
    REQUIRE(notices.size() == 1);
    CHECK(notices.front().observedAt == seen);
    ContendedServices other;
    CHECK(other.applyNotice(notices.front(), retention, this->clock.now()));
    CHECK(other.notices(retention, this->clock.now()).empty());
    this->clock.advance(Seconds{4});
    CHECK_FALSE(other.isContended(service, retention, this->clock.now()));
    CHECK_FALSE(other.applyNotice(notices.front(), retention, this->clock.now()));
    CHECK(other.removeEnded(retention, this->clock.now()).size() == 1);
    // A notice that has expired does not start the contention, and so does not end it again.
    CHECK_FALSE(other.applyNotice(notices.front(), retention, this->clock.now()));
    CHECK(other.removeEnded(retention, this->clock.now()).empty());
}

TEST_CASE("contentionSign_rejectionForOtherReasons_doesNotCount", "[contention]")
{
    // Guards against waiting for slots because an upstream drains, or is cold.
    CHECK(showsContention({true, false, false, 0, 0, 0}));
    CHECK(showsContention({true, false, true, 6, 2, 6}));
    CHECK_FALSE(showsContention({true, true, true, 6, 2, 6}));
    CHECK_FALSE(showsContention({true, false, true, 1, 0, 6}));
    CHECK(showsContention({false, false, true, 6, 6, 6}));
    CHECK_FALSE(showsContention({false, false, true, 6, 5, 6}));
    CHECK_FALSE(showsContention({false, false, false, 0, 0, 0}));
}

TEST_CASE("smallService_slotsNotKnownOrAsManyAsRouters_isNotSmall", "[contention]")
{
    // Guards against a change for services that have room.
    const std::vector<std::uint32_t> slots{6, 6, 6};
    CHECK(isSmallService(slots, 19));
    CHECK_FALSE(isSmallService(slots, 18));
    CHECK_FALSE(isSmallService(std::vector<std::uint32_t>{6, 0, 6}, 73));
    CHECK_FALSE(isSmallService({}, 73));
}

TEST_CASE("uncoordinatedShare_allRoutersTogether_fillHalfOfTheSlots", "[contention]")
{
    // Guards against a surge of all routers at once when a coordinator fails.
    constexpr std::uint32_t slots = 6;
    constexpr Milliseconds hold{50};
    const double runs = static_cast<double>(slots) / 2.0 * (permitWindow / hold);
    for (const std::uint32_t routers : {5U, 73U, 400U}) {
        double sum = 0.0;
        constexpr int windows = 40;
        ManualClock clock;
        for (int window = 0; window < windows; ++window, clock.advance(permitWindow)) {
            for (std::uint64_t router = 0; router < routers; ++router) {
                sum += contendedUncoordinatedShare(router, routers, slots, hold, clock.now());
            }
        }
        CHECK(sum / windows <= 1.1 * runs);
        CHECK(sum / windows >= 0.7 * runs - routers);
    }
    CHECK(contendedUncoordinatedShare(1, 5, slots, Duration{0}, TimePoint{}) > 0);
}

TEST_CASE("grantSequence_allDeny_asksTheShortestWaitOnceMore", "[contention]")
{
    // Guards against a refusal while one upstream would have had a slot in time, and against
    // asking without end.
    GrantSequence sequence;
    CHECK_FALSE(lastUpstreamToAsk(sequence));
    recordDenial(sequence, {1, Milliseconds{90}, Milliseconds{200}});
    recordDenial(sequence, {2, Milliseconds{60}, Milliseconds{120}});
    recordDenial(sequence, {3, std::nullopt, Milliseconds{0}});
    CHECK(wasDenied(sequence, 3));
    CHECK_FALSE(wasDenied(sequence, 4));
    CHECK(lastUpstreamToAsk(sequence) == 2U);
    recordDenial(sequence, {2, Milliseconds{95}, Milliseconds{150}});
    CHECK(lastUpstreamToAsk(sequence) == 1U);
    CHECK(shortestRetryAfter(sequence, Milliseconds{1}) == Milliseconds{150});
    sequence.isExhausted = true;
    CHECK_FALSE(lastUpstreamToAsk(sequence));
}

TEST_CASE("grantSequence_noCoordinatorResponds_asksNoneAgain", "[contention]")
{
    // Guards against a request that spends its time on coordinators that have failed.
    GrantSequence sequence;
    recordDenial(sequence, {1, std::nullopt, Milliseconds{0}});
    CHECK_FALSE(lastUpstreamToAsk(sequence));
    CHECK(shortestRetryAfter(sequence, Milliseconds{200}) == Milliseconds{200});
}

TEST_CASE("grantTimes_objectiveOrDeadlineShort_boundTheFirstWait", "[contention]")
{
    // Guards against a first wait that leaves no time for the other upstreams.
    CHECK(firstGrantWait({Milliseconds{150}, Milliseconds{1000}}) == Milliseconds{37});
    CHECK(firstGrantWait({Milliseconds{0}, Milliseconds{1000}}) == Milliseconds{250});
    CHECK(firstGrantWait({Milliseconds{150}, Milliseconds{20}}) == Milliseconds{20});
    CHECK(firstGrantWait({Milliseconds{2}, Milliseconds{20}}) == Milliseconds{1});
    CHECK(timeToObjective({Milliseconds{150}, Milliseconds{1000}}, Milliseconds{60})
          == Milliseconds{90});
    CHECK(timeToObjective({Milliseconds{150}, Milliseconds{800}}, Milliseconds{200})
          == Milliseconds{0});
    CHECK(timeToObjective({Milliseconds{0}, Milliseconds{800}}, Milliseconds{200})
          == Milliseconds{800});
}
