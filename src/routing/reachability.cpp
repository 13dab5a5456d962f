#include "plantainswitch/routing/reachability.h"

#include <algorithm>
#include <array>

namespace plantainswitch {

namespace {

constexpr std::array reachabilityNames{
    std::string_view{"reachable"}, std::string_view{"unresponsive"}, std::string_view{"cut-off"}};

} // namespace

std::string_view nameOf(DataCentreReachability reach) noexcept
{
    return reachabilityNames.at(static_cast<std::size_t>(reach));
}

DataCentreEvidence evidenceOf(const DataCentreContact &contact,
                              std::span<UpstreamState *const> upstreams, TimePoint connectedAt,
                              const RouterContacts &routers, TimePoint now)
{
    DataCentreEvidence evidence;
    evidence.updateInterval = contact.updateInterval;
    evidence.lastReceived = std::max(contact.lastSeen, connectedAt);
    for (const UpstreamState *const upstream : upstreams) {
        evidence.lastReceived = std::max(evidence.lastReceived, upstream->lastReceived);
        evidence.hasConnectFailures =
            evidence.hasConnectFailures || connectFailureCount(upstream->health, now) > 0;
    }
    evidence.localUpdates = routers.localRoutersSeenSince(evidence.lastReceived);
    return evidence;
}

Milliseconds unresponsiveTimeout(Duration updateInterval) noexcept
{
    const auto span =
        std::chrono::duration_cast<Milliseconds>(missedUpdatesForUnresponsive * updateInterval);
    return std::clamp(span, minUnresponsiveTimeout, maxUnresponsiveTimeout);
}

DataCentreReachability reachabilityOf(const DataCentreEvidence &evidence, TimePoint now) noexcept
{
    const bool wasNeverReached = evidence.lastReceived == TimePoint{};
    const bool isRecent =
        now - evidence.lastReceived < unresponsiveTimeout(evidence.updateInterval);
    if (wasNeverReached || isRecent || evidence.localUpdates < minLocalUpdates) {
        return DataCentreReachability::Reachable;
    }
    return evidence.hasConnectFailures ? DataCentreReachability::Unreachable
                                       : DataCentreReachability::Unresponsive;
}

} // namespace plantainswitch
