#include "gateway.h"

#include <algorithm>
#include <set>

#include "plantainswitch/membership/watchers.h"
#include "plantainswitch/observe/event.h"

#include "storeview.h"

namespace plantainswitch::gateway {

namespace {

/// After its start a router lists once, and collects updates for so long before it chooses whether
/// to watch, well below the bound on an edit's delay.
constexpr Milliseconds discoverySpan{800};
/// Time for another router to answer: a configuration of some hundred kilobytes over a thin link
/// that three others share.
constexpr Milliseconds catchUpLimit{2500};
/// Silence after which another router is asked: one that a cut has just taken away is still taken
/// for a member. Some ten times the longest turn of a loop on a small machine; several such routers
/// in a row still leave an upstream's leaving in force within its two seconds.
constexpr Milliseconds catchUpSilence{400};
/// How long others may know more than this router's own watches have shown: longer than changes
/// take to spread, and short enough for an edit to be in force within two seconds.
constexpr Milliseconds behindSpan{700};
/// Time in which the routers of this data centre answer one that joins. Until then it serves by a
/// stale list rather than fetch the view from another data centre.
constexpr Milliseconds joiningSpan{300};
/// Time for the store to take this router's entry.
constexpr Milliseconds announceLimit{2500};

} // namespace

void Gateway::takeRouting(const std::vector<StoreItem> &items)
{
    for (const StoreItem &item : items) {
        std::string fault;
        auto config =
            item.deleted ? std::nullopt : this->state.dialect.readRouting(item.document, fault);
        if (!config) {
            logEvent(Event::EntryInvalid, {{"kind", "routing"},
                                           {"name", item.name},
                                           {"why", item.deleted ? "deleted" : fault}});
            continue;
        }
        const std::uint64_t known = this->state.table ? this->state.table->config().version : 0;
        if (this->state.table && config->version <= known) {
            continue;
        }
        logEvent(Event::RoutingTaken, {{"version", std::to_string(config->version)},
                                       {"before", std::to_string(known)},
                                       {"routes", std::to_string(config->routes.size())},
                                       {"workspaces", std::to_string(config->workspaces.size())}});
        this->state.table = std::make_shared<const RoutingTable>(std::move(*config));
        this->state.view.routing = item.document;
        this->state.routingTakenAt = this->state.clock.now();
        this->fleet.scheduleBroadcast();
    }
    this->watchReadiness();
}

void Gateway::takeReplicaList(const std::vector<StoreItem> &items, TimePoint keepUntil)
{
    if (isOutdated(this->state.view, this->replicas.position())) {
        // Other routers have sent more meanwhile; what follows the list is watched, or sent too.
        return;
    }
    this->takeReplicas(items, EntryScope::All, keepUntil);
}

void Gateway::takeReplicas(const std::vector<StoreItem> &items, EntryScope scope,
                           TimePoint keepUntil)
{
    const bool isList = scope == EntryScope::All;
    const TimePoint now = this->state.clock.now();
    std::vector<Replica> listed;
    std::vector<ReplicaEvent> events;
    const auto keep = [&events](std::vector<ReplicaEvent> more) {
        std::move(more.begin(), more.end(), std::back_inserter(events));
    };
    const std::uint64_t revision = std::max(this->state.view.revision, this->replicas.position());
    std::set<std::string> removed;
    for (const StoreItem &item : items) {
        if (item.deleted) {
            removed.insert(item.name);
            continue;
        }
        removed.erase(item.name);
        noteReplica(this->state.view, item.name, item.document, revision);
        std::string fault;
        auto replica = this->state.dialect.readReplica(item, fault);
        if (!replica) {
            logEvent(Event::EntryInvalid,
                     {{"kind", "upstream"}, {"name", item.name}, {"why", fault}});
            removed.insert(item.name);
            continue;
        }
        if (isList) {
            listed.push_back(std::move(*replica));
        } else {
            keep(this->state.directory.takeEntry(std::move(*replica)));
        }
    }
    if (isList) {
        keep(this->state.directory.takeList(std::move(listed), keepUntil, now));
        this->state.directoryKnown = true;
    } else {
        keep(this->state.directory.takeRemovals({removed.begin(), removed.end()}, keepUntil, now));
    }
    this->applyReplicas(events);
    noteKnown(this->state.view, this->replicas.newestChange(), this->state.directory);
    this->watchReadiness();
    if (this->replicas.isWatching()) {
        this->trackStore();
        this->fleet.scheduleBroadcast();
    }
}

void Gateway::applyReplicas(const std::vector<ReplicaEvent> &events)
{
    for (const ReplicaEvent &event : events) {
        const auto known = this->state.upstreams.share(event.replica.id);
        // An entry that is gone may have lapsed; one with another start says that it went down.
        if (known && event.change == ReplicaChange::Reborn) {
            this->state.noteDown(known->replica);
        }
    }
    this->state.upstreams.take(events);
    this->state.peersChanged = true;
    for (const ReplicaEvent &event : events) {
        if (event.change == ReplicaChange::Gone) {
            noteGone(this->state.view, event.replica.id, this->replicas.position());
            this->replicas.noteRemoval();
        }
    }
    for (const ReplicaEvent &event : events) {
        logEvent(Event::ReplicaChanged, {{"upstream", event.replica.id},
                                         {"change", std::string(nameOf(event.change))},
                                         {"service", event.replica.service},
                                         {"address", toText(event.replica.endpoint)},
                                         {"place", event.replica.place},
                                         {"born", std::to_string(event.replica.born)},
                                         {"slots", std::to_string(event.replica.slots)}});
    }
}

void Gateway::announce()
{
    if (this->announced) {
        return;
    }
    this->announced = true;
    // A fleet is found by its seeds. Where all of them are gone, a newcomer finds those that watch
    // the store by their entries there; a failed write is made up for by the other watchers.
    const RouterEntry own{this->state.settings.id, this->state.settings.peerDatagrams};
    this->state.metrics.count(Counter::PlatformCalls);
    this->announcer.call(
        this->state.settings.store, "POST",
        this->state.dialect.listTarget(StoreKind::Routers, {}, ReadConsistency::Linearizable),
        this->state.dialect.writeRouter(own), {announceLimit}, [this](const PlainReply &reply) {
            logEvent(Event::Announced, {{"status", std::to_string(reply.status)}});
            if (this->state.peers.routers() == 0) {
                this->findRouters();
            }
        });
}

void Gateway::findRouters()
{
    this->state.metrics.count(Counter::PlatformCalls);
    this->announcer.call(
        this->state.settings.store, "GET",
        this->state.dialect.listTarget(StoreKind::Routers, {}, ReadConsistency::Linearizable), {},
        {announceLimit}, [this](const PlainReply &listed) {
            const auto answer = this->state.dialect.readList(listed.body);
            logEvent(Event::ObjectsListed,
                     {{"kind", "routers"},
                      {"objects", std::to_string(answer ? answer->items.size() : 0)},
                      {"status", std::to_string(listed.status)}});
            if (!answer) {
                return;
            }
            for (const StoreItem &item : answer->items) {
                if (const auto entry = this->state.dialect.readRouter(item)) {
                    this->fleet.addRouter(entry->datagrams);
                }
            }
        });
}

void Gateway::trackStore()
{
    StoreView &view = this->state.view;
    view.connected = this->replicas.isWatching() && this->routing.isConnected()
                     && this->replicas.isConnected() && this->state.directoryKnown;
    if (view.connected) {
        noteKnown(view, this->replicas.newestChange(), this->state.directory);
    }
}

void Gateway::decideWatching()
{
    const TimePoint now = this->state.clock.now();
    if (now - this->startedAt < discoverySpan) {
        return;
    }
    const bool isChosen = this->fleet.watchRank().has_value();
    if (this->state.peers.routers() == 0 || isChosen) {
        this->announce();
    }
    if (this->fleet.isWatcherAlive()) {
        this->watcherLastSeen = now;
    }
    WatchSituation situation;
    situation.isChosen = isChosen;
    situation.unserved = now - std::max(this->watcherLastSeen, this->startedAt);
    situation.sinceStart = now - this->startedAt;
    situation.knowsOthers = this->state.peers.routers() > 0;
    situation.knowsUpstreams = this->state.directoryKnown;
    situation.isPlatformBusy = this->replicas.isRefusedAsBusy();
    const bool watches = shouldWatch(situation);
    if (watches ? this->replicas.isWatching() : this->replicas.isPaused()) {
        return;
    }
    logEvent(watches ? Event::WatchBegun : Event::WatchEnded,
             {{"revision", std::to_string(this->state.view.revision)},
              {"chosen", situation.isChosen ? "yes" : "no"}});
    if (watches) {
        this->routing.resume();
        this->replicas.resume();
    } else {
        this->routing.pause();
        this->replicas.pause();
    }
}

void Gateway::checkFreshness(TimePoint now)
{
    this->checkBehind(now);
    this->routing.checkConfirmed(this->fleet.confirmedAt(StoreKind::Routing));
    this->replicas.checkConfirmed(this->fleet.confirmedAt(StoreKind::Replicas));
}

void Gateway::checkBehind(TimePoint now)
{
    const bool isPausing = this->routing.isPausing() || this->replicas.isPausing();
    const bool isBehind = this->state.view.connected && !isPausing
                          && !this->state.directory.hasMissing() && this->fleet.newerRouter();
    if (!isBehind) {
        this->behindSince.reset();
        return;
    }
    if (now - this->behindSince.value_or(now) < behindSpan) {
        this->behindSince = this->behindSince.value_or(now);
        return;
    }
    logEvent(Event::WatchDeaf, {{"revision", std::to_string(this->state.view.revision)}});
    this->behindSince.reset();
    this->routing.listAnew();
    this->replicas.listAnew();
    this->trackStore();
}

void Gateway::catchUp()
{
    if (this->state.view.connected || this->catchUpClient.isBusy()) {
        return;
    }
    const auto router = this->fleet.newerRouter();
    if (!router) {
        return;
    }
    const bool isJoining = this->state.view.revision == 0 && this->state.directoryKnown;
    if (isJoining && this->state.clock.now() - this->startedAt < joiningSpan) {
        return;
    }
    const ViewQuestion question{this->state.view.revision,
                                this->state.table ? this->state.table->config().version : 0};
    this->catchUpClient.call(*router, "GET", targetOf(question), {}, {catchUpLimit, catchUpSilence},
                             [this, from = *router, question](const PlainReply &reply) {
                                 this->takeCatchUp(from, question, reply);
                             });
}

void Gateway::takeCatchUp(const Endpoint &from, const ViewQuestion &question,
                          const PlainReply &reply)
{
    constexpr int ok = 200;
    const auto view = reply.status == ok ? readStoreView(reply.body) : std::nullopt;
    logEvent(Event::CaughtUp, {{"from", toText(from)},
                               {"outcome", view ? "taken" : "failed"},
                               {"before", std::to_string(this->state.view.revision)},
                               {"revision", std::to_string(view ? view->revision : 0)},
                               {"replicas", std::to_string(view ? view->replicas.size() : 0)}});
    if (!view || this->state.view.connected) {
        return;
    }
    if (!view->routing.empty()) {
        this->takeRouting({{"", false, view->routing}});
    }
    if (view->revision == 0 || isOutdated(this->state.view, view->revision)) {
        this->watchReadiness();
        return;
    }
    std::vector<StoreItem> items;
    for (const auto &[name, replica] : view->replicas) {
        items.push_back({name, replica.gone, replica.document});
    }
    this->state.view.revision = std::max(this->state.view.revision, view->revision);
    // What a stale list had may be gone since: the view that replaces it is whole.
    const EntryScope scope = question.revision == 0 ? EntryScope::All : EntryScope::Changes;
    this->takeReplicas(items, scope, {});
    this->state.directoryKnown = true;
    this->watchReadiness();
}

} // namespace plantainswitch::gateway
