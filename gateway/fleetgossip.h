#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>

#include <asio/ip/udp.hpp>
#include <asio/steady_timer.hpp>

#include "peer.pb.h"

#include "plantainswitch/routing/enginecoordinator.h"
#include "plantainswitch/routing/routercontacts.h"

#include "gatewaystate.h"
#include "originexchange.h"
#include "slotqueueclient.h"
#include "slotqueuecoordinator.h"

namespace plantainswitch::gateway {

/// Gossip between the routers of a fleet: sends this router's load on upstreams, faults and
/// performance estimates to the others and applies theirs.
class FleetGossip
{
public:
    /// \param onUpdate called after each update that was applied
    FleetGossip(GatewayState &gateway, std::uint64_t incarnation, std::function<void()> onUpdate);

    /// Opens the UDP socket, adds the seeds and starts to send updates. Throws if the address is
    /// not available.
    void start();
    /// Passes on what only this router may know of its callers' streams, because it stops.
    void passOnOrigins();
    /// Sends a last update that announces the stop to all routers, and closes the socket.
    void stop();
    /// Asks the coordinator of the engine in \a grantRequest for a grant. \a done is called once:
    /// with the reply, or with nothing after a timeout of a few round trips.
    void requestGrant(EngineGrantRequest grantRequest,
                      std::function<void(std::optional<EngineGrantReply>)> done);
    /// Reports to the coordinator that a granted request has ended.
    void releaseGrant(std::uint64_t incarnation, std::uint64_t requestId,
                      const GrantRelease &release = {});
    /// Asks the coordinator of a contended upstream for a slot, as SlotQueueClient::ask() does. The
    /// slot, or the wait for it, is ended by releaseGrant().
    void requestSlot(QueueAsk ask, std::string attempt, SlotQueueClient::Done done);
    /// \returns the slot queues of the upstreams that this router coordinates.
    [[nodiscard]] const SlotQueueCoordinator &slotQueuesHere() const noexcept
    {
        return this->slotQueues;
    }
    /// Reports a response of a brittle upstream to its coordinator.
    /// \param load requests that the upstream states to hold
    /// \param isRejection it rejected the request for want of room
    void reportBrittleResponse(const Replica &replica, std::optional<std::uint32_t> load,
                               bool isRejection);
    /// \returns the number of grants that this router keeps as coordinator for runs that were given
    /// up.
    [[nodiscard]] std::size_t abandonedGrantCount() const noexcept
    {
        return this->coordinator.brittle().abandonedCount();
    }
    /// \returns an id for the next request to a coordinator.
    [[nodiscard]] std::uint64_t nextRequestId() noexcept { return ++this->lastRequestId; }
    /// \returns the address at which this router receives updates. Valid after start().
    [[nodiscard]] Endpoint localEndpoint() const;
    /// Adds the address of a router, learnt from the store or the settings.
    void addRouter(const Endpoint &datagrams);
    /// \returns the exchange of streams' origins with the other routers.
    [[nodiscard]] OriginExchange &origins() noexcept { return this->originExchange; }
    /// \returns the other routers and what is known of them.
    [[nodiscard]] const RouterContacts &routers() const noexcept { return this->contacts; }
    /// \returns whether a router that is connected to the store is alive.
    [[nodiscard]] bool isWatcherAlive() const;
    /// \returns the rank of this router among those that watch the store for its data centre, 0 for
    /// the first one; nothing if it is not one of them.
    [[nodiscard]] std::optional<std::size_t> watchRank() const;
    /// \returns whether this router is the only one of the fleet designated to act for \a key.
    [[nodiscard]] bool isDesignatedFor(std::uint64_t key) const;
    /// \returns the address for calls of a router to which a request can be forwarded.
    [[nodiscard]] std::optional<Endpoint> forwardTarget(const ForwardQuery &query) const;
    /// Sends an update to the routers of this data centre soon, because they wait for a change.
    /// Routers elsewhere get it with their next regular update.
    void scheduleBroadcast();
    /// \returns how many routers precede this one in confirming the fleet's state with the store.
    [[nodiscard]] std::size_t confirmerRank() const;
    /// \returns when the store last confirmed to another router what this one knows of \a kind.
    [[nodiscard]] TimePoint confirmedAt(StoreObjectKind kind) const;
    /// \returns the address for calls of a router that knows a newer list of upstreams than this
    /// one.
    [[nodiscard]] std::optional<Endpoint> routerWithNewerUpstreams() const;
    /// \returns the same for the routing configuration.
    [[nodiscard]] std::optional<Endpoint> routerWithNewerConfig() const;
    /// \returns the newest revision of upstreams that this router knows, from the store or from
    /// other routers.
    [[nodiscard]] std::uint64_t latestRevision() const;

private:
    /// A response of a brittle upstream.
    struct BrittleResponse
    {
        std::uint64_t incarnation = 0;
        std::optional<std::uint32_t> load;
        bool isRejection = false;
    };

    struct PendingAsk
    {
        std::function<void(std::optional<EngineGrantReply>)> done;
        std::unique_ptr<asio::steady_timer> timer;
    };

