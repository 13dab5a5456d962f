#include <optional>
#include <random>
#include <vector>

#include <catch2/catch.hpp>

#include "plantainswitch/base/hash.h"
#include "plantainswitch/membership/freshness.h"
#include "plantainswitch/routing/routercontacts.h"

using namespace plantainswitch;

namespace {

constexpr Milliseconds tick{20};
/// Guarantee: an edit is in force this long after it was accepted, on routers that have reached the
/// platform for the second duration.
constexpr Milliseconds editBound{2000};
constexpr Milliseconds contactTime{3000};
constexpr Milliseconds loopInterval{250};
constexpr Milliseconds behindTimeout{700};
constexpr Milliseconds listTimeout{1000};

struct Edit
{
    TimePoint acceptedAt;
    std::uint64_t version = 0;
};

struct Outage
{
    TimePoint from;
    TimePoint until;
};

/// A platform that accepts watches, and never answers those that it held while it was unresponsive.
struct UnresponsivePlatform
{
    [[nodiscard]] bool isUnresponsive(TimePoint from, TimePoint until) const
    {
        return std::any_of(this->outages.begin(), this->outages.end(), [&](const Outage &outage) {
            return outage.from <= until && from < outage.until;
        });
    }
    [[nodiscard]] std::uint64_t versionAt(TimePoint now) const
    {
        std::uint64_t version = 1;
        for (const Edit &edit : this->edits) {
            version = edit.acceptedAt <= now ? edit.version : version;
        }
        return version;
    }
    /// \returns the version that must be in force everywhere.
    [[nodiscard]] std::uint64_t requiredVersion(TimePoint now) const
    {
        return this->isUnresponsive(now - contactTime, now) ? 0 : this->versionAt(now - editBound);
    }

    std::vector<Outage> outages;
    std::vector<Edit> edits;
};

enum class Call : std::uint8_t { None, List, Watch };

/// A router of a fleet that follows the configuration.
class SimulatedRouter
{
public:
    SimulatedRouter(std::size_t number, std::size_t dataCentres, FreshnessPolicy policy)
        : number(number)
        , dataCentre("hall-" + std::to_string(number % dataCentres))
        , contacts(idOf(number), this->dataCentre)
        , policy(policy)
    {}

    static std::string idOf(std::size_t number) { return "router-" + std::to_string(number); }

    void run(const UnresponsivePlatform &platform, TimePoint now)
    {
        if (this->call == Call::None && now >= this->nextCallAt) {
            this->startCall(this->nextCall, now);
        } else if (this->call != Call::None) {
            this->awaitResponse(platform, now);
        }
        if (now >= this->nextCheckAt) {
            this->nextCheckAt = now + loopInterval;
            this->check(now);
        }
    }

    void update(const SimulatedRouter &from, TimePoint now)
    {
        RouterContact &contact = this->contacts.recordReceived(
            {from.dataCentre, static_cast<std::uint16_t>(from.number)}, now);
        contact.id = idOf(from.number);
        contact.dataCentre = from.dataCentre;
        contact.configVersion = from.version;
        contact.configConfirmed = from.confirmedAt;
        contact.storeConnected = from.failures == 0;
        this->newestKnown = std::max(this->newestKnown, from.version);
    }

    std::uint64_t version = 0;
    std::size_t calls = 0;

private:
    void startCall(Call kind, TimePoint now)
    {
        this->call = kind;
        this->calledAt = now;
        this->calls += 1;
        const bool isConfirmer = this->contacts.confirmerRank(now) == 0;
        this->currentWatchWait =
            kind == Call::Watch ? watchWait(this->policy, isConfirmer) : Milliseconds{0};
    }

    void awaitResponse(const UnresponsivePlatform &platform, TimePoint now)
    {
        const bool isLost = platform.isUnresponsive(this->calledAt, now);
        const bool isNewer = platform.versionAt(now) > this->version;
        const bool isDue = isNewer || now - this->calledAt >= this->currentWatchWait;
        if (!isLost && isDue) {
            this->timeout.recordResponse(tick);
            this->handleResponse(platform.versionAt(now), isNewer, now);
            return;
        }
        const Milliseconds limit = this->call == Call::List
                                       ? std::max(listTimeout, this->timeout.value())
                                       : this->currentWatchWait + this->timeout.value();
        if (now - this->calledAt > limit) {
            this->fail(now);
        }
    }

