#include "slots.h"

#include <algorithm>
#include <set>

#include <asio/dispatch.hpp>
#include <asio/post.hpp>

namespace plantainswitch {

namespace {

constexpr std::chrono::milliseconds askTimeout{60};
constexpr int askSends = 3;
constexpr std::chrono::milliseconds digestPeriod{2000};
/// A shard without slots is still reported for this long: a lost release is found in that time.
constexpr std::chrono::seconds reportedAfterUse{30};
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
    return {ErrorKind::UpstreamUnreachable, "no engine could be had", std::nullopt};
}

} // namespace

Slots::Slots(asio::io_context & /*context*/, Node &node, std::shared_ptr<PeerLink> link,
             std::shared_ptr<KeeperService> keeper)
    : node(node)
    , link(std::move(link))
    , keeper(std::move(keeper))
    , digestTimer(this->link->executor())
{}

void Slots::start()
{
    this->link->handle<SlotReply>(
        [self = this->shared_from_this()](std::uint64_t, const Endpoint &, PeerBody body) {
            const auto &reply = std::get<SlotReply>(body);
            self->finishAsk(reply.askId, reply);
        });
    this->link->handle<SlotListAsk>(
        [self = this->shared_from_this()](std::uint64_t, const Endpoint &from, PeerBody body) {
            self->sendList(from, std::get<SlotListAsk>(body).shard);
        });
    asio::post(this->link->executor(),
               [self = this->shared_from_this()] { self->scheduleDigests(); });
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
        if (way->answered || shards.empty()) {
            way->done(std::nullopt, std::move(way->last));
            return;
        }
        // No keeper of any permitted shard answers. This router's own count is a safe last
        // resort: a careful keeper's share of the bound, on the same permitted shards.
        way->answered = true;
        way->shard = 0;
        logEvent(Event::KeeperReplaced, {{"shard", describe(shards.front())}});
        this->askKeeper(way, this->node.heartbeat());
        return;
    }
    const std::vector<Heartbeat> keepers = this->keepersToAsk(shards[way->shard]);
    if (way->keeper >= keepers.size()) {
        way->keeper = 0;
        ++way->shard;
        this->tryShard(way);
        return;
    }
    this->askKeeper(way, keepers[way->keeper]);
}

std::vector<Heartbeat> Slots::keepersToAsk(const Shard &shard)
{
    std::vector<Heartbeat> keepers = keepersOf(shard, this->node.members.active());
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
    this->node.metrics.count(Counter::SlotAsks);
    auto onReply = [self = this->shared_from_this(), way, keeper,
                    askId = ask.askId](const std::optional<SlotReply> &reply) {
        self->takeReply(way, keeper, askId, reply);
    };
    if (keeper.id == this->node.settings.id) {
        this->keeper->ask(this->node.identity, ask, onReply);
    } else {
        this->ask(keeper, std::move(ask), std::move(onReply));
    }
}

void Slots::takeReply(const AcquisitionPointer &way, const Heartbeat &keeper, std::uint32_t askId,
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
    ++way->shard;
    this->tryShard(way);
}

bool Slots::takeGrant(const AcquisitionPointer &way, const Heartbeat &keeper, std::uint32_t askId,
                      UpstreamId upstreamId)
{
    const Shard &asked = way->need->plan.shards[way->shard];
    HeldSlot slot{keeper, asked, askId, {}};
    this->hold(asked, askId, upstreamId);
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

void Slots::ask(const Heartbeat &keeper, SlotAsk ask, ReplyHandler done)
{
    asio::post(this->link->executor(), [self = this->shared_from_this(), to = keeper.datagrams,
                                        ask = std::move(ask), done = std::move(done)]() mutable {
        const std::uint32_t askId = ask.askId;
        PendingAsk entry{to, std::move(ask), std::move(done), nullptr, 0};
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
    if (++entry.sends > askSends) {
        this->node.metrics.count(Counter::SlotAskTimeouts);
        // The keeper may have granted and its answer be lost: the slot is given back.
        this->link->send(entry.keeper, SlotRelease{shardIdOf(entry.ask.shard), {askId}});
        this->finishAsk(askId, std::nullopt);
        return;
    }
    this->link->send(entry.keeper, entry.ask);
    entry.timer->expires_after(askTimeout);
    entry.timer->async_wait(
        [self = this->shared_from_this(), askId](const asio::error_code &error) {
            if (!error) {
                self->sendAsk(askId);
            }
        });
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

void Slots::hold(const Shard &shard, std::uint32_t askId, UpstreamId upstream)
{
    asio::dispatch(this->link->executor(),
                   [self = this->shared_from_this(), shard, askId, upstream] {
                       HeldShard &entry = self->held[shardIdOf(shard)];
                       entry.shard = shard;
                       entry.slots[askId] = upstream;
                       entry.lastUsed = self->node.clock.now();
                   });
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
    HeldShard &entry = this->held[shard];
    entry.shard = slot.shard;
    entry.slots.erase(slot.askId);
    entry.lastUsed = this->node.clock.now();
    // The shard may have another keeper by now, which learnt of the slot from our list.
    std::set<Endpoint> keepers{slot.keeper.datagrams};
    if (const auto present = keeperOf(slot.shard, this->node.members.active())) {
        keepers.insert(present->datagrams);
    }
    for (const Endpoint &keeper : keepers) {
        if (keeper == this->node.settings.peerDatagrams) {
            this->keeper->release(this->node.identity, {shard, {slot.askId}});
        } else {
            // At once: the chat's next request may come right behind the answer, and would be
            // sent away from its engine while the slot still counts.
            this->link->send(keeper, SlotRelease{shard, {slot.askId}});
        }
    }
}

void Slots::scheduleDigests()
{
    this->sendDigests();
    this->digestTimer.expires_after(digestPeriod);
    this->digestTimer.async_wait([self = this->shared_from_this()](const asio::error_code &error) {
        if (!error) {
            self->scheduleDigests();
        }
    });
}

void Slots::sendDigests()
{
    const TimePoint now = this->node.clock.now();
    std::erase_if(this->held, [now](const auto &each) {
        return each.second.slots.empty() && now - each.second.lastUsed > reportedAfterUse;
    });
    const std::vector<Heartbeat> active = this->node.members.active();
    for (const auto &[id, entry] : this->held) {
        const auto keeper = keeperOf(entry.shard, active);
        if (keeper && keeper->id != this->node.settings.id) {
            this->link->send(keeper->datagrams, digestOf(id, entry.slots, this->lowestPending(id)));
        } else if (keeper) {
            for (SlotList &list :
                 listsOf(entry.shard, this->node.identity, entry.slots, this->lowestPending(id))) {
                this->node.keeper.takeList(0, list, now);
            }
        }
    }
}

void Slots::sendList(const Endpoint &to, ShardId shard)
{
    const auto found = this->held.find(shard);
    if (found == this->held.end()) {
        return;
    }
    for (const SlotList &list : listsOf(found->second.shard, this->node.identity,
                                        found->second.slots, this->lowestPending(shard))) {
        this->link->send(to, list);
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
