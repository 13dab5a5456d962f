#include "storefollower.h"

#include <algorithm>
#include <utility>

#include "plantainswitch/base/hash.h"
#include "plantainswitch/observe/event.h"

namespace plantainswitch::gateway {

namespace {

/// How long the store is asked to hold a watch. Each renewed watch is a priced call; a connection
/// that went silent is found sooner, by its keep-alive probes.
constexpr Milliseconds watchWait{20'000};
/// Pause before the next watch after changes came: each watch is a priced call, and changes often
/// come in rows, such as when upstreams are replaced one after the other. An eighth of the time
/// within which an edit or a leaving must be in force; at 100 ms a day of many changes took a third
/// more calls.
constexpr Milliseconds gatherPause{250};
/// How much later than asked a watch may end.
constexpr Milliseconds watchSlack{3000};
/// Time for a plain call, some hundred times the store's usual answer.
constexpr Milliseconds listLimit{2500};
/// First pause after a failure, doubled up to longestPause: routers that all lost the store must
/// not ask in step, and an edit must be in force within two seconds of the store's return.
constexpr Milliseconds shortestPause{250};
constexpr Milliseconds longestPause{1000};
constexpr std::uint32_t mostDoublings = 2;
/// How long the pages of one list may take. Below the history that a store keeps, by which what
/// changed since the first page is found.
constexpr Milliseconds longestListing{5000};
constexpr int statusOk = 200;
constexpr int statusGone = 410;
constexpr int statusTooMany = 429;

} // namespace

StoreFollower::StoreFollower(GatewayState &gateway, StoreKind kind, FollowerEvents events)
    : gateway(gateway)
    , kind(kind)
    , events(std::move(events))
    , client(gateway)
    , timer(gateway.context)
{}

void StoreFollower::start()
{
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
    this->timer.cancel();
    this->client.abandon();
}

void StoreFollower::resume()
{
    if (this->watching) {
        return;
    }
    if (!this->paused && this->revision != 0 && !this->client.isBusy()) {
        // Listed a moment ago: what changed since then is told to the watch.
        this->watching = true;
        this->watch();
        return;
    }
    this->paused = false;
    this->watching = true;
    this->failures = 0;
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
    this->gateway.followed[this->kind].waitingSince = this->gateway.clock.now();
    this->client.call(this->gateway.settings.store, "GET", target, {}, limits,
                      [this, done](const PlainReply &reply) { (this->*done)(reply); });
}

Milliseconds StoreFollower::waited() const
{
    const auto &since = this->gateway.followed[this->kind].waitingSince;
    const Duration span = since ? this->gateway.clock.now() - *since : Duration{0};
    return std::chrono::duration_cast<Milliseconds>(span);
}

Milliseconds StoreFollower::confirmedAge() const
{
    const Duration span =
        this->gateway.clock.now() - this->gateway.followed[this->kind].confirmedAt;
    return std::chrono::duration_cast<Milliseconds>(span);
}

void StoreFollower::list()
{
    if (this->gateway.clock.now() - this->listingBegan > longestListing) {
        this->listing.clear();
    }
    const std::string after = this->listing.empty() ? std::string() : this->listing.back().name;
    this->call(this->gateway.dialect.listTarget(this->kind, after), {listLimit},
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
    // Changes made while the pages came are found by watching from the first page's revision. Until
    // now nothing was heard: other routers would take this one for informed, and ask it in vain.
    this->revision = this->listingRevision;
    logEvent(Event::ObjectsListed, {{"kind", std::string(nameOf(this->kind))},
                                    {"revision", std::to_string(this->revision)},
                                    {"objects", std::to_string(this->listing.size())},
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
    this->call(this->gateway.dialect.watchTarget(this->kind, this->revision, watchWait),
               {watchWait + watchSlack}, &StoreFollower::onWatched);
}

void StoreFollower::onWatched(const PlainReply &reply)
{
    if (this->stopped) {
        return;
    }
    if (reply.status == statusGone) {
        this->onAnswered();
        logEvent(Event::HistoryLost, {{"kind", std::string(nameOf(this->kind))},
                                      {"revision", std::to_string(this->revision)}});
        this->list();
        return;
    }
    auto answer =
        reply.status == statusOk ? this->gateway.dialect.readChanges(reply.body) : std::nullopt;
    if (!answer) {
        this->onFailure(reply.status);
        return;
    }
    this->onAnswered();
    this->revision = std::max(this->revision, answer->revision);
    if (!answer->items.empty()) {
        this->events.onChanges(std::move(answer->items), this->keepUntil);
        this->later(gatherPause, &StoreFollower::watch);
        return;
    }
    this->watch();
}

void StoreFollower::onAnswered()
{
    this->refusedAsBusy = false;
    this->gateway.followed[this->kind] = {this->gateway.clock.now(), std::nullopt};
    if (this->failures > 1) {
        logEvent(Event::PlatformBack, {{"kind", std::string(nameOf(this->kind))},
                                       {"failures", std::to_string(this->failures)}});
    }
    this->failures = 0;
}

void StoreFollower::onFailure(int status)
{
    this->failures += 1;
    this->refusedAsBusy = status == statusTooMany;
    if (this->stopped) {
        return;
    }
    if (this->failures == 1 && this->revision != 0 && status == 0) {
        // A waiting watch may be cut off at any time: this alone is no outage. But the store cuts
        // watches also when it drops its history, and a new watch from the old revision may then
        // hear nothing for seconds, seen as a revoked key that still opens. A list can't miss it.
        logEvent(Event::WatchCut, {{"kind", std::string(nameOf(this->kind))},
                                   {"revision", std::to_string(this->revision)},
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
                  {"revision", std::to_string(this->revision)}});
    }
    // Also before the first list: another router may have told of upstreams meanwhile, whose
    // entries lapsed in the outage.
    this->wasOut = true;
    const std::uint32_t doublings = std::min(this->failures - 1, mostDoublings);
    const Milliseconds pause =
        std::min<Milliseconds>(shortestPause * (1 << doublings), longestPause);
    // Between a half and the whole of it: routers that were refused together ask apart.
    const std::uint64_t step = hashOf(this->gateway.settings.id, this->failures);
    const auto spread = static_cast<std::int64_t>(step % static_cast<std::uint64_t>(pause.count()));
    this->later((pause + Milliseconds{spread}) / 2, &StoreFollower::list);
}

} // namespace plantainswitch::gateway