    void handleResponse(std::uint64_t newest, bool isNewer, TimePoint now)
    {
        this->version = newest;
        this->confirmedAt = now;
        this->failures = 0;
        this->call = Call::None;
        this->nextCall = Call::Watch;
        const bool isStandby = this->contacts.watchRank(now).value_or(1) > 0;
        const Milliseconds delay =
            isStandby ? this->policy.standbyCoalesceDelay : this->policy.coalesceDelay;
        this->nextCallAt = now + (isNewer ? delay : Milliseconds{0});
    }

    void fail(TimePoint now)
    {
        this->failures += 1;
        this->timeout.recordTimeout();
        if (this->call == Call::Watch) {
            this->startCall(Call::List, now);
            return;
        }
        this->call = Call::None;
        this->nextCallAt = now + retryBackoff(this->failures, hashOf(idOf(this->number)));
        this->nextCall = Call::List;
    }

    void check(TimePoint now)
    {
        const TimePoint fleet = this->contacts.configConfirmedAt(this->version, now);
        const ConfirmationState state{now - std::max(fleet, this->confirmedAt),
                                      this->contacts.confirmerRank(now), this->timeout.value(),
                                      this->currentWatchWait};
        const bool isBehind = this->newestKnown > this->version;
        this->behindSince = isBehind ? this->behindSince.value_or(now) : now;
        const bool isLate = isBehind && now - *this->behindSince >= behindTimeout;
        if (this->call == Call::Watch && isConfirmationDue(this->policy, state)) {
            this->startCall(Call::Watch, now);
        } else if (this->call == Call::Watch
                   && (isLate || isConfirmationOverdue(this->policy, state))) {
            this->failures = 1;
            this->startCall(Call::List, now);
        }
    }

    std::size_t number;
    std::string dataCentre;
    RouterContacts contacts;
    FreshnessPolicy policy;
    AdaptiveTimeout timeout;
    Call call = Call::None;
    Call nextCall = Call::List;
    TimePoint calledAt;
    Milliseconds currentWatchWait{0};
    TimePoint nextCallAt;
    TimePoint nextCheckAt;
    TimePoint confirmedAt;
    std::uint32_t failures = 0;
    std::uint64_t newestKnown = 0;
    std::optional<TimePoint> behindSince;
};

struct Outcome
{
    /// Number of steps in which a router served with outdated configuration.
    std::size_t staleTicks = 0;
    std::size_t calls = 0;
};

class FreshnessFixture
{
protected:
    /// Runs a fleet against \a platform for \a span.
    static Outcome simulate(const UnresponsivePlatform &platform, std::size_t routers,
                            Milliseconds span, const FreshnessPolicy &policy)
    {
        constexpr std::size_t dataCentres = 3;
        std::vector<SimulatedRouter> fleet;
        for (std::size_t number = 0; number < routers; ++number) {
            fleet.emplace_back(number, dataCentres, policy);
        }
        Outcome outcome;
        const TimePoint startCall = start();
        for (TimePoint now = startCall; now < startCall + span; now += tick) {
            const bool isUpdate = (now - startCall) % gossipInterval == Duration{0};
            for (SimulatedRouter &router : fleet) {
                router.run(platform, now);
                for (const SimulatedRouter &other : fleet) {
                    if (isUpdate && &other != &router) {
                        router.update(other, now);
                    }
                }
                const bool isSettled = now - startCall >= contactTime;
                outcome.staleTicks +=
                    isSettled && router.version < platform.requiredVersion(now) ? 1 : 0;
            }
        }
        for (const SimulatedRouter &router : fleet) {
            outcome.calls += router.calls;
        }
        return outcome;
    }

    static TimePoint start() { return TimePoint{Seconds{1000}}; }

