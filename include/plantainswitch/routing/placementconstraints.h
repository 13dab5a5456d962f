#pragma once

#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "plantainswitch/routing/upstreamstate.h"

namespace plantainswitch {

/// Areas by data centre. An area holds one or more data centres.
using AreaMap = std::map<std::string, std::string>;

/// Where a request may be processed.
struct PlacementConstraints
{
    const AreaMap &areas;
    /// Data centres that are evacuated.
    const std::set<std::string> &evacuated;
    /// Areas in which requests of the route, and of the workspace, may be processed; empty if in
    /// all. If both are given, both apply.
    std::span<const std::string> routeHomes;
    std::span<const std::string> workspaceHomes;
};

/// \returns whether the constraints exclude no data centre.
[[nodiscard]] bool isUnconstrained(const PlacementConstraints &constraints) noexcept;

/// \returns whether the request may be processed in \a dataCentre. One without a known area is not
/// permitted if there are homes.
[[nodiscard]] bool isPermitted(const std::string &dataCentre,
                               const PlacementConstraints &constraints);

/// \returns the upstreams in permitted data centres, in the same order.
[[nodiscard]] std::vector<UpstreamState *>
permittedUpstreams(std::span<UpstreamState *const> upstreams,
                   const PlacementConstraints &constraints);

/// \returns the mean of running requests over all \a upstreams of a service, relative to that over
/// the \a permitted ones; at most 1. An upstream's share of the load is measured by the whole
/// service, also for requests that may be sent to a part of it only.
[[nodiscard]] double relativeMeanLoad(std::span<UpstreamState *const> upstreams,
                                      std::span<UpstreamState *const> permitted);

} // namespace plantainswitch
