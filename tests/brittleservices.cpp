#include <catch2/catch.hpp>

#include "plantainswitch/routing/brittleservices.h"
#include "plantainswitch/routing/coldstart.h"
#include "plantainswitch/routing/enginecoordinator.h"

using namespace plantainswitch;

namespace {

constexpr std::uint64_t service = 5;
constexpr std::uint64_t engine = 7;
constexpr std::uint64_t upstream = 70;
constexpr Milliseconds usualRunTime{130};

class BrittleServicesFixture
{
protected:
    void respond(std::optional<std::uint32_t> maxRejections)
    {
        this->services.recordResponse(service, maxRejections, this->clock.now());
    }

    [[nodiscard]] std::optional<std::uint32_t> maxRejections() const
    {
        return this->services.maxRejections(service, this->clock.now());
    }

    bool requestGrant(std::uint64_t id, double bound, std::uint32_t reported = 0)
    {
        EngineGrantRequest request;
        request.router = "a";
        request.requestId = id;
        request.incarnation = engine;
        request.permit.upstream = upstream;
        request.brittleBound = bound;
        request.runTime.usual = usualRunTime;
        return this->coordinator.requestGrant(request, reported, this->clock.now()).granted;
    }

    void endGrant(std::uint64_t id, GrantEnd end)
    {
        this->coordinator.endGrant("a", id, engine, {end, usualRunTime}, this->clock.now());
    }

    /// Requests and releases grants until the coordinator's takeover is over.
    void finishTakeover(double bound)
    {
        for (int i = 0; i < 5; ++i) {
            this->requestGrant(1, bound);
            this->coordinator.releaseGrant("a", 1, engine);
            this->clock.advance(Milliseconds{1000});
        }
    }

    BrittleServices services;
    EngineCoordinator coordinator{100.0};
    ManualClock clock;
};

} // namespace

TEST_CASE_METHOD(BrittleServicesFixture, "brittleService_announced_isBrittleUntilItIsNot",
                 "[routing]")
{
    this->respond(std::nullopt);
    CHECK_FALSE(this->maxRejections());
    this->clock.advance(Milliseconds{1});
    this->respond(4);
    CHECK(this->maxRejections() == 4U);
    this->clock.advance(brittleOverlap);
    this->respond(std::nullopt);
    CHECK_FALSE(this->maxRejections());
}

TEST_CASE_METHOD(BrittleServicesFixture, "brittleService_responsesOvertakeEachOther_staysBrittle",
                 "[routing]")
{
    // Guards against a limit that a response ends which was sent before the announcement.
    this->respond(4);
    this->clock.advance(Milliseconds{20});
    this->respond(std::nullopt);
    CHECK(this->maxRejections() == 4U);
}

TEST_CASE_METHOD(BrittleServicesFixture, "brittleService_noticeFromBeforeItsEnd_isIgnored",
                 "[routing]")
{
    // Guards against an announcement that routers pass on after it has ended.
    this->respond(4);
    const auto notices = this->services.notices(this->clock.now());
    REQUIRE(notices.size() == 1);
    this->clock.advance(brittleOverlap);
    this->respond(std::nullopt);
    CHECK(this->services.notices(this->clock.now()).empty());
    this->services.applyNotice(notices.front(), this->clock.now());
    CHECK_FALSE(this->maxRejections());
    BrittleServices other;
    other.applyNotice(notices.front(), this->clock.now());
    CHECK(other.maxRejections(service, this->clock.now()) == 4U);
}

TEST_CASE_METHOD(BrittleServicesFixture, "brittleService_noResponses_isForgotten", "[routing]")
{
    this->respond(4);
    this->clock.advance(brittleRetention);
    CHECK_FALSE(this->maxRejections());
}

TEST_CASE("brittleShare_manyRouters_sendHalfOfTheSlotsInSum", "[routing]")
{
    // Guards against routers that each send one request per window without the coordinator.
    ManualClock clock;
    constexpr std::uint32_t routers = 100;
    constexpr int windows = 200;
    std::uint32_t total = 0;
    for (int window = 0; window < windows; ++window) {
        for (std::uint64_t router = 0; router < routers; ++router) {
            total += brittleUncoordinatedShare(router, routers, 8, clock.now());
        }
        clock.advance(permitWindow);
    }
    CHECK(total / windows >= 3);
    CHECK(total / windows <= 5);
    CHECK(brittleUncoordinatedShare(1, 2, 8, clock.now()) == 2);
}

