#pragma once

#include <atomic>
#include <cstdint>
#include <functional>

#include <asio/io_context.hpp>

#include "plantainswitch/plantainswitch.h"

#include "settings.h"

namespace plantainswitch {

/// Tells whether what is sent to a peer's address is lost; empty but in tests of cut networks.
using PeerDropFilter = std::function<bool(const Endpoint &to)>;

/// What the parts of a router share: its settings, clock and tables.
struct Node
{
    Node(Settings settings, const Clock &clock, std::uint64_t incarnation);

    /// \returns this router's heartbeat as of now.
    [[nodiscard]] Heartbeat heartbeat() const;
    /// Takes the active routers into account; always called on the peer link's strand.
    void updateRouterCounts(const std::vector<Heartbeat> &active);
    /// \returns the number of routers by which limits are divided.
    [[nodiscard]] FleetSize fleetSize() const noexcept;
    /// \returns whether what is sent to a peer's address is lost.
    [[nodiscard]] bool dropsTrafficTo(const Endpoint &to) const
    {
        return this->dropPeerTraffic && this->dropPeerTraffic(to);
    }

    Settings settings;
    /// Set before the router runs.
    PeerDropFilter dropPeerTraffic;
    const Clock &clock;
    std::uint64_t incarnation;
    /// Hash of id and incarnation, by which peers know this process.
    std::uint64_t identity;
    CatalogueTable catalogue;
    MemberTable members;
    VmTable vms;
    UpstreamTable upstreams;
    ShardCoordinator keeper;
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

/// \returns the hash by which peers know the process of that id and incarnation.
[[nodiscard]] std::uint64_t identityOf(const std::string &id, std::uint64_t incarnation) noexcept;

} // namespace plantainswitch
