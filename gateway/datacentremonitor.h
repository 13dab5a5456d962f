#pragma once

#include <map>
#include <span>
#include <string>

#include "plantainswitch/routing/reachability.h"

#include "fleetgossip.h"
#include "gatewaystate.h"

namespace plantainswitch::gateway {

/// Detects which other data centres this router cannot reach, and keeps requests away from their
/// upstreams.
class DataCentreMonitor
{
public:
    DataCentreMonitor(GatewayState &gateway, const FleetGossip &fleet)
        : gateway(gateway)
        , fleet(fleet)
    {}

    /// Evaluates the contact with each data centre, unless the last update was less than 100 ms
    /// ago.
    void update(TimePoint now);

private:
    struct Link
    {
        /// Kept after its routers are considered failed, since a partition may last longer than
        /// that.
        DataCentreContact contact;
        DataCentreReachability reach = DataCentreReachability::Reachable;
        /// When a probe last connected to an upstream there.
        TimePoint lastConnectedAt;
        TimePoint lastProbedAt;
        /// Number of probes so far. Selects the next upstream to probe, in turn.
        std::size_t probeCount = 0;
    };

    void evaluate(const std::string &dataCentre, Link &link, TimePoint now);
    /// Opens a connection to an upstream there without sending a request, unless one was probed
    /// less than 500 ms ago.
    void probe(const std::string &dataCentre, Link &link, std::span<UpstreamState *const> upstreams,
               TimePoint now);

    GatewayState &gateway;
    const FleetGossip &fleet;
    std::map<std::string, Link> links;
    TimePoint lastUpdateAt;
};

} // namespace plantainswitch::gateway