    /// \returns a platform that is unresponsive at times while its configuration is edited.
    static UnresponsivePlatform platformOf(std::uint64_t seed)
    {
        std::mt19937_64 random(seed);
        const auto between = [&random](int min, int max) {
            return Milliseconds{std::uniform_int_distribution<int>(min, max)(random)};
        };
        UnresponsivePlatform platform;
        TimePoint at = start() + between(5000, 8000);
        for (int outage = 0; outage < 3; ++outage) {
            const TimePoint until = at + between(200, 6000);
            platform.outages.push_back({at, until});
            at = until + between(4000, 9000);
        }
        std::uint64_t version = 1;
        for (TimePoint when = start(); when < at; when += between(100, 4000)) {
            TimePoint accepted = when;
            for (const Outage &outage : platform.outages) {
                accepted = outage.from <= when && when < outage.until ? outage.until : accepted;
            }
            platform.edits.push_back({accepted, ++version});
        }
        return platform;
    }
};

} // namespace

TEST_CASE_METHOD(FreshnessFixture, "freshness_platformSilentAmidEdits_noRouterServesByOldOnes",
                 "[members]")
{
    // Guards against treating a watch that will never be answered as "nothing has changed".
    for (const std::size_t routers : {1U, 2U, 6U, 8U}) {
        for (std::uint64_t seed = 1; seed <= 25; ++seed) {
            INFO("routers " << routers << ", seed " << seed);
            const Outcome outcome =
                simulate(platformOf(seed), routers, Seconds{45}, freshnessWithin(contactTime));
            CHECK(outcome.staleTicks == 0);
        }
    }
}

TEST_CASE_METHOD(FreshnessFixture, "freshness_nobodyConfirms_checkFindsStaleRouters", "[members]")
{
    const FreshnessPolicy never{Seconds{20}, Seconds{20}, Milliseconds{250}};
    std::size_t stale = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        stale += simulate(platformOf(seed), 8, Seconds{45}, never).staleTicks;
    }
    CHECK(stale > 0);
}

TEST_CASE_METHOD(FreshnessFixture, "freshness_quietMinute_oneRouterAsksOften", "[members]")
{
    constexpr std::size_t routers = 8;
    const Outcome outcome =
        simulate(UnresponsivePlatform{}, routers, Seconds{60}, freshnessWithin(contactTime));
    constexpr std::size_t byConfirmer = 40;
    constexpr std::size_t byOthers = 3 * (routers - 1);
    CHECK(outcome.calls <= byConfirmer + byOthers + routers);
}

TEST_CASE("answerTimeout_platformTurnsSlow_isFollowedAndForgotten", "[members]")
{
    AdaptiveTimeout timeout;
    const Milliseconds usual = timeout.value();
    timeout.recordResponse(Milliseconds{600});
    CHECK(timeout.value() > Milliseconds{600});
    for (int answer = 0; answer < 8; ++answer) {
        timeout.recordResponse(Milliseconds{4});
    }
    CHECK(timeout.value() == usual);
}

TEST_CASE("answerTimeout_noAnswers_growsAndBeginsAnew", "[members]")
{
    AdaptiveTimeout timeout;
    const Milliseconds usual = timeout.value();
    timeout.recordTimeout();
    CHECK(timeout.value() == 2 * usual);
    timeout.recordTimeout();
    timeout.recordTimeout();
    CHECK(timeout.value() == usual);
}

TEST_CASE("watch_standbyAfterChange_pausesLongerUntilItIsFirst", "[members]")
{
    // Guards against one call per change from every watcher of a data centre, and against a standby
    // that keeps waiting when the first watcher is lost.
    const FreshnessPolicy policy = freshnessWithin(contactTime);
    CHECK(policy.standbyCoalesceDelay > policy.coalesceDelay);
    CHECK_FALSE(isWatchDue(policy, policy.coalesceDelay, true));
    CHECK(isWatchDue(policy, policy.coalesceDelay, false));
    CHECK(isWatchDue(policy, policy.standbyCoalesceDelay, true));
}
