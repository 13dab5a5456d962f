#include "fleetgossip.h"

#include "plantainswitch/base/hash.h"

namespace plantainswitch::gateway {

namespace {

/// How long a keeper may take to answer: a few round trips between data centres and a turn of its
/// loop. Then the router chooses by its own knowledge, which is better than waiting.
constexpr Milliseconds keeperLimit{25};

} // namespace

std::optional<Endpoint> FleetLink::keeperOf(std::uint64_t life) const
{
    const UpstreamState *const engine = this->gateway.upstreams.findLife(life);
    const std::string place = engine == nullptr ? std::string() : engine->replica.place;
    return this->contacts.keeperOf(life, place, this->gateway.stopping, this->gateway.clock.now());
}

void FleetLink::askKeeper(EngineQuestion question,
                          std::function<void(std::optional<EngineAnswer>)> done)
{
    const std::optional<Endpoint> address = this->keeperOf(question.life);
    if (!address) {
        question.router = toText(this->gateway.settings.peerDatagrams);
        const std::uint32_t running = this->gateway.peers.at(question.life).running;
        const EngineAnswer answer = this->keeper.ask(question, running, this->gateway.clock.now());
        if (answer.granted) {
            this->grantedBy[question.number] = this->gateway.settings.peerDatagrams;
        }
        done(answer);
        return;
    }
    wire::GatewayDatagram datagram;
    wire::EngineAsk &ask = *datagram.mutable_ask();
    ask.set_number(question.number);
    ask.set_life(question.life);
    ask.set_tokens(question.tokens);
    ask.set_bound(static_cast<float>(question.bound));
    for (const std::uint64_t part : question.chain) {
        ask.add_chain(part);
    }
    PendingAsk pending{std::move(done),
                       std::make_unique<asio::steady_timer>(this->gateway.context, keeperLimit)};
    pending.timer->async_wait([this, number = question.number](const asio::error_code &error) {
        const auto found = this->asks.find(number);
        if (error || found == this->asks.end()) {
            return;
        }
        const auto waiting = std::move(found->second.done);
        this->asks.erase(found);
        this->gateway.metrics.count(Counter::SlotAskTimeouts);
        waiting(std::nullopt);
    });
    this->asks.emplace(question.number, std::move(pending));
    this->grantedBy[question.number] = *address;
    this->gateway.metrics.count(Counter::SlotAsks);
    this->sendTo(*address, datagram);
}

void FleetLink::onAsk(const wire::EngineAsk &message, const Endpoint &from)
{
    EngineQuestion question;
    question.router = toText(from);
    question.number = message.number();
    question.life = message.life();
    question.tokens = message.tokens();
    question.bound = message.bound();
    question.chain.assign(message.chain().begin(), message.chain().end());
    const UpstreamState *const engine = this->gateway.upstreams.findLife(question.life);
    const std::uint32_t own = engine == nullptr ? 0 : engine->ownRunning;
    const std::uint32_t running = own + this->gateway.peers.at(question.life).running;
    const EngineAnswer answer = this->keeper.ask(question, running, this->gateway.clock.now());
    wire::GatewayDatagram datagram;
    wire::EngineReply &reply = *datagram.mutable_reply();
    reply.set_number(question.number);
    reply.set_life(question.life);
    reply.set_granted(answer.granted);
    reply.set_running(answer.running);
    reply.set_unread_tokens(static_cast<std::uint32_t>(answer.unreadTokens));
    reply.set_known_parts(answer.knownParts);
    this->sendTo(from, datagram);
}

void FleetLink::onReply(const wire::EngineReply &message)
{
    const auto found = this->asks.find(message.number());
    if (found == this->asks.end()) {
        // Too late: the request was placed without it, or has ended.
        this->endGrant(message.life(), message.number());
        return;
    }
    const auto waiting = std::move(found->second.done);
    this->asks.erase(found);
    if (!message.granted()) {
        this->grantedBy.erase(message.number());
    }
    waiting(EngineAnswer{message.granted(), message.running(),
                         static_cast<double>(message.unread_tokens()), message.known_parts()});
}

void FleetLink::endGrant(std::uint64_t life, std::uint64_t number)
{
    const auto found = this->grantedBy.find(number);
    if (found == this->grantedBy.end()) {
        return;
    }
    const Endpoint address = found->second;
    this->grantedBy.erase(found);
    if (address == this->gateway.settings.peerDatagrams) {
        this->keeper.end(toText(address), number, life);
        return;
    }
    wire::GatewayDatagram datagram;
    datagram.mutable_end()->set_number(number);
    datagram.mutable_end()->set_life(life);
    this->sendTo(address, datagram);
}

void FleetLink::forgetGrants(const std::string &id)
{
    for (const Endpoint &address : this->contacts.addressesOf(id)) {
        this->keeper.forgetRouter(toText(address));
    }
}

void FleetLink::reconcileGrants(const RouterUpdate &update)
{
    const std::string router =
        toText(Endpoint{this->sender.address().to_string(), this->sender.port()});
    for (const std::uint64_t life : this->keeper.livesOf(router)) {
        std::uint32_t running = 0;
        for (const PeerLoad &load : update.loads) {
            running += load.life == life ? load.running : 0;
        }
        this->keeper.reconcile(router, life, running, this->gateway.clock.now());
    }
}

} // namespace plantainswitch::gateway
