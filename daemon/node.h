#pragma once

#include <atomic>
#include <cstdint>
#include <functional>

#include <asio/io_context.hpp>

#include "plantainswitch/plantainswitch.h"

#include "settings.h"

namespace plantainswitch {

/// Returns whether traffic to a peer's address is dropped. Set only by tests of network partitions.
using PeerDropFilter = std::function<bool(const Endpoint &to)>;

/// State that the components of a router share: settings, clock and tables.
struct Node
{
    Node(Settings settings, const Clock &clock, std::uint64_t incarnation);

    /// \returns this router's current heartbeat.
    [[nodiscard]] Heartbeat heartbeat() const;
    /// Updates the router counts that fleetSize() returns. Call on the peer transport's strand
    /// only.
    void updateRouterCounts(const std::vector<Heartbeat> &active);
    /// \returns the router counts by which the limits of workspaces are divided.
    [[nodiscard]] FleetSize fleetSize() const noexcept;
    /// \returns whether traffic to \a to is dropped.
    [[nodiscard]] bool dropsTrafficTo(const Endpoint &to) const
    {
        return this->dropPeerTraffic && this->dropPeerTraffic(to);
    }

    Settings settings;
    /// Must be set before the router runs.
    PeerDropFilter dropPeerTraffic;
    const Clock &clock;
    std::uint64_t incarnation;
    /// Hash of id and incarnation that identifies this process to its peers.
    std::uint64_t identity;
    CatalogueTable catalogue;
    MemberTable members;
    VmTable vms;
    UpstreamTable upstreams;
    ShardCoordinator shardCoordinator;
    OwnClaimTable ownClaims;
    SuspectTable suspects;
    LimitTable limits;
    RetryBudget retryBudget;
    ExplainTable explain;
    Metrics metrics;
    std::atomic<bool> stopping = false;
    std::atomic<std::uint64_t> inFlight = 0;
    std::atomic<std::uint64_t> nextRequestNumber = 1;
    KnownRouters knownRouters;
    std::atomic<std::size_t> activeRouterCount = 1;
    std::atomic<std::size_t> knownRouterCount = 1;
    std::atomic<TimePoint> activeRoutersChangedAt;
    std::uint64_t activeRoutersHash = 0;
};

/// \returns the hash that identifies the process of that id and incarnation to its peers.
[[nodiscard]] std::uint64_t identityOf(const std::string &id, std::uint64_t incarnation) noexcept;

} // namespace plantainswitch
