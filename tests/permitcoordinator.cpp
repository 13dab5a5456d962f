#include <algorithm>
#include <map>
#include <random>
#include <vector>

#include <catch2/catch.hpp>

#include "plantainswitch/routing/permitcoordinator.h"

using namespace plantainswitch;

namespace {

/// A fleet whose routers request permits for one cold upstream while partitions, restarts and
/// delays change which router each of them takes for its coordinator.
class PermitFleet
{
public:
    explicit PermitFleet(std::uint32_t seed)
        : random(seed)
        , routerCount(std::uniform_int_distribution<std::size_t>(3, 60)(this->random))
        , coordinators(this->routerCount)
        , group(this->routerCount, 0)
    {}

    /// Plays 20 seconds at far more than the permitted demand.
    void play()
    {
        this->clock.advance(Seconds{100});
        const TimePoint end = this->clock.now() + Seconds{20};
        while (this->clock.now() < end) {
            this->clock.advance(Milliseconds{this->uniform(1, 5)});
            if (this->uniform(0, 400) == 0) {
                this->partition();
            }
            if (this->uniform(0, 300) == 0) {
                this->coordinators[this->anyRouter()] = PermitCoordinator{};
            }
            this->request(this->anyRouter());
        }
    }

    /// \returns the largest number of requests that arrive within one second.
    [[nodiscard]] std::size_t maxPerSecond()
    {
        std::sort(this->arrivals.begin(), this->arrivals.end());
        std::size_t most = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < this->arrivals.size(); ++last) {
            while (this->arrivals[last] - this->arrivals[first] >= Seconds{1}) {
                ++first;
            }
            most = std::max(most, last - first + 1);
        }
        return most;
    }

    [[nodiscard]] std::size_t arrivalCount() const { return this->arrivals.size(); }

    PermitLimits limits = permitLimitsOf({Milliseconds{3000}, 17.0}, {1.5, 5.0});
    bool requiresMajority = true;

private:
    std::int64_t uniform(std::int64_t from, std::int64_t to)
    {
        return std::uniform_int_distribution<std::int64_t>(from, to)(this->random);
    }

    std::size_t anyRouter()
    {
        return static_cast<std::size_t>(
            this->uniform(0, static_cast<std::int64_t>(this->routerCount) - 1));
    }

    /// Splits the routers into up to three groups, or heals the partition.
    void partition()
    {
        const auto groups = this->uniform(1, 3);
        for (std::size_t &group : this->group) {
            group = static_cast<std::size_t>(this->uniform(0, groups - 1));
        }
    }

    /// \returns the lowest router of the group of \a router, its coordinator.
    [[nodiscard]] std::size_t coordinatorOf(std::size_t router) const
    {
        const auto found = std::find(this->group.begin(), this->group.end(), this->group[router]);
        return static_cast<std::size_t>(found - this->group.begin());
    }

    void request(std::size_t router)
    {
        constexpr std::int64_t maxUseDelay = 250;
        const std::size_t coordinator = this->coordinatorOf(router);
        const auto reached =
            std::count(this->group.begin(), this->group.end(), this->group[router]);
        PermitRequest request;
        request.upstream = 1;
        request.limits = this->limits;
        request.isCold = true;
        request.mayPermitCold =
            !this->requiresMajority || static_cast<std::size_t>(reached) * 2 > this->routerCount;
        if (this->coordinators[coordinator].request(request, this->clock.now()).permitted) {
            this->arrivals.push_back(this->clock.now()
                                     + Milliseconds{this->uniform(0, maxUseDelay)});
        }
    }

    std::mt19937 random;
    std::size_t routerCount;
    std::vector<PermitCoordinator> coordinators;
    std::vector<std::size_t> group;
    std::vector<TimePoint> arrivals;
    ManualClock clock;
};

class PermitCoordinatorFixture
{
protected:
    PermitCoordinatorFixture() { this->clock.advance(Seconds{100}); }

    int permittedOf(int requests, bool isCold)
    {
        int permitted = 0;
        for (int i = 0; i < requests; ++i) {
            const PermitRequest request{7, {15, 30}, isCold, true};
            permitted += this->coordinator.request(request, this->clock.now()).permitted ? 1 : 0;
        }
        return permitted;
    }

