#include "node.h"

#include <algorithm>

namespace plantainswitch {

namespace {

std::uint32_t ageMilliseconds(TimePoint at, TimePoint now) noexcept
{
    const auto age = std::chrono::duration_cast<Milliseconds>(now - at).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, 0, neverConfirmed - 1));
}

} // namespace

std::uint64_t identityOf(const std::string &id, std::uint64_t incarnation) noexcept
{
    return mixHash(hashOf(id), incarnation);
}

Node::Node(Settings settings, const Clock &clock, std::uint64_t incarnation)
    : settings(std::move(settings))
    , clock(clock)
    , incarnation(incarnation)
    , identity(identityOf(this->settings.id, incarnation))
{}

void Node::updateRouterCounts(const std::vector<Heartbeat> &active)
{
    std::uint64_t hash = 0;
    for (const Heartbeat &member : active) {
        hash += identityOf(member.id, member.incarnation);
    }
    if (hash != this->activeRoutersHash) {
        this->activeRoutersHash = hash;
        this->activeRoutersChangedAt = this->clock.now();
    }
    plantainswitch::updateKnownRouters(this->knownRouters, active.size(), this->clock.now());
    this->activeRouterCount = active.size();
    this->knownRouterCount = this->knownRouters.count;
}

FleetSize Node::fleetSize() const noexcept
{
    return {this->activeRouterCount, this->knownRouterCount, this->activeRoutersChangedAt};
}

Heartbeat Node::heartbeat() const
{
    Heartbeat heartbeat;
    heartbeat.id = this->settings.id;
    heartbeat.dataCentre = this->settings.dataCentre;
    heartbeat.datagramEndpoint = this->settings.peerDatagrams;
    heartbeat.rpcEndpoint = this->settings.peerCalls;
    heartbeat.incarnation = this->incarnation;
    const CatalogueFreshness standing = this->catalogue.freshness();
    heartbeat.catalogueVersion = standing.completeVersion;
    if (standing.confirmedAt) {
        heartbeat.catalogueAgeMilliseconds =
            ageMilliseconds(*standing.confirmedAt, this->clock.now());
    }
    heartbeat.vmListVersion = this->vms.version();
    heartbeat.vmListDigest = this->vms.digest();
    heartbeat.leaving = this->stopping;
    return heartbeat;
}

} // namespace plantainswitch
