#include <future>

#include <catch2/catch.hpp>

#include "fleettools.h"
#include "orderrecord.h"

using namespace plantainswitch;
using namespace plantainswitch::lab;

namespace {

constexpr std::uint16_t ownPorts = 30'800;
constexpr std::uint32_t routers = 3;
constexpr std::uint32_t triesToFreezeInTime = 20;

class FreezeFixture
{
protected:
    FreezeFixture()
        : fleet(lowtherDeployment(ownPorts, routers))
    {
        REQUIRE(this->fleet.startAndConverge());
    }

    std::future<SendAttempt> sendAside(std::uint32_t order, std::size_t router)
    {
        return std::async(std::launch::async,
                          [=, this] { return this->orders.send(order, router); });
    }

    [[nodiscard]] bool eventuallyAnswered(std::uint32_t order, std::size_t router)
    {
        return Fleet::eventually([=, this] { return this->orders.send(order, router).answered; });
    }

    /// Longer than every timeout that others have for router 0.
    [[nodiscard]] bool eventuallyGone()
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

    /// Sends orders to router 0 and freezes it once a claim is written, whose answer the
    /// platform delays; a router that was faster is thawed and tried again with the next order.
    /// \returns the number of the order that had not run when the router was frozen
    std::uint32_t freezeBeforeDispatch(std::future<SendAttempt> &caller)
    {
        this->fleet.setFaults({{"slowMilliseconds", 1500}});
        for (std::uint32_t order = 1; order <= triesToFreezeInTime; ++order) {
            const std::string before = this->claimLog();
            const std::size_t ran = this->fleet.standIns.runs->keys();
            caller = this->sendAside(order, 0);
            const bool written = Fleet::eventually([&] { return this->claimLog() != before; });
            this->fleet.freezeRouter(0);
            if (written && this->fleet.standIns.runs->keys() == ran) {
                this->fleet.setFaults({{"slowMilliseconds", 0}});
                return order;
            }
            this->fleet.thawRouter(0);
            caller.wait();
        }
        FAIL("the router was never frozen between claim and dispatch");
        return 0;
    }

    void expectPromisesKept()
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
    // A courier's receipt is claimed in the log; before it is dispatched its router's VM is
    // paused for longer than every timeout. The phone repeats at the other routers, which can't
    // ask the owner. Thawed, the owner still believes that it holds the claim, and may run it;
    // had another run it meanwhile, there would be two receipts.
    std::future<SendAttempt> first;
    const std::uint32_t order = this->freezeBeforeDispatch(first);
    REQUIRE(this->eventuallyGone());
    for (std::size_t router = 1; router < routers; ++router) {
        const SendAttempt repeat = this->orders.send(order, router);
        CHECK(repeat.refusal == "may-have-run");
        CHECK_FALSE(repeat.refusedNotRun);
    }
    this->fleet.thawRouter(0);
    first.wait();
    CHECK(this->eventuallyAnswered(order, 1));
    this->expectPromisesKept();
}

TEST_CASE_METHOD(FreezeFixture, "order_ownerFrozenWhileItRuns_answersAfterTheThaw", "[fleetfreeze]")
{
    // A receipt runs when its router is paused for longer than every timeout; the service's
    // answer comes meanwhile. Repeats elsewhere hear that it may have run. Thawed, the router
    // hands on the answer to its caller, and the repeats get the same.
    this->fleet.standIns.orders->hold();
    auto first = this->sendAside(1, 0);
    REQUIRE(Fleet::eventually([this] { return this->fleet.standIns.runs->keys() == 1; }));
    this->fleet.freezeRouter(0);
    this->fleet.standIns.orders->letGo();
    REQUIRE(this->eventuallyGone());
    for (std::size_t router = 1; router < routers; ++router) {
        CHECK(this->orders.send(1, router).refusal == "may-have-run");
    }
    this->fleet.thawRouter(0);
    CHECK(first.get().answered);
    CHECK(this->eventuallyAnswered(1, 2));
    this->expectPromisesKept();
}

TEST_CASE_METHOD(FreezeFixture, "fleet_oneRouterFrozen_othersServeAndItComesBack", "[fleetfreeze]")
{
    // One router is paused. It was the claim writer of a third of the keys and the keeper of a
    // third of the shards, and its peers' messages wait in its sockets. The others must serve
    // all keys; thawed, it works through what is long out of date and serves again.
    constexpr std::uint32_t keys = 12;
    constexpr std::uint32_t allKeys = 2 * keys;
    this->fleet.freezeRouter(0);
    for (std::uint32_t order = 1; order <= keys; ++order) {
        CHECK(this->eventuallyAnswered(order, 1 + order % 2));
    }
    REQUIRE(this->eventuallyGone());
    this->fleet.thawRouter(0);
    CHECK(Fleet::eventually([this] { return this->fleet.hasConverged(); }));
    for (std::uint32_t order = 1; order <= allKeys; ++order) {
        CHECK(this->eventuallyAnswered(order, 0));
    }
    CHECK(this->fleet.standIns.runs->keys() == allKeys);
    this->expectPromisesKept();
}
