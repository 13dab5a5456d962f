#include <atomic>
#include <random>

#include <catch2/catch.hpp>

#include "fleettools.h"
#include "history.h"
#include "load.h"
#include "orderrecord.h"

using namespace plantainswitch;
using namespace plantainswitch::lab;

namespace {

constexpr std::uint16_t ownPorts = 31'200;
constexpr std::size_t routerCount = 3;
constexpr std::uint32_t callers = 4;
constexpr std::uint32_t maxOrdersPerCaller = 10'000;
constexpr std::uint32_t maxAttemptsPerOrder = 6;
constexpr std::uint32_t faultRounds = 8;

void checkNoViolation(const std::optional<std::string> &violation)
{
    INFO(violation.value_or(""));
    CHECK_FALSE(violation.has_value());
}

/// Injects faults into real routers under load: killed routers, platform outages and slowness, and
/// lost responses to writes.
class FleetHistoryFixture
{
protected:
    FleetHistoryFixture()
        : fleet(lowtherDeployment(ownPorts, routerCount))
    {
        REQUIRE(this->fleet.start());
    }

    void runCaller(std::uint32_t caller)
    {
        std::mt19937 random(caller);
        for (std::uint32_t index = 0; !this->faultsEnded && index < maxOrdersPerCaller; ++index) {
            const std::uint32_t order = caller * maxOrdersPerCaller + index;
            bool answered = false;
            for (std::uint32_t attempt = 0; attempt < maxAttemptsPerOrder && !answered; ++attempt) {
                answered = this->orders.send(order, random() % routerCount).answered;
            }
        }
    }

    void injectFaults()
    {
        std::mt19937 random(callers);
        for (std::uint32_t round = 0; round < faultRounds; ++round) {
            switch (round % 4) {
            case 0: {
                const std::size_t target = random() % routerCount;
                this->fleet.killRouter(target);
                this->fleet.startRouter(target);
                static_cast<void>(this->fleet.awaitReady(target));
                break;
            }
            case 1:
                this->fleet.setFaults({{"loseAnswers", 3}});
                break;
            case 2:
                this->fleet.setFaults({{"outage", true}});
                std::this_thread::sleep_for(std::chrono::milliseconds(300));
                this->fleet.setFaults({{"outage", false}});
                break;
            default:
                this->fleet.setFaults({{"slowMilliseconds", round * 20}});
                break;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(200));
        }
        this->fleet.setFaults({{"slowMilliseconds", 0}, {"loseAnswers", 0}});
    }

    Fleet fleet;
    std::atomic<bool> faultsEnded = false;
    OrderRecord orders{fleet};
};

} // namespace

TEST_CASE_METHOD(FleetHistoryFixture, "fleet_faultsDuringOrders_keepsPromisesInRecordedHistory",
                 "[fleethistory]")
{
    // Callers send non-idempotent orders and retry each at any router until it is answered, while
    // routers are killed and restarted, the platform is down or slow, and responses to its writes
    // are lost. Guards against an order that runs twice, a response to another order, and a "not
    // run" refusal of an order that ran.
    std::vector<std::thread> threads;
    threads.reserve(callers);
    for (std::uint32_t caller = 0; caller < callers; ++caller) {
        threads.emplace_back([this, caller] { this->runCaller(caller); });
    }
    this->injectFaults();
    this->faultsEnded = true;
    for (std::thread &thread : threads) {
        thread.join();
    }
    const History history = this->orders.history();
    const std::vector<SendAttempt> sendings = this->orders.sendings();
    std::map<std::string, int> counts;
    for (const SendAttempt &each : sendings) {
        ++counts[each.answered ? "answered" : each.refusedNotRun ? "not run" : "unknown"];
    }
    for (const auto &[name, count] : counts) {
        UNSCOPED_INFO(name << ": " << count);
    }
    checkNoViolation(checkAtMostOnce(history));
    checkNoViolation(checkOwnAnswer(history));
    checkNoViolation(checkNoFalseNotRun(history));
    const auto answered = std::count_if(sendings.begin(), sendings.end(),
                                        [](const SendAttempt &each) { return each.answered; });
    CHECK(answered > 0);
}

TEST_CASE_METHOD(FleetHistoryFixture, "fleet_faultsDuringChats_givesOnlyWholeOwnAnswers",
                 "[fleethistory]")
{
    // Chats use any router while routers are killed and the platform fails. Responses may be
    // truncated or refused. Guards against one that looks complete but is truncated or belongs to
    // another request.
    asio::io_context context;
    LoadOptions options;
    options.duration = std::chrono::seconds(4);
    options.orderShare = 0;
    Load load(context, this->fleet.deployment, options);
    load.start([&context] { context.stop(); });
    std::thread worker([&context] {
        const auto guard = asio::make_work_guard(context);
        context.run();
    });
    this->injectFaults();
    worker.join();
    INFO(load.report().dump());
    CHECK(load.broken() == 0);
    CHECK(load.whole() > 0);
}
