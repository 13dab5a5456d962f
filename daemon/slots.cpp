#include "slots.h"

namespace plantainswitch {

namespace {

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

void Slots::acquire(const std::shared_ptr<const SlotNeed> &need, Note note, Done done)
{
    const Reason none{ErrorKind::UpstreamUnreachable, "no shard could be asked", std::nullopt};
    this->tryShard(need, 0, none, std::move(note), std::move(done));
}

void Slots::tryShard(const std::shared_ptr<const SlotNeed> &need, std::size_t index, Reason last,
                     Note note, Done done)
{
    if (index >= need->plan.shards.size()) {
        done(std::nullopt, std::move(last));
        return;
    }
    const Shard &shard = need->plan.shards[index];
    const auto keeper =
        keeperOf(shard, this->node.members.active()).value_or(this->node.heartbeat());
    SlotAsk ask{this->nextAsk++, shard, need->chat, need->fingerprint, need->avoid};
    const std::uint32_t askId = ask.askId;
    this->node.metrics.count(Counter::SlotAsks);
    auto onReply = [self = this->shared_from_this(), need, index, keeper, askId, note,
                    done = std::move(done)](const std::optional<SlotReply> &reply) mutable {
        const Shard &asked = need->plan.shards[index];
        note("shard " + describe(asked) + " keeper " + keeper.id + ": "
             + (reply ? std::string(nameOf(reply->verdict)) : std::string("silent")));
        if (!reply) {
            logEvent(Event::KeeperSilent, {{"keeper", keeper.id}, {"shard", describe(asked)}});
        }
        if (reply && reply->verdict == SlotVerdict::Granted) {
            HeldSlot slot{keeper, shardIdOf(asked), askId, {}};
            const auto upstream = self->node.upstreams.find(reply->upstream);
            // The keeper's list of VMs may be ahead of ours or behind: what we don't know to be
            // in the asked place is never used, or a request could leave its permitted places.
            if (upstream && upstream->vm.place == asked.place
                && upstream->vm.service == asked.service && !upstream->vm.leaving) {
                slot.upstream = *upstream;
                done(std::move(slot), {});
                return;
            }
            self->release(slot);
        }
        self->tryShard(need, index + 1, reasonOf(reply), std::move(note), std::move(done));
    };
    if (keeper.id == this->node.settings.id) {
        onReply(grantHere(this->node, this->node.identity, ask));
    } else {
        this->link->ask(keeper, std::move(ask), std::move(onReply));
    }
}

void Slots::release(const HeldSlot &slot)
{
    if (slot.keeper.id == this->node.settings.id) {
        this->node.keeper.release(this->node.identity, {slot.shard, {slot.askId}});
    } else {
        this->link->release(slot.keeper, slot.shard, slot.askId);
    }
}

} // namespace plantainswitch
