#include "storefollower.h"

#include <algorithm>
#include <utility>

#include "plantainswitch/base/hash.h"
#include "plantainswitch/observe/event.h"

namespace plantainswitch::gateway {

namespace {

/// How much later than requested a watch may end.
constexpr Milliseconds watchSlack{3000};
/// Timeout of a list, about a hundred times the store's usual response time.
constexpr Milliseconds listTimeout{2500};
/// Lower bound of the timeout for the first byte of a list, which may include connecting on a small
/// VM.
constexpr Milliseconds minFirstByteTimeout{1000};
/// How long the pages of one list may take. Shorter than the history that the store keeps, from
/// which changes since the first page are fetched.
constexpr Milliseconds maxListDuration{5000};
constexpr int statusOk = 200;
constexpr int statusGone = 410;
constexpr int statusTooMany = 429;

} // namespace

StoreFollower::StoreFollower(GatewayState &gateway, StoreObjectKind kind, FreshnessPolicy policy,
                             FollowerHandlers events)
    : gateway(gateway)
    , kind(kind)
    , syncState(gateway.syncStates[kind])
    , policy(policy)
    , handlers(std::move(events))
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
    this->client.cancel();
}

void StoreFollower::resume()
{
    if (this->watching) {
        return;
    }
    if (!this->paused && this->revision() != 0 && !this->client.isBusy()) {
        // The list is recent: the watch reports changes since then.
        this->watching = true;
        this->watch();
        return;
    }
    this->paused = false;
    this->watching = true;
    this->failures = 0;
    if (std::exchange(this->listConsistency, ReadConsistency::Linearizable)
        == ReadConsistency::Stale) {
        this->partialList.clear();
    }
    this->list();
}

void StoreFollower::relist()
{
    if (!this->watching) {
        return;
    }
    this->timer.cancel();
    this->client.cancel();
    this->partialList.clear();
    this->failures = 1;
    this->list();
}

void StoreFollower::checkConfirmation(TimePoint fleetConfirmedAt)
{
    this->syncState.fleetConfirmedAt = std::max(fleetConfirmedAt, this->syncState.confirmedAt);
    const bool isWaiting =
        this->watching && this->client.isBusy() && this->currentWatchWait.count() > 0;
    if (!isWaiting) {
        return;
    }
    ConfirmationState situation;
    situation.sinceConfirmed = this->gateway.clock.now() - this->syncState.fleetConfirmedAt;
    situation.rank = this->confirmerRank();
    situation.responseTimeout = this->responseTimeout.value();
    situation.currentWatchWait = this->currentWatchWait;
    if (isConfirmationDue(this->policy, situation)) {
        this->client.cancel();
        this->startWatch(this->policy.confirmInterval);
        return;
    }
    if (!isConfirmationOverdue(this->policy, situation)) {
        return;
    }
    const auto age = std::chrono::duration_cast<Milliseconds>(situation.sinceConfirmed);
    logEvent(Event::StoreUnconfirmed, {{"kind", std::string(nameOf(this->kind))},
                                       {"revision", std::to_string(this->revision())},
                                       {"age_ms", std::to_string(age.count())},
                                       {"waited_ms", std::to_string(this->callAge().count())},
                                       {"rank", std::to_string(situation.rank)}});
    this->relist();
}

std::size_t StoreFollower::confirmerRank() const
{
    return this->handlers.confirmerRank ? this->handlers.confirmerRank() : 0;
}

bool StoreFollower::isConfirmer() const
{
    if (this->confirmerRank() > 0) {
        return false;
    }
    // A response for the configuration confirms every kind of which the store has no newer change.
    const bool isNewest = this->revision() == this->gateway.latestRevision();
    return this->kind == StoreObjectKind::Routing || !isNewest;
}

void StoreFollower::scheduleStep(Milliseconds delay, void (StoreFollower::*step)())
{
    this->timer.expires_after(delay);
    this->timer.async_wait([this, step](const asio::error_code &error) {
        if (!error && !this->stopped) {
            (this->*step)();
        }
    });
}

