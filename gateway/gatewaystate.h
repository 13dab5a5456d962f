#pragma once

#include <functional>
#include <memory>

#include <asio/io_context.hpp>

#include "plantainswitch/observe/metrics.h"
#include "plantainswitch/routing/fleetretries.h"
#include "plantainswitch/routing/peerloads.h"

#include "dialect.h"
#include "gatewaysettings.h"
#include "upstreams.h"

namespace plantainswitch::gateway {

class CallerConnection;

/// What the parts of a gateway share. All of it lives on the loop's one thread.
struct GatewayState
{
    GatewayState(asio::io_context &context, const Clock &clock, const Dialect &dialect,
                 GatewaySettings settings)
        : context(context)
        , clock(clock)
        , dialect(dialect)
        , settings(std::move(settings))
        , upstreams(context, clock)
        , retries(this->settings.retries)
    {}

    /// \returns the number of routers that share what is bounded for all together.
    [[nodiscard]] std::uint32_t routers() const noexcept
    {
        return static_cast<std::uint32_t>(this->peers.routers()) + 1;
    }

    asio::io_context &context;
    const Clock &clock;
    const Dialect &dialect;
    GatewaySettings settings;
    std::shared_ptr<const RoutingTable> table;
    ReplicaDirectory directory;
    bool directoryKnown = false;
    Upstreams upstreams;
    PeerLoads peers;
    FleetRetries retries;
    Metrics metrics;
    /// Chains read since the last news to other routers.
    std::vector<ChainNews> newChains;
    bool stopping = false;
    /// Forgets an exchange that has ended.
    std::function<void(const CallerConnection &)> onExchangeDone;
    /// Takes the loads of other routers into the upstreams' states.
    void refreshPeerLoads();
    bool peersChanged = false;
};

} // namespace plantainswitch::gateway