TEST_CASE_METHOD(BrittleServicesFixture, "brittleEngine_newCoordinator_grantsLess", "[routing]")
{
    // Guards against two coordinators, before and after a change, that grant all slots each.
    int granted = 0;
    for (std::uint64_t id = 10; id < 30; ++id) {
        granted += this->requestGrant(id, 10.0) ? 1 : 0;
    }
    CHECK(granted == 6);
}

TEST_CASE_METHOD(BrittleServicesFixture, "brittleEngine_rejectsRequest_getsNoMoreThanBesideIt",
                 "[routing]")
{
    // Guards against rejections that go on while the upstream has less room than slots.
    this->finishTakeover(10.0);
    for (std::uint64_t id = 10; id < 18; ++id) {
        REQUIRE(this->requestGrant(id, 10.0));
    }
    this->coordinator.brittle().recordRejection(engine, std::nullopt, this->clock.now());
    this->coordinator.releaseGrant("a", 17, engine);
    CHECK_FALSE(this->requestGrant(20, 10.0));
    for (int i = 0; i < 2; ++i) {
        this->clock.advance(Milliseconds{1000});
        this->requestGrant(30, 1.0);
    }
    CHECK(this->requestGrant(21, 10.0));
    CHECK_FALSE(this->requestGrant(22, 10.0));
}

TEST_CASE_METHOD(BrittleServicesFixture, "brittleEngine_singleSlot_getsOneRequest", "[routing]")
{
    CHECK(this->requestGrant(10, 0.5));
    CHECK_FALSE(this->requestGrant(11, 0.5));
}

TEST_CASE_METHOD(BrittleServicesFixture, "brittleEngine_goesOnWithAbandonedRun_keepsItsGrant",
                 "[routing]")
{
    // Guards against a slot that is granted again while the engine still runs what a router gave
    // up.
    this->finishTakeover(2.0);
    REQUIRE(this->requestGrant(10, 2.0));
    REQUIRE(this->requestGrant(11, 2.0));
    this->clock.advance(Milliseconds{20});
    this->endGrant(11, GrantEnd::Responded);
    REQUIRE(this->requestGrant(12, 2.0));
    this->endGrant(10, GrantEnd::Abandoned);
    CHECK(this->coordinator.brittle().abandonedCount() == 1);
    this->clock.advance(usualRunTime - Milliseconds{1});
    CHECK_FALSE(this->requestGrant(13, 2.0));
    this->clock.advance(Milliseconds{1});
    CHECK(this->requestGrant(13, 2.0));
}

TEST_CASE_METHOD(BrittleServicesFixture, "brittleEngine_isSilent_keepsAbandonedGrantsUntilResponse",
                 "[routing]")
{
    // Guards against requests that pile up at a silent engine, which rejects them when it goes on.
    this->finishTakeover(1.0);
    REQUIRE(this->requestGrant(10, 1.0));
    this->endGrant(10, GrantEnd::Abandoned);
    this->clock.advance(2 * usualRunTime);
    CHECK_FALSE(this->requestGrant(11, 1.0));
    this->endGrant(99, GrantEnd::Responded);
    CHECK_FALSE(this->requestGrant(12, 1.0));
    this->clock.advance(usualRunTime);
    CHECK(this->requestGrant(13, 1.0));
}

TEST_CASE_METHOD(BrittleServicesFixture, "brittleEngine_staysSilent_losesAbandonedGrantsInTheEnd",
                 "[routing]")
{
    // Guards against an engine that never gets a request again, because nothing shows that it
    // responds.
    this->finishTakeover(1.0);
    REQUIRE(this->requestGrant(10, 1.0));
    this->endGrant(10, GrantEnd::Abandoned);
    this->clock.advance(maxAbandonedRetention);
    CHECK(this->requestGrant(11, 1.0));
}

TEST_CASE_METHOD(BrittleServicesFixture, "brittleEngine_routerReportsNothing_keepsAbandonedGrant",
                 "[routing]")
{
    // Guards against updates of a router that revoke the grants of runs it no longer counts.
    this->finishTakeover(1.0);
    REQUIRE(this->requestGrant(10, 1.0));
    this->clock.advance(orphanedGrantTimeout);
    this->endGrant(10, GrantEnd::Abandoned);
    this->coordinator.reconcile("a", engine, 0, this->clock.now());
    CHECK_FALSE(this->requestGrant(11, 1.0));
}

