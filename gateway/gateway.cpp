#include "gateway.h"

#include "gauges.h"
#include "signalmask.h"
#include "storeview.h"

#include <algorithm>
#include <utility>

#include "plantainswitch/observe/event.h"
#include <asio/post.hpp>

namespace plantainswitch::gateway {

namespace {

/// Interval of the checks of limits, idle connections, readiness and the progress of a stop.
constexpr Milliseconds tickInterval{250};
/// The same at the end of a stop.
constexpr Milliseconds lastTickInterval{25};
/// Interval at which the settings file is checked, since it may change without a signal.
constexpr Milliseconds settingsCheckInterval{2000};
/// Time for which callers' and upstreams' events are handled before all others are looked for.
constexpr Milliseconds workSlice{5};
/// Time in a call of the event loop from which it has waited for an event, so that no other is
/// ready.
constexpr Milliseconds idleWait{1};

} // namespace

void GatewayState::refreshPeerLoads()
{
    if (!this->peerLoadsChanged) {
        return;
    }
    this->peerLoadsChanged = false;
    for (const auto &[id, upstream] : this->upstreams.all()) {
        this->applyPeerLoad(*upstream);
    }
}

void GatewayState::applyPeerLoad(UpstreamState &upstream) const
{
    const PeerLoads::Total load = this->peerLoads.totalAt(incarnationOf(upstream.replica));
    upstream.peersRunning = load.running;
    upstream.peersPendingPrefill = load.pendingPrefillTokens;
}

void GatewayState::recordConfirmation(std::uint64_t revision, TimePoint now)
{
    for (auto &[kind, known] : this->syncStates) {
        if (known.revision >= revision) {
            known.confirmedAt = std::max(known.confirmedAt, now);
        }
    }
}

Milliseconds GatewayState::takeUpTimeOf(std::string_view service) const
{
    const Milliseconds streams =
        this->routingTable ? this->routingTable->takeUpTimeOf(service) : Milliseconds{0};
    // Until its list is confirmed, a router begins streams at upstreams that have left.
    return streams.count() == 0
               ? streams
               : streams + this->settings.maxCatchUpTime + this->settings.maxDrainTime;
}

bool GatewayState::areVersionsMixed(const std::string &service) const
{
    const Milliseconds takeUpTime = this->takeUpTimeOf(service);
    const TimePoint now = this->clock.now();
    return takeUpTime.count() > 0
           && this->serviceVersions.areMixedSince(service, now - takeUpTime, now);
}

bool GatewayState::areAnyVersionsMixed() const
{
    if (!this->routingTable) {
        return false;
    }
    const auto &services = this->routingTable->config().services;
    return std::any_of(services.begin(), services.end(), [this](const RoutedService &service) {
        return this->areVersionsMixed(service.name);
    });
}

std::uint64_t GatewayState::latestRevision() const
{
    std::uint64_t newest = 0;
    for (const auto &[kind, known] : this->syncStates) {
        newest = std::max(newest, known.revision);
    }
    return newest;
}

Gateway::Gateway(const Clock &clock, const Dialect &dialect, GatewaySettings settings,
                 SettingsSource source)
    : context(1)
    , state(this->context, clock, dialect, std::move(settings))
    , settingsSource(std::move(source))
    , settingsText(this->settingsSource ? this->settingsSource().value_or("") : "")
    , logWriter(this->context)
    , callerAcceptor(this->context, this->state.work)
    , readinessAcceptor(this->context, this->state.work)
    , controlAcceptor(this->context, this->state.work)
    , signals(this->context)
    , timer(this->context)
    , fleet(this->state,
            static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch().count()),
            [this] {
                this->dataCentreMonitor.update(this->state.clock.now());
                this->fetchStoreView();
            })
    , dataCentreMonitor(this->state, this->fleet)
    , routingFollower(
          this->state, StoreObjectKind::Routing,
          freshnessWithin(this->state.settings.maxCatchUpTime),
          {[this](const std::vector<StoreObject> &items, TimePoint) { this->applyRouting(items); },
           [this](const std::vector<StoreObject> &items, TimePoint) { this->applyRouting(items); },
           [this] { return this->fleet.confirmerRank(); },
           [this] { return this->fleet.watchRank().value_or(0) > 0; }})
    , replicaFollower(
          this->state, StoreObjectKind::Replicas,
          // A draining upstream may get requests for the sum of both times, so that the store has
          // to be reachable again within the first one, before the second one begins.
          freshnessWithin(this->state.settings.maxCatchUpTime + this->state.settings.maxDrainTime),
          {[this](const std::vector<StoreObject> &items, TimePoint keepUntil) {
               this->applyReplicaList(items, keepUntil);
           },
           [this](const std::vector<StoreObject> &items, TimePoint keepUntil) {
               this->applyReplicaObjects(items, UpdateScope::Incremental, keepUntil);
           },
           [this] { return this->fleet.confirmerRank(); },
           [this] { return this->fleet.watchRank().value_or(0) > 0; }})
    , evacuationFollower(this->state, StoreObjectKind::Evacuations,
                         freshnessWithin(this->state.settings.maxCatchUpTime),
                         {[this](const std::vector<StoreObject> &items, TimePoint) {
                              this->applyEvacuationObjects(items, UpdateScope::Snapshot);
                          },
                          [this](const std::vector<StoreObject> &items, TimePoint) {
                              this->applyEvacuationObjects(items, UpdateScope::Incremental);
                          },
                          [this] { return this->fleet.confirmerRank(); },
                          [this] { return this->fleet.watchRank().value_or(0) > 0; }})
    , registrationClient(this->state)
    , upstreamFetch(this->state)
    , configFetch(this->state)
    , trialStore(this->state)
    , versionConfirmer(this->state)
    , versionRecorder(this->state)
    , peerAcceptor(this->context, this->state.work)
{
    this->state.fleet = &this->fleet;
    this->state.trials = &this->trialStore;
    this->state.versions = &this->versionConfirmer;
    startLogging(this->state.settings.log, this->state.settings.id,
                 [this](Severity severity, const std::string &line) {
                     this->logWriter.append(severity, line);
                 });
    this->callerHandlers.onRequest = [this](const std::shared_ptr<CallerConnection> &caller,
                                            IncomingRequest incoming) {
        this->onRequest(caller, std::move(incoming), std::nullopt);
    };
    this->callerHandlers.onDisconnected = [this](CallerConnection &caller) {
        const auto found = this->exchanges.find(caller.id());
        if (found != this->exchanges.end()) {
            const auto exchange = found->second;
            exchange->onCallerDisconnected();
        }
    };
    this->callerHandlers.onClosed = [this](CallerConnection &caller) {
        this->callers.erase(caller.id());
    };
    this->callerHandlers.onWritten = [this](CallerConnection &caller) {
        const auto found = this->exchanges.find(caller.id());
        if (found != this->exchanges.end()) {
            found->second->onCallerWritable();
        }
    };
    this->internalHandlers = this->callerHandlers;
    this->internalHandlers.onRequest = [this](const std::shared_ptr<CallerConnection> &caller,
                                              const IncomingRequest &incoming) {
        this->onInternalRequest(caller, incoming);
    };
    this->peerHandlers = this->callerHandlers;
    this->peerHandlers.onRequest = [this](const std::shared_ptr<CallerConnection> &caller,
                                          IncomingRequest incoming) {
        this->onPeerRequest(caller, std::move(incoming));
    };
    this->state.onExchangeDone = [this](const CallerConnection &caller) {
        this->exchanges.erase(caller.id());
    };
}

