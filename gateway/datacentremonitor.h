#pragma once

#include <map>
#include <span>
#include <string>

#include "plantainswitch/routing/reachability.h"

#include "fleetgossip.h"
#include "gatewaystate.h"

namespace plantainswitch::gateway {

/// Finds out which other data centres are cut off from this router, and keeps requests away from
/// their upstreams.
class DataCentreMonitor
{
public:
    DataCentreMonitor(GatewayState &gateway, const FleetGossip &fleet)
        : gateway(gateway)
        , fleet(fleet)
    {}

    /// Looks at what came from each data centre, unless it did so a moment ago.
    void update(TimePoint now);

private:
    struct Link
    {
        /// Kept when its routers count as failed: a cut may last longer.
        DataCentreContact contact;
        DataCentreReachability reach = DataCentreReachability::Reachable;
        /// When a probe last connected to an upstream there.
        TimePoint lastConnectedAt;
        TimePoint lastProbedAt;
        /// Counts probes, which go to one upstream after the other.
        std::size_t probeCount = 0;
    };

    void evaluate(const std::string &dataCentre, Link &link, TimePoint now);
    /// Connects to an upstream there, without a request, unless one was tried a moment ago.
    void probe(const std::string &dataCentre, Link &link, std::span<UpstreamState *const> upstreams,
               TimePoint now);

    GatewayState &gateway;
    const FleetGossip &fleet;
    std::map<std::string, Link> links;
    TimePoint lastUpdateAt;
};

} // namespace plantainswitch::gateway