TEST_CASE_METHOD(BrittleServicesFixture, "brittleEngine_routersKnowTwoIncarnations_hasOneCount",
                 "[routing]")
{
    // Guards against an engine that has returned under its id and gets all its slots twice: from
    // routers that know it, and from those whose list is old.
    constexpr std::uint64_t previous = 6;
    this->finishTakeover(2.0);
    REQUIRE(this->requestGrant(10, 2.0));
    REQUIRE(this->requestGrant(11, 2.0));
    EngineGrantRequest request;
    request.router = "b";
    request.requestId = 12;
    request.incarnation = previous;
    request.permit.upstream = upstream;
    request.brittleBound = 2.0;
    CHECK_FALSE(this->coordinator.requestGrant(request, 0, this->clock.now()).granted);
    this->endGrant(10, GrantEnd::Responded);
    CHECK(this->coordinator.requestGrant(request, 0, this->clock.now()).granted);
    CHECK_FALSE(this->requestGrant(13, 2.0));
    this->coordinator.endGrant("b", 12, previous, {GrantEnd::Responded, {}}, this->clock.now());
    CHECK(this->requestGrant(14, 2.0));
}

TEST_CASE_METHOD(BrittleServicesFixture, "brittleEngine_routerIsLost_keepsItsGrants", "[routing]")
{
    // Guards against slots that are granted again while the engine goes on with the runs of a
    // router that is cut off, or stands still.
    this->finishTakeover(1.0);
    REQUIRE(this->requestGrant(10, 1.0));
    this->coordinator.releaseRouter("a", this->clock.now());
    CHECK_FALSE(this->requestGrant(11, 1.0));
    this->clock.advance(maxAbandonedRetention);
    CHECK(this->requestGrant(11, 1.0));
}

TEST_CASE_METHOD(BrittleServicesFixture, "brittleEngine_deadlineOfAbandonedRun_endsItsGrant",
                 "[routing]")
{
    // Guards against an engine that is silent for long and still has what was sent to it.
    this->finishTakeover(1.0);
    constexpr Milliseconds deadline{5000};
    EngineGrantRequest request;
    request.router = "a";
    request.requestId = 10;
    request.incarnation = engine;
    request.permit.upstream = upstream;
    request.brittleBound = 1.0;
    request.runTime = {usualRunTime, deadline};
    REQUIRE(this->coordinator.requestGrant(request, 0, this->clock.now()).granted);
    this->endGrant(10, GrantEnd::Abandoned);
    this->clock.advance(maxAbandonedRetention);
    CHECK_FALSE(this->requestGrant(11, 1.0));
    this->clock.advance(deadline + grantArrivalTime - maxAbandonedRetention);
    CHECK(this->requestGrant(11, 1.0));
}

TEST_CASE_METHOD(BrittleServicesFixture, "brittleEngine_statesMoreThanGranted_isCounted",
                 "[routing]")
{
    // Guards against requests that another coordinator granted, or none.
    this->finishTakeover(4.0);
    REQUIRE(this->requestGrant(10, 4.0));
    this->clock.advance(Milliseconds{20});
    this->coordinator.brittle().recordResponse(engine, 4, this->clock.now());
    CHECK_FALSE(this->requestGrant(11, 4.0));
    this->clock.advance(usualRunTime);
    CHECK(this->requestGrant(11, 4.0));
}

TEST_CASE_METHOD(BrittleServicesFixture, "brittleEngine_hasDroppedAbandonedRuns_getsOthers",
                 "[routing]")
{
    // Guards against slots that stay empty because an abandoned run may go on, although the engine
    // states that it does not.
    this->finishTakeover(2.0);
    REQUIRE(this->requestGrant(10, 2.0));
    REQUIRE(this->requestGrant(11, 2.0));
    this->endGrant(10, GrantEnd::Abandoned);
    this->clock.advance(grantArrivalTime);
    CHECK_FALSE(this->requestGrant(12, 2.0));
    this->coordinator.brittle().recordResponse(engine, 1, this->clock.now());
    CHECK(this->requestGrant(12, 2.0));
}