Gateway::~Gateway()
{
    stopLogging();
}

void Gateway::openListeners()
{
    const GatewaySettings &settings = this->state.settings;
    this->callerAcceptor.listen(settings.callers);
    this->readinessAcceptor.listen(settings.readiness);
    this->peerAcceptor.listen(settings.peerCalls);
    if (settings.control.port != 0) {
        this->controlAcceptor.listen(settings.control);
    }
}

void Gateway::post(std::function<void()> work)
{
    asio::post(this->context, std::move(work));
}

Endpoint Gateway::callerEndpoint() const
{
    return {this->state.settings.callers.host, this->callerAcceptor.port()};
}

Endpoint Gateway::readinessEndpoint() const
{
    return {this->state.settings.readiness.host, this->readinessAcceptor.port()};
}

void Gateway::run()
{
    const GatewaySettings &settings = this->state.settings;
    logEvent(Event::Started, {{"place", settings.dataCentre},
                              {"callers", toText(settings.callers)},
                              {"store", toText(settings.store)}});
    if (!this->callerAcceptor.isOpen()) {
        this->openListeners();
    }
    if (this->controlAcceptor.isOpen()) {
        this->acceptInternal(this->controlAcceptor, this->internalHandlers);
    }
    this->acceptInternal(this->peerAcceptor, this->peerHandlers);
    this->acceptCallers();
    this->acceptInternal(this->readinessAcceptor, this->internalHandlers);
    for (const int signal : handledSignals) {
        this->signals.add(signal);
    }
    this->onSignal();
    unblockHandledSignals();
    this->startedAt = this->state.clock.now();
    this->fleet.start();
    // A stale list is enough to start: a router that watches the store lists again, and the others
    // fetch what they lack from one that does.
    this->routingFollower.start(ReadConsistency::Stale);
    this->replicaFollower.start(ReadConsistency::Stale);
    if (this->state.settings.followsEvacuations) {
        this->evacuationFollower.start(ReadConsistency::Stale);
    }
    if (this->state.settings.mechanisms.quarantine) {
        this->trialStore.start();
    }
    this->tick();
    this->runEventLoop();
    blockHandledSignals();
    logEvent(Event::Stopped, {});
    this->logWriter.flush();
}

