#include <future>

#include <catch2/catch.hpp>

#include "fleettools.h"
#include "orderrecord.h"

using namespace plantainswitch;
using namespace plantainswitch::lab;

namespace {

constexpr std::uint16_t ownPorts = 30'800;
constexpr std::uint32_t routers = 3;
constexpr std::uint32_t maxFreezeAttempts = 20;

class FreezeFixture
{
protected:
    FreezeFixture()
        : fleet(lowtherDeployment(ownPorts, routers))
    {
        REQUIRE(this->fleet.startAndConverge());
    }

    std::future<SendAttempt> sendAsync(std::uint32_t order, std::size_t router)
    {
        return std::async(std::launch::async,
                          [=, this] { return this->orders.send(order, router); });
    }

    [[nodiscard]] bool eventuallyAnswered(std::uint32_t order, std::size_t router)
    {
        return Fleet::eventually([=, this] { return this->orders.send(order, router).answered; });
    }

    /// Waits until the others have removed router 0, which exceeds all their timeouts for it.
    [[nodiscard]] bool eventuallyRemoved()
    {
        return Fleet::eventually([this] {
            return this->fleet.memberCount(1) == routers - 1
                   && this->fleet.memberCount(2) == routers - 1;
        });
    }

    [[nodiscard]] std::string claimLog()
    {
        return this->fleet.platformPage("/objects?kinds=claimlog&after=0").body;
    }

    /// Sends an order to router 0 and freezes the router once its claim is written, before the
    /// platform's delayed response arrives. If the order runs before the freeze, thaws the router
    /// and tries again with the next order.
    /// \returns the number of the order that had not run when the router was frozen
    std::uint32_t freezeBeforeDispatch(std::future<SendAttempt> &caller)
    {
        this->fleet.setFaults({{"slowMilliseconds", 1500}});
        for (std::uint32_t order = 1; order <= maxFreezeAttempts; ++order) {
            const std::string before = this->claimLog();
            const std::size_t runsBefore = this->fleet.standIns.runs->keys();
            caller = this->sendAsync(order, 0);
            const bool isWritten = Fleet::eventually([&] { return this->claimLog() != before; });
            this->fleet.freezeRouter(0);
            if (isWritten && this->fleet.standIns.runs->keys() == runsBefore) {
                this->fleet.setFaults({{"slowMilliseconds", 0}});
                return order;
            }
            this->fleet.thawRouter(0);
            caller.wait();
        }
        FAIL("the router was never frozen between claim and dispatch");
        return 0;
    }

    void checkGuarantees()
    {
        const auto violation = checkOrders(this->orders.history());
        INFO(violation.value_or(""));
        CHECK_FALSE(violation.has_value());
    }

    Fleet fleet;
    OrderRecord orders{fleet};
};

} // namespace

TEST_CASE_METHOD(FreezeFixture, "order_ownerFrozenBetweenClaimAndDispatch_runsOnce",
                 "[fleetfreeze]")
{
    // A router's VM is paused for longer than every timeout after an order's claim is written and
    // before the order is dispatched. The caller retries at the other routers, which can't reach
    // the owner of the claim. After the pause the owner still holds the claim and may dispatch the
    // order. Guards against another router running it in the meantime, which would execute it
    // twice.
    std::future<SendAttempt> first;
    const std::uint32_t order = this->freezeBeforeDispatch(first);
    REQUIRE(this->eventuallyRemoved());
    for (std::size_t router = 1; router < routers; ++router) {
        const SendAttempt repeat = this->orders.send(order, router);
        CHECK(repeat.refusal == "may-have-run");
        CHECK_FALSE(repeat.refusedNotRun);
    }
    this->fleet.thawRouter(0);
    first.wait();
    CHECK(this->eventuallyAnswered(order, 1));
    this->checkGuarantees();
}

TEST_CASE_METHOD(FreezeFixture, "order_ownerFrozenWhileItRuns_answersAfterTheThaw", "[fleetfreeze]")
{
    // A router is paused for longer than every timeout while an order runs, and the service
    // responds during the pause. Retries at other routers must be refused with may-have-run. After
    // the pause the router must relay the response to its caller, and further retries must get the
    // same one.
    this->fleet.standIns.orders->hold();
    auto first = this->sendAsync(1, 0);
    REQUIRE(Fleet::eventually([this] { return this->fleet.standIns.runs->keys() == 1; }));
    this->fleet.freezeRouter(0);
    this->fleet.standIns.orders->letGo();
    REQUIRE(this->eventuallyRemoved());
    for (std::size_t router = 1; router < routers; ++router) {
        CHECK(this->orders.send(1, router).refusal == "may-have-run");
    }
    this->fleet.thawRouter(0);
    CHECK(first.get().answered);
    CHECK(this->eventuallyAnswered(1, 2));
    this->checkGuarantees();
}

TEST_CASE_METHOD(FreezeFixture, "fleet_oneRouterFrozen_othersServeAndItComesBack", "[fleetfreeze]")
{
    // The paused router is the claim writer of a third of the keys and the coordinator of a third
    // of the shards, and its peers' messages queue in its sockets. The others must serve all keys.
    // After the pause it must process the outdated messages and serve again.
    constexpr std::uint32_t keys = 12;
    constexpr std::uint32_t allKeys = 2 * keys;
    this->fleet.freezeRouter(0);
    for (std::uint32_t order = 1; order <= keys; ++order) {
        CHECK(this->eventuallyAnswered(order, 1 + order % 2));
    }
    REQUIRE(this->eventuallyRemoved());
    this->fleet.thawRouter(0);
    CHECK(Fleet::eventually([this] { return this->fleet.hasConverged(); }));
    for (std::uint32_t order = 1; order <= allKeys; ++order) {
        CHECK(this->eventuallyAnswered(order, 0));
    }
    CHECK(this->fleet.standIns.runs->keys() == allKeys);
    this->checkGuarantees();
}
