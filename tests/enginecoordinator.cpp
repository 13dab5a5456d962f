#include <catch2/catch.hpp>

#include "plantainswitch/routing/enginecoordinator.h"

using namespace plantainswitch;

namespace {

class EngineCoordinatorFixture
{
protected:
    EngineGrantReply ask(const std::string &router, std::uint64_t number, double bound = 3.0,
                         std::uint32_t stated = 0)
    {
        return this->coordinator.requestGrant({router, number, 7, {1, 2}, 1000, bound}, stated,
                                              this->clock.now());
    }

    EngineCoordinator coordinator{100.0};
    ManualClock clock;
};

} // namespace

TEST_CASE_METHOD(EngineCoordinatorFixture, "engineCoordinator_manyRouters_shareOneBound",
                 "[routing]")
{
    // Sixty routers each have at most one request on an engine, so that none of them sees that it
    // is full; the engine's coordinator does.
    int granted = 0;
    for (std::uint64_t number = 1; number <= 60; ++number) {
        granted += this->ask("router-" + std::to_string(number), number).granted ? 1 : 0;
    }
    CHECK(granted == 3);
    this->coordinator.releaseGrant("router-1", 1, 7);
    CHECK(this->ask("router-9", 100).granted);
    CHECK_FALSE(this->ask("router-9", 101).granted);
}

TEST_CASE_METHOD(EngineCoordinatorFixture,
                 "engineCoordinator_engineNotAskedAbout_isForgottenOnceIdle", "[routing]")
{
    // Engines are replaced throughout the day, each restart as a new incarnation. Guards against a
    // coordinator that keeps all of them for months, and against one that removes an engine on
    // which a request is still running.
    CHECK(this->ask("a", 1).granted);
    this->clock.advance(idleEngineRetention + Seconds{1});
    this->coordinator.removeIdleEngines(this->clock.now());
    CHECK(this->coordinator.engineCount() == 1);
    this->coordinator.releaseGrant("a", 1, 7);
    this->coordinator.removeIdleEngines(this->clock.now());
    CHECK(this->coordinator.engineCount() == 0);
}

TEST_CASE_METHOD(EngineCoordinatorFixture, "engineCoordinator_chainGrantedBefore_isKnownToTheNext",
                 "[routing]")
{
    CHECK(this->ask("a", 1).cachedParts == 0);
    CHECK(this->ask("b", 1).cachedParts == 2);
}

TEST_CASE_METHOD(EngineCoordinatorFixture, "engineCoordinator_unreadTokens_areReadAsTimePasses",
                 "[routing]")
{
    CHECK(this->ask("a", 1).pendingPrefillTokens == 0.0);
    CHECK(this->ask("a", 2).pendingPrefillTokens == Approx(1000.0));
    this->clock.advance(Milliseconds{5});
    CHECK(this->ask("a", 3).pendingPrefillTokens == Approx(500.0));
}

TEST_CASE_METHOD(EngineCoordinatorFixture,
                 "engineCoordinator_endIsLost_grantIsTakenBackByItsRoutersNews", "[routing]")
{
    // The datagram that releases a grant is lost. Guards against counting the grant forever, which
    // would gradually block the engine; the router's updates report fewer requests.
    this->ask("a", 1);
    this->ask("a", 2);
    this->coordinator.reconcile("a", 7, 0, this->clock.now());
    CHECK(this->ask("b", 1).running == 3);
    this->clock.advance(orphanedGrantTimeout);
    this->coordinator.reconcile("a", 7, 1, this->clock.now());
    CHECK(this->ask("b", 2).running == 3);
}

TEST_CASE_METHOD(EngineCoordinatorFixture, "engineCoordinator_routerIsGone_itsGrantsAreToo",
                 "[routing]")
{
    this->ask("a", 1);
    this->ask("a", 2);
    CHECK(this->coordinator.incarnationsGrantedTo("a") == std::vector<std::uint64_t>{7});
    this->coordinator.releaseRouter("a", this->clock.now());
    CHECK(this->ask("b", 1).running == 1);
    CHECK(this->coordinator.incarnationsGrantedTo("a").empty());
}

TEST_CASE_METHOD(EngineCoordinatorFixture,
                 "engineCoordinator_newCoordinator_believesTheRoutersForAWhile", "[routing]")
{
    // An engine's coordinator fails, and its successor knows none of its grants. Guards against
    // filling the engine a second time: the routers' reports count for takeoverPeriod.
    CHECK_FALSE(this->ask("a", 1, 3.0, 3).granted);
    this->clock.advance(takeoverPeriod);
    CHECK(this->ask("a", 2, 3.0, 3).granted);
}

TEST_CASE_METHOD(EngineCoordinatorFixture,
                 "engineCoordinator_coldEngineAboveItsLoad_isGrantedInTheEnd", "[routing]")
{
    // Guards against a request that is rejected without end: its only engine is cold, needs a
    // permit and is above its share of the load.
    for (std::uint64_t number = 1; number <= 3; ++number) {
        this->ask("a", number);
    }
    std::uint32_t rejections = 0;
    while (rejections <= maxLoadRejections
           && !this->ask("b", 10 + rejections, loadBoundAfter(rejections, 3.0)).granted) {
        ++rejections;
    }
    CHECK(rejections == maxLoadRejections);
}
