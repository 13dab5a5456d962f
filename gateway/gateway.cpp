#include "gateway.h"

#include "gauges.h"
#include "signalmask.h"
#include "storeview.h"

#include <algorithm>
#include <utility>

#include <asio/post.hpp>
#include <fmt/format.h>

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
/// Pause between looks at the settings file, which may change without a signal.
constexpr Milliseconds settingsPause{2000};
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

void GatewayState::noteConfirmed(std::uint64_t revision, TimePoint now)
{
    for (auto &[kind, known] : this->followed) {
        if (known.position >= revision) {
            known.confirmedAt = std::max(known.confirmedAt, now);
        }
    }
}

std::uint64_t GatewayState::newestPosition() const
{
    std::uint64_t newest = 0;
    for (const auto &[kind, known] : this->followed) {
        newest = std::max(newest, known.position);
    }
    return newest;
}

void GatewayState::checkUpstream(const std::shared_ptr<UpstreamState> &upstream)
{
    if (upstream->isChecked) {
        return;
    }
    upstream->isChecked = true;
    const auto connection = std::make_shared<UpstreamConnection>(this->context, this->clock);
    connection->connect(
        upstream->replica.endpoint, upstreamConnectLimit,
        [this, upstream, connection](bool isConnected) {
            upstream->isChecked = false;
            logEvent(Event::UpstreamChecked, {{"upstream", upstream->replica.id},
                                              {"connected", isConnected ? "yes" : "no"}});
            if (isConnected) {
                this->upstreams.giveBack(*upstream, connection);
                return;
            }
            recordFault(upstream->health, UpstreamFault::Unreachable, this->clock.now());
            this->noteDown(upstream->replica);
        });
}

void GatewayState::noteDown(const Replica &replica)
{
    const auto reports = this->suspects.confirm(lifeOf(replica), this->clock.now());
    if (!reports.empty()) {
        // The caller may send the request again at once, at any router.
        this->fleet->scheduleBroadcast();
    }
    for (const CrashReport &report : reports) {
        this->updates.noteCrash(report, this->clock.now());
        logEvent(Event::UpstreamCrashed, {{"upstream", replica.id},
                                          {"fingerprint", fmt::format("{:016x}", report.request)}});
    }
}

void GatewayState::noteAnswered(RequestFingerprint request)
{
    if (this->suspects.clear(request, this->clock.now())) {
        this->updates.noteCleared(request, this->clock.now());
    }
}

Gateway::Gateway(const Clock &clock, const Dialect &dialect, GatewaySettings settings,
                 SettingsSource source)
    : context(1)
    , state(this->context, clock, dialect, std::move(settings))
    , source(std::move(source))
    , settingsText(this->source ? this->source().value_or("") : "")
    , log(this->context)
    , callerAcceptor(this->context)
    , readinessAcceptor(this->context)
    , controlAcceptor(this->context)
    , signals(this->context)
    , timer(this->context)
    , fleet(this->state,
            static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch().count()),
            [this] {
                this->dataCentres.update(this->state.clock.now());
                this->catchUp();
            })
    , dataCentres(this->state, this->fleet)
    , routing(this->state, StoreKind::Routing, freshnessWithin(this->state.settings.catchUpBound),
              {[this](const std::vector<StoreItem> &items, TimePoint) { this->takeRouting(items); },
               [this](const std::vector<StoreItem> &items, TimePoint) { this->takeRouting(items); },
               [this] { return this->fleet.confirmRank(); },
               [this] { return this->fleet.watchRank().value_or(0) > 0; }})
    , replicas(this->state, StoreKind::Replicas,
               // A leaving upstream is due after both spans: the store has to be back for the first
               // before the second begins.
               freshnessWithin(this->state.settings.catchUpBound + this->state.settings.drainBound),
               {[this](const std::vector<StoreItem> &items, TimePoint keepUntil) {
                    this->takeReplicaList(items, keepUntil);
                },
                [this](const std::vector<StoreItem> &items, TimePoint keepUntil) {
                    this->takeReplicas(items, EntryScope::Changes, keepUntil);
                },
                [this] { return this->fleet.confirmRank(); },
                [this] { return this->fleet.watchRank().value_or(0) > 0; }})
    , announcer(this->state)
    , catchUpClient(this->state)
    , peerAcceptor(this->context)
{
    this->state.fleet = &this->fleet;
    startLogging(
        this->state.settings.log, this->state.settings.id,
        [this](Severity severity, const std::string &line) { this->log.take(severity, line); });
    this->callerEvents.onRequest = [this](const std::shared_ptr<CallerConnection> &caller,
                                          IncomingRequest incoming) {
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
    this->pageEvents.onRequest = [this](const std::shared_ptr<CallerConnection> &caller,
                                        const IncomingRequest &incoming) {
        this->onPage(caller, incoming);
    };
    this->pageEvents.onGone = [](CallerConnection &) {};
    this->pageEvents.onClosed = [this](CallerConnection &caller) {
        this->callers.erase(caller.id());
    };
    this->state.onExchangeDone = [this](const CallerConnection &caller) {
        this->exchanges.erase(caller.id());
    };
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
    for (const int signal : handledSignals) {
        this->signals.add(signal);
    }
    this->onSignal();
    unblockHandledSignals();
    this->startedAt = this->state.clock.now();
    this->fleet.start();
    // A stale list is enough to begin with: those that watch list again, the others take what they
    // lack from a router that watches.
    this->routing.start(ReadConsistency::Stale);
    this->replicas.start(ReadConsistency::Stale);
    this->tick();
    this->context.run();
    blockHandledSignals();
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
            this->reload(true);
        } else {
            this->stop();
        }
        this->onSignal();
    });
}