void StoreFollower::call(const std::string &target, CallTimeouts limits,
                         void (StoreFollower::*done)(const CallReply &))
{
    this->gateway.metrics.count(Counter::PlatformCalls);
    this->syncState.callStartedAt = this->gateway.clock.now();
    this->client.call(this->gateway.settings.store, "GET", target, {}, limits,
                      [this, done](const CallReply &reply) { (this->*done)(reply); });
}

Milliseconds StoreFollower::callAge() const
{
    const auto &since = this->syncState.callStartedAt;
    const Duration age = since ? this->gateway.clock.now() - *since : Duration{0};
    return std::chrono::duration_cast<Milliseconds>(age);
}

Milliseconds StoreFollower::confirmationAge() const
{
    const Duration age = this->gateway.clock.now() - this->syncState.confirmedAt;
    return std::chrono::duration_cast<Milliseconds>(age);
}

void StoreFollower::list()
{
    if (this->gateway.clock.now() - this->listStartedAt > maxListDuration) {
        this->partialList.clear();
    }
    const std::string after =
        this->partialList.empty() ? std::string() : this->partialList.back().name;
    this->currentWatchWait = Milliseconds{0};
    this->changedAt.reset();
    this->call(this->gateway.dialect.listTarget(this->kind, after, this->listConsistency),
               {listTimeout, std::max(minFirstByteTimeout, this->responseTimeout.value())},
               &StoreFollower::onListReply);
}

void StoreFollower::onListReply(const CallReply &reply)
{
    auto answer =
        reply.status == statusOk ? this->gateway.dialect.parseList(reply.body) : std::nullopt;
    if (!answer) {
        // Pages received so far are kept. A store under load refuses some calls of every router,
        // and a router that started over each time would never finish its list.
        this->onFailure(reply.status);
        return;
    }
    this->responseTimeout.recordResponse(this->callAge());
    this->onSuccess();
    if (this->partialList.empty()) {
        this->listStartedAt = this->gateway.clock.now();
        this->listRevision = answer->revision;
    }
    std::move(answer->objects.begin(), answer->objects.end(),
              std::back_inserter(this->partialList));
    if (answer->hasMore && !answer->objects.empty()) {
        this->list();
        return;
    }
    this->finishList();
}

void StoreFollower::finishList()
{
    const bool isStale = this->listConsistency == ReadConsistency::Stale;
    this->listConsistency = ReadConsistency::Linearizable;
    if (!isStale) {
        // Changes during the listing are found by watching from the first page's revision. The
        // revision is set after the last page only: other routers would otherwise ask this one for
        // objects that it does not have yet.
        this->syncState.revision = this->listRevision;
        this->gateway.recordConfirmation(this->listRevision, this->listStartedAt);
        this->recordChanges(this->partialList, this->listRevision);
    }
    logEvent(Event::ObjectsListed, {{"kind", std::string(nameOf(this->kind))},
                                    {"revision", std::to_string(this->listRevision)},
                                    {"objects", std::to_string(this->partialList.size())},
                                    {"stale", isStale ? "yes" : "no"},
                                    {"after_outage", this->hadOutage ? "yes" : "no"}});
    std::vector<StoreObject> items = std::move(this->partialList);
    this->partialList.clear();
    if (std::exchange(this->hadOutage, false)) {
        this->retainMissingUntil = this->gateway.clock.now() + missingGracePeriod;
    }
    this->handlers.onList(std::move(items), this->retainMissingUntil);
    if (this->watching) {
        this->watch();
    }
}

void StoreFollower::watch()
{
    this->startWatch(watchWait(this->policy, this->isConfirmer()));
}

void StoreFollower::startWatch(Milliseconds wait)
{
    this->changedAt.reset();
    this->currentWatchWait = wait;
    this->call(
        this->gateway.dialect.watchTarget(this->kind, this->revision(), this->currentWatchWait),
        {this->currentWatchWait + watchSlack,
         this->currentWatchWait + this->responseTimeout.value()},
        &StoreFollower::onWatchReply);
}

