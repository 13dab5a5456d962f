#include "node.h"

namespace plantainswitch {

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
    const auto view = this->catalogue.view();
    heartbeat.catalogueVersion = view ? view->version : 0;
    heartbeat.leaving = this->stopping;
    return heartbeat;
}

} // namespace plantainswitch
