#include <optional>
#include <random>
#include <vector>

#include <catch2/catch.hpp>

#include "plantainswitch/base/hash.h"
#include "plantainswitch/membership/freshness.h"
#include "plantainswitch/routing/routercontacts.h"

using namespace plantainswitch;

namespace {

constexpr Milliseconds turn{20};
/// Guarantee: an edit is in force this long after it was accepted, on routers that have reached the
/// platform for the second duration.
constexpr Milliseconds editBound{2000};
constexpr Milliseconds contactSpan{3000};
constexpr Milliseconds loopPause{250};
constexpr Milliseconds behindSpan{700};
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
struct SilentPlatform
{
    [[nodiscard]] bool isSilent(TimePoint from, TimePoint until) const
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
    [[nodiscard]] std::uint64_t versionDue(TimePoint now) const
    {
        return this->isSilent(now - contactSpan, now) ? 0 : this->versionAt(now - editBound);
    }

    std::vector<Outage> outages;
    std::vector<Edit> edits;
};

enum class Call : std::uint8_t { None, List, Watch };

/// A router of a fleet that follows the configuration.
class FollowingRouter
{
public:
    FollowingRouter(std::size_t number, std::size_t places, FreshnessPolicy policy)
        : number(number)
        , place("hall-" + std::to_string(number % places))
        , contacts(idOf(number), this->place)
        , policy(policy)
    {}

    static std::string idOf(std::size_t number) { return "router-" + std::to_string(number); }

    void run(const SilentPlatform &platform, TimePoint now)
    {
        if (this->call == Call::None && now >= this->nextCallAt) {
            this->begin(this->nextCall, now);
        } else if (this->call != Call::None) {
            this->awaitAnswer(platform, now);
        }
        if (now >= this->nextLookAt) {
            this->nextLookAt = now + loopPause;
            this->look(now);
        }
    }

    void update(const FollowingRouter &from, TimePoint now)
    {
        RouterContact &contact = this->contacts.recordReceived(
            {from.place, static_cast<std::uint16_t>(from.number)}, now);
        contact.id = idOf(from.number);
        contact.dataCentre = from.place;
        contact.configVersion = from.version;
        contact.configConfirmed = from.confirmedAt;
        contact.storeConnected = from.failures == 0;
        this->newestKnown = std::max(this->newestKnown, from.version);
    }

    std::uint64_t version = 0;
    std::size_t calls = 0;

private:
    void begin(Call kind, TimePoint now)
    {
        this->call = kind;
        this->calledAt = now;
        this->calls += 1;
        const bool isConfirmer = this->contacts.confirmerRank(now) == 0;
        this->held = kind == Call::Watch ? watchWait(this->policy, isConfirmer) : Milliseconds{0};
    }

    void awaitAnswer(const SilentPlatform &platform, TimePoint now)
    {
        const bool isLost = platform.isSilent(this->calledAt, now);
        const bool isNewer = platform.versionAt(now) > this->version;
        const bool isDue = isNewer || now - this->calledAt >= this->held;
        if (!isLost && isDue) {
            this->timeout.recordResponse(turn);
            this->answered(platform.versionAt(now), isNewer, now);
            return;
        }
        const Milliseconds limit = this->call == Call::List
                                       ? std::max(listTimeout, this->timeout.value())
                                       : this->held + this->timeout.value();
        if (now - this->calledAt > limit) {
            this->fail(now);
        }
    }

    void answered(std::uint64_t newest, bool isNewer, TimePoint now)
    {
        this->version = newest;
        this->confirmedAt = now;
        this->failures = 0;
        this->call = Call::None;
        this->nextCall = Call::Watch;
        const bool isStandby = this->contacts.watchRank(now).value_or(1) > 0;
        const Milliseconds pause =
            isStandby ? this->policy.standbyCoalesceDelay : this->policy.coalesceDelay;
        this->nextCallAt = now + (isNewer ? pause : Milliseconds{0});
    }

    void fail(TimePoint now)
    {
        this->failures += 1;
        this->timeout.recordTimeout();
        if (this->call == Call::Watch) {
            this->begin(Call::List, now);
            return;
        }
        this->call = Call::None;
        this->nextCallAt = now + retryBackoff(this->failures, hashOf(idOf(this->number)));
        this->nextCall = Call::List;
    }

