#include <algorithm>
#include <array>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "history.h"
#include "plantainswitch/plantainswitch.h"

using namespace plantainswitch;
using namespace plantainswitch::lab;

namespace {

constexpr Fingerprint crasher = 1;
constexpr std::size_t copiesAtOnce = 2;

/// Simulates routers with their own view of the suspects, one coordinator, and engines that a
/// crashing request takes down.
class CrashWorld
{
public:
    explicit CrashWorld(bool share)
        : share(share)
    {}

    void act(std::uint32_t step)
    {
        constexpr std::uint32_t actions = 5;
        switch (step % actions) {
        case 0:
            this->send(step / actions % routerCount, crasher);
            break;
        case 1:
            this->send(step / actions % routerCount, 2 + step / actions % 5);
            break;
        case 2:
            this->deliverNews();
            break;
        case 3:
            this->finishOne(step / actions);
            break;
        default:
            this->clock.advance(Milliseconds{step / actions % 100});
            break;
        }
    }

    History history;
    std::size_t innocentsHeld = 0;

private:
    static constexpr std::size_t routerCount = 3;
    static constexpr std::size_t engines = 4;

    void send(std::size_t router, Fingerprint fingerprint)
    {
        const TimePoint now = this->clock.now();
        const SuspectStatus blame = suspectStatusOf(this->views[router], fingerprint, now);
        if (blame == SuspectStatus::Quarantined) {
            this->innocentsHeld += fingerprint == crasher ? 0 : 1;
            return;
        }
        const Suspects &keeper = this->views[0];
        std::size_t copies = 0;
        for (const auto &[engine, other] : this->running) {
            copies += other == fingerprint ? 1 : 0;
        }
        if (copies >= copiesAtOnce || isBlocked(keeper, fingerprint, this->running, now)) {
            return;
        }
        const auto away = excludedUpstreams(keeper, fingerprint, this->running, now);
        for (UpstreamId engine = 1; engine <= engines; ++engine) {
            const UpstreamId chosen = 1 + (fingerprint + engine) % engines;
            if (std::find(away.begin(), away.end(), chosen) == away.end()) {
                this->running.emplace_back(chosen, fingerprint);
                return;
            }
        }
    }

    void finishOne(std::uint32_t pick)
    {
        if (this->running.empty()) {
            return;
        }
        const auto [engine, fingerprint] = this->running[pick % this->running.size()];
        if (fingerprint == crasher) {
            this->crash(engine);
            return;
        }
        this->running.erase(this->running.begin()
                            + static_cast<std::ptrdiff_t>(pick % this->running.size()));
        this->tell({0, {}, {fingerprint}});
    }

    void crash(UpstreamId engine)
    {
        this->clock.advance(Seconds{1});
        this->history.push_back({HistoryKind::Crashed, crasher, 0, 0});
        SuspectUpdate news{engine, {}, {}};
        std::erase_if(this->running, [&](const auto &each) {
            if (each.first == engine) {
                news.crashed.push_back(each.second);
            }
            return each.first == engine;
        });
        std::sort(news.crashed.begin(), news.crashed.end());
        news.crashed.erase(std::unique(news.crashed.begin(), news.crashed.end()),
                           news.crashed.end());
        this->tell(news);
    }

    /// The coordinator is updated at once, the other routers when the report is delivered.
    void tell(const SuspectUpdate &news)
    {
        if (this->share) {
            applySuspectUpdate(this->views[0], news, this->clock.now());
            this->underway.push_back(news);
        }
    }

    void deliverNews()
    {
        for (const SuspectUpdate &news : this->underway) {
            for (std::size_t router = 1; router < routerCount; ++router) {
                applySuspectUpdate(this->views[router], news, this->clock.now());
            }
        }
        this->underway.clear();
    }

    bool share;
    ManualClock clock;
    std::array<Suspects, routerCount> views;
    std::vector<std::pair<UpstreamId, Fingerprint>> running;
    std::vector<SuspectUpdate> underway;
};

} // namespace

TEST_CASE("suspects_oneCrasherAtManyRouters_takesDownABoundedNumber", "[suspects]")
{
    // A caller keeps sending a request that crashes every engine that runs it, to every router, two
    // copies at a time; crash reports reach the other routers late. It must not take down more than
    // the two engines of its first copies: the engines' coordinator knows of the crashes, whatever
    // the routers know.
    constexpr std::uint64_t bound = copiesAtOnce;
    std::uint64_t crashes = 0;
    const bool held = rc::check("crash bound", [&crashes] {
        const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(
            400, rc::gen::inRange<std::uint32_t>(0, 1'000'000));
        CrashWorld world(true);
        for (const std::uint32_t step : steps) {
            world.act(step);
        }
        crashes += world.history.size();
        RC_ASSERT(!checkCrashBound(world.history, bound));
    });
    CHECK(held);
    CHECK(crashes > 0);
}

TEST_CASE("suspects_blameNotShared_isCaught", "[suspects]")
{
    CrashWorld world(false);
    for (std::uint32_t round = 0; round < 40; ++round) {
        world.act(5);
        world.act(3);
    }
    CHECK(checkCrashBound(world.history, copiesAtOnce));
}

TEST_CASE("suspects_innocentBesideCrasher_clearsItself", "[suspects]")
{
    // An innocent request runs on the engine that a crashing one takes down. Both become suspects
    // and are kept apart, so that the second crash is attributed to the crashing one alone; the
    // innocent one completes and is no longer suspected.
    Suspects suspects;
    const TimePoint now{Seconds{10}};
    applySuspectUpdate(suspects, {1, {crasher, 2}, {}}, now);
    CHECK(suspectStatusOf(suspects, 2, now) == SuspectStatus::Suspected);
    CHECK(excludedUpstreams(suspects, 2, {{7, crasher}, {8, 3}}, now)
          == std::vector<UpstreamId>{7});
    CHECK(excludedUpstreams(suspects, 3, {{7, crasher}}, now).empty());
    applySuspectUpdate(suspects, {7, {crasher}, {}}, now + Seconds{1});
    applySuspectUpdate(suspects, {0, {}, {2}}, now + Seconds{1});
    CHECK(suspectStatusOf(suspects, crasher, now + Seconds{2}) == SuspectStatus::Quarantined);
    CHECK(suspectStatusOf(suspects, 2, now + Seconds{2}) == SuspectStatus::None);
    CHECK(suspectStatusOf(suspects, crasher, now + Seconds{700}) == SuspectStatus::None);
}

TEST_CASE("suspects_manyRoutersReportOneCrash_countsOnce", "[suspects]")
{
    Suspects suspects;
    const TimePoint now{Seconds{10}};
    applySuspectUpdate(suspects, {1, {crasher}, {}}, now);
    applySuspectUpdate(suspects, {1, {crasher}, {}}, now + Milliseconds{20});
    CHECK(suspectStatusOf(suspects, crasher, now + Milliseconds{20}) == SuspectStatus::Suspected);
}

TEST_CASE("retryBudget_outage_spendsNoMoreThanItsShare", "[answers]")
{
    RetryBudget budget({0.1, 5});
    std::size_t retries = 0;
    for (int request = 0; request < 1000; ++request) {
        budget.deposit();
        retries += budget.tryWithdraw() ? 1 : 0;
    }
    CHECK(retries <= 105);
    CHECK(retries >= 100);
}
