#include "slotclient.h"

#include <algorithm>
#include <set>

#include <asio/post.hpp>

namespace plantainswitch {

namespace {

constexpr std::chrono::milliseconds releasePeriod{50};
constexpr std::chrono::milliseconds askTimeout{60};
constexpr int maxAskSends = 3;
/// Interval at which a queued request is repeated, to recover a lost grant and to show the
/// coordinator that its router is alive.
constexpr std::chrono::milliseconds queuedAskPeriod{250};
/// How long a grant that arrives after its request timed out is still recognised and released.
constexpr std::chrono::seconds timedOutAskRetention{60};
/// Releases per datagram. This many stay well below the datagram limit.
constexpr std::size_t maxReleasesPerDatagram = 200;

/// The coordinator and its first stand-in; asking further ones would delay the caller.
constexpr std::size_t maxKeepersAsked = 2;
constexpr std::chrono::milliseconds unresponsivePenalty{1000};

std::string describe(const Shard &shard)
{
    return shard.service + "@" + shard.dataCentre + "#" + std::to_string(shard.number);
}

Reason toReason(const std::optional<SlotReply> &reply)
{
    if (reply && reply->verdict == SlotVerdict::Overflow) {
        return {ErrorKind::Overloaded, "every engine is at its bound", std::nullopt};
    }
    if (reply && reply->verdict == SlotVerdict::Busy) {
        return {ErrorKind::Overloaded, "the wait for an engine is too long",
                static_cast<int>(reply->retryAfterSeconds)};
    }
    if (reply && reply->verdict == SlotVerdict::Expired) {
        return {ErrorKind::QueueExpired, "no engine came free in time", std::nullopt};
    }
    return {ErrorKind::UpstreamUnreachable, "no engine could be had", std::nullopt};
}

} // namespace

SlotClient::SlotClient(asio::io_context & /*context*/, Node &node,
                       std::shared_ptr<PeerTransport> link,
                       std::shared_ptr<CoordinatorService> keeper)
    : node(node)
    , link(std::move(link))
    , coordinatorService(std::move(keeper))
    , heldSlots(std::make_shared<HeldSlots>(node, this->link))
    , releaseTimer(this->link->executor())
{}

void SlotClient::start()
{
    this->link->setHandler<SlotReply>(
        [self = this->shared_from_this()](std::uint64_t, const Endpoint &, PeerBody body) {
            self->handleReply(std::get<SlotReply>(body));
        });
    this->heldSlots->start([weak = this->weak_from_this()](ShardId shard) {
        const auto self = weak.lock();
        return self ? self->lowestPending(shard) : 0;
    });
    asio::post(this->link->executor(),
               [self = this->shared_from_this()] { self->scheduleReleases(); });
}

void SlotClient::acquire(const std::shared_ptr<const SlotRequirements> &need, StepCallback note,
                         AcquireCallback done)
{
    auto acquisition = std::make_shared<Acquisition>();
    acquisition->requirements = need;
    acquisition->addStep = std::move(note);
    acquisition->onDone = std::move(done);
    acquisition->lastRefusal = {ErrorKind::UpstreamUnreachable, "no shard could be asked",
                                std::nullopt};
    this->tryShard(acquisition);
}

void SlotClient::tryShard(const AcquisitionPointer &acquisition)
{
    const auto &shards = acquisition->requirements->plan.shards;
    if (acquisition->shardIndex >= shards.size()) {
        this->tryFallback(acquisition);
        return;
    }
    const std::vector<Heartbeat> keepers = this->coordinatorsToAsk(shards[acquisition->shardIndex]);
    if (acquisition->coordinatorIndex < keepers.size()) {
        this->askCoordinator(acquisition, keepers[acquisition->coordinatorIndex]);
        return;
    }
    acquisition->coordinatorIndex = 0;
    acquisition->shardIndex = acquisition->waiting ? shards.size() : acquisition->shardIndex + 1;
    this->tryShard(acquisition);
}

/// Called when no shard of the plan has granted a slot. Queues the request if the shards are full;
/// if no coordinator answered, falls back to this router's own count.
void SlotClient::tryFallback(const AcquisitionPointer &acquisition)
{
    const auto &shards = acquisition->requirements->plan.shards;
    const bool full = acquisition->lastRefusal.kind == ErrorKind::Overloaded;
    if (full && !acquisition->waiting && acquisition->requirements->waitMilliseconds != 0) {
        acquisition->waiting = true;
        acquisition->shardIndex = 0;
        this->tryShard(acquisition);
        return;
    }
    if (acquisition->answered || shards.empty()) {
        acquisition->onDone(std::nullopt, std::move(acquisition->lastRefusal));
        return;
    }
    // No coordinator of any permitted shard answers. Granting by this router's own count is a safe
    // last resort: a careful coordinator stays within its share of the bound, on the same permitted
    // shard.
    acquisition->answered = true;
    acquisition->shardIndex = 0;
    logEvent(Event::KeeperReplaced, {{"shard", describe(shards.front())}});
    this->askCoordinator(acquisition, this->node.heartbeat());
}

std::vector<Heartbeat> SlotClient::coordinatorsToAsk(const Shard &shard)
{
    std::vector<Heartbeat> keepers = coordinatorsOf(shard, *this->node.members.active());
    if (keepers.size() > maxKeepersAsked) {
        keepers.resize(maxKeepersAsked);
    }
    const TimePoint now = this->node.clock.now();
    const RankedLock lock(this->mutex);
    std::stable_partition(keepers.begin(), keepers.end(), [this, now](const Heartbeat &keeper) {
        const auto found = this->unresponsiveUntil.find(keeper.id);
        return found == this->unresponsiveUntil.end() || found->second <= now;
    });
    return keepers;
}

void SlotClient::markUnresponsive(const std::string &keeper)
{
    const RankedLock lock(this->mutex);
    this->unresponsiveUntil[keeper] = this->node.clock.now() + unresponsivePenalty;
}

void SlotClient::askCoordinator(const AcquisitionPointer &acquisition, const Heartbeat &keeper)
{
    const SlotRequirements &need = *acquisition->requirements;
    SlotRequest ask{this->nextRequestId++, need.plan.shards[acquisition->shardIndex], need.chatHash,
                    need.fingerprint, need.avoid};
    if (acquisition->waiting) {
        ask.waitMilliseconds = need.waitMilliseconds;
        ask.workspace = need.workspace;
        ask.weight = need.weight;
        ask.priority = need.priority;
    }
    this->node.metrics.count(Counter::SlotAsks);
    auto onReply = [self = this->shared_from_this(), acquisition, keeper,
                    askId = ask.requestId](const std::optional<SlotReply> &reply) {
        self->handleOutcome(acquisition, keeper, askId, reply);
    };
    if (keeper.id == this->node.settings.id && !acquisition->waiting) {
        this->coordinatorService->handleRequest(this->node.identity, ask, onReply);
    } else {
        this->startRequest(keeper, std::move(ask), acquisition->requirements, std::move(onReply));
    }
}

void SlotClient::handleOutcome(const AcquisitionPointer &acquisition, const Heartbeat &keeper,
                               std::uint32_t askId, const std::optional<SlotReply> &reply)
{
    const Shard &asked = acquisition->requirements->plan.shards[acquisition->shardIndex];
    acquisition->addStep("shard " + describe(asked) + " keeper " + keeper.id + ": "
                         + (reply ? std::string(nameOf(reply->verdict)) : std::string("silent")));
    if (!reply) {
        logEvent(Event::KeeperSilent, {{"keeper", keeper.id}, {"shard", describe(asked)}});
        this->markUnresponsive(keeper.id);
        ++acquisition->coordinatorIndex;
        this->tryShard(acquisition);
        return;
    }
    acquisition->answered = true;
    if (reply->verdict == SlotVerdict::Granted
        && this->acceptGrant(acquisition, keeper, askId, reply->upstream)) {
        return;
    }
    acquisition->lastRefusal = toReason(reply);
    acquisition->coordinatorIndex = 0;
    acquisition->shardIndex = acquisition->waiting ? acquisition->requirements->plan.shards.size()
                                                   : acquisition->shardIndex + 1;
    this->tryShard(acquisition);
}

bool SlotClient::acceptGrant(const AcquisitionPointer &acquisition, const Heartbeat &keeper,
                             std::uint32_t askId, UpstreamId upstreamId)
{
    const Shard &asked = acquisition->requirements->plan.shards[acquisition->shardIndex];
    HeldSlot slot{keeper, asked, askId, {}};
    this->heldSlots->add(asked, askId, upstreamId);
    const auto upstream = this->node.upstreams.find(upstreamId);
    // The coordinator's VM list may be newer or older than this router's. An upstream that is not
    // known here to be in the requested data centre is never used: a request could leave its
    // permitted data centres.
    if (!upstream || upstream->vm.dataCentre != asked.dataCentre
        || upstream->vm.service != asked.service || upstream->vm.leaving) {
        this->release(slot);
        return false;
    }
    slot.upstream = *upstream;
    acquisition->onDone(std::move(slot), {});
    return true;
}

void SlotClient::startRequest(const Heartbeat &keeper, SlotRequest ask,
                              std::shared_ptr<const SlotRequirements> need, ReplyCallback done)
{
    const bool local = keeper.id == this->node.settings.id;
    asio::post(this->link->executor(),
               [self = this->shared_from_this(), to = keeper.datagramEndpoint, ask = std::move(ask),
                need = std::move(need), local, done = std::move(done)]() mutable {
                   const std::uint32_t askId = ask.requestId;
                   PendingRequest entry{
                       to, std::move(ask), std::move(done), nullptr, 0, std::move(need), local};
                   entry.timer = std::make_unique<asio::steady_timer>(self->link->executor());
                   self->pendingRequests.emplace(askId, std::move(entry));
                   self->sendRequest(askId);
               });
}

void SlotClient::sendRequest(std::uint32_t askId)
{
    const auto found = this->pendingRequests.find(askId);
    if (found == this->pendingRequests.end()) {
        return;
    }
    PendingRequest &entry = found->second;
    if (++entry.sendCount > maxAskSends || entry.requirements->abandoned) {
        this->timeOutRequest(askId);
        return;
    }
    if (entry.local) {
        this->coordinatorService->handleRequest(
            this->node.identity, entry.request,
            [self = this->shared_from_this()](const SlotReply &reply) {
                asio::post(self->link->executor(), [self, reply] { self->handleReply(reply); });
            });
    } else {
        this->link->send(entry.coordinator, entry.request);
    }
    entry.timer->expires_after(entry.queued ? queuedAskPeriod : askTimeout);
    entry.timer->async_wait(
        [self = this->shared_from_this(), askId](const asio::error_code &error) {
            if (!error) {
                self->sendRequest(askId);
            }
        });
}

void SlotClient::handleReply(const SlotReply &reply)
{
    const auto found = this->pendingRequests.find(reply.requestId);
    if (found == this->pendingRequests.end()) {
        this->releaseLateGrant(reply);
        return;
    }
    if (reply.verdict != SlotVerdict::Queued) {
        this->finishRequest(reply.requestId, reply);
        return;
    }
    PendingRequest &entry = found->second;
    entry.sendCount = 0;
    if (!entry.queued) {
        entry.queued = true;
        entry.timer->expires_after(queuedAskPeriod);
        entry.timer->async_wait([self = this->shared_from_this(),
                                 askId = reply.requestId](const asio::error_code &error) {
            if (!error) {
                self->sendRequest(askId);
            }
        });
    }
}

void SlotClient::timeOutRequest(std::uint32_t askId)
{
    const PendingRequest &entry = this->pendingRequests.at(askId);
    const ShardId shard = shardIdOf(entry.request.shard);
    const TimePoint now = this->node.clock.now();
    this->node.metrics.count(Counter::SlotAskTimeouts);
    std::erase_if(this->timedOutRequests, [now](const auto &item) {
        return now - item.second.since > timedOutAskRetention;
    });
    this->timedOutRequests[askId] = {entry.coordinator, shard, now};
    this->sendRelease(entry.coordinator, entry.local, shard, askId);
    this->finishRequest(askId, std::nullopt);
}

/// Releases a grant that arrives after its request timed out. Otherwise its slot would stay counted
/// until this router leaves, and the engine would seem to fill up without work.
void SlotClient::releaseLateGrant(const SlotReply &reply)
{
    const auto found = this->timedOutRequests.find(reply.requestId);
    if (reply.verdict != SlotVerdict::Granted || found == this->timedOutRequests.end()) {
        return;
    }
    this->sendRelease(found->second.coordinator,
                      found->second.coordinator == this->node.settings.peerDatagrams,
                      found->second.shard, reply.requestId);
}

void SlotClient::sendRelease(const Endpoint &keeper, bool local, ShardId shard, std::uint32_t askId)
{
    if (local) {
        this->coordinatorService->release(this->node.identity, {shard, {askId}});
        return;
    }
    this->pendingReleases[{keeper, shard}].push_back(askId);
}

void SlotClient::finishRequest(std::uint32_t askId, const std::optional<SlotReply> &reply)
{
    const auto found = this->pendingRequests.find(askId);
    if (found == this->pendingRequests.end()) {
        return;
    }
    const PendingRequest entry = std::move(found->second);
    this->pendingRequests.erase(found);
    entry.onReply(reply);
}

void SlotClient::flush(std::function<void()> done)
{
    asio::post(this->link->executor(), [self = this->shared_from_this(), done = std::move(done)] {
        self->flushReleases();
        asio::post(self->link->executor(), done);
    });
}

void SlotClient::scheduleReleases()
{
    this->flushReleases();
    this->releaseTimer.expires_after(releasePeriod);
    this->releaseTimer.async_wait([self = this->shared_from_this()](const asio::error_code &error) {
        if (!error) {
            self->scheduleReleases();
        }
    });
}

void SlotClient::flushReleases()
{
    if (this->pendingReleases.empty()) {
        return;
    }
    this->lastFlush = this->node.clock.now();
    const auto batch = std::move(this->pendingReleases);
    this->pendingReleases.clear();
    for (const auto &[target, ids] : batch) {
        for (std::size_t first = 0; first < ids.size(); first += maxReleasesPerDatagram) {
            const std::size_t last = std::min(ids.size(), first + maxReleasesPerDatagram);
            SlotRelease release;
            release.shard = target.second;
            release.requestIds.assign(ids.begin() + static_cast<std::ptrdiff_t>(first),
                                      ids.begin() + static_cast<std::ptrdiff_t>(last));
            this->link->send(target.first, release);
        }
    }
}

void SlotClient::release(const HeldSlot &slot)
{
    if (slot.coordinator.id == this->node.settings.id) {
        this->coordinatorService->release(this->node.identity,
                                          {shardIdOf(slot.shard), {slot.requestId}});
    }
    asio::post(this->link->executor(),
               [self = this->shared_from_this(), slot] { self->releaseOnStrand(slot); });
}

void SlotClient::releaseOnStrand(const HeldSlot &slot)
{
    const ShardId shard = shardIdOf(slot.shard);
    this->heldSlots->erase(slot.shard, slot.requestId);
    // The shard may have a new coordinator by now, which learnt of the slot from this router's
    // list.
    std::set<Endpoint> keepers{slot.coordinator.datagramEndpoint};
    if (const auto currentKeeper = coordinatorOf(slot.shard, *this->node.members.active())) {
        keepers.insert(currentKeeper->datagramEndpoint);
    }
    for (const Endpoint &keeper : keepers) {
        this->sendRelease(keeper, keeper == this->node.settings.peerDatagrams, shard,
                          slot.requestId);
    }
    // Send at once unless releases were just sent: a chat that returns right after its answer would
    // find its own slot still counted and be moved to another engine. Only releases in quick
    // succession are batched into one datagram.
    if (this->node.clock.now() - this->lastFlush >= releasePeriod) {
        this->flushReleases();
    }
}

std::uint32_t SlotClient::lowestPending(ShardId shard) const
{
    std::uint32_t lowest = this->nextRequestId;
    for (const auto &[askId, entry] : this->pendingRequests) {
        if (shardIdOf(entry.request.shard) == shard) {
            lowest = std::min(lowest, askId);
        }
    }
    return lowest;
}

} // namespace plantainswitch
