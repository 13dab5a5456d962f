#include "plantainswitch/routing/reachability.h"

#include <algorithm>
#include <array>

namespace plantainswitch {

namespace {

constexpr std::array reachNames{std::string_view{"reachable"}, std::string_view{"unresponsive"},
                                std::string_view{"cut-off"}};

} // namespace

std::string_view nameOf(DataCentreReach reach) noexcept
{
    return reachNames.at(static_cast<std::size_t>(reach));
}

DataCentreEvidence evidenceOf(const DataCentreContact &contact,
                              std::span<UpstreamState *const> upstreams, TimePoint connectedAt,
                              const RouterContacts &routers, TimePoint now)
{
    DataCentreEvidence evidence;
    evidence.updateGap = contact.updateGap;
    evidence.lastReceived = std::max(contact.lastSeen, connectedAt);
    for (const UpstreamState *const upstream : upstreams) {
        evidence.lastReceived = std::max(evidence.lastReceived, upstream->lastHeard);
        evidence.hasFailed = evidence.hasFailed || unreachableCount(upstream->health, now) > 0;
    }
    evidence.localUpdates = routers.localSeenSince(evidence.lastReceived);
    return evidence;
}

Milliseconds unresponsiveSpan(Duration updateGap) noexcept
{
    const auto span = std::chrono::duration_cast<Milliseconds>(missedForUnresponsive * updateGap);
    return std::clamp(span, minUnresponsiveSpan, maxUnresponsiveSpan);
}

DataCentreReach reachOf(const DataCentreEvidence &evidence, TimePoint now) noexcept
{
    const bool isUnknown = evidence.lastReceived == TimePoint{};
    const bool isRecent = now - evidence.lastReceived < unresponsiveSpan(evidence.updateGap);
    if (isUnknown || isRecent || evidence.localUpdates < minLocalUpdates) {
        return DataCentreReach::Reachable;
    }
    return evidence.hasFailed ? DataCentreReach::CutOff : DataCentreReach::Unresponsive;
}

} // namespace plantainswitch
