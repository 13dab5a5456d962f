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

/// A running router. Its components are declared in the order in which they depend on each other.
class Router
{
public:
    /// \param dropPeerTraffic for tests: tells which traffic to peers is dropped
    Router(Settings settings, const Clock &clock, PeerDropFilter dropPeerTraffic = {});
    ~Router();
    Router(const Router &) = delete;
    Router &operator=(const Router &) = delete;

    /// Serves until a graceful stop has completed or kill() is called.
    /// \throws std::system_error if an address can't be bound.
    void run();
    /// Starts a graceful stop, which finishes the requests in flight. Thread-safe.
    void stop();
    /// Stops at once without draining, as a crash would, for failure tests. Thread-safe.
    void kill();
    /// Blocks all worker threads, as a paused VM would, for failure tests. Sockets stay open.
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
    /// Destroyed before the node: handlers that never ran are destroyed with it, and the requests
    /// that they own still update the node's tables then.
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
    std::shared_ptr<CoordinatorService> coordinatorService;
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
