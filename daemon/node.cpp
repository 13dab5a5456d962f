#include "node.h"

#include <algorithm>

namespace plantainswitch {

namespace {

std::uint32_t ageOf(TimePoint at, TimePoint now) noexcept
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

void Node::countRouters(std::size_t active)
{
    plantainswitch::countRouters(this->knownRouters, active, this->clock.now());
    this->activeCount = active;
    this->knownCount = this->knownRouters.count;
}

FleetSize Node::fleetSize() const noexcept
{
    return {this->activeCount, this->knownCount};
}

Heartbeat Node::heartbeat() const
{
    Heartbeat heartbeat;
    heartbeat.id = this->settings.id;
    heartbeat.place = this->settings.place;
    heartbeat.datagrams = this->settings.peerDatagrams;
    heartbeat.calls = this->settings.peerCalls;
    heartbeat.incarnation = this->incarnation;
    const CatalogueStanding standing = this->catalogue.standing();
    heartbeat.catalogueVersion = standing.completeTo;
    if (standing.confirmedAt) {
        heartbeat.catalogueAge = ageOf(*standing.confirmedAt, this->clock.now());
    }
    heartbeat.vmStamp = this->vms.stamp();
    heartbeat.vmDigest = this->vms.digest();
    heartbeat.leaving = this->stopping;
    return heartbeat;
}

} // namespace plantainswitch
