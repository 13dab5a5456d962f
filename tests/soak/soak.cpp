#include "soak.h"

#include <algorithm>
#include <csignal>
#include <fstream>

#include <fmt/format.h>
#include <unistd.h>

#include "documents.h"

namespace plantainswitch::soak {

namespace {

constexpr std::uint16_t callersPort = 7101;
constexpr std::uint16_t readinessPort = 7102;
constexpr std::uint16_t datagramPort = 7103;
constexpr std::uint16_t peerPort = 7104;
constexpr std::uint16_t storePort = 7105;
constexpr std::uint16_t storeLinkPort = 7106;
constexpr std::uint16_t upstreamPort = 7107;
constexpr std::uint16_t linkPort = 7108;
/// Last numbers of the loopback addresses: the store, routers from here on, upstreams likewise.
constexpr std::size_t storeHost = 1;
constexpr std::size_t firstRouterHost = 10;
constexpr std::size_t firstUpstreamHost = 100;
constexpr std::size_t mostUpstreams = 150;
constexpr std::size_t keyCount = 24;
/// Time for the routers to start and find everything before callers come.
constexpr Milliseconds warmUp{1500};
/// Calm at the end, beyond what the checks allow for recovery.
constexpr Milliseconds calmSpan{9000};
constexpr Milliseconds lastAnswers{6000};
constexpr Milliseconds watchPause{20};
/// A stop may take so long; the settings say the same.
constexpr std::int64_t graceSeconds = 6;
/// How long a leaving upstream still serves.
constexpr Milliseconds leavingSpan{9000};
/// How long an upstream is down that a request has crashed.
constexpr Milliseconds crashedSpan{1500};
constexpr std::size_t crasherTimes = 20;
/// From the return of a silent store to the edit that follows it.
constexpr Milliseconds editDelay{50};

} // namespace

Soak::Soak(const SoakOptions &options, std::vector<HarmStep> plan, std::string program,
           std::filesystem::path directory)
    : options(options)
    , plan(std::move(plan))
    , program(std::move(program))
    , directory(std::move(directory))
{}

Soak::~Soak() = default;

SoakTime Soak::now() const
{
    return std::chrono::duration_cast<SoakTime>(this->clock.now() - this->begin);
}

Endpoint Soak::at(std::size_t host, std::uint16_t port) const
{
    // A net of its own for each process, so that several soaks run side by side.
    const auto process = static_cast<std::uint32_t>(getpid());
    constexpr std::uint32_t nets = 250;
    return {fmt::format("127.{}.{}.{}", 1 + process / nets % nets, 1 + process % nets, host), port};
}

void Soak::after(Milliseconds delay, std::function<void()> work)
{
    const auto timer = std::make_shared<asio::steady_timer>(this->context, delay);
    timer->async_wait([timer, work = std::move(work)](const asio::error_code &error) {
        if (!error) {
            work();
        }
    });
}

void Soak::noteRouterHarm(std::size_t number, SoakTime from, SoakTime to)
{
    this->history.routerHarms[number].push_back({from, to});
}

void Soak::writeConfig()
{
    ConfigDocument config{this->version, this->world.routeVersions, {}};
    for (const std::string &key : this->world.keys) {
        if (!this->history.revokedKeys.contains(key)) {
            config.keys.push_back(key);
        }
    }
    this->store->put("config", "main", textOf(config));
    this->history.versions.push_back({this->version, this->now()});
}

void Soak::announce(std::size_t slot, bool isLeaving)
{
    this->store->put("servers", this->slots[slot].upstream->name(),
                     upstreamEntry(this->at(firstUpstreamHost + slot, linkPort),
                                   slot % 2 == 0 ? "hall-a" : "hall-b", isLeaving));
}

void Soak::addUpstream()
{
    const std::size_t slot = this->slots.size();
    const Endpoint own = this->at(firstUpstreamHost + slot, upstreamPort);
    Slot made;
    made.upstream =
        std::make_unique<SoakUpstream>(this->context, this->clock, fmt::format("u-{}", slot), own,
                                       this->options.seed + slot, this->history, this->begin);
    made.link = std::make_unique<SoakLink>(this->context,
                                           this->at(firstUpstreamHost + slot, linkPort), own);
    made.upstream->onCrash([this, slot] {
        // After the request's own turn, which still uses the upstream.
        this->after(Milliseconds{0}, [this, slot] {
            this->history.upstreamHarms.push_back({this->now(), this->now() + crashedSpan});
            this->crash(slot, crashedSpan);
        });
    });
    this->slots.push_back(std::move(made));
    this->serving.push_back(slot);
    this->announce(slot, false);
}

void Soak::addRouter(std::size_t number)
{
    const std::size_t host = firstRouterHost + number;
    Router made;
    made.callers = this->at(host, callersPort);
    made.storeLink = std::make_unique<SoakLink>(this->context, this->at(host, storeLinkPort),
                                                this->at(storeHost, storePort));
    std::vector<std::string> seeds;
    for (std::size_t i = 0; i < std::min<std::size_t>(this->options.routers, 3); ++i) {
        seeds.push_back(toText(this->at(firstRouterHost + i, peerPort)));
    }
    const RouterDocument settings{fmt::format("router-{}", number),
                                  number % 2 == 0 ? "hall-a" : "hall-b",
                                  made.callers,
                                  readinessPort,
                                  datagramPort,
                                  peerPort,
                                  seeds,
                                  this->at(host, storeLinkPort),
                                  graceSeconds};
    const std::string path = this->directory / fmt::format("router-{}.json", number);
    std::ofstream(path) << textOf(settings);
    made.process = std::make_unique<RouterProcess>(
        this->program, path, this->directory / fmt::format("router-{}.log", number));
    this->world.routers.push_back({made.callers, 0});
    this->routers.push_back(std::move(made));
    this->routers.back().process->start();
}

const SoakHistory &Soak::play()
{
    this->begin = this->clock.now();
    this->store = std::make_unique<SoakStore>(this->context, this->clock,
                                              this->at(storeHost, storePort), this->options.seed);
    for (std::size_t i = 0; i < keyCount; ++i) {
        this->world.keys.push_back(fmt::format("key-{}", i));
    }
    this->writeConfig();
    for (std::size_t i = 0; i < this->options.upstreams; ++i) {
        this->addUpstream();
    }
    for (std::size_t i = 0; i < this->options.routers; ++i) {
        this->addRouter(i);
        this->noteRouterHarm(i, SoakTime{0}, warmUp);
    }
    this->watchProcesses();
    this->callers = std::make_unique<SoakCallers>(this->context, this->clock, this->world,
                                                  this->options.seed, this->history, this->begin);
    this->after(warmUp, [this] { this->callers->start(this->options.callers); });
    for (const HarmStep &step : this->plan) {
        this->after(warmUp + step.at, [this, step] { this->apply(step); });
    }
    const auto harmful = warmUp + SoakTime{static_cast<std::int64_t>(this->options.seconds * 1000)};
    // The last harms last on for a while.
    this->history.calmFrom = harmful + Milliseconds{4000};
    this->after(this->history.calmFrom + calmSpan, [this] { this->callers->stop(); });
    this->after(this->history.calmFrom + calmSpan + lastAnswers, [this] {
        this->isOver = true;
        this->context.stop();
    });
    this->context.run();
    this->history.end = this->now();
    return this->history;
}

void Soak::apply(const HarmStep &step)
{
    const std::size_t router = step.target % this->routers.size();
    const std::size_t slot = this->serving[step.target % this->serving.size()];
    if (step.kind <= HarmKind::RollingStop) {
        this->harmRouter(step, router);
    } else if (step.kind <= HarmKind::UpstreamLeaves) {
        this->harmUpstream(step, slot);
    } else if (step.kind <= HarmKind::LinkOneWay) {
        this->harmLink(step, slot);
    } else if (step.kind <= HarmKind::StoreLapses) {
        this->harmStore(step, router);
    } else {
        this->changeConfig(step);
    }
}

void Soak::harmRouter(const HarmStep &step, std::size_t number)
{
    Router &router = this->routers[number];
    switch (step.kind) {
    case HarmKind::RouterKill:
        this->killRouter(number, step.span);
        return;
    case HarmKind::RouterPause:
        router.process->signal(SIGSTOP);
        this->noteRouterHarm(number, this->now(), this->now() + step.span);
        this->after(step.span, [this, number] { this->routers[number].process->signal(SIGCONT); });
        return;
    case HarmKind::RouterStop:
        this->stopRouter(number);
        return;
    case HarmKind::RouterReload:
        router.process->signal(SIGHUP);
        return;
    case HarmKind::AllRoutersKill:
        for (std::size_t each = 0; each < this->routers.size(); ++each) {
            this->killRouter(each, step.span / 2);
        }
        return;
    default:
        for (std::size_t each = 0; each < this->routers.size(); ++each) {
            this->after(step.span * each, [this, each] { this->stopRouter(each); });
        }
        return;
    }
}

void Soak::killRouter(std::size_t number, Milliseconds down)
{
    Router &router = this->routers[number];
    if (!router.process->isRunning()) {
        return;
    }
    router.isEndExpected = true;
    router.process->signal(SIGKILL);
    this->noteRouterHarm(number, this->now(), this->now() + down);
    this->after(down, [this, number] { this->restartRouter(number); });
}

void Soak::stopRouter(std::size_t number)
{
    Router &router = this->routers[number];
    if (!router.process->isRunning() || router.isEndExpected) {
        return;
    }
    router.isEndExpected = true;
    router.isStopping = true;
    this->history.plannedStops[number].push_back(this->now());
    router.process->signal(SIGTERM);
}

void Soak::restartRouter(std::size_t number)
{
    Router &router = this->routers[number];
    if (this->isOver || router.process->isRunning()) {
        return;
    }
    router.isEndExpected = false;
    router.isStopping = false;
    this->world.routers[number].lifetime += 1;
    router.process->start();
}

void Soak::watchProcesses()
{
    for (std::size_t number = 0; number < this->routers.size(); ++number) {
        Router &router = this->routers[number];
        const auto end = router.process->reap();
        if (!end) {
            continue;
        }
        if (!router.isEndExpected
            || (router.isStopping && *end != "exit 0" && !end->starts_with("signal 9"))) {
            this->history.ownEnds.push_back(
                fmt::format("router {} ended with {} at {} ms", number, *end, this->now().count()));
        }
        const bool isHandled = router.isEndExpected && !router.isStopping;
        if (!isHandled) {
            this->noteRouterHarm(number, this->now(), this->now() + watchPause);
            this->restartRouter(number);
        }
    }
    this->after(watchPause, [this] { this->watchProcesses(); });
}

void Soak::harmUpstream(const HarmStep &step, std::size_t slot)
{
    SoakUpstream &upstream = *this->slots[slot].upstream;
    if (step.kind == HarmKind::UpstreamLeaves) {
        this->leave(slot);
        return;
    }
    this->history.upstreamHarms.push_back({this->now(), this->now() + step.span});
    if (step.kind == HarmKind::UpstreamCrash) {
        this->crash(slot, step.span);
        return;
    }
    UpstreamFaults faults;
    faults.isDark = step.kind == HarmKind::UpstreamDark;
    faults.slowness = step.kind == HarmKind::UpstreamSlow ? 1.0 + 15.0 * step.strength : 1.0;
    faults.fail = step.kind == HarmKind::UpstreamFails ? step.strength : 0.0;
    faults.reject = step.kind == HarmKind::UpstreamRejects ? step.strength : 0.0;
    faults.loseAnswer = step.kind == HarmKind::UpstreamLosesAnswers ? step.strength : 0.0;
    faults.breakOff = step.kind == HarmKind::UpstreamBreaksOff ? step.strength : 0.0;
    faults.extraAnswer = step.kind == HarmKind::UpstreamAddsAnswers ? step.strength : 0.0;
    upstream.setFaults(faults);
    this->after(step.span, [&upstream] { upstream.setFaults({}); });
}

void Soak::crash(std::size_t slot, Milliseconds down)
{
    this->slots[slot].upstream->crash();
    this->slots[slot].link->refuse();
    this->after(down, [this, slot] {
        this->slots[slot].upstream->restart();
        this->slots[slot].link->takeAgain();
    });
}

void Soak::leave(std::size_t slot)
{
    if (this->slots.size() >= mostUpstreams) {
        return;
    }
    // The new one serves before the old one leaves.
    this->addUpstream();
    std::erase(this->serving, slot);
    this->announce(slot, true);
    this->history.leavingSince[this->slots[slot].upstream->name()] = this->now();
    this->after(leavingSpan, [this, slot] {
        this->store->remove("servers", this->slots[slot].upstream->name());
        this->slots[slot].upstream->crash();
        this->slots[slot].link->refuse();
    });
}

void Soak::harmLink(const HarmStep &step, std::size_t slot)
{
    SoakLink &link = *this->slots[slot].link;
    this->history.upstreamHarms.push_back({this->now(), this->now() + step.span});
    switch (step.kind) {
    case HarmKind::LinkDelay:
        link.setDelay(Milliseconds{static_cast<std::int64_t>(300 * step.strength)});
        this->after(step.span, [&link] { link.setDelay(Milliseconds{0}); });
        return;
    case HarmKind::LinkReset:
        link.resetAll();
        return;
    case HarmKind::LinkSilent:
        link.setMood(LinkMood::Silent);
        break;
    default:
        link.setMood(step.target % 2 == 0 ? LinkMood::SilentTowardsServer
                                          : LinkMood::SilentTowardsClient);
        break;
    }
    this->after(step.span, [&link] { link.setMood(LinkMood::Open); });
}

void Soak::harmStore(const HarmStep &step, std::size_t router)
{
    SoakLink &link = *this->routers[router].storeLink;
    if (step.kind == HarmKind::StoreLinkSilent || step.kind == HarmKind::StoreLinkReset) {
        this->noteRouterHarm(router, this->now(), this->now() + step.span);
        link.resetAll();
        if (step.kind == HarmKind::StoreLinkSilent) {
            link.setMood(LinkMood::Silent);
            this->after(step.span, [&link] { link.setMood(LinkMood::Open); });
        }
        return;
    }
    this->history.storeHarms.push_back({this->now(), this->now() + step.span});
    switch (step.kind) {
    case HarmKind::StoreDropsHistory:
        this->store->dropHistory();
        return;
    case HarmKind::StoreLapses:
        this->lapse(step);
        return;
    case HarmKind::StoreSlow:
        this->store->setDelay(Milliseconds{static_cast<std::int64_t>(800 * step.strength)});
        break;
    case HarmKind::StoreLosesAnswers:
        this->store->setLoss(step.strength);
        break;
    case HarmKind::StoreSilent:
        this->store->setMood(StoreMood::Silent);
        this->after(step.span + editDelay, [this, step] { this->edit(step.target, true); });
        break;
    case HarmKind::StoreBusy:
        this->store->setMood(StoreMood::Busy);
        break;
    default:
        this->store->setMood(StoreMood::Resetting);
        break;
    }
    this->after(step.span, [this] {
        this->store->setDelay(Milliseconds{0});
        this->store->setLoss(0.0);
        this->store->setMood(StoreMood::Well);
    });
}

void Soak::lapse(const HarmStep &step)
{
    this->store->setMood(StoreMood::Busy);
    const std::vector<std::size_t> lapsed = this->serving;
    for (const std::size_t slot : lapsed) {
        this->store->remove("servers", this->slots[slot].upstream->name());
    }
    this->after(step.span, [this] { this->store->setMood(StoreMood::Well); });
    constexpr Milliseconds renewal{1200};
    this->history.storeHarms.push_back({this->now(), this->now() + step.span + renewal});
    this->after(step.span + renewal, [this, lapsed] {
        for (const std::size_t slot : lapsed) {
            const bool isServing =
                std::find(this->serving.begin(), this->serving.end(), slot) != this->serving.end();
            if (isServing) {
                this->announce(slot, false);
            }
        }
    });
}

void Soak::changeConfig(const HarmStep &step)
{
    if (step.kind == HarmKind::CrashingCall) {
        this->callers->startCrasher(fmt::format("{}-{}", poisonBody, step.at.count()),
                                    crasherTimes);
        return;
    }
    this->edit(step.target, step.kind == HarmKind::NewRoute);
}

void Soak::edit(std::size_t choice, bool addsRoute)
{
    this->version += 1 + choice % 3;
    if (addsRoute) {
        this->world.routeVersions.push_back(this->version);
    } else {
        const std::size_t key = 1 + this->history.revokedKeys.size();
        if (key < this->world.keys.size()) {
            this->history.revokedKeys[this->world.keys[key]] = this->version;
        }
    }
    this->writeConfig();
}

} // namespace plantainswitch::soak
