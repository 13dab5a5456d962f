#include "slotclient.h"

#include <algorithm>
#include <set>

#include <asio/post.hpp>

namespace plantainswitch {

namespace {

constexpr std::chrono::milliseconds releasePeriod{50};
constexpr std::chrono::milliseconds askTimeout{60};
constexpr int askSends = 3;
/// How often a waiting ask is repeated, so that a lost grant is found and the keeper knows that
/// its router is alive.
constexpr std::chrono::milliseconds queuedPeriod{250};
/// How long a grant that arrives too late is still recognised and given back.
constexpr std::chrono::seconds givenUpMemory{60};
/// Releases that fit into one datagram with room to spare.
constexpr std::size_t releasesInDatagram = 200;

/// The keeper and the next in its order; further ones would keep the caller waiting.
constexpr std::size_t keepersAsked = 2;
constexpr std::chrono::milliseconds silencePenalty{1000};

std::string describe(const Shard &shard)
{
    return shard.service + "@" + shard.place + "#" + std::to_string(shard.number);
}

Reason reasonOf(const std::optional<SlotReply> &reply)
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

Slots::Slots(asio::io_context & /*context*/, Node &node, std::shared_ptr<PeerLink> link,
             std::shared_ptr<KeeperService> keeper)
    : node(node)
    , link(std::move(link))
    , keeper(std::move(keeper))
    , held(std::make_shared<HeldSlots>(node, this->link))
    , releaseTimer(this->link->executor())
{}

void Slots::start()
{
    this->link->handle<SlotReply>(
        [self = this->shared_from_this()](std::uint64_t, const Endpoint &, PeerBody body) {
            self->takeReply(std::get<SlotReply>(body));
        });
    this->held->start([weak = this->weak_from_this()](ShardId shard) {
        const auto self = weak.lock();
        return self ? self->lowestPending(shard) : 0;
    });
    asio::post(this->link->executor(),
               [self = this->shared_from_this()] { self->scheduleReleases(); });
}

void Slots::acquire(const std::shared_ptr<const SlotNeed> &need, Note note, Done done)
{
    auto way = std::make_shared<Acquisition>();
    way->need = need;
    way->note = std::move(note);
    way->done = std::move(done);
    way->last = {ErrorKind::UpstreamUnreachable, "no shard could be asked", std::nullopt};
    this->tryShard(way);
}

void Slots::tryShard(const AcquisitionPointer &way)
{
    const auto &shards = way->need->plan.shards;
    if (way->shard >= shards.size()) {
        this->tryElsewhere(way);
        return;
    }
    const std::vector<Heartbeat> keepers = this->keepersToAsk(shards[way->shard]);
    if (way->keeper < keepers.size()) {
        this->askKeeper(way, keepers[way->keeper]);
        return;
    }
    way->keeper = 0;
    way->shard = way->waiting ? shards.size() : way->shard + 1;
    this->tryShard(way);
}

/// No shard of the plan has given a slot.
void Slots::tryElsewhere(const AcquisitionPointer &way)
{
    const auto &shards = way->need->plan.shards;
    const bool full = way->last.kind == ErrorKind::Overloaded;
    if (full && !way->waiting && way->need->waitMilliseconds != 0) {
        way->waiting = true;
        way->shard = 0;
        this->tryShard(way);
        return;
    }
    if (way->answered || shards.empty()) {
        way->done(std::nullopt, std::move(way->last));
        return;
    }
    // No keeper of any permitted shard answers. This router's own count is a safe last resort: a
    // careful keeper's share of the bound, on the same permitted shard.
    way->answered = true;
    way->shard = 0;
    logEvent(Event::KeeperReplaced, {{"shard", describe(shards.front())}});
    this->askKeeper(way, this->node.heartbeat());
}

std::vector<Heartbeat> Slots::keepersToAsk(const Shard &shard)
{
    std::vector<Heartbeat> keepers = keepersOf(shard, *this->node.members.active());
    if (keepers.size() > keepersAsked) {
        keepers.resize(keepersAsked);
    }
    const TimePoint now = this->node.clock.now();
    const RankedLock lock(this->mutex);
    std::stable_partition(keepers.begin(), keepers.end(), [this, now](const Heartbeat &keeper) {
        const auto found = this->silentUntil.find(keeper.id);
        return found == this->silentUntil.end() || found->second <= now;
    });
    return keepers;
}

void Slots::markSilent(const std::string &keeper)
{
    const RankedLock lock(this->mutex);
    this->silentUntil[keeper] = this->node.clock.now() + silencePenalty;
}

void Slots::askKeeper(const AcquisitionPointer &way, const Heartbeat &keeper)
{
    const SlotNeed &need = *way->need;
    SlotAsk ask{this->nextAsk++, need.plan.shards[way->shard], need.chat, need.fingerprint,
                need.avoid};
    if (way->waiting) {
        ask.waitMilliseconds = need.waitMilliseconds;
        ask.workspace = need.workspace;
        ask.weight = need.weight;
        ask.priority = need.priority;
    }
    this->node.metrics.count(Counter::SlotAsks);
    auto onReply = [self = this->shared_from_this(), way, keeper,
                    askId = ask.askId](const std::optional<SlotReply> &reply) {
        self->takeOutcome(way, keeper, askId, reply);
    };
    if (keeper.id == this->node.settings.id && !way->waiting) {
        this->keeper->ask(this->node.identity, ask, onReply);
    } else {
        this->ask(keeper, std::move(ask), way->need, std::move(onReply));
    }
}

void Slots::takeOutcome(const AcquisitionPointer &way, const Heartbeat &keeper, std::uint32_t askId,
                        const std::optional<SlotReply> &reply)
{
    const Shard &asked = way->need->plan.shards[way->shard];
    way->note("shard " + describe(asked) + " keeper " + keeper.id + ": "
              + (reply ? std::string(nameOf(reply->verdict)) : std::string("silent")));
    if (!reply) {
        logEvent(Event::KeeperSilent, {{"keeper", keeper.id}, {"shard", describe(asked)}});
        this->markSilent(keeper.id);
        ++way->keeper;
        this->tryShard(way);
        return;
    }
    way->answered = true;
    if (reply->verdict == SlotVerdict::Granted
        && this->takeGrant(way, keeper, askId, reply->upstream)) {
        return;
    }
    way->last = reasonOf(reply);
    way->keeper = 0;
    way->shard = way->waiting ? way->need->plan.shards.size() : way->shard + 1;
    this->tryShard(way);
}

bool Slots::takeGrant(const AcquisitionPointer &way, const Heartbeat &keeper, std::uint32_t askId,
                      UpstreamId upstreamId)
{
    const Shard &asked = way->need->plan.shards[way->shard];
    HeldSlot slot{keeper, asked, askId, {}};
    this->held->hold(asked, askId, upstreamId);
    const auto upstream = this->node.upstreams.find(upstreamId);
    // The keeper's list of VMs may be ahead of ours or behind: what we don't know to be
    // in the asked place is never used, or a request could leave its permitted places.
    if (!upstream || upstream->vm.place != asked.place || upstream->vm.service != asked.service
        || upstream->vm.leaving) {
        this->release(slot);
        return false;
    }
    slot.upstream = *upstream;
    way->done(std::move(slot), {});
    return true;
}

void Slots::ask(const Heartbeat &keeper, SlotAsk ask, std::shared_ptr<const SlotNeed> need,
                ReplyHandler done)
{
    const bool local = keeper.id == this->node.settings.id;
    asio::post(this->link->executor(), [self = this->shared_from_this(), to = keeper.datagrams,
                                        ask = std::move(ask), need = std::move(need), local,
                                        done = std::move(done)]() mutable {
        const std::uint32_t askId = ask.askId;
        PendingAsk entry{to, std::move(ask), std::move(done), nullptr, 0, std::move(need), local};
        entry.timer = std::make_unique<asio::steady_timer>(self->link->executor());
        self->pending.emplace(askId, std::move(entry));
        self->sendAsk(askId);
    });
}

void Slots::sendAsk(std::uint32_t askId)
{
    const auto found = this->pending.find(askId);
    if (found == this->pending.end()) {
        return;
    }
    PendingAsk &entry = found->second;
    if (++entry.sends > askSends || entry.need->abandoned) {
        this->giveUp(askId);
        return;
    }
    if (entry.local) {
        this->keeper->ask(this->node.identity, entry.ask,
                          [self = this->shared_from_this()](const SlotReply &reply) {
                              asio::post(self->link->executor(),
                                         [self, reply] { self->takeReply(reply); });
                          });
    } else {
        this->link->send(entry.keeper, entry.ask);
    }
    entry.timer->expires_after(entry.queued ? queuedPeriod : askTimeout);
    entry.timer->async_wait(
        [self = this->shared_from_this(), askId](const asio::error_code &error) {
            if (!error) {
                self->sendAsk(askId);
            }
        });
}

void Slots::takeReply(const SlotReply &reply)
{
    const auto found = this->pending.find(reply.askId);
    if (found == this->pending.end()) {
        this->returnLateGrant(reply);
        return;
    }
    if (reply.verdict != SlotVerdict::Queued) {
        this->finishAsk(reply.askId, reply);
        return;
    }
    PendingAsk &entry = found->second;
    entry.sends = 0;
    if (!entry.queued) {
        entry.queued = true;
        entry.timer->expires_after(queuedPeriod);
        entry.timer->async_wait(
            [self = this->shared_from_this(), askId = reply.askId](const asio::error_code &error) {
                if (!error) {
                    self->sendAsk(askId);
                }
            });
    }
}

void Slots::giveUp(std::uint32_t askId)
{
    const PendingAsk &entry = this->pending.at(askId);
    const ShardId shard = shardIdOf(entry.ask.shard);
    const TimePoint now = this->node.clock.now();
    this->node.metrics.count(Counter::SlotAskTimeouts);
    std::erase_if(this->givenUp,
                  [now](const auto &item) { return now - item.second.since > givenUpMemory; });
    this->givenUp[askId] = {entry.keeper, shard, now};
    this->give(entry.keeper, entry.local, shard, askId);
    this->finishAsk(askId, std::nullopt);
}

/// A grant can cross the end of our patience. Dropped, its slot would stay counted until this
/// router leaves, seen as an engine that fills up without work; so it is given back.
void Slots::returnLateGrant(const SlotReply &reply)
{
    const auto found = this->givenUp.find(reply.askId);
    if (reply.verdict != SlotVerdict::Granted || found == this->givenUp.end()) {
        return;
    }
    this->give(found->second.keeper, found->second.keeper == this->node.settings.peerDatagrams,
               found->second.shard, reply.askId);
}

void Slots::give(const Endpoint &keeper, bool local, ShardId shard, std::uint32_t askId)
{
    if (local) {
        this->keeper->release(this->node.identity, {shard, {askId}});
        return;
    }
    this->releases[{keeper, shard}].push_back(askId);
}

void Slots::finishAsk(std::uint32_t askId, const std::optional<SlotReply> &reply)
{
    const auto found = this->pending.find(askId);
    if (found == this->pending.end()) {
        return;
    }
    const PendingAsk entry = std::move(found->second);
    this->pending.erase(found);
    entry.done(reply);
}

void Slots::flush(std::function<void()> done)
{
    asio::post(this->link->executor(), [self = this->shared_from_this(), done = std::move(done)] {
        self->flushReleases();
        asio::post(self->link->executor(), done);
    });
}

void Slots::scheduleReleases()
{
    this->flushReleases();
    this->releaseTimer.expires_after(releasePeriod);
    this->releaseTimer.async_wait([self = this->shared_from_this()](const asio::error_code &error) {
        if (!error) {
            self->scheduleReleases();
        }
    });
}

void Slots::flushReleases()
{
    if (this->releases.empty()) {
        return;
    }
    this->flushedAt = this->node.clock.now();
    const auto batch = std::move(this->releases);
    this->releases.clear();
    for (const auto &[target, ids] : batch) {
        for (std::size_t first = 0; first < ids.size(); first += releasesInDatagram) {
            const std::size_t last = std::min(ids.size(), first + releasesInDatagram);
            SlotRelease release;
            release.shard = target.second;
            release.askIds.assign(ids.begin() + static_cast<std::ptrdiff_t>(first),
                                  ids.begin() + static_cast<std::ptrdiff_t>(last));
            this->link->send(target.first, release);
        }
    }
}

void Slots::release(const HeldSlot &slot)
{
    if (slot.keeper.id == this->node.settings.id) {
        this->keeper->release(this->node.identity, {shardIdOf(slot.shard), {slot.askId}});
    }
    asio::post(this->link->executor(),
               [self = this->shared_from_this(), slot] { self->releaseHere(slot); });
}

void Slots::releaseHere(const HeldSlot &slot)
{
    const ShardId shard = shardIdOf(slot.shard);
    this->held->erase(slot.shard, slot.askId);
    // The shard may have another keeper by now, which learnt of the slot from our list.
    std::set<Endpoint> keepers{slot.keeper.datagrams};
    if (const auto present = keeperOf(slot.shard, *this->node.members.active())) {
        keepers.insert(present->datagrams);
    }
    for (const Endpoint &keeper : keepers) {
        this->give(keeper, keeper == this->node.settings.peerDatagrams, shard, slot.askId);
    }
    // A chat that returns right after its answer would find its own slot still counted and
    // be displaced; only the releases of a busy moment wait for a common datagram.
    if (this->node.clock.now() - this->flushedAt >= releasePeriod) {
        this->flushReleases();
    }
}

std::uint32_t Slots::lowestPending(ShardId shard) const
{
    std::uint32_t lowest = this->nextAsk;
    for (const auto &[askId, entry] : this->pending) {
        if (shardIdOf(entry.ask.shard) == shard) {
            lowest = std::min(lowest, askId);
        }
    }
    return lowest;
}

} // namespace plantainswitch