void Gateway::reload(bool wasAsked)
{
    const auto text = this->source ? this->source() : std::nullopt;
    this->settingsReadAt = this->state.clock.now();
    const bool isSame = text && *text == this->settingsText;
    if (isSame && !wasAsked) {
        return;
    }
    std::vector<Fault> faults;
    const auto fresh = text ? parseGatewaySettings(*text, faults) : std::nullopt;
    if (!fresh) {
        if (wasAsked || text) {
            logEvent(Event::SettingsReloaded,
                     {{"outcome", "refused"},
                      {"why", faults.empty() ? "unreadable" : toText(faults.front())}});
        }
        this->settingsText = text.value_or(this->settingsText);
        return;
    }
    this->settingsText = *text;
    GatewaySettings &own = this->state.settings;
    std::string changed;
    if (fresh->store != own.store) {
        changed += "store ";
    }
    if (fresh->grace != own.grace) {
        changed += "graceSeconds ";
    }
    own.store = fresh->store;
    own.grace = fresh->grace;
    logEvent(Event::SettingsReloaded, {{"outcome", isSame ? "unchanged" : "taken"},
                                       {"changed", changed.empty() ? "nothing" : changed}});
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
                const CallerLimits limits =
                    this->state.table ? this->state.table->config().limits : CallerLimits{};
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
        caller->respond(
            ok, {{"Content-Type", "text/plain; version=0.0.4"}},
            this->state.metrics.render(this->state.clock.now()) + renderGauges(this->state), false);
        return;
    }
    if (const auto question = questionOf(incoming.head.target)) {
        const std::uint64_t version = this->state.table ? this->state.table->config().version : 0;
        const std::string view = writeStoreView(this->state.view, version, *question);
        const std::weak_ptr<CallerConnection> weak = caller;
        const auto hasLeft = [weak] {
            const auto taker = weak.lock();
            return !taker || taker->queuedBytes() == 0;
        };
        if (!this->viewHandout.begin(view.size(), hasLeft)) {
            caller->respond(unavailable, {}, {}, false);
            return;
        }
        this->state.metrics.countSent(ControlKind::StoreView, view.size());
        caller->respond(ok, {{"Content-Type", "application/json"}}, view, false);
        return;
    }
    caller->respond(notFound, {}, {}, true);
}

void Gateway::onRequest(const std::shared_ptr<CallerConnection> &caller, IncomingRequest incoming)
{
    const auto exchange = std::make_shared<Exchange>(this->state, caller, std::move(incoming));
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

void Gateway::notePause(TimePoint now)
{
    const auto pause = this->pauses.turn(now, this->state.clock.uptime(), now + tickPause);
    if (pause && pause->frozen > tickPause) {
        // The clock did not count that time: what was confirmed is older than it seems.
        this->routing.listAnew();
        this->replicas.listAnew();
    }
    if (pause) {
        logEvent(Event::Paused, {{"frozen_ms", std::to_string(pause->frozen.count())},
                                 {"late_ms", std::to_string(pause->late.count())}});
    }
}

void Gateway::tick()
{
    const TimePoint now = this->state.clock.now();
    this->notePause(now);
    const CallerLimits limits =
        this->state.table ? this->state.table->config().limits : CallerLimits{};
    std::vector<std::shared_ptr<CallerConnection>> open;
    open.reserve(this->callers.size());
    for (const auto &[id, caller] : this->callers) {
        open.push_back(caller);
    }
    for (const auto &caller : open) {
        caller->enforceLimits(limits, now);
    }
    this->state.upstreams.closeStale();
    this->figureLog.update(this->state);
    if (this->state.directory.hasMissing()) {
        this->applyReplicas(this->state.directory.expire(now));
    }
    this->decideWatching();
    this->trackStore();
    this->dataCentres.update(now);
    this->checkFreshness(now);
    this->catchUp();
    this->watchReadiness();
    if (now - this->settingsReadAt > settingsPause) {
        this->reload(false);
    }
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

} // namespace plantainswitch::gateway
