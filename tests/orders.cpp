#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include "enginesetup.h"
#include "plantainswitch/plantainswitch.h"

using namespace plantainswitch;
using lab::SimulatedSetup;

namespace {

/// The lease object with conditional updates.
struct LeaseStore
{
    /// \returns the new version, or nothing when the condition didn't hold.
    std::optional<std::uint64_t> put(const std::string &holder, std::uint64_t ifVersion)
    {
        const std::uint64_t current = this->object ? this->object->version : 0;
        if (this->broken) {
            this->object = LeaseObject{holder, std::max<std::uint64_t>(current, 1)};
            return this->object->version;
        }
        if (current != ifVersion) {
            return std::nullopt;
        }
        this->object = LeaseObject{holder, current + 1};
        return current + 1;
    }

    std::optional<LeaseObject> object;
    /// Ignores the condition and doesn't increment versions.
    bool broken = false;
};

/// A router that sends orders, with the order that it was about to send when it was paused.
struct Orderer
{
    /// One round up to the moment before sending. \returns the fencing token to send with.
    std::optional<std::uint64_t> round(LeaseStore &store, bool enginesCheck, TimePoint now,
                                       bool answerLost = false)
    {
        observeLease(this->lease, store.object, this->self, now);
        const LeaseDecision decision = decideLease(this->lease, this->self, this->settings, now);
        if (decision.action != LeaseAction::None) {
            const auto version = store.put(this->self, decision.ifVersion);
            if (version && !answerLost) {
                recordLeaseWrite(this->lease, this->self, *version, this->settings, now);
            }
        }
        return currentFencingToken(this->lease, enginesCheck, this->settings, now);
    }

    std::string self;
    EngineSetup wanted;
    LeaseSettings settings;
    LeaseState lease;
    std::optional<std::uint64_t> preparedOrder;
};

class OrderFixture
{
protected:
    /// Runs an orderer until it may send. \returns its fencing token.
    std::uint64_t runUntilAllowed(Orderer &orderer)
    {
        std::optional<std::uint64_t> token;
        while (
            !(token = orderer.round(this->store, this->engine.checksFencing, this->clock.now()))) {
            this->clock.advance(Seconds{1});
        }
        return *token;
    }

    /// The first orderer is paused with a prepared order; the second acquires the lease and sends
    /// its own.
    /// \returns the first one's token.
    std::uint64_t takeOverWhilePaused()
    {
        const std::uint64_t oldToken = this->runUntilAllowed(this->first);
        const std::uint64_t newToken = this->runUntilAllowed(this->second);
        CHECK(newToken > oldToken);
        CHECK(this->engine.order(this->second.wanted, newToken));
        return oldToken;
    }

    ManualClock clock;
    LeaseStore store;
    SimulatedSetup engine;
    Orderer first{"first", {"m", "1", "", ""}, {}, {}, {}};
    Orderer second{"second", {"m", "2", "", ""}, {}, {}, {}};
};

std::vector<EngineStatus> statusesOf(std::size_t count, std::size_t loading)
{
    std::vector<EngineStatus> statuses(count);
    for (std::size_t index = 0; index < count; ++index) {
        statuses[index].isReachable = true;
        statuses[index].isLoading = index < loading;
    }
    return statuses;
}

/// Drives two orderers with pauses and lost responses at one engine.
/// \returns whether tokens never decreased at the engine and each token had one sender.
bool fencingHolds(bool engineChecks, bool brokenStore)
{
    ManualClock clock;
    LeaseStore store;
    store.broken = brokenStore;
    SimulatedSetup engine;
    engine.checksFencing = engineChecks;
    std::array<Orderer, 2> orderers{Orderer{"first", {"m", "1", "", ""}, {}, {}, {}},
                                    Orderer{"second", {"m", "2", "", ""}, {}, {}, {}}};
    std::map<std::uint64_t, std::string> senders;
    const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(
        200, rc::gen::inRange<std::uint32_t>(0, 1000));
    for (const std::uint32_t step : steps) {
        Orderer &orderer = orderers.at(step % 2);
        clock.advance(Milliseconds{step * 7});
        if (orderer.preparedOrder && step % 3 != 0) {
            // Resumed: it still acts on what it decided before the pause.
            if (engine.order(orderer.wanted, *orderer.preparedOrder)) {
                const auto [sender, isNew] = senders.emplace(*orderer.preparedOrder, orderer.self);
                if (!isNew && sender->second != orderer.self) {
                    return false;
                }
            }
            orderer.preparedOrder.reset();
        } else if (!orderer.preparedOrder) {
            orderer.preparedOrder = orderer.round(store, true, clock.now(), step % 11 == 0);
        }
    }
    return std::is_sorted(engine.carriedOut.begin(), engine.carriedOut.end());
}

} // namespace

