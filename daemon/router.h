#pragma once

#include <memory>
#include <vector>

#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include "claimservice.h"
#include "coordinatorservice.h"
#include "httpclient.h"
#include "httpserver.h"
#include "leavinggossip.h"
#include "limitservice.h"
#include "membershipservice.h"
#include "node.h"
#include "orderservice.h"
#include "peercalls.h"
#include "peertransport.h"
#include "platformsync.h"
#include "requestservice.h"
#include "shardsync.h"
#include "slotclient.h"
#include "statuswriter.h"
#include "suspectbroadcaster.h"
#include "workerpause.h"

namespace plantainswitch {

/// The running router: its parts in the order in which they depend on each other.
class Router
{
public:
    /// \param peerLoss for tests: what of the traffic to peers gets lost
    Router(Settings settings, const Clock &clock, PeerDropFilter peerLoss = {});
    ~Router();
    Router(const Router &) = delete;
    Router &operator=(const Router &) = delete;

    /// Serves until a stop has ended. \throws std::system_error when an address can't be had.
    void run();
    /// Begins a graceful stop; what is in flight is finished first. Safe from any thread.
    void stop();
    /// Leaves at once, as a crash would, for tests of failures. Safe from any thread.
    void kill();
    /// Pauses all workers, as the pause of a VM does, for tests of failures; sockets stay open.
    void pauseWorkers();
    void resumeWorkers();

private:
    void openServers();
    void awaitSignal();
    void beginStop();
    void awaitQuietPeriod();
    void drain();
    void afterDelay(std::chrono::milliseconds delay, void (Router::*next)());

    Node node;
    /// Goes before the node: work that never ran dies with it, and requests in that work still
    /// count themselves out of the node's tables.
    asio::io_context context;
    WorkerPause workerPause;
    asio::signal_set signals;
    asio::steady_timer drainTimer;
    TimePoint stopStartedAt;
    net::HttpClient platformHttp;
    net::HttpClient claimHttp;
    std::vector<std::unique_ptr<net::HttpClient>> upstreamHttp;
    std::shared_ptr<PeerTransport> link;
    std::shared_ptr<MembershipService> membership;
    std::shared_ptr<LeavingGossip> leavingGossip;
    std::shared_ptr<CoordinatorService> keeperService;
    std::shared_ptr<ShardSync> shardSync;
    std::shared_ptr<LimitService> limits;
    std::shared_ptr<OrderService> orders;
    PeerCalls peerCalls;
    std::shared_ptr<PlatformSync> platformSync;
    std::shared_ptr<StatusWriter> statusWriter;
    std::shared_ptr<SlotClient> slots;
    std::shared_ptr<ClaimService> claims;
    std::shared_ptr<SuspectBroadcaster> suspects;
    std::unique_ptr<RequestService> requestService;
    std::unique_ptr<net::HttpServer> callers;
    std::unique_ptr<net::HttpServer> operators;
};

} // namespace plantainswitch
