#include "slotmessages.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace plantainswitch::gateway {

namespace {

/// \returns \a value of a message if it is a usable figure, 0 otherwise.
double usableFigure(float value)
{
    return std::isfinite(value) && value > 0.0F ? static_cast<double>(value) : 0.0;
}

} // namespace

bool isFrom(const RouterIdentity &asked, const RouterIdentity &sender)
{
    const bool isStated = asked.incarnation != 0 && sender.incarnation != 0;
    if (isStated && asked.id == sender.id && asked.incarnation == sender.incarnation) {
        return true;
    }
    return asked.address == sender.address && (!isStated || sender.incarnation > asked.incarnation);
}

std::uint32_t millisecondsOf(Duration span)
{
    constexpr Milliseconds::rep most = std::numeric_limits<std::uint32_t>::max();
    const auto rounded = std::chrono::ceil<Milliseconds>(span);
    return static_cast<std::uint32_t>(std::clamp<Milliseconds::rep>(rounded.count(), 0, most));
}

wire::GatewayDatagram encode(const QueueAsk &ask)
{
    wire::GatewayDatagram datagram;
    wire::EngineAsk &message = *datagram.mutable_ask();
    message.set_number(ask.request.requestId);
    message.set_life(ask.incarnation);
    message.set_upstream(ask.upstream);
    message.set_max_wait_ms(std::max(1U, millisecondsOf(ask.request.maxWait)));
    message.set_objective_ms(millisecondsOf(ask.request.untilObjective));
    message.set_deadline_ms(millisecondsOf(ask.request.untilDeadline));
    message.set_workspace(ask.request.workspace);
    message.set_weight(static_cast<float>(ask.request.weight));
    message.set_priority(ask.request.priority);
    message.set_slots(ask.slots);
    message.set_learned_limit(static_cast<float>(ask.learnedLimit));
    message.set_own_running(ask.ownRunning);
    return datagram;
}

wire::GatewayDatagram encode(const QueueReply &reply, const RouterIdentity &sender)
{
    wire::GatewayDatagram datagram;
    wire::EngineReply &message = *datagram.mutable_reply();
    message.set_number(reply.requestId);
    message.set_life(reply.incarnation);
    message.set_granted(reply.state.verdict == SlotQueueVerdict::Granted);
    message.set_queued(reply.state.verdict == SlotQueueVerdict::Queued);
    message.set_running(reply.state.running);
    message.set_expected_wait_ms(millisecondsOf(reply.state.expectedWait));
    message.set_retry_after_ms(millisecondsOf(reply.state.retryAfter));
    message.set_cold_ms(millisecondsOf(reply.coldFor));
    message.set_learned_limit(static_cast<float>(reply.learnedLimit));
    message.set_router(sender.id);
    message.set_router_incarnation(sender.incarnation);
    return datagram;
}

wire::GatewayDatagram encodeEnd(std::uint64_t requestId, std::uint64_t incarnation,
                                const GrantRelease &release)
{
    wire::GatewayDatagram datagram;
    wire::EngineEnd &message = *datagram.mutable_end();
    message.set_number(requestId);
    message.set_life(incarnation);
    message.set_responded(release.end == GrantEnd::Responded);
    if (release.end == GrantEnd::Abandoned) {
        message.set_abandoned_hold_ms(std::max(1U, millisecondsOf(release.usualRunTime)));
    }
    if (release.load) {
        message.set_upstream_load(release.load->held);
        message.set_upstream_slowdown(release.load->slowdownPercent);
    }
    return datagram;
}

bool isQueueAsk(const wire::EngineAsk &message)
{
    return message.max_wait_ms() > 0;
}

QueueAsk decodeQueueAsk(const wire::EngineAsk &message)
{
    QueueAsk ask;
    ask.request.requestId = message.number();
    ask.request.workspace = message.workspace();
    ask.request.weight = usableFigure(message.weight());
    ask.request.priority = message.priority();
    ask.request.untilObjective = Milliseconds{message.objective_ms()};
    ask.request.untilDeadline = Milliseconds{message.deadline_ms()};
    ask.request.maxWait = Milliseconds{message.max_wait_ms()};
    ask.upstream = message.upstream();
    ask.incarnation = message.life();
    ask.slots = message.slots();
    ask.learnedLimit = usableFigure(message.learned_limit());
    ask.ownRunning = message.own_running();
    return ask;
}

QueueReply decodeQueueReply(const wire::EngineReply &message)
{
    QueueReply reply;
    reply.requestId = message.number();
    reply.incarnation = message.life();
    reply.state.verdict = message.granted()  ? SlotQueueVerdict::Granted
                          : message.queued() ? SlotQueueVerdict::Queued
                                             : SlotQueueVerdict::Denied;
    reply.state.expectedWait = Milliseconds{message.expected_wait_ms()};
    reply.state.retryAfter = Milliseconds{message.retry_after_ms()};
    reply.state.running = message.running();
    reply.coldFor = Milliseconds{message.cold_ms()};
    reply.learnedLimit = usableFigure(message.learned_limit());
    return reply;
}

RouterIdentity senderOf(const wire::EngineReply &message, const Endpoint &address)
{
    return {address, message.router(), message.router_incarnation()};
}

GrantRelease decodeRelease(const wire::EngineEnd &message)
{
    GrantRelease release;
    release.usualRunTime = Milliseconds{message.abandoned_hold_ms()};
    release.end = message.abandoned_hold_ms() > 0 ? GrantEnd::Abandoned
                  : message.responded()           ? GrantEnd::Responded
                                                  : GrantEnd::Unused;
    if (message.has_upstream_load()) {
        release.load = StatedLoad{message.upstream_load(), message.upstream_slowdown()};
    }
    return release;
}

} // namespace plantainswitch::gateway
