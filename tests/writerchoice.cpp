#include <algorithm>
#include <set>

#include <catch2/catch.hpp>

#include "plantainswitch/plantainswitch.h"

using namespace plantainswitch;

namespace {

constexpr std::uint64_t self = 99;

/// One request to the three writers 1, 2 and 3 of its slice.
class WriterChoiceFixture
{
protected:
    ClaimRouteStep step(std::uint64_t own = self)
    {
        return nextClaimRouteStep(this->route, this->silentWriters, this->writers, own,
                                  this->limits, this->now);
    }

    /// Leaves the request unacknowledged until a writer is skipped.
    ClaimRouteStep stepUntilSkipped()
    {
        for (int attempt = 0; attempt < this->limits.maxUnacknowledged; ++attempt) {
            static_cast<void>(this->step());
        }
        return this->step();
    }

    WriterLimits limits{3, 2, Milliseconds{100}, Milliseconds{250}, Milliseconds{2000}, 2};
    std::vector<std::uint64_t> writers{1, 2, 3};
    ClaimRoute route;
    SilentWriters silentWriters;
    TimePoint now{Seconds{1}};
};

std::vector<WriterCandidate> fleetOf(std::uint64_t routers, std::uint64_t dataCentres)
{
    std::vector<WriterCandidate> members;
    for (std::uint64_t id = 1; id <= routers; ++id) {
        members.push_back({hashOf("router", id), "place-" + std::to_string(id % dataCentres)});
    }
    return members;
}

} // namespace

TEST_CASE("writersOf_anySlice_areDistinctAndNotAllOfOnePlace", "[claims]")
{
    // A data centre is lost with all its routers. If both first writers were in it, every router
    // would write each slice itself, and load it first.
    const auto members = fleetOf(24, 4);
    for (std::uint32_t slice = 0; slice < 64; ++slice) {
        const auto writers = claimWritersOf(slice, members, "place-2", WriterLimits{});
        REQUIRE(writers.size() == 3);
        CHECK(std::set<std::size_t>(writers.begin(), writers.end()).size() == 3);
        CHECK(members[writers[0]].dataCentre != members[writers[1]].dataCentre);
        CHECK(std::any_of(writers.begin(), writers.end(), [&](std::size_t index) {
            return members[index].dataCentre == "place-2";
        }));
    }
}

TEST_CASE("writersOf_smallFleet_namesWhoIsThere", "[claims]")
{
    CHECK(claimWritersOf(1, {}, "place-0", WriterLimits{}).empty());
    CHECK(claimWritersOf(1, fleetOf(1, 1), "place-0", WriterLimits{}).size() == 1);
    CHECK(claimWritersOf(1, fleetOf(2, 1), "place-0", WriterLimits{}).size() == 2);
}

TEST_CASE_METHOD(WriterChoiceFixture, "ask_silentWriters_goesToTheNextThenIsWrittenHere",
                 "[claims]")
{
    const ClaimRouteStep second = this->stepUntilSkipped();
    CHECK(second.silentWriter == 1);
    CHECK(second.action == ClaimRouteAction::Send);
    CHECK(second.writer == 1);
    static_cast<void>(this->step());
    const ClaimRouteStep third = this->step();
    CHECK(third.silentWriter == 2);
    CHECK(third.writer == 2);
    static_cast<void>(this->step());
    CHECK(this->step().action == ClaimRouteAction::WriteLocally);
    CHECK(this->step().action == ClaimRouteAction::WriteLocally);
}

TEST_CASE_METHOD(WriterChoiceFixture, "ask_rememberedSilentWriter_isPassedOverUntilItsTime",
                 "[claims]")
{
    static_cast<void>(this->stepUntilSkipped());
    this->route = {};
    CHECK(this->step().writer == 1);
    this->route = {};
    this->now += this->limits.silentWriterRetention;
    CHECK(this->step().writer == 0);
}

TEST_CASE_METHOD(WriterChoiceFixture, "ask_acknowledged_staysWithItsWriter", "[claims]")
{
    for (int attempt = 0; attempt < 10; ++attempt) {
        const ClaimRouteStep sent = this->step();
        CHECK(sent.action == ClaimRouteAction::Send);
        CHECK(sent.writer == 0);
        recordWriterAck(this->route, this->silentWriters);
    }
}

TEST_CASE_METHOD(WriterChoiceFixture, "ask_writersWithoutStore_isRefusedAfterTheBound", "[claims]")
{
    // Two writers reply that they can't reach the platform. A third attempt would only take the
    // courier's time; the claim was never queued, so "not run" is true.
    for (int refusal = 0; refusal < this->limits.maxRefusals; ++refusal) {
        CHECK(this->step().action == ClaimRouteAction::Send);
        recordWriterRefusal(this->route);
    }
    CHECK(this->step().action == ClaimRouteAction::Refuse);
}

TEST_CASE_METHOD(WriterChoiceFixture, "ask_ownRouterIsNext_isWrittenHere", "[claims]")
{
    CHECK(this->step(1).action == ClaimRouteAction::WriteLocally);
}

TEST_CASE("paceOf_lostRaces_slowsDownWithinBounds", "[claims]")
{
    ClaimLogLimits limits;
    REQUIRE(limits.maxBackoffDoublings > 0);
    CHECK(nextWriteInterval(limits, false, 5, 7) == limits.writeInterval);
    Duration highest{0};
    for (std::uint64_t seed = 0; seed < 2000; ++seed) {
        for (unsigned lost = 0; lost < 10; ++lost) {
            const Duration pace = nextWriteInterval(limits, true, lost, seed);
            REQUIRE(pace >= 2 * limits.writeInterval);
            highest = std::max(highest, pace);
        }
    }
    CHECK(highest < limits.writeInterval * (1U << limits.maxBackoffDoublings) * 3 / 2);
    CHECK(nextWriteInterval(limits, true, 1, 1) != nextWriteInterval(limits, true, 1, 2));
}
