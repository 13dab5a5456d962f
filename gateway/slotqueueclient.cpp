#include "slotqueueclient.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "plantainswitch/observe/event.h"

#include "fleetgossip.h"

namespace plantainswitch::gateway {

namespace {

bool isSameRouter(const std::optional<RouterIdentity> &asked,
                  const std::optional<RouterIdentity> &sender)
{
    return asked && sender ? isFrom(*asked, *sender) : !asked && !sender;
}

/// \returns whether messages to the two routers go to the same address.
bool haveSameAddress(const std::optional<RouterIdentity> &left,
                     const std::optional<RouterIdentity> &right)
{
    return left && right && left->address == right->address;
}

} // namespace

SlotQueueClient::SlotQueueClient(GatewayState &gateway, SlotQueueCoordinator &own, Sender send,
                                 Locator locate)
    : gateway(gateway)
    , own(own)
    , send(std::move(send))
    , locate(std::move(locate))
{}

void SlotQueueClient::ask(QueueAsk ask, std::string attempt, Done done)
{
    std::optional<RouterIdentity> coordinator = this->locate(ask.upstream);
    ask.request.router = toText(this->gateway.settings.peerDatagrams);
    const std::uint64_t requestId = ask.request.requestId;
    Pending pending{std::move(ask),
                    std::move(attempt),
                    std::move(coordinator),
                    std::move(done),
                    std::make_unique<asio::steady_timer>(this->gateway.context),
                    this->gateway.clock.now(),
                    std::nullopt,
                    false};
    this->pendingAsks.emplace(requestId, std::move(pending));
    this->sendAsk(requestId);
}

void SlotQueueClient::sendAsk(std::uint64_t requestId)
{
    Pending &pending = this->pendingAsks.at(requestId);
    const auto elapsed =
        std::chrono::duration_cast<Milliseconds>(this->gateway.clock.now() - pending.askedAt);
    QueueAsk message = pending.ask;
    const auto reduce = [elapsed](Milliseconds &span, Milliseconds least) {
        span = std::max(least, span - elapsed);
    };
    reduce(message.request.untilObjective, Milliseconds{0});
    reduce(message.request.untilDeadline, Milliseconds{0});
    reduce(message.request.maxWait, Milliseconds{1});
    if (const UpstreamState *const upstream =
            this->gateway.upstreams.findIncarnation(message.incarnation)) {
        message.ownRunning = upstream->ownRunning;
        message.slots = slotsOf(*upstream);
        message.learnedLimit = upstream->learnedLimit;
    }
    pending.isAwaitingReply = true;
    this->armTimer(requestId, coordinatorTimeout);
    if (!pending.coordinator) {
        this->onReply(this->own.request(message), std::nullopt);
        return;
    }
    this->gateway.metrics.count(Counter::SlotAsks);
    this->send(pending.coordinator->address, encode(message));
}

bool SlotQueueClient::onReply(const QueueReply &reply, const std::optional<RouterIdentity> &sender)
{
    const auto found = this->pendingAsks.find(reply.requestId);
    if (found == this->pendingAsks.end()) {
        const auto granted = this->grants.find(reply.requestId);
        // A reply to a repeated question may cross the grant.
        if (granted != this->grants.end() && !isSameRouter(granted->second.coordinator, sender)) {
            this->returnSlot(reply, granted->second.coordinator, sender);
        }
        return granted != this->grants.end();
    }
    if (!isSameRouter(found->second.coordinator, sender)) {
        this->returnSlot(reply, found->second.coordinator, sender);
        return true;
    }
    found->second.coordinator = sender;
    if (reply.state.verdict == SlotQueueVerdict::Queued) {
        this->onQueued(found->second, reply);
        return true;
    }
    const Pending pending = std::move(found->second);
    this->pendingAsks.erase(found);
    const bool isGranted = reply.state.verdict == SlotQueueVerdict::Granted;
    if (!isGranted && pending.queuedAt && pending.isAwaitingReply) {
        // The denial may have crossed the repeated question, which asks again.
        this->sendEnd(reply.requestId, {pending.coordinator, pending.ask.incarnation}, {});
    }
    if (isGranted) {
        this->grants.emplace(reply.requestId, Grant{pending.coordinator, pending.ask.incarnation});
        this->logLeft(pending, "granted");
    } else {
        const bool isExpired = this->gateway.clock.now() >= this->waitEnd(pending);
        this->gateway.metrics.count(pending.queuedAt && isExpired ? Counter::QueueExpired
                                                                  : Counter::QueueRefused);
        this->logLeft(pending, isExpired ? "expired" : "denied");
    }
    pending.done(reply);
    return true;
}

void SlotQueueClient::returnSlot(const QueueReply &reply,
                                 const std::optional<RouterIdentity> &asked,
                                 const std::optional<RouterIdentity> &sender)
{
    // The process at the address of the asked router would end the request's present slot. An
    // earlier process there has lost its queue.
    if (reply.state.verdict != SlotQueueVerdict::Denied && !haveSameAddress(asked, sender)) {
        this->sendEnd(reply.requestId, {sender, reply.incarnation}, {});
    }
}

void SlotQueueClient::onQueued(Pending &pending, const QueueReply &reply)
{
    const TimePoint now = this->gateway.clock.now();
    pending.isAwaitingReply = false;
    if (!pending.queuedAt) {
        pending.queuedAt = now;
        this->gateway.metrics.count(Counter::QueueEntered);
        const UpstreamState *const upstream = this->gateway.upstreams.findKey(pending.ask.upstream);
        logEvent(Event::RequestQueued,
                 {{"request", pending.attempt},
                  {"upstream", upstream == nullptr ? std::string() : upstream->replica.id},
                  {"expected_ms", std::to_string(reply.state.expectedWait.count())},
                  {"max_wait_ms", std::to_string(pending.ask.request.maxWait.count())}});
    }
    const Duration left = this->waitEnd(pending) - now;
    const Duration wait =
        std::clamp<Duration>(reply.state.expectedWait, Duration{0}, std::max(left, Duration{0}));
    this->armTimer(reply.requestId, wait + coordinatorTimeout);
}

TimePoint SlotQueueClient::waitEnd(const Pending &pending) const
{
    return pending.askedAt + pending.ask.request.maxWait;
}

void SlotQueueClient::armTimer(std::uint64_t requestId, Duration wait)
{
    asio::steady_timer &timer = *this->pendingAsks.at(requestId).timer;
    timer.expires_after(wait);
    timer.async_wait([this, requestId, expiry = timer.expiry()](const asio::error_code &error) {
        const auto found = this->pendingAsks.find(requestId);
        // A timer that was set again may already have completed.
        if (!error && found != this->pendingAsks.end() && found->second.timer->expiry() == expiry) {
            this->onTimer(requestId);
        }
    });
}

void SlotQueueClient::onTimer(std::uint64_t requestId)
{
    const Pending &pending = this->pendingAsks.at(requestId);
    if (pending.isAwaitingReply) {
        this->gateway.metrics.count(Counter::SlotAskTimeouts);
        this->giveUp(requestId, "silent", std::nullopt);
        return;
    }
    if (this->gateway.clock.now() < this->waitEnd(pending)) {
        // The grant may have been lost, or the coordinator.
        this->followCoordinator(requestId);
        this->sendAsk(requestId);
        return;
    }
    QueueReply reply;
    reply.requestId = requestId;
    reply.incarnation = pending.ask.incarnation;
    reply.state.expectedWait = pending.ask.request.maxWait;
    this->gateway.metrics.count(Counter::QueueExpired);
    this->giveUp(requestId, "expired", reply);
}

void SlotQueueClient::followCoordinator(std::uint64_t requestId)
{
    Pending &pending = this->pendingAsks.at(requestId);
    std::optional<RouterIdentity> current = this->locate(pending.ask.upstream);
    if (isSameRouter(current, pending.coordinator)) {
        return;
    }
    // A new process at the same address knows nothing of the request, and could receive its end
    // after the question that follows.
    if (!haveSameAddress(current, pending.coordinator)) {
        this->sendEnd(requestId, {pending.coordinator, pending.ask.incarnation}, {});
    }
    pending.coordinator = std::move(current);
}

void SlotQueueClient::giveUp(std::uint64_t requestId, std::string_view outcome,
                             const std::optional<QueueReply> &reply)
{
    const auto found = this->pendingAsks.find(requestId);
    const Pending pending = std::move(found->second);
    this->pendingAsks.erase(found);
    this->logLeft(pending, outcome);
    // The coordinator may have granted the request although its reply did not arrive.
    this->sendEnd(requestId, {pending.coordinator, pending.ask.incarnation}, {});
    pending.done(reply);
}

bool SlotQueueClient::end(std::uint64_t requestId, const GrantRelease &release)
{
    const auto waiting = this->pendingAsks.find(requestId);
    if (waiting != this->pendingAsks.end()) {
        const Pending pending = std::move(waiting->second);
        this->pendingAsks.erase(waiting);
        this->logLeft(pending, "left");
        this->sendEnd(requestId, {pending.coordinator, pending.ask.incarnation}, {});
        return true;
    }
    const auto granted = this->grants.find(requestId);
    if (granted == this->grants.end()) {
        return false;
    }
    const Grant grant = std::move(granted->second);
    this->grants.erase(granted);
    this->sendEnd(requestId, grant, release);
    return true;
}

void SlotQueueClient::sendEnd(std::uint64_t requestId, const Grant &grant,
                              const GrantRelease &release)
{
    if (!grant.coordinator) {
        this->own.end(toText(this->gateway.settings.peerDatagrams), requestId, grant.incarnation,
                      release);
        return;
    }
    this->send(grant.coordinator->address, encodeEnd(requestId, grant.incarnation, release));
}

void SlotQueueClient::logLeft(const Pending &pending, std::string_view outcome) const
{
    if (!pending.queuedAt) {
        return;
    }
    logEvent(Event::RequestQueueLeft,
             {{"request", pending.attempt},
              {"outcome", std::string(outcome)},
              {"waited_ms", formatMilliseconds(this->gateway.clock.now() - *pending.queuedAt)}});
}

} // namespace plantainswitch::gateway
