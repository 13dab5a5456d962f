#include "plantainswitch/routing/placementconstraints.h"

#include <algorithm>
#include <iterator>

namespace plantainswitch {

namespace {

double meanLoadOf(std::span<UpstreamState *const> upstreams)
{
    double running = 0.0;
    for (const UpstreamState *const upstream : upstreams) {
        running += runningAt(*upstream);
    }
    return upstreams.empty() ? 0.0 : running / static_cast<double>(upstreams.size());
}

bool isHome(std::span<const std::string> homes, const std::string *area)
{
    return homes.empty()
           || (area != nullptr && std::find(homes.begin(), homes.end(), *area) != homes.end());
}

} // namespace

bool isUnconstrained(const PlacementConstraints &constraints) noexcept
{
    return constraints.evacuated.empty() && constraints.routeHomes.empty()
           && constraints.workspaceHomes.empty();
}

bool isPermitted(const std::string &dataCentre, const PlacementConstraints &constraints)
{
    if (constraints.evacuated.contains(dataCentre)) {
        return false;
    }
    const auto found = constraints.areas.find(dataCentre);
    const std::string *const area = found == constraints.areas.end() ? nullptr : &found->second;
    return isHome(constraints.routeHomes, area) && isHome(constraints.workspaceHomes, area);
}

std::vector<UpstreamState *> permittedUpstreams(std::span<UpstreamState *const> upstreams,
                                                const PlacementConstraints &constraints)
{
    std::vector<UpstreamState *> permitted;
    std::copy_if(upstreams.begin(), upstreams.end(), std::back_inserter(permitted),
                 [&constraints](const UpstreamState *upstream) {
                     return isPermitted(upstream->replica.dataCentre, constraints);
                 });
    return permitted;
}

double relativeMeanLoad(std::span<UpstreamState *const> upstreams,
                        std::span<UpstreamState *const> permitted)
{
    const double permittedMean = meanLoadOf(permitted);
    return permittedMean > 0.0 ? std::min(1.0, meanLoadOf(upstreams) / permittedMean) : 1.0;
}

} // namespace plantainswitch
