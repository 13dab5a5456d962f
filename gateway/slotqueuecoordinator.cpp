#include "slotqueuecoordinator.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include <fmt/format.h>

#include "plantainswitch/base/hash.h"
#include "plantainswitch/observe/event.h"
#include "plantainswitch/routing/enginecoordinator.h"

namespace plantainswitch::gateway {

namespace {

/// Shortest time between two runs of the timer.
constexpr Milliseconds minTimerInterval{1};
/// Change of an upstream's concurrency limit that is logged.
constexpr double minLoggedLimitChange = 0.5;
/// Time for which a queue stays bound to an incarnation that this router's list does not show. The
/// list is usually up to date within a second.
constexpr Milliseconds listDelay{5000};

/// \returns when to repeat a request that was denied because its upstream has restarted.
Milliseconds restartRetryAfter(const std::string &router, std::uint64_t requestId)
{
    return slotRetryAfter(0.0, std::numeric_limits<double>::infinity(), router, requestId);
}

} // namespace

SlotQueueCoordinator::SlotQueueCoordinator(GatewayState &gateway, ReplySender send)
    : gateway(gateway)
    , send(std::move(send))
    , timer(gateway.context)
{}

QueueReply SlotQueueCoordinator::request(const QueueAsk &ask)
{
    const TimePoint now = this->gateway.clock.now();
    Upstream &upstream = this->upstreams[ask.upstream];
    upstream.lastRequest = now;
    upstream.key = ask.upstream;
    const bool isCurrent = this->bind(upstream, ask.incarnation);
    this->upstreamOf[ask.incarnation] = {ask.upstream, now};
    if (!isCurrent) {
        return this->denyOutdated(ask, upstream);
    }
    upstream.slots = ask.slots;
    if (ask.learnedLimit > 0.0 && this->limits.find(ask.incarnation) == nullptr) {
        this->limits.adopt(ask.incarnation, ask.learnedLimit, now);
    }
    this->recordOwnRunning(upstream, ask);
    if (const Milliseconds coldFor = this->coldFor(upstream); coldFor.count() > 0) {
        // The router learns from the reply that it needs a permit instead.
        upstream.queue.end(ask.request.router, ask.request.requestId, now, GrantEnd::Unused);
        upstream.waiting.erase({ask.request.router, ask.request.requestId});
        QueueReply reply = this->makeDenial(ask.request.requestId, upstream);
        reply.coldFor = coldFor;
        return reply;
    }
    this->grantWaiting(upstream);
    QueueReply reply = this->makeReply(ask.request.requestId, upstream);
    const SlotQueueLimits limits = this->limitsOf(upstream);
    reply.state = upstream.queue.request(ask.request, limits, this->unknownRunning(upstream), now);
    this->sendDropped(upstream);
    if (reply.state.verdict == SlotQueueVerdict::Queued) {
        upstream.waiting.emplace(ask.request.router, ask.request.requestId);
    }
    this->recordContention(upstream, reply.state.verdict == SlotQueueVerdict::Denied);
    this->armTimer();
    return reply;
}

bool SlotQueueCoordinator::isNewer(std::uint64_t incarnation, const Upstream &upstream) const
{
    if (!this->upstreamOf.contains(incarnation)) {
        return true;
    }
    // Routers that learn late of a restart go on asking for the former incarnation. If such a
    // question was the first one here, the list corrects it.
    const UpstreamState *const listed = this->gateway.upstreams.findKey(upstream.key);
    return listed != nullptr && incarnationOf(listed->replica) == incarnation
           && this->gateway.clock.now() - upstream.startedAt >= listDelay;
}

bool SlotQueueCoordinator::bind(Upstream &upstream, std::uint64_t incarnation)
{
    if (upstream.incarnation == incarnation) {
        return true;
    }
    if (upstream.incarnation != 0 && !this->isNewer(incarnation, upstream)) {
        return false;
    }
    this->denyWaiting(upstream, Milliseconds{0});
    Upstream restarted;
    restarted.key = upstream.key;
    restarted.incarnation = incarnation;
    restarted.startedAt = restarted.lastRequest = this->gateway.clock.now();
    upstream = std::move(restarted);
    return true;
}

QueueReply SlotQueueCoordinator::denyOutdated(const QueueAsk &ask, const Upstream &upstream) const
{
    QueueReply reply = this->makeReply(ask.request.requestId, upstream);
    reply.incarnation = ask.incarnation;
    // A figure of the present incarnation.
    reply.learnedLimit = 0.0;
    // Other upstreams come first: nothing is granted until the router learns of the restart.
    reply.state.expectedWait = ask.request.untilDeadline;
    reply.state.retryAfter = restartRetryAfter(ask.request.router, ask.request.requestId);
    return reply;
}

QueueReply SlotQueueCoordinator::makeReply(std::uint64_t requestId, const Upstream &upstream) const
{
    QueueReply reply;
    reply.requestId = requestId;
    reply.incarnation = upstream.incarnation;
    reply.learnedLimit = this->learnedLimitOf(upstream);
    return reply;
}

QueueReply SlotQueueCoordinator::makeDenial(std::uint64_t requestId, const Upstream &upstream) const
{
    QueueReply reply = this->makeReply(requestId, upstream);
    reply.state.verdict = SlotQueueVerdict::Denied;
    reply.state.running = static_cast<std::uint32_t>(upstream.queue.grantedCount());
    return reply;
}

void SlotQueueCoordinator::recordOwnRunning(Upstream &upstream, const QueueAsk &ask)
{
    const auto granted = static_cast<std::uint32_t>(upstream.queue.grantedTo(ask.request.router));
    if (ask.ownRunning <= granted) {
        upstream.unknownOfRouters.erase(ask.request.router);
        return;
    }
    upstream.unknownOfRouters[ask.request.router] = {ask.ownRunning - granted,
                                                     this->gateway.clock.now()};
}

void SlotQueueCoordinator::recordContention(const Upstream &upstream, bool wasDenied)
{
    const UpstreamState *const state = this->gateway.upstreams.findKey(upstream.key);
    const bool isFull =
        static_cast<double>(upstream.queue.waitingCount()) >= this->slotsOf(upstream);
    // A denial for the deadline alone says nothing about the slots.
    const bool isBusy =
        static_cast<double>(upstream.queue.grantedCount() + this->unknownRunning(upstream))
        >= this->slotsOf(upstream);
    if (state != nullptr && ((wasDenied && isBusy) || isFull)) {
        this->gateway.recordContention(state->replica.service);
    }
}

Milliseconds SlotQueueCoordinator::coldFor(const Upstream &upstream) const
{
    const UpstreamState *const state = this->gateway.upstreams.findKey(upstream.key);
    if (state == nullptr || !this->gateway.isLimitedAsCold(*state)) {
        return Milliseconds{0};
    }
    return state->cold.remaining(this->gateway.clock.now());
}

double SlotQueueCoordinator::statedSlotsOf(const Upstream &upstream) const
{
    const UpstreamState *const state = this->gateway.upstreams.findKey(upstream.key);
    const std::uint32_t known = state == nullptr ? 0 : plantainswitch::slotsOf(*state);
    return std::max(1U, known > 0 ? known : upstream.slots);
}

double SlotQueueCoordinator::learnedLimitOf(const Upstream &upstream) const
{
    if (!this->gateway.settings.learning.limits) {
        return 0.0;
    }
    const double slots = this->statedSlotsOf(upstream);
    const double limit = this->limits.limit(upstream.incarnation, slots, this->gateway.clock.now());
    return limit < slots ? limit : 0.0;
}

double SlotQueueCoordinator::slotsOf(const Upstream &upstream) const
{
    const double limit = this->learnedLimitOf(upstream);
    return limit > 0.0 ? limit : this->statedSlotsOf(upstream);
}

void SlotQueueCoordinator::recordRun(Upstream &upstream, const SlotRun &run)
{
    if (!this->gateway.settings.learning.limits) {
        return;
    }
    const TimePoint now = this->gateway.clock.now();
    const double slots = this->statedSlotsOf(upstream);
    // What is granted beyond the limit waits at the upstream or is on its way.
    const double concurrency = std::min(run.concurrency, this->slotsOf(upstream));
    this->limits.record(upstream.incarnation, concurrency, run.runTime, slots, now);
    const ConcurrencyLimit *const known = this->limits.find(upstream.incarnation);
    const double settled = known == nullptr ? slots : known->settledLimit(slots, now);
    const double logged = upstream.loggedLimit > 0.0 ? upstream.loggedLimit : slots;
    if (std::abs(settled - logged) < minLoggedLimitChange) {
        return;
    }
    upstream.loggedLimit = settled;
    const UpstreamState *const state = this->gateway.upstreams.findKey(upstream.key);
    logEvent(Event::LimitChanged,
             {{"upstream", state == nullptr ? formatHash(upstream.key) : state->replica.id},
              {"limit", fmt::format("{:.1f}", settled)},
              {"slots", fmt::format("{:.0f}", slots)},
              {"run_ms", fmt::format("{:.1f}", known->runTimeAtLimit(now).value_or(0.0))}});
}

SlotQueueLimits SlotQueueCoordinator::limitsOf(const Upstream &upstream) const
{
    SlotQueueLimits limits;
    limits.slots = this->slotsOf(upstream);
    limits.margin = std::max(1.0, this->gateway.settings.contention.marginShare * limits.slots);
    if (const UpstreamState *const state = this->gateway.upstreams.findKey(upstream.key)) {
        limits.holdTime = std::chrono::duration_cast<Milliseconds>(
            this->gateway.slotHoldTime(state->replica.service));
    }
    return limits;
}

std::uint32_t SlotQueueCoordinator::unknownRunning(const Upstream &upstream) const
{
    const TimePoint now = this->gateway.clock.now();
    const auto currentOf = [now](const UnknownCount &count) {
        return now - count.statedAt < unknownRunningRetention ? count.requests : 0U;
    };
    std::uint32_t byRouters = 0;
    for (const auto &[router, count] : upstream.unknownOfRouters) {
        byRouters += currentOf(count);
    }
    return std::max(byRouters, currentOf(upstream.statedUnknown));
}

SlotQueueCoordinator::Upstream *SlotQueueCoordinator::findIncarnation(std::uint64_t incarnation)
{
    const auto key = this->upstreamOf.find(incarnation);
    if (key == this->upstreamOf.end()) {
        return nullptr;
    }
    const auto found = this->upstreams.find(key->second.upstream);
    const bool isCurrent =
        found != this->upstreams.end() && found->second.incarnation == incarnation;
    return isCurrent ? &found->second : nullptr;
}

void SlotQueueCoordinator::end(const std::string &router, std::uint64_t requestId,
                               std::uint64_t incarnation, const GrantRelease &release)
{
    Upstream *const upstream = this->findIncarnation(incarnation);
    if (upstream == nullptr) {
        return;
    }
    const TimePoint now = this->gateway.clock.now();
    if (release.load) {
        // The grants include the one that ends, which the upstream may have counted.
        const auto granted = static_cast<std::uint32_t>(upstream->queue.grantedCount());
        upstream->statedUnknown = {release.load->held - std::min(release.load->held, granted), now};
        upstream->slowdownPercent = release.load->slowdownPercent;
    }
    const auto run = upstream->queue.end(router, requestId, now, release.end);
    if (run) {
        this->recordRun(*upstream, *run);
    }
    upstream->waiting.erase({router, requestId});
    this->grantWaiting(*upstream);
    this->armTimer();
}

void SlotQueueCoordinator::denyWaiting(Upstream &upstream, Milliseconds coldFor)
{
    const TimePoint now = this->gateway.clock.now();
    for (const auto &[router, requestId] : std::exchange(upstream.waiting, {})) {
        upstream.queue.end(router, requestId, now, GrantEnd::Unused);
        QueueReply reply = this->makeDenial(requestId, upstream);
        reply.coldFor = coldFor;
        if (coldFor.count() == 0) {
            reply.state.retryAfter = restartRetryAfter(router, requestId);
        }
        this->send(router, reply);
    }
}

void SlotQueueCoordinator::grantWaiting(Upstream &upstream)
{
    if (const Milliseconds coldFor = this->coldFor(upstream); coldFor.count() > 0) {
        this->denyWaiting(upstream, coldFor);
        return;
    }
    const std::vector<SlotGrant> grants = upstream.queue.grantWaiting(
        this->limitsOf(upstream), this->unknownRunning(upstream), this->gateway.clock.now());
    for (const SlotGrant &grant : grants) {
        upstream.waiting.erase({grant.router, grant.requestId});
        QueueReply reply = this->makeReply(grant.requestId, upstream);
        reply.state.verdict = SlotQueueVerdict::Granted;
        reply.state.running = grant.running;
        this->send(grant.router, reply);
    }
    this->sendDropped(upstream);
}

void SlotQueueCoordinator::sendDropped(Upstream &upstream)
{
    for (const SlotDrop &drop : upstream.queue.takeDropped()) {
        upstream.waiting.erase({drop.router, drop.requestId});
        QueueReply reply = this->makeDenial(drop.requestId, upstream);
        reply.state.expectedWait = drop.waited;
        reply.state.retryAfter = drop.retryAfter;
        this->send(drop.router, reply);
    }
}

void SlotQueueCoordinator::armTimer()
{
    std::optional<TimePoint> due;
    const TimePoint now = this->gateway.clock.now();
    const auto include = [&due](TimePoint moment) { due = std::min(moment, due.value_or(moment)); };
    // Requests that were counted without a grant make room when they no longer are.
    const auto includeEnd = [&include, now](const UnknownCount &count) {
        if (count.requests > 0 && now < count.statedAt + unknownRunningRetention) {
            include(count.statedAt + unknownRunningRetention);
        }
    };
    for (const auto &[key, upstream] : this->upstreams) {
        if (upstream.queue.waitingCount() == 0) {
            continue;
        }
        include(upstream.queue.nextChange().value_or(now + unknownRunningRetention));
        includeEnd(upstream.statedUnknown);
        for (const auto &[router, count] : upstream.unknownOfRouters) {
            includeEnd(count);
        }
    }
    if (!due) {
        this->timer.cancel();
        return;
    }
    this->timer.expires_after(std::max<Duration>(*due - now, minTimerInterval));
    this->timer.async_wait([this](const asio::error_code &error) {
        if (error) {
            return;
        }
        for (auto &[key, upstream] : this->upstreams) {
            if (upstream.queue.waitingCount() > 0) {
                this->grantWaiting(upstream);
            }
        }
        this->armTimer();
    });
}

void SlotQueueCoordinator::reconcile(const std::string &router, const std::vector<PeerLoad> &loads)
{
    for (auto &[key, upstream] : this->upstreams) {
        if (upstream.queue.grantedTo(router) == 0) {
            continue;
        }
        std::uint32_t running = 0;
        for (const PeerLoad &load : loads) {
            running += load.incarnation == upstream.incarnation ? load.running : 0;
        }
        upstream.queue.reconcile(router, running, this->gateway.clock.now());
        this->grantWaiting(upstream);
    }
    this->armTimer();
}

void SlotQueueCoordinator::releaseRouter(const std::string &router)
{
    for (auto &[key, upstream] : this->upstreams) {
        upstream.queue.releaseRouter(router, this->gateway.clock.now());
        upstream.unknownOfRouters.erase(router);
        std::erase_if(upstream.waiting,
                      [&router](const auto &request) { return request.first == router; });
        this->grantWaiting(upstream);
    }
    this->armTimer();
}

void SlotQueueCoordinator::removeIdle()
{
    const TimePoint now = this->gateway.clock.now();
    this->limits.removeIdle(now);
    for (auto &[key, upstream] : this->upstreams) {
        std::erase_if(upstream.unknownOfRouters, [now](const auto &entry) {
            return now - entry.second.statedAt >= unknownRunningRetention;
        });
    }
    std::erase_if(this->upstreams, [now](const auto &entry) {
        const SlotQueue &queue = entry.second.queue;
        return queue.grantedCount() == 0 && queue.waitingCount() == 0
               && now - entry.second.lastRequest > idleEngineRetention;
    });
    // An upstream that restarts often has had many incarnations.
    std::erase_if(this->upstreamOf, [this, now](const auto &entry) {
        const auto found = this->upstreams.find(entry.second.upstream);
        return found == this->upstreams.end()
               || (found->second.incarnation != entry.first
                   && now - entry.second.lastRequest > idleEngineRetention);
    });
}

std::vector<SlotQueueGauge> SlotQueueCoordinator::gauges() const
{
    std::vector<SlotQueueGauge> gauges;
    for (const auto &[key, upstream] : this->upstreams) {
        const UpstreamState *const state = this->gateway.upstreams.findKey(upstream.key);
        gauges.push_back({state == nullptr ? formatHash(key) : state->replica.id,
                          upstream.queue.waitingCount(), upstream.queue.grantedCount(),
                          this->unknownRunning(upstream), upstream.slowdownPercent,
                          this->slotsOf(upstream)});
    }
    return gauges;
}

} // namespace plantainswitch::gateway