    void look(TimePoint now)
    {
        const TimePoint fleet = this->contacts.configConfirmedAt(this->version, now);
        const ConfirmationState situation{now - std::max(fleet, this->confirmedAt),
                                          this->contacts.confirmerRank(now), this->timeout.value(),
                                          this->held};
        const bool isBehind = this->newestKnown > this->version;
        this->behindSince = isBehind ? this->behindSince.value_or(now) : now;
        const bool isLate = isBehind && now - *this->behindSince >= behindSpan;
        if (this->call == Call::Watch && isConfirmationDue(this->policy, situation)) {
            this->begin(Call::Watch, now);
        } else if (this->call == Call::Watch
                   && (isLate || isConfirmationOverdue(this->policy, situation))) {
            this->failures = 1;
            this->begin(Call::List, now);
        }
    }

    std::size_t number;
    std::string place;
    RouterContacts contacts;
    FreshnessPolicy policy;
    AdaptiveTimeout timeout;
    Call call = Call::None;
    Call nextCall = Call::List;
    TimePoint calledAt;
    Milliseconds held{0};
    TimePoint nextCallAt;
    TimePoint nextLookAt;
    TimePoint confirmedAt;
    std::uint32_t failures = 0;
    std::uint64_t newestKnown = 0;
    std::optional<TimePoint> behindSince;
};

struct Outcome
{
    /// Number of steps in which a router served with outdated configuration.
    std::size_t staleTurns = 0;
    std::size_t calls = 0;
};

class FreshnessFixture
{
protected:
    /// Runs a fleet against \a platform for \a span.
    static Outcome play(const SilentPlatform &platform, std::size_t routers, Milliseconds span,
                        const FreshnessPolicy &policy)
    {
        constexpr std::size_t places = 3;
        std::vector<FollowingRouter> fleet;
        for (std::size_t number = 0; number < routers; ++number) {
            fleet.emplace_back(number, places, policy);
        }
        Outcome outcome;
        const TimePoint begin = start();
        for (TimePoint now = begin; now < begin + span; now += turn) {
            const bool isUpdate = (now - begin) % gossipInterval == Duration{0};
            for (FollowingRouter &router : fleet) {
                router.run(platform, now);
                for (const FollowingRouter &other : fleet) {
                    if (isUpdate && &other != &router) {
                        router.update(other, now);
                    }
                }
                const bool isSettled = now - begin >= contactSpan;
                outcome.staleTurns +=
                    isSettled && router.version < platform.versionDue(now) ? 1 : 0;
            }
        }
        for (const FollowingRouter &router : fleet) {
            outcome.calls += router.calls;
        }
        return outcome;
    }

    static TimePoint start() { return TimePoint{Seconds{1000}}; }

    /// \returns a platform that is unresponsive at times while its configuration is edited.
    static SilentPlatform platformOf(std::uint64_t seed)
    {
        std::mt19937_64 random(seed);
        const auto between = [&random](int least, int most) {
            return Milliseconds{std::uniform_int_distribution<int>(least, most)(random)};
        };
        SilentPlatform platform;
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
                play(platformOf(seed), routers, Seconds{45}, freshnessWithin(contactSpan));
            CHECK(outcome.staleTurns == 0);
        }
    }
}

TEST_CASE_METHOD(FreshnessFixture, "freshness_nobodyConfirms_checkFindsStaleRouters", "[members]")
{
    const FreshnessPolicy never{Seconds{20}, Seconds{20}, Milliseconds{250}};
    std::size_t stale = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        stale += play(platformOf(seed), 8, Seconds{45}, never).staleTurns;
    }
    CHECK(stale > 0);
}

TEST_CASE_METHOD(FreshnessFixture, "freshness_quietMinute_oneRouterAsksOften", "[members]")
{
    constexpr std::size_t routers = 8;
    const Outcome outcome =
        play(SilentPlatform{}, routers, Seconds{60}, freshnessWithin(contactSpan));
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
    const FreshnessPolicy policy = freshnessWithin(contactSpan);
    CHECK(policy.standbyCoalesceDelay > policy.coalesceDelay);
    CHECK_FALSE(isWatchDue(policy, policy.coalesceDelay, true));
    CHECK(isWatchDue(policy, policy.coalesceDelay, false));
    CHECK(isWatchDue(policy, policy.standbyCoalesceDelay, true));
}
