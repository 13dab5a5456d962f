#include "router.h"

#include <system_error>
#include <thread>

#include <asio/post.hpp>

#include "operators.h"

namespace plantainswitch {

namespace {

constexpr std::chrono::milliseconds drainPoll{50};
/// Time without a new request after which the load balancer has noticed the stop.
constexpr std::chrono::milliseconds quietPeriod{200};
/// A load balancer that never notices the stop is waited for at most this multiple of the linger
/// time.
constexpr int maxLingers = 5;

} // namespace

Router::Router(Settings settings, const Clock &clock, PeerDropFilter dropPeerTraffic)
    : node(std::move(settings), clock,
           static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch().count()))
    , signals(context, SIGTERM, SIGINT)
    , drainTimer(context)
    , platformHttp(context)
    , claimHttp(context)
    , link(std::make_shared<PeerTransport>(context, node))
    , membership(std::make_shared<MembershipService>(context, node, link))
    , leavingGossip(std::make_shared<LeavingGossip>(node, link))
    , coordinatorService(std::make_shared<CoordinatorService>(node, link))
    , shardSync(std::make_shared<ShardSync>(node, link))
    , limits(std::make_shared<LimitService>(node, link))
    , orders(std::make_shared<OrderService>(context, node, platformHttp))
    , peerCalls(node)
    , platformSync(
          std::make_shared<PlatformSync>(context, node, platformHttp, membership, peerCalls))
    , statusWriter(std::make_shared<StatusWriter>(context, node, platformHttp))
    , slots(std::make_shared<SlotClient>(context, node, link, coordinatorService))
    , claims(std::make_shared<ClaimService>(context, node, link, peerCalls, claimHttp))
    , suspects(std::make_shared<SuspectBroadcaster>(node, link))
{
    this->node.dropPeerTraffic = std::move(dropPeerTraffic);
    std::vector<net::HttpClient *> clients;
    for (std::uint32_t index = 0; index < this->node.settings.workers; ++index) {
        this->upstreamHttp.push_back(std::make_unique<net::HttpClient>(this->context));
        clients.push_back(this->upstreamHttp.back().get());
    }
    this->requestService = std::make_unique<RequestService>(this->node, this->slots, this->claims,
                                                            this->suspects, clients);
}

Router::~Router()
{
    // Waiting requests own the components that they wait in. A router destroyed with requests in
    // flight would otherwise leak itself and its sockets through these reference cycles.
    this->slots->dropPendingRequests();
    this->coordinatorService->dropWaiters();
    this->claims->dropPendingClaims();
    this->link->shutdown();
}

void Router::run()
{
    if (!this->peerCalls.start()) {
        throw std::system_error(std::make_error_code(std::errc::address_in_use),
                                "peer calls at " + toText(this->node.settings.peerCalls));
    }
    this->coordinatorService->start();
    this->shardSync->start();
    this->slots->start();
    this->claims->start();
    this->suspects->start();
    this->limits->start();
    this->orders->start();
    this->membership->start(
        [sync = std::weak_ptr<PlatformSync>(this->platformSync)](const Heartbeat &peer) {
            if (const auto target = sync.lock()) {
                target->pullFrom(peer);
            }
        });
    this->leavingGossip->start();
    this->link->start();
    this->platformSync->start();
    this->statusWriter->start();
    this->openServers();
    this->awaitSignal();
    logEvent(Event::Started, {{"callers", toText(this->node.settings.callers)}});
    std::vector<std::thread> workers;
    workers.reserve(this->node.settings.workers);
    for (std::uint32_t index = 0; index < this->node.settings.workers; ++index) {
        workers.emplace_back([this] { this->context.run(); });
    }
    for (std::thread &worker : workers) {
        worker.join();
    }
    this->peerCalls.stop();
    logEvent(Event::Stopped, {});
}

void Router::stop()
{
    asio::post(this->context, [this] { this->beginStop(); });
}

void Router::kill()
{
    this->context.stop();
    this->workerPause.end();
}

void Router::pauseWorkers()
{
    this->workerPause.begin(this->context, this->node.settings.workers);
}

void Router::resumeWorkers()
{
    this->workerPause.end();
}

void Router::openServers()
{
    const Settings &settings = this->node.settings;
    // Twice the allowed body, so that a body above the limit is refused with a reason and the
    // connection is closed only above twice the limit.
    this->callers = std::make_unique<net::HttpServer>(
        this->context,
        net::HttpServerOptions{settings.callers.host, settings.callers.port,
                               2 * std::size_t{settings.maxBodyBytes}},
        [this](net::HttpRequest request, std::shared_ptr<net::HttpResponder> reply) {
            this->requestService->serve(std::move(request), std::move(reply));
        });
    this->operators = std::make_unique<net::HttpServer>(
        this->context, net::HttpServerOptions{settings.operators.host, settings.operators.port},
        [this](const net::HttpRequest &request, const std::shared_ptr<net::HttpResponder> &reply) {
            serveOperator(this->node, request, *reply);
        });
    this->callers->open();
    this->operators->open();
}

void Router::awaitSignal()
{
    this->signals.async_wait([this](const asio::error_code &error, int) {
        if (error) {
            return;
        }
        this->awaitSignal();
        this->beginStop();
    });
}

void Router::beginStop()
{
    if (this->node.stopping.exchange(true)) {
        logEvent(Event::StopRepeated, {});
        return;
    }
    logEvent(Event::Stopping, {{"inFlight", std::to_string(this->node.inFlight)}});
    this->membership->announceState();
    this->shardSync->handOver();
    this->callers->closeAfterResponses();
    this->stopStartedAt = this->node.clock.now();
    this->afterDelay(std::chrono::milliseconds(this->node.settings.lingerMilliseconds),
                     &Router::awaitQuietPeriod);
}

void Router::afterDelay(std::chrono::milliseconds delay, void (Router::*next)())
{
    this->drainTimer.expires_after(delay);
    this->drainTimer.async_wait([this, next](const asio::error_code &error) {
        if (!error) {
            (this->*next)();
        }
    });
}

void Router::awaitQuietPeriod()
{
    const TimePoint now = this->node.clock.now();
    const std::chrono::milliseconds linger(this->node.settings.lingerMilliseconds);
    const bool quiet = now - this->callers->lastRequestTime() >= quietPeriod;
    if (!quiet && now - this->stopStartedAt < maxLingers * linger) {
        this->afterDelay(drainPoll, &Router::awaitQuietPeriod);
        return;
    }
    logEvent(Event::StopDraining, {{"inFlight", std::to_string(this->node.inFlight)}});
    this->callers->stopAccepting();
    // Connections accepted at the last moment are read and counted before drain() looks for
    // requests.
    this->afterDelay(drainPoll, &Router::drain);
}

void Router::drain()
{
    const bool busy = this->node.inFlight > 0 || this->callers->pendingResponses() > 0
                      || this->node.clock.now() - this->callers->lastRequestTime() < drainPoll;
    if (busy) {
        this->afterDelay(drainPoll, &Router::drain);
        return;
    }
    this->slots->flush(
        [this] { this->membership->announceLeave([this] { this->context.stop(); }); });
}

} // namespace plantainswitch
