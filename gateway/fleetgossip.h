#pragma once

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>

#include <asio/ip/udp.hpp>
#include <asio/steady_timer.hpp>

#include "peer.pb.h"

#include "plantainswitch/routing/enginecoordinator.h"
#include "plantainswitch/routing/routercontacts.h"

#include "gatewaystate.h"

namespace plantainswitch::gateway {

/// Sends updates of what this router has at the upstreams to the other routers, and takes theirs.
class FleetGossip
{
public:
    /// \param onUpdate runs after each update taken
    FleetGossip(GatewayState &gateway, std::uint64_t incarnation, std::function<void()> onUpdate);

    void start();
    void stop();
    /// Asks the keeper of \a question's engine. \a done comes once: with its answer, or with
    /// nothing when it is silent for longer than a few round trips.
    void requestGrant(EngineGrantRequest question,
                      std::function<void(std::optional<EngineGrantReply>)> done);
    /// Tells the keeper that a granted request has ended.
    void releaseGrant(std::uint64_t life, std::uint64_t number);
    /// \returns a number for the next question.
    [[nodiscard]] std::uint64_t nextRequestId() noexcept { return ++this->lastRequestId; }
    /// \returns the address at which updates reach this router, once started.
    [[nodiscard]] Endpoint localEndpoint() const;
    /// Adds a router's address, learnt from the store or the settings.
    void addRouter(const Endpoint &datagrams);
    /// \returns the other routers as they were last seen.
    [[nodiscard]] const RouterContacts &routers() const noexcept { return this->contacts; }
    /// \returns whether a router that the store answers is alive.
    [[nodiscard]] bool isWatcherAlive() const;
    /// \returns the position of this router among those that watch the store for its data centre, 0
    /// for the first one; nothing if it is none of them.
    [[nodiscard]] std::optional<std::size_t> watchRank() const;
    /// \returns whether this router is the one of the fleet that does what only one may do, for \a
    /// key.
    [[nodiscard]] bool isDesignatedFor(std::uint64_t key) const;
    /// Tells the routers of this data centre soon, because something changed that they wait for;
    /// the others hear of it when it is their turn.
    void scheduleBroadcast();
    /// \returns how many routers come before this one in having the store confirm what
    /// the fleet knows.
    [[nodiscard]] std::size_t confirmerRank() const;
    /// \returns when the store last confirmed to another router what this one knows of \a kind.
    [[nodiscard]] TimePoint confirmedAt(StoreObjectKind kind) const;
    /// \returns the address for calls of a router that knows more of the store than this one.
    [[nodiscard]] std::optional<Endpoint> newerRouter() const;

private:
    struct PendingAsk
    {
        std::function<void(std::optional<EngineGrantReply>)> done;
        std::unique_ptr<asio::steady_timer> timer;
    };

    void receive();
    void onDatagram(std::size_t size);
    void onUpdateMessage(const wire::RouterNews &message, const Endpoint &from);
    void onAsk(const wire::EngineAsk &message, const Endpoint &from);
    void onReply(const wire::EngineReply &message);
    void dropGrants(const std::string &id);
    void reconcileGrants(const RouterUpdate &update);
    /// Takes another router's estimates of what upstreams are like.
    void applyPerformanceReports(const wire::RouterNews &message, TimePoint now);
    void appendPerformanceReports(wire::RouterNews &message) const;
    /// \returns the newest change of upstreams that this router knows, from the store or from
    /// others.
    [[nodiscard]] std::uint64_t latestRevision() const;
    [[nodiscard]] std::uint64_t configVersion() const;
    /// Takes what another router saw of requests that crash upstreams.
    void applyCrashUpdate(const wire::RouterNews &message, TimePoint now);
    /// Answers the first update of a router that has just started: without others' addresses if it
    /// knows most of them, \a knownThere.
    void sendInitialState(const Endpoint &joining, const std::string &id, std::size_t knownThere);
    /// \returns where shared prefixes are cached, as far as this router knows.
    [[nodiscard]] std::vector<PrefixReport> prefixSnapshot(TimePoint now) const;
    void appendRouterAddresses(wire::RouterNews &message) const;
    void sendTo(const Endpoint &address, const wire::GatewayDatagram &datagram);
    /// \returns the address of the engine's keeper; nothing when it is this router.
    [[nodiscard]] std::optional<Endpoint> coordinatorOf(std::uint64_t life) const;
    void tick();
    void broadcast(BroadcastScope scope);
    /// \returns the update for a router to which the last one was sent at \a since.
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
    EngineCoordinator coordinator;
    std::uint64_t lastRequestId = 0;
    std::unordered_map<std::uint64_t, PendingAsk> pendingGrantRequests;
    /// Who answered each granted question: the keeper may be another one by the time it ends.
    std::unordered_map<std::uint64_t, Endpoint> grantors;
    /// Whom the next turn tells besides those whose time it is.
    BroadcastScope nextBroadcastScope = BroadcastScope::Due;
    bool stopped = false;
};

} // namespace plantainswitch::gateway
