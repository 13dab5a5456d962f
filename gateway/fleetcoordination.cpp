#include "fleetgossip.h"

#include "plantainswitch/base/hash.h"

namespace plantainswitch::gateway {

namespace {

/// How long a coordinator may take to respond: a few round trips between data centres and one turn
/// of its event loop. After that the router decides by its own knowledge, which is better than
/// waiting longer.
constexpr Milliseconds keeperLimit{25};

} // namespace

std::optional<Endpoint> FleetGossip::coordinatorOf(std::uint64_t life) const
{
    const UpstreamState *const engine = this->gateway.upstreams.findIncarnation(life);
    const std::string place = engine == nullptr ? std::string() : engine->replica.dataCentre;
    return this->contacts.coordinatorOf(life, place, this->gateway.stopping,
                                        this->gateway.clock.now());
}

void FleetGossip::requestGrant(EngineGrantRequest question,
                               std::function<void(std::optional<EngineGrantReply>)> done)
{
    const std::optional<Endpoint> address = this->coordinatorOf(question.incarnation);
    if (!address) {
        question.router = toText(this->gateway.settings.peerDatagrams);
        const std::uint32_t running = this->gateway.peerLoads.totalAt(question.incarnation).running;
        const EngineGrantReply answer =
            this->coordinator.requestGrant(question, running, this->gateway.clock.now());
        if (answer.granted) {
            this->grantors[question.requestId] = this->gateway.settings.peerDatagrams;
        }
        done(answer);
        return;
    }
    wire::GatewayDatagram datagram;
    wire::EngineAsk &ask = *datagram.mutable_ask();
    ask.set_number(question.requestId);
    ask.set_life(question.incarnation);
    ask.set_tokens(question.promptTokens);
    ask.set_bound(static_cast<float>(question.loadBound));
    for (const std::uint64_t part : question.prefixHashes) {
        ask.add_chain(part);
    }
    PendingAsk pending{std::move(done),
                       std::make_unique<asio::steady_timer>(this->gateway.context, keeperLimit)};
    pending.timer->async_wait([this, number = question.requestId](const asio::error_code &error) {
        const auto found = this->pendingGrantRequests.find(number);
        if (error || found == this->pendingGrantRequests.end()) {
            return;
        }
        const auto waiting = std::move(found->second.done);
        this->pendingGrantRequests.erase(found);
        this->gateway.metrics.count(Counter::SlotAskTimeouts);
        waiting(std::nullopt);
    });
    this->pendingGrantRequests.emplace(question.requestId, std::move(pending));
    this->grantors[question.requestId] = *address;
    this->gateway.metrics.count(Counter::SlotAsks);
    this->sendTo(*address, datagram);
}

void FleetGossip::onAsk(const wire::EngineAsk &message, const Endpoint &from)
{
    EngineGrantRequest question;
    question.router = toText(from);
    question.requestId = message.number();
    question.incarnation = message.life();
    question.promptTokens = message.tokens();
    question.loadBound = message.bound();
    question.prefixHashes.assign(message.chain().begin(), message.chain().end());
    const UpstreamState *const engine =
        this->gateway.upstreams.findIncarnation(question.incarnation);
    const std::uint32_t own = engine == nullptr ? 0 : engine->ownRunning;
    const std::uint32_t running =
        own + this->gateway.peerLoads.totalAt(question.incarnation).running;
    const EngineGrantReply answer =
        this->coordinator.requestGrant(question, running, this->gateway.clock.now());
    wire::GatewayDatagram datagram;
    wire::EngineReply &reply = *datagram.mutable_reply();
    reply.set_number(question.requestId);
    reply.set_life(question.incarnation);
    reply.set_granted(answer.granted);
    reply.set_running(answer.running);
    reply.set_unread_tokens(static_cast<std::uint32_t>(answer.pendingPrefillTokens));
    reply.set_known_parts(answer.cachedParts);
    this->sendTo(from, datagram);
}

void FleetGossip::onReply(const wire::EngineReply &message)
{
    const auto found = this->pendingGrantRequests.find(message.number());
    if (found == this->pendingGrantRequests.end()) {
        // Too late: the request was dispatched without the grant, or has ended.
        this->releaseGrant(message.life(), message.number());
        return;
    }
    const auto waiting = std::move(found->second.done);
    this->pendingGrantRequests.erase(found);
    if (!message.granted()) {
        this->grantors.erase(message.number());
    }
    waiting(EngineGrantReply{message.granted(), message.running(),
                             static_cast<double>(message.unread_tokens()), message.known_parts()});
}

void FleetGossip::releaseGrant(std::uint64_t life, std::uint64_t number)
{
    const auto found = this->grantors.find(number);
    if (found == this->grantors.end()) {
        return;
    }
    const Endpoint address = found->second;
    this->grantors.erase(found);
    if (address == this->gateway.settings.peerDatagrams) {
        this->coordinator.releaseGrant(toText(address), number, life);
        return;
    }
    wire::GatewayDatagram datagram;
    datagram.mutable_end()->set_number(number);
    datagram.mutable_end()->set_life(life);
    this->sendTo(address, datagram);
}

void FleetGossip::dropGrants(const std::string &id)
{
    for (const Endpoint &address : this->contacts.addressesOf(id)) {
        this->coordinator.releaseRouter(toText(address));
    }
}

void FleetGossip::reconcileGrants(const RouterUpdate &update)
{
    const std::string router =
        toText(Endpoint{this->sender.address().to_string(), this->sender.port()});
    for (const std::uint64_t life : this->coordinator.incarnationsGrantedTo(router)) {
        std::uint32_t running = 0;
        for (const PeerLoad &load : update.loads) {
            running += load.incarnation == life ? load.running : 0;
        }
        this->coordinator.reconcile(router, life, running, this->gateway.clock.now());
    }
}

} // namespace plantainswitch::gateway
