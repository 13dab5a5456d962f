#include "gateway.h"

#include "storeview.h"

#include <algorithm>
#include <csignal>
#include <utility>

#include <asio/post.hpp>

#include "plantainswitch/observe/event.h"

namespace plantainswitch::gateway {

namespace {

/// Pause between looks at limits, stale connections, readiness and the end of a stop.
constexpr Milliseconds tickPause{250};
/// After a stop began, callers still come for so long: the balancer asks each second and takes a
/// router out after two misses.
constexpr Milliseconds stopLinger{2600};
/// Before the forced end of a stop, what still runs is cut by this process, so that its callers
/// hear of it.
constexpr Milliseconds stopReserve{400};
/// After its start a router lists once, and hears the others for so long before it chooses whether
/// to watch: some of their first news, well below the bound on an edit's delay.
constexpr Milliseconds hearingSpan{800};
/// How long no router that the store answers may have been heard before this one watches itself.
/// With it an edit is in force within the promised two seconds also when all watchers die at once.
constexpr Milliseconds watcherPatience{1200};
/// Time for another router to answer, some hundred round trips.
constexpr Milliseconds catchUpLimit{1000};
/// Time for the store to take this router's entry.
constexpr Milliseconds announceLimit{2500};
constexpr int listenQueue = 1024;
constexpr std::size_t pageHeadBytes = 8192;

} // namespace

void GatewayState::refreshPeerLoads()
{
    if (!this->peersChanged) {
        return;
    }
    this->peersChanged = false;
    for (const auto &[id, upstream] : this->upstreams.all()) {
        const PeerLoads::Sum sum = this->peers.at(lifeOf(upstream->replica));
        upstream->peersRunning = sum.running;
        upstream->peersUnread = sum.unread;
    }
}

Gateway::Gateway(const Clock &clock, const Dialect &dialect, GatewaySettings settings,
                 SettingsLoader loader)
    : context(1)
    , state(this->context, clock, dialect, std::move(settings))
    , loader(std::move(loader))
    , log(this->context)
    , callerAcceptor(this->context)
    , readinessAcceptor(this->context)
    , controlAcceptor(this->context)
    , signals(this->context)
    , timer(this->context)
    , fleet(this->state, static_cast<std::uint64_t>(
                             std::chrono::system_clock::now().time_since_epoch().count()),
            [this] { this->catchUp(); })
    , routing(this->state, StoreKind::Routing,
              {[this](const std::vector<StoreItem> &items, bool) { this->takeRouting(items); },
               [this](const std::vector<StoreItem> &items, bool) { this->takeRouting(items); }})
    , replicas(this->state, StoreKind::Replicas,
               {[this](const std::vector<StoreItem> &items, bool afterOutage) {
                    this->takeReplicas(items, true, afterOutage);
                },
                [this](const std::vector<StoreItem> &items, bool afterOutage) {
                    this->takeReplicas(items, false, afterOutage);
                }})
    , announcer(this->state)
    , catchUpClient(this->state)
    , peerAcceptor(this->context)
{
    this->state.fleet = &this->fleet;
    startLogging(this->state.settings.logFormat, this->state.settings.logLevel,
                 this->state.settings.id,
                 [this](Severity severity, const std::string &line) { this->log.take(severity, line); });
    this->callerEvents.onRequest
        = [this](const std::shared_ptr<CallerConnection> &caller, IncomingRequest incoming) {
              this->onRequest(caller, std::move(incoming));
          };
    this->callerEvents.onGone = [this](CallerConnection &caller) {
        const auto found = this->exchanges.find(caller.id());
        if (found != this->exchanges.end()) {
            const auto exchange = found->second;
            exchange->onCallerGone();
        }
    };
    this->callerEvents.onClosed = [this](CallerConnection &caller) {
        this->callers.erase(caller.id());
    };
    this->callerEvents.onWritten = [this](CallerConnection &caller) {
        const auto found = this->exchanges.find(caller.id());
        if (found != this->exchanges.end()) {
            found->second->onCallerDrained();
        }
    };
    this->pageEvents.onRequest
        = [this](const std::shared_ptr<CallerConnection> &caller, const IncomingRequest &incoming) {
              this->onPage(caller, incoming);
          };
    this->pageEvents.onGone = [](CallerConnection &) {};
    this->pageEvents.onClosed = [this](CallerConnection &caller) {
        this->callers.erase(caller.id());
    };
    this->state.onExchangeDone
        = [this](const CallerConnection &caller) { this->exchanges.erase(caller.id()); };
}

Gateway::~Gateway()
{
    stopLogging();
}

void Gateway::listen(Acceptor &acceptor, const Endpoint &endpoint)
{
    const asio::ip::tcp::endpoint local(asio::ip::make_address(endpoint.host), endpoint.port);
    acceptor.open(local.protocol());
    acceptor.set_option(asio::socket_base::reuse_address(true));
    acceptor.bind(local);
    acceptor.listen(listenQueue);
}

void Gateway::open()
{
    const GatewaySettings &settings = this->state.settings;
    this->listen(this->callerAcceptor, settings.callers);
    this->listen(this->readinessAcceptor, settings.readiness);
    this->listen(this->peerAcceptor, settings.peerCalls);
    if (settings.control.port != 0) {
        this->listen(this->controlAcceptor, settings.control);
    }
}

void Gateway::post(std::function<void()> work)
{
    asio::post(this->context, std::move(work));
}

Endpoint Gateway::callersAt() const
{
    return {this->state.settings.callers.host, this->callerAcceptor.local_endpoint().port()};
}

Endpoint Gateway::readinessAt() const
{
    return {this->state.settings.readiness.host, this->readinessAcceptor.local_endpoint().port()};
}

void Gateway::run()
{
    const GatewaySettings &settings = this->state.settings;
    logEvent(Event::Started, {{"place", settings.place},
                              {"callers", toText(settings.callers)},
                              {"store", toText(settings.store)}});
    if (!this->callerAcceptor.is_open()) {
        this->open();
    }
    if (this->controlAcceptor.is_open()) {
        this->acceptPages(this->controlAcceptor);
    }
    this->acceptPages(this->peerAcceptor);
    this->acceptCallers();
    this->acceptPages(this->readinessAcceptor);
    this->signals.add(SIGTERM);
    this->signals.add(SIGINT);
    this->signals.add(SIGHUP);
    this->onSignal();
    this->startedAt = this->state.clock.now();
    this->fleet.start();
    this->routing.start();
    this->replicas.start();
    this->tick();
    this->context.run();
    logEvent(Event::Stopped, {});
    this->log.flush();
}

void Gateway::onSignal()
{
    this->signals.async_wait([this](const asio::error_code &error, int number) {
        if (error) {
            return;
        }
        if (number == SIGHUP) {
            this->reload();
        } else {
            this->stop();
        }
        this->onSignal();
    });
}

void Gateway::reload()
{
    const auto fresh = this->loader ? this->loader() : std::nullopt;
    if (!fresh) {
        logEvent(Event::SettingsReloaded, {{"outcome", "refused"}});
        return;
    }
    const bool storeMoved = fresh->store != this->state.settings.store;
    this->state.settings.store = fresh->store;
    this->state.settings.grace = fresh->grace;
    logEvent(Event::SettingsReloaded,
             {{"outcome", "taken"}, {"changed", storeMoved ? "store" : "none"}});
}

void Gateway::acceptCallers()
{
    this->callerAcceptor.async_accept(
        [this](const asio::error_code &error, asio::ip::tcp::socket socket) {
            if (error == asio::error::operation_aborted) {
                return;
            }
            if (!error) {
                prepareSocket(socket);
                const CallerLimits limits
                    = this->state.table ? this->state.table->config().limits : CallerLimits{};
                const auto caller = std::make_shared<CallerConnection>(
                    this->nextCaller++, std::make_shared<ByteStream>(std::move(socket)), limits,
                    this->callerEvents, this->state.clock);
                this->callers.emplace(caller->id(), caller);
                caller->start();
            }
            this->acceptCallers();
        });
}

void Gateway::acceptPages(Acceptor &acceptor)
{
    acceptor.async_accept(
        [this, &acceptor](const asio::error_code &error, asio::ip::tcp::socket socket) {
            if (error == asio::error::operation_aborted) {
                return;
            }
            if (!error) {
                prepareSocket(socket);
                CallerLimits limits;
                limits.headBytes = pageHeadBytes;
                limits.bodyBytes = 0;
                const auto caller = std::make_shared<CallerConnection>(
                    this->nextCaller++, std::make_shared<ByteStream>(std::move(socket)), limits,
                    this->pageEvents, this->state.clock);
                this->callers.emplace(caller->id(), caller);
                caller->start();
            }
            this->acceptPages(acceptor);
        });
}

void Gateway::onPage(const std::shared_ptr<CallerConnection> &caller,
                     const IncomingRequest &incoming)
{
    constexpr int ok = 200;
    constexpr int notFound = 404;
    constexpr int unavailable = 503;
    if (incoming.head.target == "/readiness") {
        caller->respond(this->isReady() ? ok : unavailable, {}, {}, false);
        return;
    }
    if (incoming.head.target == "/metrics") {
        caller->respond(ok, {{"Content-Type", "text/plain; version=0.0.4"}},
                        this->state.metrics.render(this->state.clock.now()), false);
        return;
    }
    if (const auto question = questionOf(incoming.head.target)) {
        const std::uint64_t version
            = this->state.table ? this->state.table->config().version : 0;
        caller->respond(ok, {{"Content-Type", "application/json"}},
                        writeStoreView(this->state.view, version, *question), false);
        return;
    }
    caller->respond(notFound, {}, {}, true);
}

void Gateway::onRequest(const std::shared_ptr<CallerConnection> &caller, IncomingRequest incoming)
{
    const auto exchange
        = std::make_shared<Exchange>(this->state, caller, std::move(incoming));
    this->exchanges[caller->id()] = exchange;
    exchange->start();
}

bool Gateway::isReady() const noexcept
{
    return this->state.table && this->state.directoryKnown && !this->state.stopping;
}

void Gateway::watchReadiness()
{
    const bool ready = this->isReady();
    if (ready == this->wasReady) {
        return;
    }
    this->wasReady = ready;
    logEvent(Event::ReadinessChanged,
             {{"ready", ready ? "yes" : "no"}, {"stopping", this->state.stopping ? "yes" : "no"}});
}

void Gateway::tick()
{
    const TimePoint now = this->state.clock.now();
    const CallerLimits limits
        = this->state.table ? this->state.table->config().limits : CallerLimits{};
    std::vector<std::shared_ptr<CallerConnection>> open;
    open.reserve(this->callers.size());
    for (const auto &[id, caller] : this->callers) {
        open.push_back(caller);
    }
    for (const auto &caller : open) {
        caller->enforceLimits(limits, now);
    }
    this->state.upstreams.closeStale();
    if (this->state.directory.hasMissing()) {
        this->applyReplicas(this->state.directory.expire(now));
    }
    this->decideWatching();
    this->trackStore();
    this->catchUp();
    this->watchReadiness();
    if (this->state.stopping) {
        this->endStopIfIdle();
    }
    this->timer.expires_after(tickPause);
    this->timer.async_wait([this](const asio::error_code &error) {
        if (!error) {
            this->tick();
        }
    });
}

void Gateway::stop()
{
    if (this->state.stopping) {
        logEvent(Event::StopRepeated, {});
        return;
    }
    this->state.stopping = true;
    this->stopBegan = this->state.clock.now();
    logEvent(Event::Stopping, {{"in_flight", std::to_string(this->exchanges.size())},
                               {"connections", std::to_string(this->callers.size())}});
    this->watchReadiness();
}

void Gateway::endStopIfIdle()
{
    const Duration since = this->state.clock.now() - this->stopBegan;
    if (since < stopLinger) {
        return;
    }
    const bool forced = since > this->state.settings.grace - stopReserve;
    if (this->callerAcceptor.is_open()) {
        logEvent(Event::StopDraining, {{"in_flight", std::to_string(this->exchanges.size())}});
        this->callerAcceptor.close();
    }
    std::vector<std::shared_ptr<CallerConnection>> open;
    for (const auto &[id, caller] : this->callers) {
        open.push_back(caller);
    }
    for (const auto &caller : open) {
        caller->closeWhenIdle();
    }
    // One more turn after the last answer, in which its bytes leave.
    const bool wasIdle = std::exchange(this->stopIdle, this->exchanges.empty());
    if (!(this->exchanges.empty() && wasIdle) && !forced) {
        return;
    }
    this->end();
}

void Gateway::end()
{
    std::vector<std::shared_ptr<Exchange>> running;
    for (const auto &[id, exchange] : this->exchanges) {
        running.push_back(exchange);
    }
    for (const auto &exchange : running) {
        exchange->cutShort();
    }
    this->fleet.stop();
    this->routing.stop();
    this->replicas.stop();
    this->context.stop();
}

void Gateway::takeRouting(const std::vector<StoreItem> &items)
{
    for (const StoreItem &item : items) {
        std::string fault;
        auto config = item.deleted ? std::nullopt
                                   : this->state.dialect.readRouting(item.document, fault);
        if (!config) {
            logEvent(Event::EntryInvalid, {{"kind", "routing"},
                                           {"name", item.name},
                                           {"why", item.deleted ? "deleted" : fault}});
            continue;
        }
        const std::uint64_t known
            = this->state.table ? this->state.table->config().version : 0;
        if (this->state.table && config->version <= known) {
            continue;
        }
        logEvent(Event::RoutingTaken, {{"version", std::to_string(config->version)},
                                       {"before", std::to_string(known)},
                                       {"routes", std::to_string(config->routes.size())},
                                       {"workspaces", std::to_string(config->workspaces.size())}});
        this->state.table = std::make_shared<const RoutingTable>(std::move(*config));
        this->state.view.routing = item.document;
        this->fleet.tellSoon();
    }
    this->watchReadiness();
}

void Gateway::takeReplicas(const std::vector<StoreItem> &items, bool isList, bool afterOutage)
{
    const TimePoint now = this->state.clock.now();
    std::vector<Replica> listed;
    std::vector<ReplicaEvent> events;
    const auto keep = [&events](std::vector<ReplicaEvent> more) {
        std::move(more.begin(), more.end(), std::back_inserter(events));
    };
    const std::uint64_t revision
        = std::max(this->state.view.revision, this->replicas.heardRevision());
    for (const StoreItem &item : items) {
        if (item.deleted) {
            keep(afterOutage ? this->state.directory.missRemoval(item.name, now)
                             : this->state.directory.takeRemoval(item.name));
            continue;
        }
        noteReplica(this->state.view, item.name, item.document, revision);
        std::string fault;
        auto replica = this->state.dialect.readReplica(item, fault);
        if (!replica) {
            logEvent(Event::EntryInvalid,
                     {{"kind", "upstream"}, {"name", item.name}, {"why", fault}});
            if (!isList) {
                keep(this->state.directory.takeRemoval(item.name));
            }
            continue;
        }
        if (isList) {
            listed.push_back(std::move(*replica));
        } else {
            keep(this->state.directory.takeEntry(std::move(*replica)));
        }
    }
    if (isList) {
        keep(this->state.directory.takeList(std::move(listed), afterOutage, now));
        this->state.directoryKnown = true;
    }
    this->state.view.revision = revision;
    this->applyReplicas(events);
    this->watchReadiness();
    if (this->replicas.isWatching()) {
        this->trackStore();
        this->fleet.tellSoon();
    }
}

void Gateway::applyReplicas(const std::vector<ReplicaEvent> &events)
{
    this->state.upstreams.take(events);
    this->state.peersChanged = true;
    for (const ReplicaEvent &event : events) {
        if (event.change == ReplicaChange::Gone) {
            noteGone(this->state.view, event.replica.id);
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
    this->announcer.call(this->state.settings.store, "POST",
                         this->state.dialect.listTarget(StoreKind::Routers, {}),
                         this->state.dialect.writeRouter(own), announceLimit,
                         [this](const PlainReply &reply) {
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
        this->state.settings.store, "GET", this->state.dialect.listTarget(StoreKind::Routers, {}),
        {}, announceLimit, [this](const PlainReply &listed) {
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
        view.revision = std::max(view.revision, this->replicas.heardRevision());
    }
}

void Gateway::decideWatching()
{
    const TimePoint now = this->state.clock.now();
    if (now - this->startedAt < hearingSpan) {
        return;
    }
    if (this->state.peers.routers() == 0 || this->fleet.isChosenToWatch()) {
        this->announce();
    }
    if (this->fleet.hearsWatcher()) {
        this->watcherHeard = now;
    }
    const bool isServed = now - std::max(this->watcherHeard, this->startedAt) < watcherPatience;
    const bool watches = this->fleet.isChosenToWatch() || !isServed;
    if (watches ? this->replicas.isWatching() : this->replicas.isPaused()) {
        return;
    }
    logEvent(watches ? Event::WatchBegun : Event::WatchEnded,
             {{"revision", std::to_string(this->state.view.revision)},
              {"chosen", this->fleet.isChosenToWatch() ? "yes" : "no"}});
    if (watches) {
        this->routing.resume();
        this->replicas.resume();
    } else {
        this->routing.pause();
        this->replicas.pause();
    }
}

void Gateway::catchUp()
{
    if (this->state.view.connected || this->catchUpClient.isBusy()) {
        return;
    }
    const auto router = this->fleet.betterInformed();
    if (!router) {
        return;
    }
    const ViewQuestion question{this->state.view.revision,
                                this->state.table ? this->state.table->config().version : 0};
    this->catchUpClient.call(
        *router, "GET", targetOf(question), {}, catchUpLimit,
        [this, from = *router](const PlainReply &reply) { this->takeCatchUp(from, reply); });
}

void Gateway::takeCatchUp(const Endpoint &from, const PlainReply &reply)
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
    std::vector<StoreItem> items;
    for (const auto &[name, replica] : view->replicas) {
        items.push_back({name, replica.gone, replica.document});
    }
    this->state.view.revision = std::max(this->state.view.revision, view->revision);
    this->takeReplicas(items, false, false);
    this->state.directoryKnown = true;
    this->watchReadiness();
}

} // namespace plantainswitch::gateway