void Gateway::onSignal()
{
    this->signals.async_wait([this](const asio::error_code &error, int number) {
        if (error) {
            return;
        }
        if (number == SIGHUP) {
            this->reloadSettings(true);
        } else {
            this->stop();
        }
        this->onSignal();
    });
}

void Gateway::reloadSettings(bool isRequested)
{
    const auto text = this->settingsSource ? this->settingsSource() : std::nullopt;
    this->settingsReadAt = this->state.clock.now();
    const bool isSame = text && *text == this->settingsText;
    if (isSame && !isRequested) {
        return;
    }
    std::vector<Fault> faults;
    const auto parsed = text ? parseGatewaySettings(*text, faults) : std::nullopt;
    if (!parsed) {
        if (isRequested || text) {
            logEvent(Event::SettingsReloaded,
                     {{"outcome", "refused"},
                      {"why", faults.empty() ? "unreadable" : toText(faults.front())}});
        }
        this->settingsText = text.value_or(this->settingsText);
        return;
    }
    this->settingsText = *text;
    GatewaySettings &current = this->state.settings;
    std::string changed;
    if (parsed->store != current.store) {
        changed += "store ";
    }
    if (parsed->stopGrace != current.stopGrace) {
        changed += "graceSeconds ";
    }
    current.store = parsed->store;
    current.stopGrace = parsed->stopGrace;
    logEvent(Event::SettingsReloaded, {{"outcome", isSame ? "unchanged" : "taken"},
                                       {"changed", changed.empty() ? "nothing" : changed}});
}

void Gateway::runEventLoop()
{
    const Clock &clock = this->state.clock;
    TimePoint polledAt = clock.now();
    while (!this->context.stopped()) {
        if (this->state.work.isEmpty()) {
            const TimePoint waitedSince = clock.now();
            this->context.run_one();
            const TimePoint now = clock.now();
            if (now - waitedSince >= idleWait) {
                polledAt = now;
            }
            continue;
        }
        // Looks for other events once a slice only: each time costs a system call.
        if (clock.now() - polledAt >= workSlice) {
            this->context.poll();
            polledAt = clock.now();
        }
        this->state.work.runFor(workSlice);
    }
}

bool Gateway::isReady() const
{
    return this->state.routingTable && this->state.isDirectoryLoaded && !this->state.stopping
           && this->mayBeginStreams();
}

bool Gateway::mayBeginStreams() const
{
    return !this->state.areAnyVersionsMixed() || this->state.fleet->origins().areOriginsConfirmed();
}

void Gateway::updateReadiness()
{
    const bool ready = this->isReady();
    if (ready == this->wasReady) {
        return;
    }
    this->wasReady = ready;
    logEvent(Event::ReadinessChanged,
             {{"ready", ready ? "yes" : "no"}, {"stopping", this->state.stopping ? "yes" : "no"}});
}

void Gateway::detectPause(TimePoint now)
{
    const auto pause =
        this->pauseDetector.tick(now, this->state.clock.uptime(), now + tickInterval);
    if (pause && pause->frozen > tickInterval) {
        // The monotonic clock did not advance during the freeze, so that confirmations are older
        // than they seem.
        this->routingFollower.relist();
        this->replicaFollower.relist();
        this->evacuationFollower.relist();
    }
    if (pause) {
        // Versions that joined and left during the pause were missed.
        this->state.serviceVersions.restart(now);
        logEvent(Event::Paused, {{"frozen_ms", std::to_string(pause->frozen.count())},
                                 {"late_ms", std::to_string(pause->late.count())}});
    }
}

