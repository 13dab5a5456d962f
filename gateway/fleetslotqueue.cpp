#include <asio/post.hpp>

#include "fleetgossip.h"

namespace plantainswitch::gateway {

void FleetGossip::requestSlot(SlotAsk ask, std::string attempt, SlotQueueClient::Done done)
{
    const std::optional<Endpoint> coordinator = this->coordinatorOf(ask.upstream);
    this->slots.ask(std::move(ask), std::move(attempt), coordinator, std::move(done));
}

void FleetGossip::onSlotAsk(const wire::EngineAsk &message, const Endpoint &from)
{
    SlotAsk ask = decodeSlotAsk(message);
    ask.request.router = toText(from);
    this->sendTo(from, encode(this->slotQueues.request(ask)));
}

void FleetGossip::sendSlotReply(const std::string &router, const SlotReply &reply)
{
    if (router != toText(this->gateway.settings.peerDatagrams)) {
        if (const auto address = endpointOf(router)) {
            this->sendTo(*address, encode(reply));
        }
        return;
    }
    // Not at once: the request whose end has freed the slot is still being handled.
    asio::post(this->gateway.context, [this, reply] { this->slots.onReply(reply); });
}

} // namespace plantainswitch::gateway