    /// Lets this router be the coordinator for two windows.
    void coordinate()
    {
        for (int i = 0; i < 4; ++i) {
            this->permittedOf(1, true);
            this->clock.advance(permitWindow / 2);
        }
    }

    PermitCoordinator coordinator;
    ManualClock clock;
};

} // namespace

TEST_CASE("permits_partitionsRestartsAndDelays_neverExceedTheBoundInAnySecond", "[routing]")
{
    constexpr std::uint32_t seeds = 300;
    constexpr std::size_t bound = 30;
    std::size_t arrivals = 0;
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
        PermitFleet fleet(seed);
        fleet.play();
        INFO("seed " << seed);
        CHECK(fleet.maxPerSecond() <= bound);
        arrivals += fleet.arrivalCount();
    }
    // The upstream is not simply left without requests.
    constexpr std::size_t minArrivals = 40;
    CHECK(arrivals > minArrivals * seeds);
}

TEST_CASE("permits_withoutRequiredMajority_areFoundToExceedTheBound", "[routing]")
{
    // Shows that the check above finds parts of a partition that each permit requests.
    std::size_t most = 0;
    for (std::uint32_t seed = 1; seed <= 50; ++seed) {
        PermitFleet fleet(seed);
        fleet.requiresMajority = false;
        fleet.play();
        most = std::max(most, fleet.maxPerSecond());
    }
    CHECK(most > 30);
}

TEST_CASE_METHOD(PermitCoordinatorFixture, "permits_newCoordinator_permitsNothingToColdForAWindow",
                 "[routing]")
{
    CHECK(this->permittedOf(5, true) == 0);
    this->clock.advance(permitWindow / 2);
    CHECK(this->permittedOf(5, true) == 0);
    this->clock.advance(permitWindow / 2);
    CHECK(this->permittedOf(50, true) == 15);
    // Meanwhile another router may have been the coordinator.
    this->clock.advance(permitWindow);
    CHECK(this->permittedOf(5, true) == 0);
}

TEST_CASE_METHOD(PermitCoordinatorFixture,
                 "permits_onlyOneRouterWaitsAsTold_getsOneAfterTheTakeover", "[routing]")
{
    // Guards against a takeover that starts over with each request, because the only router that
    // requests permits waits for a whole window in between.
    const PermitRequest request{7, {15, 30}, true, true};
    PermitReply reply;
    for (int i = 0; i < 4 && !reply.permitted; ++i) {
        reply = this->coordinator.request(request, this->clock.now());
        this->clock.advance(reply.wait);
    }
    CHECK(reply.permitted);
}

TEST_CASE_METHOD(PermitCoordinatorFixture, "permits_upstreamTurnsCold_permitsOfTheWarmTimeCount",
                 "[routing]")
{
    this->coordinate();
    this->clock.advance(permitWindow / 2);
    CHECK(this->permittedOf(20, false) == 20);
    CHECK(this->permittedOf(20, true) == 0);
}

TEST_CASE_METHOD(PermitCoordinatorFixture, "permits_warmUpstreamInBurst_isBoundedUntilItIsSteady",
                 "[routing]")
{
    // Load: a hot key sends all its requests to one engine, which may have restarted unnoticed.
    CHECK(this->permittedOf(100, false) == 30);
    this->clock.advance(permitWindow);
    CHECK(this->permittedOf(100, false) == 100);
}

TEST_CASE_METHOD(PermitCoordinatorFixture, "permits_withoutMajority_areDeniedForCold", "[routing]")
{
    this->coordinate();
    const PermitReply reply =
        this->coordinator.request({7, {15, 30}, true, false}, this->clock.now());
    CHECK_FALSE(reply.permitted);
    CHECK(reply.wait > Milliseconds{0});
}

TEST_CASE_METHOD(PermitCoordinatorFixture, "permits_upstreamNotRequested_isForgotten", "[routing]")
{
    this->permittedOf(1, false);
    this->clock.advance(Seconds{61});
    this->coordinator.removeIdle(this->clock.now());
    CHECK(this->coordinator.upstreamCount() == 0);
}
