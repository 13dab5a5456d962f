#include "soak.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <utility>

#include <fmt/format.h>

#include "documents.h"
#include "loopback.h"

namespace plantainswitch::soak {

namespace {

constexpr std::uint16_t callersPort = 7101;
constexpr std::uint16_t readinessPort = 7102;
constexpr std::uint16_t datagramPort = 7103;
constexpr std::uint16_t peerPort = 7104;
constexpr std::uint16_t storePort = 7105;
constexpr std::uint16_t storeLinkPort = 7106;
constexpr std::uint16_t upstreamPort = 7107;
constexpr std::uint16_t upstreamLinkPort = 7108;
/// Last octets of the loopback addresses; routers and upstreams are numbered from theirs on.
constexpr std::size_t storeHost = 1;
constexpr std::size_t firstRouterHost = 10;
constexpr std::size_t firstUpstreamHost = 100;
constexpr std::size_t maxUpstreams = 150;
constexpr std::size_t keyCount = 24;
/// Time for the routers to start and discover everything before callers start.
constexpr Milliseconds warmUp{1500};
/// Time without faults at the end; longer than the recovery time of the checks.
constexpr Milliseconds faultFreeDuration{9000};
constexpr Milliseconds lastResponseTimeout{6000};
constexpr Milliseconds superviseInterval{20};
/// Grace period of a stop in the routers' settings.
constexpr std::int64_t graceSeconds = 6;
/// How long a draining upstream still serves.
constexpr Milliseconds drainDuration{9000};
/// How long an upstream that drains without reporting it to the store is still listed as ready.
constexpr Milliseconds unreportedDrainDelay{4000};
/// How long an upstream that a request has crashed stays down.
constexpr Milliseconds crashDowntime{1500};
constexpr std::size_t poisonCallCount = 20;
/// Delay of the edit that follows the end of StoreUnresponsive.
constexpr Milliseconds editDelay{50};

} // namespace

Soak::Soak(const SoakOptions &options, std::vector<FaultStep> plan, std::string program,
           std::filesystem::path directory)
    : options(options)
    , plan(std::move(plan))
    , program(std::move(program))
    , directory(std::move(directory))
{}

Soak::~Soak() = default;

SoakTime Soak::now() const
{
    return std::chrono::duration_cast<SoakTime>(this->clock.now() - this->startTime);
}

Endpoint Soak::endpointOf(std::size_t host, std::uint16_t port) const
{
    return {ownAddress(host), port};
}

void Soak::runAfter(Milliseconds delay, std::function<void()> handler)
{
    const auto timer = std::make_shared<asio::steady_timer>(this->context, delay);
    timer->async_wait([timer, handler = std::move(handler)](const asio::error_code &error) {
        if (!error) {
            handler();
        }
    });
}

void Soak::recordRouterFault(std::size_t number, SoakTime from, SoakTime to)
{
    this->history.routerFaults[number].push_back({from, to});
}

void Soak::writeConfig()
{
    ConfigDocument config{this->version, this->environment.routeVersions, {}};
    for (const std::string &key : this->environment.keys) {
        if (!this->history.revokedKeys.contains(key)) {
            config.keys.push_back(key);
        }
    }
    this->store->put("config", "main", textOf(config));
    this->history.versions.push_back({this->version, this->now()});
}

void Soak::registerUpstream(std::size_t index, bool isDraining)
{
    this->store->put("servers", this->upstreams[index].upstream->name(),
                     upstreamEntry(this->endpointOf(firstUpstreamHost + index, upstreamLinkPort),
                                   index % 2 == 0 ? "hall-a" : "hall-b",
                                   this->upstreams[index].upstream->softwareVersion(), isDraining));
}

void Soak::addUpstream()
{
    const std::size_t index = this->upstreams.size();
    const Endpoint endpoint = this->endpointOf(firstUpstreamHost + index, upstreamPort);
    UpstreamNode node;
    node.upstream =
        std::make_unique<SoakUpstream>(this->context, this->clock, fmt::format("u-{}", index),
                                       // Both data centres have upstreams of both versions.
                                       fmt::format("v{}", index / 2 % 2 + 1), endpoint,
                                       this->options.seed + index, this->history, this->startTime);
    node.link = std::make_unique<FaultyLink>(
        this->context, this->endpointOf(firstUpstreamHost + index, upstreamLinkPort), endpoint);
    node.upstream->onCrash([this, index] {
        // Deferred, because the caller of this handler still uses the upstream.
        this->runAfter(Milliseconds{0}, [this, index] {
            this->history.upstreamFaults.push_back({this->now(), this->now() + crashDowntime});
            this->crashUpstream(index, crashDowntime);
        });
    });
    this->upstreams.push_back(std::move(node));
    this->activeUpstreams.push_back(index);
    this->registerUpstream(index, false);
}

void Soak::addRouter(std::size_t number)
{
    const std::size_t host = firstRouterHost + number;
    Router router;
    router.callers = this->endpointOf(host, callersPort);
    router.storeLink =
        std::make_unique<FaultyLink>(this->context, this->endpointOf(host, storeLinkPort),
                                     this->endpointOf(storeHost, storePort));
    std::vector<std::string> seeds;
    for (std::size_t i = 0; i < std::min<std::size_t>(this->options.routers, 3); ++i) {
        seeds.push_back(toText(this->endpointOf(firstRouterHost + i, peerPort)));
    }
    const RouterDocument settings{fmt::format("router-{}", number),
                                  number % 2 == 0 ? "hall-a" : "hall-b",
                                  router.callers,
                                  readinessPort,
                                  datagramPort,
                                  peerPort,
                                  seeds,
                                  this->endpointOf(host, storeLinkPort),
                                  graceSeconds};
    const std::string path = this->directory / fmt::format("router-{}.json", number);
    std::ofstream(path) << textOf(settings);
    router.process = std::make_unique<RouterProcess>(
        this->program, path, this->directory / fmt::format("router-{}.log", number));
    this->environment.routers.push_back({router.callers, 0});
    this->routers.push_back(std::move(router));
    this->routers.back().process->start();
}

const SoakHistory &Soak::run()
{
    this->startTime = this->clock.now();
    this->store = std::make_unique<SoakStore>(
        this->context, this->clock, this->endpointOf(storeHost, storePort), this->options.seed);
    for (std::size_t i = 0; i < keyCount; ++i) {
        this->environment.keys.push_back(fmt::format("key-{}", i));
    }
    this->writeConfig();
    for (std::size_t i = 0; i < this->options.upstreams; ++i) {
        this->addUpstream();
    }
    for (std::size_t i = 0; i < this->options.routers; ++i) {
        this->addRouter(i);
        this->recordRouterFault(i, SoakTime{0}, warmUp);
    }
    this->superviseRouters();
    this->callers =
        std::make_unique<SoakCallers>(this->context, this->clock, this->environment,
                                      this->options.seed, this->history, this->startTime);
    this->runAfter(warmUp, [this] { this->callers->start(this->options.callers); });
    for (const FaultStep &step : this->plan) {
        this->runAfter(warmUp + step.at, [this, step] { this->injectFault(step); });
    }
    const auto faultsEnd =
        warmUp + SoakTime{static_cast<std::int64_t>(this->options.faultSeconds * 1000)};
    // The last faults take up to this long to end.
    this->history.faultFreeFrom = faultsEnd + Milliseconds{4000};
    this->runAfter(this->history.faultFreeFrom + faultFreeDuration,
                   [this] { this->callers->stop(); });
    this->runAfter(this->history.faultFreeFrom + faultFreeDuration + lastResponseTimeout, [this] {
        this->isFinished = true;
        this->context.stop();
    });
    this->context.run();
    this->history.end = this->now();
    return this->history;
}

void Soak::injectFault(const FaultStep &step)
{
    const std::size_t router = step.target % this->routers.size();
    const std::size_t index = this->activeUpstreams[step.target % this->activeUpstreams.size()];
    if (step.kind <= FaultKind::RollingStop) {
        this->injectRouterFault(step, router);
    } else if (step.kind <= FaultKind::UpstreamDrains) {
        this->injectUpstreamFault(step, index);
    } else if (step.kind <= FaultKind::LinkDropsOneWay) {
        this->injectLinkFault(step, index);
    } else if (step.kind <= FaultKind::StoreRegistrationsExpire) {
        this->injectStoreFault(step, router);
    } else {
        this->applyConfigOrCallStep(step);
    }
}

void Soak::injectRouterFault(const FaultStep &step, std::size_t number)
{
    Router &router = this->routers[number];
    switch (step.kind) {
    case FaultKind::RouterKill:
        this->killRouter(number, step.duration);
        return;
    case FaultKind::RouterPause:
        router.process->signal(SIGSTOP);
        this->recordRouterFault(number, this->now(), this->now() + step.duration);
        this->runAfter(step.duration,
                       [this, number] { this->routers[number].process->signal(SIGCONT); });
        return;
    case FaultKind::RouterStop:
        this->stopRouter(number);
        return;
    case FaultKind::RouterReload:
        router.process->signal(SIGHUP);
        return;
    case FaultKind::AllRoutersKill:
        for (std::size_t each = 0; each < this->routers.size(); ++each) {
            this->killRouter(each, step.duration / 2);
        }
        return;
    default:
        for (std::size_t each = 0; each < this->routers.size(); ++each) {
            this->runAfter(step.duration * each, [this, each] { this->stopRouter(each); });
        }
        return;
    }
}

void Soak::killRouter(std::size_t number, Milliseconds downtime)
{
    Router &router = this->routers[number];
    if (!router.process->isRunning()) {
        return;
    }
    router.isExitExpected = true;
    router.process->signal(SIGKILL);
    this->recordRouterFault(number, this->now(), this->now() + downtime);
    this->runAfter(downtime, [this, number] { this->restartRouter(number); });
}

void Soak::stopRouter(std::size_t number)
{
    Router &router = this->routers[number];
    if (!router.process->isRunning() || router.isExitExpected) {
        return;
    }
    router.isExitExpected = true;
    router.isStopping = true;
    this->history.plannedStops[number].push_back(this->now());
    router.process->signal(SIGTERM);
}

void Soak::restartRouter(std::size_t number)
{
    Router &router = this->routers[number];
    if (this->isFinished || router.process->isRunning()) {
        return;
    }
    router.isExitExpected = false;
    router.isStopping = false;
    this->environment.routers[number].incarnation += 1;
    router.process->start();
}

void Soak::superviseRouters()
{
    constexpr Milliseconds tolerance{100};
    const SoakTime previous = std::exchange(this->supervisedAt, this->now());
    if (this->supervisedAt - previous > superviseInterval + tolerance) {
        this->history.ownPauses.push_back({previous, this->supervisedAt});
    }
    for (std::size_t number = 0; number < this->routers.size(); ++number) {
        Router &router = this->routers[number];
        const auto end = router.process->reap();
        if (!end) {
            continue;
        }
        if (!router.isExitExpected
            || (router.isStopping && *end != "exit 0" && !end->starts_with("signal 9"))) {
            this->history.unexpectedExits.push_back(
                fmt::format("router {} ended unexpectedly with {} at {} ms", number, *end,
                            this->now().count()));
        }
        const bool isRestartScheduled = router.isExitExpected && !router.isStopping;
        if (!isRestartScheduled) {
            this->recordRouterFault(number, this->now(), this->now() + superviseInterval);
            this->restartRouter(number);
        }
    }
    this->runAfter(superviseInterval, [this] { this->superviseRouters(); });
}

void Soak::injectUpstreamFault(const FaultStep &step, std::size_t index)
{
    SoakUpstream &upstream = *this->upstreams[index].upstream;
    if (step.kind == FaultKind::UpstreamDrains
        || step.kind == FaultKind::UpstreamAnnouncesDraining) {
        this->drainUpstream(index, step.kind == FaultKind::UpstreamDrains);
        return;
    }
    this->history.upstreamFaults.push_back({this->now(), this->now() + step.duration});
    if (step.kind == FaultKind::UpstreamCrash) {
        this->crashUpstream(index, step.duration);
        return;
    }
    UpstreamFaults faults;
    faults.isUnresponsive = step.kind == FaultKind::UpstreamUnresponsive;
    faults.slowdownFactor =
        step.kind == FaultKind::UpstreamSlow ? 1.0 + 15.0 * step.intensity : 1.0;
    faults.errorShare = step.kind == FaultKind::UpstreamFails ? step.intensity : 0.0;
    faults.rejectShare = step.kind == FaultKind::UpstreamRejects ? step.intensity : 0.0;
    // Above an intensity of a half the upstream rejects everything.
    faults.backoffShare = step.kind == FaultKind::UpstreamBacksOff ? 2.0 * step.intensity : 0.0;
    faults.lostResponseShare =
        step.kind == FaultKind::UpstreamLosesResponses ? step.intensity : 0.0;
    faults.truncatedResponseShare =
        step.kind == FaultKind::UpstreamTruncatesResponses ? step.intensity : 0.0;
    faults.extraResponseShare =
        step.kind == FaultKind::UpstreamSendsExtraResponses ? step.intensity : 0.0;
    upstream.setFaults(faults);
    this->runAfter(step.duration, [&upstream] { upstream.setFaults({}); });
}

void Soak::crashUpstream(std::size_t index, Milliseconds downtime)
{
    this->recordLossyLink(index, Milliseconds{0});
    this->upstreams[index].upstream->crash();
    this->upstreams[index].link->stopListening();
    this->runAfter(downtime, [this, index] {
        this->upstreams[index].upstream->restart();
        this->upstreams[index].link->resumeListening();
    });
}

void Soak::recordLossyLink(std::size_t index, Milliseconds duration)
{
    this->history.lossyLinks[this->upstreams[index].upstream->name()].push_back(
        {this->now(), this->now() + duration});
}

void Soak::drainUpstream(std::size_t index, bool isReported)
{
    if (this->upstreams.size() >= maxUpstreams) {
        return;
    }
    // The replacement is registered before the old upstream drains.
    this->addUpstream();
    std::erase(this->activeUpstreams, index);
    this->upstreams[index].upstream->announceDraining();
    if (isReported) {
        this->registerUpstream(index, true);
        this->history.drainingSince[this->upstreams[index].upstream->name()] = this->now();
    } else {
        this->runAfter(unreportedDrainDelay, [this, index] {
            this->store->remove("servers", this->upstreams[index].upstream->name());
            this->history.drainingSince[this->upstreams[index].upstream->name()] = this->now();
        });
    }
    this->runAfter(drainDuration, [this, index] {
        this->store->remove("servers", this->upstreams[index].upstream->name());
        this->recordLossyLink(index, Milliseconds{0});
        this->upstreams[index].upstream->crash();
        this->upstreams[index].link->stopListening();
    });
}

void Soak::injectLinkFault(const FaultStep &step, std::size_t index)
{
    FaultyLink &link = *this->upstreams[index].link;
    this->history.upstreamFaults.push_back({this->now(), this->now() + step.duration});
    this->recordLossyLink(index, step.duration);
    switch (step.kind) {
    case FaultKind::LinkDelay:
        link.setDelay(Milliseconds{static_cast<std::int64_t>(300 * step.intensity)});
        this->runAfter(step.duration, [&link] { link.setDelay(Milliseconds{0}); });
        return;
    case FaultKind::LinkReset:
        link.resetConnections();
        return;
    case FaultKind::LinkDropsBytes:
        link.setMode(LinkMode::DropBoth);
        break;
    default:
        link.setMode(step.target % 2 == 0 ? LinkMode::DropToServer : LinkMode::DropToClient);
        break;
    }
    this->runAfter(step.duration, [&link] { link.setMode(LinkMode::Forward); });
}

void Soak::injectStoreFault(const FaultStep &step, std::size_t router)
{
    FaultyLink &link = *this->routers[router].storeLink;
    if (step.kind == FaultKind::StoreLinkDropsBytes || step.kind == FaultKind::StoreLinkReset) {
        this->recordRouterFault(router, this->now(), this->now() + step.duration);
        link.resetConnections();
        if (step.kind == FaultKind::StoreLinkDropsBytes) {
            link.setMode(LinkMode::DropBoth);
            this->runAfter(step.duration, [&link] { link.setMode(LinkMode::Forward); });
        }
        return;
    }
    this->history.storeFaults.push_back({this->now(), this->now() + step.duration});
    switch (step.kind) {
    case FaultKind::StoreDropsHistory:
        this->store->dropHistory();
        return;
    case FaultKind::StoreRegistrationsExpire:
        this->expireRegistrations(step);
        return;
    case FaultKind::StoreSlow:
        this->store->setDelay(Milliseconds{static_cast<std::int64_t>(800 * step.intensity)});
        break;
    case FaultKind::StoreLosesResponses:
        this->store->setLossShare(step.intensity);
        break;
    case FaultKind::StoreUnresponsive:
        this->store->setMode(StoreMode::Unresponsive);
        this->runAfter(step.duration + editDelay,
                       [this, step] { this->editConfig(step.target, true); });
        break;
    case FaultKind::StoreBusy:
        this->store->setMode(StoreMode::Unavailable);
        break;
    default:
        this->store->setMode(StoreMode::ResetsConnections);
        break;
    }
    this->runAfter(step.duration, [this] {
        this->store->setDelay(Milliseconds{0});
        this->store->setLossShare(0.0);
        this->store->setMode(StoreMode::Healthy);
    });
}

void Soak::expireRegistrations(const FaultStep &step)
{
    this->store->setMode(StoreMode::Unavailable);
    const std::vector<std::size_t> expired = this->activeUpstreams;
    for (const std::size_t index : expired) {
        this->store->remove("servers", this->upstreams[index].upstream->name());
    }
    this->runAfter(step.duration, [this] { this->store->setMode(StoreMode::Healthy); });
    constexpr Milliseconds renewalDelay{1200};
    this->history.storeFaults.push_back({this->now(), this->now() + step.duration + renewalDelay});
    this->runAfter(step.duration + renewalDelay, [this, expired] {
        for (const std::size_t index : expired) {
            const bool isActive =
                std::find(this->activeUpstreams.begin(), this->activeUpstreams.end(), index)
                != this->activeUpstreams.end();
            if (isActive) {
                this->registerUpstream(index, false);
            }
        }
    });
}

void Soak::applyConfigOrCallStep(const FaultStep &step)
{
    if (step.kind == FaultKind::PoisonCall) {
        this->callers->startPoisonCaller(fmt::format("{}-{}", poisonBodyPrefix, step.at.count()),
                                         poisonCallCount);
        return;
    }
    this->editConfig(step.target, step.kind == FaultKind::NewRoute);
}

void Soak::editConfig(std::size_t choice, bool addRoute)
{
    this->version += 1 + choice % 3;
    if (addRoute) {
        this->environment.routeVersions.push_back(this->version);
    } else {
        const std::size_t key = 1 + this->history.revokedKeys.size();
        if (key < this->environment.keys.size()) {
            this->history.revokedKeys[this->environment.keys[key]] = this->version;
        }
    }
    this->writeConfig();
}

} // namespace plantainswitch::soak
