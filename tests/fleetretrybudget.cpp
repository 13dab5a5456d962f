#include <catch2/catch.hpp>

#include "plantainswitch/routing/fleetretrybudget.h"

using namespace plantainswitch;

namespace {

class FleetRetriesFixture
{
protected:
    static std::uint32_t spendAll(FleetRetryBudget &retries, std::uint32_t routers, TimePoint now)
    {
        std::uint32_t spent = 0;
        while (retries.tryWithdraw("model", routers, now)) {
            ++spent;
        }
        return spent;
    }

    FleetRetryLimit limit;
    ManualClock clock;
};

} // namespace

TEST_CASE_METHOD(FleetRetriesFixture, "fleetRetries_allRoutersSpendEverything_sumStaysWithinLimit",
                 "[routing]")
{
    // All upstreams fail, and for a minute every router retries as often as it may. In any window,
    // the retries of all routers together must stay within the promised share of the requests plus
    // the margin, without coordination.
    constexpr std::uint32_t routers = 8;
    constexpr std::uint32_t requestsEach = 20;
    std::vector<FleetRetryBudget> fleet(routers, FleetRetryBudget(this->limit));
    std::vector<std::uint32_t> bySecond;
    for (int second = 0; second < 60; ++second) {
        std::uint32_t spent = 0;
        for (FleetRetryBudget &router : fleet) {
            for (std::uint32_t i = 0; i < requestsEach; ++i) {
                router.deposit("model", routers, this->clock.now());
            }
            spent += spendAll(router, routers, this->clock.now());
        }
        bySecond.push_back(spent);
        this->clock.advance(Seconds{1});
    }
    const auto window = static_cast<std::size_t>(this->limit.window.count());
    for (std::size_t end = window; end <= bySecond.size(); ++end) {
        std::uint32_t sum = 0;
        for (std::size_t second = end - window; second < end; ++second) {
            sum += bySecond[second];
        }
        const double requests = 1.0 * routers * requestsEach * static_cast<double>(window);
        CHECK(sum <= this->limit.ratio * requests + this->limit.margin);
        CHECK(sum > 0);
    }
}

TEST_CASE_METHOD(FleetRetriesFixture, "fleetRetries_spentOnPrecautions_leaveSomeForRecoveries",
                 "[routing]")
{
    // Guards against requests whose upstream has failed and that end because others were retried
    // although theirs might still respond.
    constexpr std::uint32_t routers = 8;
    FleetRetryBudget retries(this->limit);
    while (retries.tryWithdraw("model", routers, this->clock.now(), RetryNeed::Precaution)) {
    }
    CHECK(spendAll(retries, routers, this->clock.now()) >= 1);
}

TEST_CASE_METHOD(FleetRetriesFixture, "fleetRetries_quietService_savesNoMoreThanItsShare",
                 "[routing]")
{
    FleetRetryBudget retries(this->limit);
    retries.deposit("model", 1, this->clock.now());
    this->clock.advance(Seconds{3600});
    CHECK(spendAll(retries, 1, this->clock.now()) <= this->limit.margin);
}

TEST_CASE_METHOD(FleetRetriesFixture, "fleetRetries_otherService_hasItsOwnAccount", "[routing]")
{
    FleetRetryBudget retries(this->limit);
    static_cast<void>(spendAll(retries, 1, this->clock.now()));
    CHECK(retries.tryWithdraw("other", 1, this->clock.now()));
}