void StoreFollower::onWatchReply(const CallReply &reply)
{
    if (this->stopped) {
        return;
    }
    if (reply.status == statusGone) {
        this->onSuccess();
        logEvent(Event::HistoryLost, {{"kind", std::string(nameOf(this->kind))},
                                      {"revision", std::to_string(this->revision())}});
        this->list();
        return;
    }
    auto answer =
        reply.status == statusOk ? this->gateway.dialect.parseChanges(reply.body) : std::nullopt;
    if (!answer) {
        this->onFailure(reply.status);
        return;
    }
    if (answer->objects.empty()) {
        this->responseTimeout.recordResponse(
            std::max(this->callAge() - this->currentWatchWait, Milliseconds{0}));
    }
    this->onSuccess();
    this->syncState.revision = std::max(this->revision(), answer->revision);
    this->gateway.recordConfirmation(answer->revision, this->gateway.clock.now());
    this->recordChanges(answer->objects, answer->revision);
    if (!answer->objects.empty()) {
        this->handlers.onChanges(std::move(answer->objects), this->retainMissingUntil);
        this->changedAt = this->gateway.clock.now();
        this->scheduleStep(this->policy.coalesceDelay, &StoreFollower::endGathering);
        return;
    }
    this->watch();
}

void StoreFollower::endGathering()
{
    const Duration sinceChange = this->gateway.clock.now() - this->changedAt.value_or(TimePoint{});
    const bool isStandby = this->handlers.isStandby && this->handlers.isStandby();
    if (!isWatchDue(this->policy, sinceChange, isStandby)) {
        // Checks again soon, as the first watcher may fail in the meantime.
        this->scheduleStep(this->policy.coalesceDelay, &StoreFollower::endGathering);
        return;
    }
    this->watch();
}

void StoreFollower::recordChanges(const std::vector<StoreObject> &items, std::uint64_t revision)
{
    // A removed object does not carry the revision of its last change.
    constexpr std::uint64_t firstRevision = 1;
    this->lastChange = std::max(this->lastChange, firstRevision);
    for (const StoreObject &item : items) {
        this->lastChange = std::max(this->lastChange, item.deleted ? revision : item.revision);
    }
}

void StoreFollower::onSuccess()
{
    this->throttled = false;
    this->syncState.callStartedAt.reset();
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
        this->responseTimeout.recordTimeout();
    }
    this->throttled = status == statusTooMany;
    if (this->stopped) {
        return;
    }
    if (this->failures == 1 && this->revision() != 0 && status == 0) {
        // A waiting watch may be closed at any time, which alone is no outage. But the store also
        // closes watches when it drops its history, and a new watch from the old revision may then
        // report nothing for seconds: a revoked key was still accepted. A list cannot miss the
        // change.
        logEvent(Event::WatchCut, {{"kind", std::string(nameOf(this->kind))},
                                   {"revision", std::to_string(this->revision())},
                                   {"waited_ms", std::to_string(this->callAge().count())},
                                   {"age_ms", std::to_string(this->confirmationAge().count())}});
        this->list();
        return;
    }
    if (this->failures <= 2) {
        logEvent(Event::PlatformUnreachable,
                 {{"kind", std::string(nameOf(this->kind))},
                  {"status", std::to_string(status)},
                  {"waited_ms", std::to_string(this->callAge().count())},
                  {"age_ms", std::to_string(this->confirmationAge().count())},
                  {"revision", std::to_string(this->revision())}});
    }
    // Set before the first list, too: another router may have reported upstreams whose entries
    // lapsed during the outage.
    this->hadOutage = true;
    const std::uint64_t seed = hashOf(this->gateway.settings.id, this->failures);
    this->scheduleStep(retryBackoff(this->failures, seed), &StoreFollower::list);
}

} // namespace plantainswitch::gateway
