#include "gateway.h"

#include <algorithm>
#include <set>

#include "plantainswitch/membership/watchers.h"
#include "plantainswitch/observe/event.h"

#include "storeview.h"

namespace plantainswitch::gateway {

namespace {

/// After its start a router lists once and collects updates for this time before it decides whether
/// to watch the store. Well below the bound on the delay of a configuration change.
constexpr Milliseconds discoveryTime{800};
/// Timeout for the store view of another router: a configuration of some hundred kilobytes over a
/// slow link that is shared by three others.
constexpr Milliseconds storeViewTimeout{2500};
/// Time without a byte after which another router is asked: one behind a new partition still counts
/// as alive. About ten times the longest turn of an event loop on a small VM. After several such
/// routers in a row, an upstream's draining is still applied within its two seconds.
constexpr Milliseconds storeViewIdleTimeout{400};
/// How long other routers may know more than this router's own watches have reported. Longer than
/// changes take to spread, and short enough to apply a configuration change within two seconds.
constexpr Milliseconds maxLag{700};
/// How long a joining router waits for replies from its own data centre. Until then it uses a stale
/// list, rather than fetch the view from another data centre.
constexpr Milliseconds joinDelay{300};
/// Time after a failed fetch of the configuration until another router is asked: those that have it
/// send it to few at a time.
constexpr Milliseconds configFetchPause{100};
/// Timeout for registering this router in the store.
constexpr Milliseconds registrationTimeout{2500};

/// \returns the time without a byte after which a fetch of the configuration is given up. It grows
/// with each failure: over a congested link the first byte takes longer, from whichever router.
Milliseconds configIdleTimeout(std::uint32_t failures)
{
    constexpr std::uint32_t maxDoublings = 2;
    return storeViewIdleTimeout * (1 << std::min(failures, maxDoublings));
}

} // namespace

void Gateway::applyRouting(const std::vector<StoreObject> &items)
{
    for (const StoreObject &item : items) {
        std::string fault;
        auto config =
            item.deleted ? std::nullopt : this->state.dialect.parseRouting(item.document, fault);
        if (!config) {
            logEvent(Event::EntryInvalid, {{"kind", "routing"},
                                           {"name", item.name},
                                           {"why", item.deleted ? "deleted" : fault}});
            continue;
        }
        const std::uint64_t known =
            this->state.routingTable ? this->state.routingTable->config().version : 0;
        if (this->state.routingTable && config->version <= known) {
            continue;
        }
        logEvent(Event::RoutingTaken, {{"version", std::to_string(config->version)},
                                       {"before", std::to_string(known)},
                                       {"routes", std::to_string(config->routes.size())},
                                       {"workspaces", std::to_string(config->workspaces.size())}});
        this->state.routingTable = std::make_shared<const RoutingTable>(std::move(*config));
        this->state.storeView.routingDocument = item.document;
        this->state.routingAppliedAt = this->state.clock.now();
        this->fleet.scheduleBroadcast();
    }
    this->updateReadiness();
}

void Gateway::applyReplicaList(const std::vector<StoreObject> &items, TimePoint keepUntil)
{
    if (isStale(this->state.storeView, this->replicaFollower.revision())) {
        // Other routers have sent a newer state since the call. Later changes come from the watch
        // or from other routers.
        return;
    }
    this->applyReplicaObjects(items, UpdateScope::Snapshot, keepUntil);
}

void Gateway::applyReplicaObjects(const std::vector<StoreObject> &items, UpdateScope scope,
                                  TimePoint keepUntil)
{
    const bool isList = scope == UpdateScope::Snapshot;
    const TimePoint now = this->state.clock.now();
    this->recordReplicasConfirmed(now);
    if (isList) {
        // Versions that joined and left since the last update are not in the list.
        this->state.serviceVersions.restart(now);
    }
    std::vector<Replica> listed;
    std::vector<ReplicaEvent> events;
    const auto appendEvents = [&events](std::vector<ReplicaEvent> more) {
        std::move(more.begin(), more.end(), std::back_inserter(events));
    };
    const std::uint64_t revision =
        std::max(this->state.storeView.revision, this->replicaFollower.revision());
    std::set<std::string> removed;
    for (const StoreObject &item : items) {
        if (item.deleted) {
            removed.insert(item.name);
            continue;
        }
        removed.erase(item.name);
        recordReplica(this->state.storeView, item.name, item.document, revision);
        std::string fault;
        auto replica = this->state.dialect.parseReplica(item, fault);
        if (!replica) {
            logEvent(Event::EntryInvalid,
                     {{"kind", "upstream"}, {"name", item.name}, {"why", fault}});
            removed.insert(item.name);
            continue;
        }
        if (isList) {
            listed.push_back(std::move(*replica));
        } else {
            appendEvents(this->state.replicaDirectory.applyEntry(std::move(*replica)));
        }
    }
    if (isList) {
        appendEvents(this->state.replicaDirectory.applyList(std::move(listed), keepUntil, now));
        this->state.isDirectoryLoaded = true;
    } else {
        appendEvents(this->state.replicaDirectory.applyRemovals({removed.begin(), removed.end()},
                                                                keepUntil, now));
    }
    this->applyReplicaEvents(events);
    advanceRevision(this->state.storeView, this->replicaFollower.latestChange(),
                    this->state.replicaDirectory);
    this->updateReadiness();
    if (this->replicaFollower.isWatching()) {
        this->updateStoreConnection();
        this->fleet.scheduleBroadcast();
    }
    this->updateVersionRecords();
}

void Gateway::applyReplicaEvents(const std::vector<ReplicaEvent> &events)
{
    for (const ReplicaEvent &event : events) {
        const auto known = this->state.upstreams.find(event.replica.id);
        // A removed entry may merely have lapsed, but one with a new start time proves that the
        // upstream went down.
        if (known && event.change == ReplicaChange::Restarted) {
            this->state.recordUpstreamDown(known->replica);
        }
    }
    this->state.upstreams.apply(events);
    if (!events.empty()) {
        this->state.serviceVersions.update(this->state.replicaDirectory.all(),
                                           this->state.clock.now());
    }
    this->state.recordColdTimes(events);
    this->state.peerLoadsChanged = true;
    for (const ReplicaEvent &event : events) {
        if (event.change == ReplicaChange::Removed) {
            recordRemoval(this->state.storeView, event.replica.id,
                          this->replicaFollower.revision());
            this->replicaFollower.recordRemoval();
        }
    }
    for (const ReplicaEvent &event : events) {
        logEvent(Event::ReplicaChanged,
                 {{"upstream", event.replica.id},
                  {"change", std::string(nameOf(event.change))},
                  {"service", event.replica.service},
                  {"address", toText(event.replica.endpoint)},
                  {"place", event.replica.dataCentre},
                  {"version", event.replica.version},
                  {"born", std::to_string(event.replica.startTime)},
                  {"slots", std::to_string(event.replica.maxConcurrency)},
                  {"cold_ms", std::to_string(event.replica.coldFor.count())}});
    }
}

void Gateway::registerRouter()
{
    if (this->isRegistered) {
        return;
    }
    this->isRegistered = true;
    // Routers find the fleet through their seeds. If no seed is up, a new router finds those that
    // watch the store by their entries there. A failed registration is not repeated, as the other
    // watchers are registered, too.
    const RouterEntry own{this->state.settings.id, this->state.settings.peerDatagrams};
    this->state.metrics.count(Counter::PlatformCalls);
    this->registrationClient.call(
        this->state.settings.store, "POST",
        this->state.dialect.listTarget(StoreObjectKind::Routers, {}, ReadConsistency::Linearizable),
        this->state.dialect.serializeRouterEntry(own), {registrationTimeout},
        [this](const CallReply &reply) {
            logEvent(Event::Announced, {{"status", std::to_string(reply.status)}});
            if (this->state.peerLoads.routerCount() == 0) {
                this->discoverRouters();
            }
        });
}

void Gateway::discoverRouters()
{
    this->state.metrics.count(Counter::PlatformCalls);
    this->registrationClient.call(
        this->state.settings.store, "GET",
        this->state.dialect.listTarget(StoreObjectKind::Routers, {}, ReadConsistency::Linearizable),
        {}, {registrationTimeout}, [this](const CallReply &listed) {
            const auto answer = this->state.dialect.parseList(listed.body);
            logEvent(Event::ObjectsListed,
                     {{"kind", "routers"},
                      {"objects", std::to_string(answer ? answer->objects.size() : 0)},
                      {"status", std::to_string(listed.status)}});
            if (!answer) {
                return;
            }
            for (const StoreObject &item : answer->objects) {
                if (const auto entry = this->state.dialect.parseRouterEntry(item)) {
                    this->fleet.addRouter(entry->datagrams);
                }
            }
        });
}

void Gateway::updateStoreConnection()
{
    StoreView &view = this->state.storeView;
    view.connected = this->replicaFollower.isWatching() && this->routingFollower.isConnected()
                     && this->replicaFollower.isConnected() && this->state.isDirectoryLoaded;
    if (view.connected) {
        advanceRevision(view, this->replicaFollower.latestChange(), this->state.replicaDirectory);
    }
}

void Gateway::updateVersionRecords()
{
    this->versionRecorder.update(this->state.storeView.connected
                                 && this->fleet.confirmerRank() == 0);
}

void Gateway::updateWatchRole()
{
    const TimePoint now = this->state.clock.now();
    if (now - this->startedAt < discoveryTime) {
        return;
    }
    const bool isChosen = this->fleet.watchRank().has_value();
    if (this->state.peerLoads.routerCount() == 0 || isChosen) {
        this->registerRouter();
    }
    if (this->fleet.isWatcherAlive()) {
        this->watcherLastSeen = now;
    }
    WatchConditions situation;
    situation.isChosenWatcher = isChosen;
    situation.sinceServedRouter = now - std::max(this->watcherLastSeen, this->startedAt);
    situation.sinceStart = now - this->startedAt;
    situation.knowsOthers = this->state.peerLoads.routerCount() > 0;
    situation.knowsUpstreams = this->state.isDirectoryLoaded;
    situation.isPlatformBusy = this->replicaFollower.isThrottled();
    const bool watches = shouldWatch(situation);
    if (watches ? this->replicaFollower.isWatching() : this->replicaFollower.isPaused()) {
        return;
    }
    logEvent(watches ? Event::WatchBegun : Event::WatchEnded,
             {{"revision", std::to_string(this->state.storeView.revision)},
              {"chosen", situation.isChosenWatcher ? "yes" : "no"}});
    if (watches) {
        this->routingFollower.resume();
        this->replicaFollower.resume();
        if (this->state.settings.followsEvacuations) {
            this->evacuationFollower.resume();
        }
    } else {
        this->routingFollower.pause();
        this->replicaFollower.pause();
        this->evacuationFollower.pause();
    }
}

void Gateway::recordReplicasConfirmed(TimePoint at)
{
    // Upstreams that joined and left while the list was not confirmed may have been missed.
    const Milliseconds longest =
        this->state.settings.maxCatchUpTime + this->state.settings.maxDrainTime;
    if (!this->replicasConfirmedAt || at - *this->replicasConfirmedAt > longest) {
        this->state.serviceVersions.restart(at);
    }
    this->replicasConfirmedAt = std::max(at, this->replicasConfirmedAt.value_or(at));
}

void Gateway::checkFreshness(TimePoint now)
{
    this->checkLag(now);
    this->routingFollower.checkConfirmation(this->fleet.confirmedAt(StoreObjectKind::Routing));
    this->replicaFollower.checkConfirmation(this->fleet.confirmedAt(StoreObjectKind::Replicas));
    this->evacuationFollower.checkConfirmation(
        this->fleet.confirmedAt(StoreObjectKind::Evacuations));
    if (this->replicasConfirmedAt) {
        this->recordReplicasConfirmed(
            this->state.syncStates.at(StoreObjectKind::Replicas).fleetConfirmedAt);
    }
}

void Gateway::checkLag(TimePoint now)
{
    const bool isGathering =
        this->routingFollower.isGatheringChanges() || this->replicaFollower.isGatheringChanges();
    const bool isLagging =
        this->state.storeView.connected && !isGathering
        && !this->state.replicaDirectory.hasMissing()
        && (this->fleet.routerWithNewerUpstreams() || this->fleet.routerWithNewerConfig());
    if (!isLagging) {
        this->laggingSince.reset();
        return;
    }
    if (now - this->laggingSince.value_or(now) < maxLag) {
        this->laggingSince = this->laggingSince.value_or(now);
        return;
    }
    logEvent(Event::WatchDeaf, {{"revision", std::to_string(this->state.storeView.revision)}});
    this->laggingSince.reset();
    this->routingFollower.relist();
    this->replicaFollower.relist();
    this->updateStoreConnection();
}

void Gateway::fetchStoreView()
{
    if (this->state.storeView.connected) {
        return;
    }
    const bool isJoining = this->state.storeView.revision == 0 && this->state.isDirectoryLoaded;
    if (isJoining && this->state.clock.now() - this->startedAt < joinDelay) {
        return;
    }
    // Changes of upstreams are small and urgent; they must not wait behind a large configuration.
    if (!this->upstreamFetch.client.isBusy()) {
        if (const auto router = this->fleet.routerWithNewerUpstreams()) {
            this->callStoreView(this->upstreamFetch, *router,
                                {this->state.storeView.revision, notRequested},
                                storeViewIdleTimeout);
        }
    }
    if (!this->configFetch.client.isBusy()
        && this->state.clock.now() >= this->configFetch.pausedUntil) {
        if (const auto router = this->fleet.routerWithNewerConfig()) {
            const std::uint64_t version =
                this->state.routingTable ? this->state.routingTable->config().version : 0;
            this->callStoreView(this->configFetch, *router, {notRequested, version},
                                configIdleTimeout(this->configFetch.failures));
        }
    }
}

void Gateway::callStoreView(StoreViewFetch &fetch, const Endpoint &router,
                            const StoreViewQuery &query, Milliseconds idleTimeout)
{
    fetch.client.call(router, "GET", storeViewTarget(query), {}, {storeViewTimeout, idleTimeout},
                      [this, &fetch, router, query](const CallReply &reply) {
                          constexpr int ok = 200;
                          const bool isFetched = reply.status == ok;
                          fetch.failures = isFetched ? 0 : fetch.failures + 1;
                          fetch.pausedUntil = this->state.clock.now()
                                              + (isFetched ? Milliseconds{0} : configFetchPause);
                          this->applyStoreView(router, query, reply);
                      });
}

void Gateway::applyStoreView(const Endpoint &from, const StoreViewQuery &query,
                             const CallReply &reply)
{
    constexpr int ok = 200;
    const auto view = reply.status == ok ? parseStoreView(reply.body) : std::nullopt;
    logEvent(Event::CaughtUp, {{"from", toText(from)},
                               {"outcome", view ? "taken" : "failed"},
                               {"waited_ms", std::to_string(reply.elapsed.count())},
                               {"part", query.revision == notRequested ? "config" : "upstreams"},
                               {"before", std::to_string(this->state.storeView.revision)},
                               {"revision", std::to_string(view ? view->revision : 0)},
                               {"replicas", std::to_string(view ? view->replicas.size() : 0)}});
    if (!view || this->state.storeView.connected) {
        return;
    }
    if (!view->routingDocument.empty()) {
        this->applyRouting({{"", false, view->routingDocument}});
    }
    const bool hasUpstreams = query.revision != notRequested && view->revision > 0;
    if (!hasUpstreams || isStale(this->state.storeView, view->revision)) {
        this->updateReadiness();
        return;
    }
    std::vector<StoreObject> items;
    for (const auto &[name, replica] : view->replicas) {
        items.push_back({name, replica.removed, replica.document});
    }
    this->state.storeView.revision = std::max(this->state.storeView.revision, view->revision);
    // Upstreams of a stale list may have been removed since. The view that replaces it is complete.
    const UpdateScope scope =
        query.revision == 0 ? UpdateScope::Snapshot : UpdateScope::Incremental;
    this->applyReplicaObjects(items, scope, {});
    this->state.isDirectoryLoaded = true;
    this->updateReadiness();
}

} // namespace plantainswitch::gateway
