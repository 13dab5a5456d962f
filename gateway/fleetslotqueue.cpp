#include <asio/post.hpp>

#include "fleetgossip.h"

namespace plantainswitch::gateway {

void FleetGossip::requestSlot(QueueAsk ask, std::string attempt, SlotQueueClient::Done done)
{
    const std::optional<Endpoint> coordinator = this->coordinatorOf(ask.upstream);
    this->slots.ask(std::move(ask), std::move(attempt), coordinator, std::move(done));
}

void FleetGossip::onQueueAsk(const wire::EngineAsk &message, const Endpoint &from)
{
    QueueAsk ask = decodeQueueAsk(message);
    ask.request.router = toText(from);
    this->sendTo(from, gateway::encode(this->slotQueues.request(ask)));
}

void FleetGossip::sendQueueReply(const std::string &router, const QueueReply &reply)
{
    if (router != toText(this->gateway.settings.peerDatagrams)) {
        if (const auto address = endpointOf(router)) {
            this->sendTo(*address, gateway::encode(reply));
        }
        return;
    }
    // Not at once: the request whose end has freed the slot is still being handled.
    asio::post(this->gateway.context, [this, reply] { this->slots.onReply(reply); });
}

} // namespace plantainswitch::gateway
