#include "storefollower.h"

#include <algorithm>
#include <utility>

#include "plantainswitch/base/hash.h"
#include "plantainswitch/observe/event.h"

namespace plantainswitch::gateway {

namespace {

/// How much later than asked a watch may end.
constexpr Milliseconds watchSlack{3000};
/// Time for a plain call, some hundred times the store's usual answer.
constexpr Milliseconds listLimit{2500};
/// Least time for the first byte of a list, for which a small machine may have to connect first.
constexpr Milliseconds minListTimeout{1000};
/// How long the pages of one list may take. Below the history that a store keeps, by which what
/// changed since the first page is found.
constexpr Milliseconds longestListing{5000};
constexpr int statusOk = 200;
constexpr int statusGone = 410;
constexpr int statusTooMany = 429;

} // namespace

StoreFollower::StoreFollower(GatewayState &gateway, StoreKind kind, FreshnessPolicy policy,
                             FollowerEvents events)
    : gateway(gateway)
    , kind(kind)
    , known(gateway.followed[kind])
    , policy(policy)
    , events(std::move(events))
    , client(gateway)
    , timer(gateway.context)
{}

void StoreFollower::start(ReadConsistency consistency)
{
    this->listConsistency = consistency;
    this->list();
}

void StoreFollower::stop()
{
    this->stopped = true;
    this->timer.cancel();
}

void StoreFollower::pause()
{
    if (this->paused) {
        return;
    }
    this->paused = true;
    this->watching = false;
    this->changedAt.reset();
    this->timer.cancel();
    this->client.abandon();
}

void StoreFollower::resume()
{
    if (this->watching) {
        return;
    }
    if (!this->paused && this->position() != 0 && !this->client.isBusy()) {
        // Listed a moment ago: what changed since then is told to the watch.
        this->watching = true;
        this->watch();
        return;
    }
    this->paused = false;
    this->watching = true;
    this->failures = 0;
    if (std::exchange(this->listConsistency, ReadConsistency::Linearizable)
        == ReadConsistency::Stale) {
        this->listing.clear();
    }
    this->list();
}

void StoreFollower::listAnew()
{
    if (!this->watching) {
        return;
    }
    this->timer.cancel();
    this->client.abandon();
    this->listing.clear();
    this->failures = 1;
    this->list();
}

void StoreFollower::checkConfirmed(TimePoint fleetConfirmedAt)
{
    this->known.fleetConfirmedAt = std::max(fleetConfirmedAt, this->known.confirmedAt);
    const bool isWaiting = this->watching && this->client.isBusy() && this->held.count() > 0;
    if (!isWaiting) {
        return;
    }
    FreshnessSituation situation;
    situation.sinceConfirmed = this->gateway.clock.now() - this->known.fleetConfirmedAt;
    situation.rank = this->confirmRank();
    situation.answerTimeout = this->answerTimeout.value();
    situation.held = this->held;
    if (isConfirmationDue(this->policy, situation)) {
        this->client.abandon();
        this->watchFor(this->policy.confirmInterval);
        return;
    }
    if (!isUnconfirmed(this->policy, situation)) {
        return;
    }
    const auto age = std::chrono::duration_cast<Milliseconds>(situation.sinceConfirmed);
    logEvent(Event::StoreUnconfirmed, {{"kind", std::string(nameOf(this->kind))},
                                       {"revision", std::to_string(this->position())},
                                       {"age_ms", std::to_string(age.count())},
                                       {"waited_ms", std::to_string(this->waited().count())},
                                       {"rank", std::to_string(situation.rank)}});
    this->listAnew();
}

std::size_t StoreFollower::confirmRank() const
{
    return this->events.confirmRank ? this->events.confirmRank() : 0;
}

bool StoreFollower::isConfirmer() const
{
    if (this->confirmRank() > 0) {
        return false;
    }
    // An answer of the configuration confirms every kind of which the store has no newer change.
    const bool isNewest = this->position() == this->gateway.newestPosition();
    return this->kind == StoreKind::Routing || !isNewest;
}

void StoreFollower::later(Milliseconds delay, void (StoreFollower::*step)())
{
    this->timer.expires_after(delay);
    this->timer.async_wait([this, step](const asio::error_code &error) {
        if (!error && !this->stopped) {
            (this->*step)();
        }
    });
}

void StoreFollower::call(const std::string &target, CallLimits limits,
                         void (StoreFollower::*done)(const PlainReply &))
{
    this->gateway.metrics.count(Counter::PlatformCalls);
    this->known.waitingSince = this->gateway.clock.now();
    this->client.call(this->gateway.settings.store, "GET", target, {}, limits,
                      [this, done](const PlainReply &reply) { (this->*done)(reply); });
}

Milliseconds StoreFollower::waited() const
{
    const auto &since = this->known.waitingSince;
    const Duration span = since ? this->gateway.clock.now() - *since : Duration{0};
    return std::chrono::duration_cast<Milliseconds>(span);
}

Milliseconds StoreFollower::confirmedAge() const
{
    const Duration span = this->gateway.clock.now() - this->known.confirmedAt;
    return std::chrono::duration_cast<Milliseconds>(span);
}

void StoreFollower::list()
{
    if (this->gateway.clock.now() - this->listingBegan > longestListing) {
        this->listing.clear();
    }
    const std::string after = this->listing.empty() ? std::string() : this->listing.back().name;
    this->held = Milliseconds{0};
    this->changedAt.reset();
    this->call(this->gateway.dialect.listTarget(this->kind, after, this->listConsistency),
               {listLimit, std::max(minListTimeout, this->answerTimeout.value())},
               &StoreFollower::onListed);
}

void StoreFollower::onListed(const PlainReply &reply)
{
    auto answer =
        reply.status == statusOk ? this->gateway.dialect.readList(reply.body) : std::nullopt;
    if (!answer) {
        // The pages that have come stay: a store that many ask at once refuses some calls of each,
        // and who began anew each time would never come to the end.
        this->onFailure(reply.status);
        return;
    }
    this->answerTimeout.recordAnswer(this->waited());
    this->onAnswered();
    if (this->listing.empty()) {
        this->listingBegan = this->gateway.clock.now();
        this->listingRevision = answer->revision;
    }
    std::move(answer->items.begin(), answer->items.end(), std::back_inserter(this->listing));
    if (answer->more && !answer->items.empty()) {
        this->list();
        return;
    }
    this->finishListing();
}

void StoreFollower::finishListing()
{
    const bool isStale = this->listConsistency == ReadConsistency::Stale;
    this->listConsistency = ReadConsistency::Linearizable;
    if (!isStale) {
        // Changes made while the pages came are found by watching from the first page's revision.
        // Before the last page other routers would take this one for informed, and ask it in vain.
        this->known.position = this->listingRevision;
        this->gateway.noteConfirmed(this->listingRevision, this->listingBegan);
        this->noteChanges(this->listing, this->listingRevision);
    }
    logEvent(Event::ObjectsListed, {{"kind", std::string(nameOf(this->kind))},
                                    {"revision", std::to_string(this->listingRevision)},
                                    {"objects", std::to_string(this->listing.size())},
                                    {"stale", isStale ? "yes" : "no"},
                                    {"after_outage", this->wasOut ? "yes" : "no"}});
    std::vector<StoreItem> items = std::move(this->listing);
    this->listing.clear();
    if (std::exchange(this->wasOut, false)) {
        this->keepUntil = this->gateway.clock.now() + missingGrace;
    }
    this->events.onList(std::move(items), this->keepUntil);
    if (this->watching) {
        this->watch();
    }
}

void StoreFollower::watch()
{
    this->watchFor(watchWait(this->policy, this->isConfirmer()));
}

void StoreFollower::watchFor(Milliseconds wait)
{
    this->changedAt.reset();
    this->held = wait;
    this->call(this->gateway.dialect.watchTarget(this->kind, this->position(), this->held),
               {this->held + watchSlack, this->held + this->answerTimeout.value()},
               &StoreFollower::onWatched);
}

void StoreFollower::onWatched(const PlainReply &reply)
{
    if (this->stopped) {
        return;
    }
    if (reply.status == statusGone) {
        this->onAnswered();
        logEvent(Event::HistoryLost, {{"kind", std::string(nameOf(this->kind))},
                                      {"revision", std::to_string(this->position())}});
        this->list();
        return;
    }
    auto answer =
        reply.status == statusOk ? this->gateway.dialect.readChanges(reply.body) : std::nullopt;
    if (!answer) {
        this->onFailure(reply.status);
        return;
    }
    if (answer->items.empty()) {
        this->answerTimeout.recordAnswer(std::max(this->waited() - this->held, Milliseconds{0}));
    }
    this->onAnswered();
    this->known.position = std::max(this->position(), answer->revision);
    this->gateway.noteConfirmed(answer->revision, this->gateway.clock.now());
    this->noteChanges(answer->items, answer->revision);
    if (!answer->items.empty()) {
        this->events.onChanges(std::move(answer->items), this->keepUntil);
        this->changedAt = this->gateway.clock.now();
        this->later(this->policy.gatherPause, &StoreFollower::endPause);
        return;
    }
    this->watch();
}

void StoreFollower::endPause()
{
    const Duration sinceChange = this->gateway.clock.now() - this->changedAt.value_or(TimePoint{});
    const bool isStandby = this->events.isStandby && this->events.isStandby();
    if (!isWatchDue(this->policy, sinceChange, isStandby)) {
        // Looks again soon: the first watcher may be lost meanwhile.
        this->later(this->policy.gatherPause, &StoreFollower::endPause);
        return;
    }
    this->watch();
}

void StoreFollower::noteChanges(const std::vector<StoreItem> &items, std::uint64_t revision)
{
    // A removed object no longer says when it was changed.
    constexpr std::uint64_t first = 1;
    this->lastChange = std::max(this->lastChange, first);
    for (const StoreItem &item : items) {
        this->lastChange = std::max(this->lastChange, item.deleted ? revision : item.revision);
    }
}

void StoreFollower::onAnswered()
{
    this->refusedAsBusy = false;
    this->known.waitingSince.reset();
    if (this->failures > 1) {
        logEvent(Event::PlatformBack, {{"kind", std::string(nameOf(this->kind))},
                                       {"failures", std::to_string(this->failures)}});
    }
    this->failures = 0;
}

void StoreFollower::onFailure(int status)
{
    this->failures += 1;
    if (status == 0) {
        this->answerTimeout.recordTimeout();
    }
    this->refusedAsBusy = status == statusTooMany;
    if (this->stopped) {
        return;
    }
    if (this->failures == 1 && this->position() != 0 && status == 0) {
        // A waiting watch may be cut off at any time: this alone is no outage. But the store cuts
        // watches also when it drops its history, and a new watch from the old revision may then
        // hear nothing for seconds, seen as a revoked key that still opens. A list can't miss it.
        logEvent(Event::WatchCut, {{"kind", std::string(nameOf(this->kind))},
                                   {"revision", std::to_string(this->position())},
                                   {"waited_ms", std::to_string(this->waited().count())},
                                   {"age_ms", std::to_string(this->confirmedAge().count())}});
        this->list();
        return;
    }
    if (this->failures <= 2) {
        logEvent(Event::PlatformUnreachable,
                 {{"kind", std::string(nameOf(this->kind))},
                  {"status", std::to_string(status)},
                  {"waited_ms", std::to_string(this->waited().count())},
                  {"age_ms", std::to_string(this->confirmedAge().count())},
                  {"revision", std::to_string(this->position())}});
    }
    // Also before the first list: another router may have told of upstreams meanwhile, whose
    // entries lapsed in the outage.
    this->wasOut = true;
    const std::uint64_t seed = hashOf(this->gateway.settings.id, this->failures);
    this->later(retryPause(this->failures, seed), &StoreFollower::list);
}

} // namespace plantainswitch::gateway