    void waitForDatagrams();
    /// Reads the datagrams that have arrived, up to a limit.
    void receiveWaiting();
    void onDatagram(std::size_t size);
    void onUpdateMessage(const wire::RouterNews &message, const Endpoint &from);
    void onAsk(const wire::EngineAsk &message, const Endpoint &from);
    void onQueueAsk(const wire::EngineAsk &message, const Endpoint &from);
    /// Sends the end of a request's wait to its router.
    void sendQueueReply(const std::string &router, const QueueReply &reply);
    void onReply(const wire::EngineReply &message, const Endpoint &from);
    /// Ends what a coordinator holds for a request that has ended here.
    void onUnknownReply(const wire::EngineReply &message, const Endpoint &from);
    /// Handles the end of a wait at this router's own coordinator.
    void onOwnQueueReply(const QueueReply &reply);
    /// Revokes the grants of this router's own coordinator whose requests have ended here.
    void reconcileOwnSlots();
    void onEnd(const wire::EngineEnd &message, const Endpoint &from);
    void onGrantEnd(const wire::EngineEnd &message, const Endpoint &from);
    /// Records a response of a brittle engine that this router coordinates.
    /// \param router that reports it
    void onBrittleResponse(const BrittleResponse &response, const std::string &router);
    /// Fills in by what limits the coordinator grants \a request, and merges its and the requesting
    /// router's knowledge of whether the engine is cold.
    /// \returns how much longer the engine is believed to be cold.
    Milliseconds preparePermit(EngineGrantRequest &request);
    /// Sets the bound on a brittle engine's requests, by both routers' knowledge and by how much of
    /// the fleet this router reaches.
    /// \param engine nullptr if this router does not know the engine
    void prepareBrittleBound(EngineGrantRequest &request, const UpstreamState *engine);
    /// Applies which upstreams another router has ejected, and on which its requests timed out.
    void applyPeerHealth(const RouterUpdate &update, TimePoint now);
    /// Applies the evacuations that another router knows.
    void applyEvacuationUpdate(const wire::RouterNews &message);
    void dropGrants(const std::string &id);
    void reconcileGrants(const RouterUpdate &update);
    /// Applies the performance estimates of another router.
    void applyPerformanceReports(const wire::RouterNews &message, TimePoint now);
    void appendPerformanceReports(wire::RouterNews &message) const;
    /// Applies the rates of workspaces' requests at another router.
    void applyWorkspaceUse(const wire::RouterNews &message, TimePoint now);
    void appendWorkspaceUse(wire::RouterNews &message, TimePoint now);
    /// Applies another router's samples of upstreams' speeds.
    void applySpeedReports(const wire::RouterNews &message, TimePoint now);
    /// Appends this router's samples to the first update in each report interval.
    /// \param lastSent when the receivers were last sent an update
    /// \param routers number of the fleet's routers, with which the interval grows
    void appendSpeedReports(wire::RouterNews &message, TimePoint lastSent,
                            std::size_t routers) const;
    [[nodiscard]] std::uint64_t configVersion() const;
    /// Applies the crash reports of another router.
    void applyCrashUpdate(const wire::RouterNews &message, TimePoint now);
    /// Replies to the first update of a router that has just started. Addresses of other routers
    /// are left out if it already knows most of them.
    /// \param knownByReceiver number of routers that it knows
    void sendInitialState(const Endpoint &joining, const std::string &id,
                          std::size_t knownByReceiver);
    /// \returns which engines cache which shared prefixes, as far as this router knows.
    [[nodiscard]] std::vector<PrefixReport> prefixSnapshot(TimePoint now) const;
    void appendRouterAddresses(wire::RouterNews &message) const;
    void sendTo(const Endpoint &address, const wire::GatewayDatagram &datagram);
    /// \returns the address for calls of a router with a configuration newer than \a configVersion
    /// or a list of upstreams newer than \a revision.
    [[nodiscard]] std::optional<Endpoint> newerRouter(std::uint64_t configVersion,
                                                      std::uint64_t revision) const;
    /// \returns the address of the engine's coordinator; nothing if it is this router.
    [[nodiscard]] std::optional<Endpoint> coordinatorOf(std::uint64_t upstream) const;
    /// \returns the same with the identity that its updates state.
    [[nodiscard]] std::optional<RouterIdentity> slotCoordinatorOf(std::uint64_t upstream) const;
    [[nodiscard]] RouterIdentity ownIdentity() const;
    void tick();
    void broadcast(BroadcastScope scope);
    /// \returns an update for a router that was last sent one at \a since.
    [[nodiscard]] RouterUpdate updateSince(TimePoint since);
    [[nodiscard]] wire::GatewayDatagram encode(const RouterUpdate &update) const;

    GatewayState &gateway;
    std::uint64_t incarnation;
    std::function<void()> onUpdate;
    std::uint64_t sequence = 0;
    asio::ip::udp::socket socket;
    asio::steady_timer timer;
    std::array<char, 65536> buffer{};
    asio::ip::udp::endpoint sender;
    RouterContacts contacts;
    OriginExchange originExchange;
    EngineCoordinator coordinator;
    SlotQueueCoordinator slotQueues;
    SlotQueueClient slots;
    /// Starts at a value of the incarnation's own, because coordinators may still hold grants of an
    /// earlier one.
    std::uint64_t lastRequestId;
    std::unordered_map<std::uint64_t, PendingAsk> pendingGrantRequests;
    /// Address of the coordinator that granted each request. Another router may be the coordinator
    /// by the time the request ends.
    std::unordered_map<std::uint64_t, Endpoint> grantors;
    /// When routers were lost that have not come back, by id.
    std::map<std::string, TimePoint> lostRouters;
    /// Which routers get the next broadcast in addition to those that are due.
    BroadcastScope nextBroadcastScope = BroadcastScope::Due;
    bool stopped = false;
};

} // namespace plantainswitch::gateway