void Gateway::reportLateness(TimePoint now)
{
    EventLoopMonitor &monitor = this->state.loopMonitor;
    if (this->tickDue) {
        monitor.recordLateness(now - *this->tickDue);
    }
    if (const auto report = monitor.takeReport(now)) {
        logEvent(Event::LoopLate, {{"late_ms", std::to_string(report->lateness.count())},
                                   {"interval_ms", std::to_string(report->interval.count())},
                                   {"datagrams", std::to_string(report->datagrams)},
                                   {"most_in_turn", std::to_string(report->mostDatagramsInTurn)},
                                   {"connections", std::to_string(report->connections)}});
    }
}

void Gateway::tick()
{
    const TimePoint now = this->state.clock.now();
    this->detectPause(now);
    this->reportLateness(now);
    const CallerLimits limits =
        this->state.routingTable ? this->state.routingTable->config().limits : CallerLimits{};
    std::vector<std::shared_ptr<CallerConnection>> open;
    open.reserve(this->callers.size());
    for (const auto &[id, caller] : this->callers) {
        open.push_back(caller);
    }
    for (const auto &caller : open) {
        caller->enforceLimits(limits, now);
    }
    this->state.upstreams.closeIdle();
    this->performanceLogger.update(this->state);
    this->state.refreshSpeeds();
    if (this->state.replicaDirectory.hasMissing()) {
        this->applyReplicaEvents(this->state.replicaDirectory.removeExpired(now));
    }
    this->updateWatchRole();
    this->updateStoreConnection();
    this->dataCentreMonitor.update(now);
    this->checkFreshness(now);
    this->updateVersionRecords();
    this->fetchStoreView();
    this->state.refreshSuspects();
    this->state.checkReach();
    this->updateReadiness();
    if (now - this->settingsReadAt > settingsCheckInterval) {
        this->reloadSettings(false);
    }
    if (this->state.stopping) {
        this->finishStopIfDrained();
    }
    const bool isLast =
        this->state.stopping && now + tickInterval > this->state.stopSchedule.abortAt;
    const Milliseconds interval = isLast ? lastTickInterval : tickInterval;
    this->timer.expires_after(interval);
    this->tickDue = this->state.clock.now() + interval;
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
    this->state.stopSchedule =
        scheduleStop(this->state.clock.now(), this->state.settings.stopGrace);
    logEvent(Event::Stopping, {{"in_flight", std::to_string(this->exchanges.size())},
                               {"connections", std::to_string(this->callers.size())}});
    this->updateReadiness();
}

void Gateway::finishStopIfDrained()
{
    const TimePoint now = this->state.clock.now();
    const StopSchedule &schedule = this->state.stopSchedule;
    if (now < std::min(schedule.acceptUntil, schedule.abortAt)) {
        return;
    }
    if (this->callerAcceptor.isOpen()) {
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
    if (now > schedule.abortAt && !std::exchange(this->isRunningAborted, true)) {
        this->abortRunning();
    }
    const bool isWriting = std::any_of(this->callers.begin(), this->callers.end(),
                                       [](const auto &entry) { return entry.second->isWriting(); });
    const bool isDrained = this->exchanges.empty() && !isWriting;
    // A request that has arrived in part gets one more turn.
    const bool wasDrained = std::exchange(this->wasDrained, isDrained);
    if ((isDrained && wasDrained) || now > schedule.exitAt) {
        this->forceStop();
    }
}

void Gateway::abortRunning()
{
    // Before the streams are cut: their callers return to other routers at once.
    this->fleet.passOnOrigins();
    std::vector<std::shared_ptr<RequestHandler>> running;
    for (const auto &[id, exchange] : this->exchanges) {
        running.push_back(exchange);
    }
    for (const auto &exchange : running) {
        exchange->abort();
    }
}

void Gateway::forceStop()
{
    this->abortRunning();
    this->fleet.stop();
    this->routingFollower.stop();
    this->replicaFollower.stop();
    this->evacuationFollower.stop();
    this->trialStore.stop();
    this->versionConfirmer.stop();
    this->versionRecorder.stop();
    this->context.stop();
}

} // namespace plantainswitch::gateway