TEST_CASE_METHOD(OrderFixture, "orders_pausedOrderer_checkingEngineRefusesOldNumber", "[orders]")
{
    // An orderer decides, is paused until after its lease expires, and resumes with its old view.
    // Meanwhile another router acquired the lease and sent a newer order. The engine sees an old
    // token and refuses.
    const std::uint64_t oldToken = this->takeOverWhilePaused();
    CHECK_FALSE(this->engine.order(this->first.wanted, oldToken));
    CHECK(this->engine.current.version == "2");
}

TEST_CASE_METHOD(OrderFixture, "orders_pausedOrderer_ignoringEngineIsRepairedByReadBack",
                 "[orders]")
{
    // The same with an engine that ignores the token and a pause longer than the configured
    // maximum. The old order is executed, which nothing can prevent. The holder reads the engine
    // back, finds the old state and orders again. Only the final state is right.
    this->engine.checksFencing = false;
    const std::uint64_t oldToken = this->takeOverWhilePaused();
    CHECK(this->engine.order(this->first.wanted, oldToken));
    CHECK(this->engine.current.version == "1");
    CHECK_FALSE(
        currentFencingToken(this->first.lease, false, this->first.settings, this->clock.now()));
    EngineStatus status;
    status.isReachable = true;
    status.setup = this->engine.current;
    REQUIRE(planOrders({status}, {this->second.wanted}).size() == 1);
    CHECK(this->engine.order(this->second.wanted, this->runUntilAllowed(this->second)));
    CHECK(this->engine.current.version == "2");
}

TEST_CASE_METHOD(OrderFixture, "orders_newHolderAtIgnoringEngines_waitsTheStatedPause", "[orders]")
{
    this->first.round(this->store, false, this->clock.now());
    const TimePoint acquired = this->clock.now();
    this->engine.checksFencing = false;
    this->runUntilAllowed(this->first);
    CHECK(this->clock.now() - acquired >= this->first.settings.maxProcessPause);
}

TEST_CASE("orders_staggered_neverBelowReadyShareNorAboveLoads", "[orders]")
{
    CHECK(rc::check("loads at once and ready share", [] {
        const auto count = *rc::gen::inRange<std::size_t>(1, 40);
        const auto loading = *rc::gen::inRange<std::size_t>(0, count + 1);
        EngineOrders wanted;
        wanted.setup.version = "2";
        wanted.maxConcurrentLoads = *rc::gen::inRange<std::uint32_t>(1, 8);
        wanted.minReadyPercent = *rc::gen::inRange<std::uint32_t>(0, 100);
        const auto chosen = planOrders(statusesOf(count, loading), wanted).size();
        const std::size_t minReady = count * wanted.minReadyPercent / 100;
        RC_ASSERT(chosen == 0 || chosen + loading <= wanted.maxConcurrentLoads);
        RC_ASSERT(chosen == 0 || count - loading - chosen >= minReady);
        RC_ASSERT(loading > 0 || chosen > 0);
    }));
}

TEST_CASE("orders_anyPausesAndLostAnswers_oneSenderForEachNumber", "[orders]")
{
    CHECK(rc::check("numbers never fall, one sender each",
                    [] { RC_ASSERT(fencingHolds(true, false)); }));
}

TEST_CASE("orders_brokenVariants_areCaughtByTheChecker", "[orders]")
{
    CHECK_FALSE(rc::check("an engine that ignores the number",
                          [] { RC_ASSERT(fencingHolds(false, false)); }));
    CHECK_FALSE(
        rc::check("a store without conditions", [] { RC_ASSERT(fencingHolds(true, true)); }));
}

TEST_CASE("orders_entryWithEngines_readsBackAsWritten", "[orders]")
{
    Service service;
    service.owner = "o";
    service.dataClass = "d";
    const std::string version = "7";
    service.engines.setup.version = version;
    service.engines.checkFencing = true;
    std::vector<Fault> faults;
    const auto body = parseEntry(EntryKind::Service, toJson(service), faults);
    REQUIRE(body);
    const EngineOrders &read = std::get<Service>(*body).engines;
    CHECK(read.setup.version == version);
    CHECK(read.setup.model.empty());
    CHECK(read.checkFencing);
    auto wrong = toJson(service);
    wrong["engines"]["readyPercent"] = 100;
    CHECK_FALSE(parseEntry(EntryKind::Service, wrong, faults));
    CHECK(faults.front().path == "/engines/readyPercent");
}
