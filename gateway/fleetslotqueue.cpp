#include <vector>

#include <asio/post.hpp>

#include "fleetgossip.h"

namespace plantainswitch::gateway {

void FleetGossip::requestSlot(QueueAsk ask, std::string attempt, SlotQueueClient::Done done)
{
    this->slots.ask(std::move(ask), std::move(attempt), std::move(done));
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
    asio::post(this->gateway.context, [this, reply] { this->onOwnQueueReply(reply); });
}

void FleetGossip::onOwnQueueReply(const QueueReply &reply)
{
    if (!this->slots.onReply(reply) && reply.state.verdict != SlotQueueVerdict::Denied) {
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
