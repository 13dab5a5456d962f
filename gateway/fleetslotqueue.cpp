#include <vector>

#include <asio/post.hpp>

#include "plantainswitch/base/hash.h"

#include "fleetgossip.h"

namespace plantainswitch::gateway {

void FleetGossip::requestSlot(QueueAsk ask, std::string attempt, SlotQueueClient::Done done)
{
    this->slots.ask(std::move(ask), std::move(attempt), std::move(done));
}

std::optional<RouterIdentity> FleetGossip::slotCoordinatorOf(std::uint64_t upstream) const
{
    const std::optional<Endpoint> address = this->coordinatorOf(upstream);
    if (!address) {
        return std::nullopt;
    }
    const RouterContact *const contact = this->contacts.find(*address);
    return contact == nullptr ? RouterIdentity{*address}
                              : RouterIdentity{*address, hashOf(contact->id), contact->incarnation};
}

RouterIdentity FleetGossip::ownIdentity() const
{
    return {this->gateway.settings.peerDatagrams, hashOf(this->gateway.settings.id),
            this->incarnation};
}

void FleetGossip::onQueueAsk(const wire::EngineAsk &message, const Endpoint &from)
{
    QueueAsk ask = decodeQueueAsk(message);
    ask.request.router = toText(from);
    this->sendTo(from, gateway::encode(this->slotQueues.request(ask), this->ownIdentity()));
}

void FleetGossip::sendQueueReply(const std::string &router, const QueueReply &reply)
{
    if (router != toText(this->gateway.settings.peerDatagrams)) {
        if (const auto address = endpointOf(router)) {
            this->sendTo(*address, gateway::encode(reply, this->ownIdentity()));
        }
        return;
    }
    // Not at once: the request whose end has freed the slot is still being handled.
    asio::post(this->gateway.context, [this, reply] { this->onOwnQueueReply(reply); });
}

void FleetGossip::onOwnQueueReply(const QueueReply &reply)
{
    if (!this->slots.onReply(reply, std::nullopt)
        && reply.state.verdict != SlotQueueVerdict::Denied) {
        this->slotQueues.end(toText(this->gateway.settings.peerDatagrams), reply.requestId,
                             reply.incarnation, {});
    }
}

void FleetGossip::reconcileOwnSlots()
{
    std::vector<PeerLoad> loads;
    for (const auto &[id, state] : this->gateway.upstreams.all()) {
        PeerLoad load;
        load.incarnation = incarnationOf(state->replica);
        load.running = state->ownRunning;
        loads.push_back(load);
    }
    this->slotQueues.reconcile(toText(this->gateway.settings.peerDatagrams), loads);
}

} // namespace plantainswitch::gateway
