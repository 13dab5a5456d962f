#include "fleetgossip.h"

#include <algorithm>

#include <fmt/format.h>

#include "plantainswitch/base/hash.h"
#include "plantainswitch/observe/event.h"

namespace plantainswitch::gateway {

std::optional<Endpoint> FleetGossip::coordinatorOf(std::uint64_t upstream) const
{
    const UpstreamState *const engine = this->gateway.upstreams.findKey(upstream);
    const std::string place = engine == nullptr ? std::string() : engine->replica.dataCentre;
    return this->contacts.coordinatorOf(upstream, place, this->gateway.stopping,
                                        this->gateway.clock.now());
}

void FleetGossip::requestGrant(EngineGrantRequest grantRequest,
                               std::function<void(std::optional<EngineGrantReply>)> done)
{
    const std::optional<Endpoint> address = this->coordinatorOf(grantRequest.permit.upstream);
    if (!address) {
        const Milliseconds coldFor = this->preparePermit(grantRequest);
        grantRequest.router = toText(this->gateway.settings.peerDatagrams);
        const std::uint32_t running =
            this->gateway.peerLoads.totalAt(grantRequest.incarnation).running;
        EngineGrantReply answer =
            this->coordinator.requestGrant(grantRequest, running, this->gateway.clock.now());
        answer.coldFor = coldFor;
        if (answer.granted) {
            this->grantors[grantRequest.requestId] = this->gateway.settings.peerDatagrams;
        }
        done(answer);
        return;
    }
    wire::GatewayDatagram datagram;
    wire::EngineAsk &ask = *datagram.mutable_ask();
    ask.set_number(grantRequest.requestId);
    ask.set_life(grantRequest.incarnation);
    ask.set_tokens(grantRequest.promptTokens);
    ask.set_bound(static_cast<float>(grantRequest.loadBound));
    ask.set_upstream(grantRequest.permit.upstream);
    ask.set_cold_ms(static_cast<std::uint32_t>(grantRequest.coldFor.count()));
    ask.set_brittle_bound(static_cast<float>(grantRequest.brittleBound));
    ask.set_run_time_ms(millisecondsOf(grantRequest.runTime.usual));
    ask.set_deadline_ms(millisecondsOf(grantRequest.runTime.longest));
    for (const std::uint64_t part : grantRequest.prefixHashes) {
        ask.add_chain(part);
    }
    PendingAsk pending{std::move(done), std::make_unique<asio::steady_timer>(this->gateway.context,
                                                                             coordinatorTimeout)};
    pending.timer->async_wait(
        [this, requestId = grantRequest.requestId](const asio::error_code &error) {
            const auto found = this->pendingGrantRequests.find(requestId);
            if (error || found == this->pendingGrantRequests.end()) {
                return;
            }
            const auto callback = std::move(found->second.done);
            this->pendingGrantRequests.erase(found);
            this->gateway.metrics.count(Counter::SlotAskTimeouts);
            callback(std::nullopt);
        });
    this->pendingGrantRequests.emplace(grantRequest.requestId, std::move(pending));
    this->grantors[grantRequest.requestId] = *address;
    this->gateway.metrics.count(Counter::SlotAsks);
    this->sendTo(*address, datagram);
}

Milliseconds FleetGossip::preparePermit(EngineGrantRequest &request)
{
    const TimePoint now = this->gateway.clock.now();
    UpstreamState *const engine = this->gateway.upstreams.findKey(request.permit.upstream);
    request.permit.mayPermitCold = this->contacts.reachesLocalMajority(now);
    this->prepareBrittleBound(request, engine);
    if (engine == nullptr) {
        request.permit.isCold = request.coldFor.count() > 0;
        return request.coldFor;
    }
    engine->cold.presume(request.coldFor, now);
    const Milliseconds coldFor = engine->cold.remaining(now);
    // A router that still knows the previous incarnation has not learnt of the restart.
    const bool isOutdated = incarnationOf(engine->replica) != request.incarnation;
    request.permit.limits = this->gateway.permitLimits(engine->replica.service);
    request.permit.isCold = request.permit.limits.cold > 0 && (coldFor.count() > 0 || isOutdated);
    return coldFor;
}

void FleetGossip::prepareBrittleBound(EngineGrantRequest &request, const UpstreamState *engine)
{
    // The requesting router may not know yet that the upstream is brittle.
    const double known = engine == nullptr ? 0.0 : this->gateway.brittleBoundOf(*engine);
    if (known > 0.0) {
        request.brittleBound =
            request.brittleBound > 0.0 ? std::min(known, request.brittleBound) : known;
    }
    if (request.brittleBound <= 0.0) {
        return;
    }
    if (request.runTime.usual.count() == 0 && engine != nullptr) {
        request.runTime.usual = this->gateway.runTimeBound(engine->replica.service);
    }
    request.brittleBound *= brittleCoordinatorShare(
        this->contacts.aliveCount(this->gateway.clock.now()) + 1, this->lostRouters.size());
}

void FleetGossip::onAsk(const wire::EngineAsk &message, const Endpoint &from)
{
    if (isQueueAsk(message)) {
        this->onQueueAsk(message, from);
        return;
    }
    EngineGrantRequest grantRequest;
    grantRequest.router = toText(from);
    grantRequest.requestId = message.number();
    grantRequest.incarnation = message.life();
    grantRequest.promptTokens = message.tokens();
    grantRequest.loadBound = message.bound();
    grantRequest.brittleBound = message.brittle_bound();
    grantRequest.runTime = {Milliseconds{message.run_time_ms()},
                            Milliseconds{message.deadline_ms()}};
    grantRequest.prefixHashes.assign(message.chain().begin(), message.chain().end());
    grantRequest.permit.upstream = message.upstream();
    grantRequest.coldFor = Milliseconds{message.cold_ms()};
    const Milliseconds coldFor = this->preparePermit(grantRequest);
    const UpstreamState *const engine =
        this->gateway.upstreams.findIncarnation(grantRequest.incarnation);
    const std::uint32_t ownRunning = engine == nullptr ? 0 : engine->ownRunning;
    const std::uint32_t running =
        ownRunning + this->gateway.peerLoads.totalAt(grantRequest.incarnation).running;
    const EngineGrantReply answer =
        this->coordinator.requestGrant(grantRequest, running, this->gateway.clock.now());
    wire::GatewayDatagram datagram;
    wire::EngineReply &reply = *datagram.mutable_reply();
    reply.set_number(grantRequest.requestId);
    reply.set_life(grantRequest.incarnation);
    reply.set_granted(answer.granted);
    reply.set_running(answer.running);
    reply.set_unread_tokens(static_cast<std::uint32_t>(answer.pendingPrefillTokens));
    reply.set_known_parts(answer.cachedParts);
    reply.set_permit_wait_ms(static_cast<std::uint32_t>(answer.permitWait.count()));
    reply.set_cold_ms(static_cast<std::uint32_t>(coldFor.count()));
    this->sendTo(from, datagram);
}

void FleetGossip::onReply(const wire::EngineReply &message, const Endpoint &from)
{
    if (this->slots.onReply(decodeQueueReply(message), senderOf(message, from))) {
        return;
    }
    const auto found = this->pendingGrantRequests.find(message.number());
    if (found == this->pendingGrantRequests.end()) {
        this->onUnknownReply(message, from);
        return;
    }
    const auto callback = std::move(found->second.done);
    this->pendingGrantRequests.erase(found);
    if (!message.granted()) {
        this->grantors.erase(message.number());
    }
    callback(EngineGrantReply{message.granted(), message.running(),
                              static_cast<double>(message.unread_tokens()), message.known_parts(),
                              Milliseconds{message.permit_wait_ms()},
                              Milliseconds{message.cold_ms()}});
}

void FleetGossip::onUnknownReply(const wire::EngineReply &message, const Endpoint &from)
{
    if (this->grantors.contains(message.number())) {
        // Too late: the request was dispatched without the grant.
        this->releaseGrant(message.life(), message.number());
        return;
    }
    if (message.granted() || message.queued()) {
        // The message that ended the request was lost, or a repeated question has crossed the
        // denial.
        this->sendTo(from, encodeEnd(message.number(), message.life(), {}));
    }
}

void FleetGossip::onEnd(const wire::EngineEnd &message, const Endpoint &from)
{
    if (!message.rejected() && !message.has_stated_load()) {
        this->onGrantEnd(message, from);
        return;
    }
    const auto load =
        message.has_stated_load() ? std::optional(message.stated_load()) : std::nullopt;
    this->onBrittleResponse({message.life(), load, message.rejected()}, toText(from));
}

void FleetGossip::onGrantEnd(const wire::EngineEnd &message, const Endpoint &from)
{
    const GrantRelease release = decodeRelease(message);
    this->coordinator.endGrant(toText(from), message.number(), message.life(), release,
                               this->gateway.clock.now());
    this->slotQueues.end(toText(from), message.number(), message.life(), release);
}

void FleetGossip::releaseGrant(std::uint64_t incarnation, std::uint64_t requestId,
                               const GrantRelease &release)
{
    if (this->slots.end(requestId, release)) {
        return;
    }
    const auto found = this->grantors.find(requestId);
    if (found == this->grantors.end()) {
        return;
    }
    const Endpoint address = found->second;
    this->grantors.erase(found);
    if (address == this->gateway.settings.peerDatagrams) {
        this->coordinator.endGrant(toText(address), requestId, incarnation, release,
                                   this->gateway.clock.now());
        return;
    }
    this->sendTo(address, encodeEnd(requestId, incarnation, release));
}

void FleetGossip::onBrittleResponse(const BrittleResponse &response, const std::string &router)
{
    BrittleGrants &grants = this->coordinator.brittle();
    const TimePoint now = this->gateway.clock.now();
    if (!response.isRejection) {
        grants.recordResponse(response.incarnation, response.load, now);
        return;
    }
    const auto count = grants.recordRejection(response.incarnation, response.load, now);
    const UpstreamState *const engine =
        this->gateway.upstreams.findIncarnation(response.incarnation);
    logEvent(Event::BrittleRoomReduced,
             {{"upstream", engine == nullptr ? std::string() : engine->replica.id},
              {"incarnation", formatHash(response.incarnation)},
              {"from", router},
              {"granted", std::to_string(count ? count->granted : 0)},
              {"abandoned", std::to_string(count ? count->abandoned : 0)},
              {"unknown", std::to_string(count ? count->unknown : 0)},
              {"room", fmt::format("{:.0f}", count ? count->room : 0.0)}});
}

void FleetGossip::reportBrittleResponse(const Replica &replica, std::optional<std::uint32_t> load,
                                        bool isRejection)
{
    const BrittleResponse response{incarnationOf(replica), load, isRejection};
    const std::optional<Endpoint> address = this->coordinatorOf(hashOf(replica.id));
    if (!address) {
        this->onBrittleResponse(response, toText(this->gateway.settings.peerDatagrams));
        return;
    }
    wire::GatewayDatagram datagram;
    wire::EngineEnd &message = *datagram.mutable_end();
    message.set_life(response.incarnation);
    message.set_rejected(isRejection);
    if (load) {
        message.set_stated_load(*load);
    }
    this->sendTo(*address, datagram);
}

void FleetGossip::dropGrants(const std::string &id)
{
    for (const Endpoint &address : this->contacts.addressesOf(id)) {
        this->coordinator.releaseRouter(toText(address), this->gateway.clock.now());
        this->slotQueues.releaseRouter(toText(address));
    }
}

void FleetGossip::reconcileGrants(const RouterUpdate &update)
{
    const std::string router =
        toText(Endpoint{this->sender.address().to_string(), this->sender.port()});
    for (const std::uint64_t incarnation : this->coordinator.incarnationsGrantedTo(router)) {
        std::uint32_t running = 0;
        for (const PeerLoad &load : update.loads) {
            running += load.incarnation == incarnation ? load.running : 0;
        }
        this->coordinator.reconcile(router, incarnation, running, this->gateway.clock.now());
    }
    this->slotQueues.reconcile(router, update.loads);
}

} // namespace plantainswitch::gateway
