#include "heldslots.h"

#include <asio/dispatch.hpp>
#include <asio/post.hpp>

namespace plantainswitch {

namespace {

constexpr std::chrono::milliseconds digestPeriod{2000};
/// A shard without slots is still reported for this long, so that its digest reveals a lost
/// release.
constexpr std::chrono::seconds emptyShardReportPeriod{30};

} // namespace

void HeldSlots::start(LowestPending pending)
{
    this->lowestPending = std::move(pending);
    this->link->setHandler<SlotListRequest>(
        [self = this->shared_from_this()](std::uint64_t, const Endpoint &from, PeerBody body) {
            self->sendList(from, std::get<SlotListRequest>(body).shard);
        });
    asio::post(this->link->executor(), [self = this->shared_from_this()] { self->tick(); });
}

void HeldSlots::add(const Shard &shard, std::uint32_t askId, UpstreamId upstream)
{
    asio::dispatch(this->link->executor(),
                   [self = this->shared_from_this(), shard, askId, upstream] {
                       HeldShard &entry = self->shards[shardIdOf(shard)];
                       entry.shard = shard;
                       entry.slots[askId] = upstream;
                       entry.lastUsed = self->node.clock.now();
                   });
}

void HeldSlots::erase(const Shard &shard, std::uint32_t askId)
{
    HeldShard &entry = this->shards[shardIdOf(shard)];
    entry.shard = shard;
    entry.slots.erase(askId);
    entry.lastUsed = this->node.clock.now();
}

void HeldSlots::tick()
{
    this->sendDigests();
    this->timer.expires_after(digestPeriod);
    this->timer.async_wait([self = this->shared_from_this()](const asio::error_code &error) {
        if (!error) {
            self->tick();
        }
    });
}

void HeldSlots::sendDigests()
{
    const TimePoint now = this->node.clock.now();
    std::erase_if(this->shards, [now](const auto &each) {
        return each.second.slots.empty() && now - each.second.lastUsed > emptyShardReportPeriod;
    });
    const MemberSnapshot active = this->node.members.active();
    for (const auto &[id, entry] : this->shards) {
        const auto keeper = coordinatorOf(entry.shard, *active);
        if (keeper && keeper->id != this->node.settings.id) {
            this->link->send(keeper->datagramEndpoint,
                             digestOf(id, entry.slots, this->lowestPending(id)));
        } else if (keeper) {
            for (SlotList &list : splitIntoLists(entry.shard, this->node.identity, entry.slots,
                                                 this->lowestPending(id))) {
                this->node.shardCoordinator.receiveList(0, list, now);
            }
        }
    }
}

void HeldSlots::sendList(const Endpoint &to, ShardId shard)
{
    const auto found = this->shards.find(shard);
    if (found == this->shards.end()) {
        return;
    }
    for (const SlotList &list : splitIntoLists(found->second.shard, this->node.identity,
                                               found->second.slots, this->lowestPending(shard))) {
        this->link->send(to, list);
    }
}

} // namespace plantainswitch
