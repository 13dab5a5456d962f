#include <algorithm>

#include "plantainswitch/placement/plan.h"
#include "plantainswitch/placement/slotsync.h"

namespace plantainswitch {

ShardState &KeeperTable::stateOf(const Shard &shard, TimePoint now)
{
    const auto [found, isNew] = this->shards.try_emplace(shardIdOf(shard));
    ShardState &state = found->second;
    if (isNew) {
        state.shard = shard;
        state.since = now;
        if (auto known = this->parked.extract(found->first)) {
            state.memory = std::move(known.mapped().memory);
        }
    }
    state.lastUsed = now;
    return state;
}

SlotReply KeeperTable::grant(std::uint64_t router, const SlotAsk &ask, GrantView view, bool own,
                             TimePoint now)
{
    const RankedLock lock(this->mutex);
    ShardState &state = this->stateOf(ask.shard, now);
    view.careful = view.careful || mustBeCareful(state, own, now);
    return grantSlot(state, router, ask, view, now);
}

void KeeperTable::release(std::uint64_t router, const SlotRelease &release)
{
    const RankedLock lock(this->mutex);
    const auto found = this->shards.find(release.shard);
    if (found == this->shards.end()) {
        return;
    }
    for (const std::uint32_t askId : release.askIds) {
        releaseSlot(found->second, {router, askId});
    }
}

void KeeperTable::releaseRouter(std::uint64_t router)
{
    const RankedLock lock(this->mutex);
    for (auto &[id, state] : this->shards) {
        plantainswitch::releaseRouter(state, router);
    }
}

bool KeeperTable::differs(std::uint64_t router, const SlotDigest &digest, TimePoint now)
{
    const RankedLock lock(this->mutex);
    const auto found = this->shards.find(digest.shard);
    if (found == this->shards.end()) {
        return digest.count > 0;
    }
    found->second.lastUsed = now;
    return differsFrom(found->second, router, digest);
}

void KeeperTable::takeList(std::uint64_t sender, const SlotList &list, TimePoint now)
{
    const RankedLock lock(this->mutex);
    applyList(this->stateOf(list.shard, now), list, list.router == sender, now);
}

void KeeperTable::takeSummary(const ShardSummary &summary, TimePoint now)
{
    const RankedLock lock(this->mutex);
    const ShardId told = shardIdOf(summary.shard);
    for (auto &[id, state] : this->shards) {
        if (id == told) {
            state.rivalHeard = now;
        } else if (state.shard.service == summary.shard.service
                   && state.shard.place == summary.shard.place) {
            const double own = state.ready == 0 ? 0.0
                                                : static_cast<double>(state.slots.size())
                                                      / static_cast<double>(state.ready);
            state.others[told] = {summary.load, summary.engines, now, own};
        }
    }
}

std::vector<ShardSummary> KeeperTable::summaries(TimePoint now)
{
    const RankedLock lock(this->mutex);
    this->forgetUnused(now);
    std::vector<ShardSummary> result;
    for (const auto &[id, state] : this->shards) {
        result.push_back({state.shard, state.slots.size(), state.ready});
    }
    return result;
}

KeeperTable::ParkedMemory &KeeperTable::parkedOf(ShardId shard, TimePoint now)
{
    if (!this->parked.contains(shard) && this->parked.size() >= mostParkedShards) {
        this->parked.erase(std::min_element(
            this->parked.begin(), this->parked.end(), [](const auto &first, const auto &second) {
                return first.second.lastUsed < second.second.lastUsed;
            }));
    }
    ParkedMemory &result = this->parked[shard];
    result.lastUsed = now;
    return result;
}

void KeeperTable::forgetUnused(TimePoint now)
{
    for (auto each = this->shards.begin(); each != this->shards.end();) {
        if (now - each->second.lastUsed <= unusedLife) {
            ++each;
            continue;
        }
        // Its chats come back when the keeper changes again, and the slots' end is no end of them.
        this->parkedOf(each->first, now).memory = std::move(each->second.memory);
        each = this->shards.erase(each);
    }
}

std::vector<HintSending> KeeperTable::hints(const Endpoint &self,
                                            const std::vector<Heartbeat> &active, TimePoint now)
{
    const RankedLock lock(this->mutex);
    std::vector<HintSending> result;
    for (auto &[id, state] : this->shards) {
        const auto targets = hintTargets(state.outbox, state.shard, active, self, now);
        for (const ChatHints &hints : nextHints(state.outbox, id, state.memory, targets)) {
            for (const Endpoint &target : targets) {
                result.push_back({target, hints});
            }
        }
    }
    return result;
}

std::vector<HintSending> KeeperTable::handOverHints(const std::vector<Heartbeat> &others) const
{
    const RankedLock lock(this->mutex);
    std::vector<HintSending> result;
    for (const auto &[id, state] : this->shards) {
        const auto next = keeperOf(state.shard, others);
        if (!next) {
            continue;
        }
        for (ChatHints &hints : allHints(id, state.memory)) {
            result.push_back({next->datagrams, std::move(hints)});
        }
    }
    return result;
}

void KeeperTable::takeHints(const ChatHints &hints, const Endpoint &from, TimePoint now)
{
    const RankedLock lock(this->mutex);
    const auto found = this->shards.find(hints.shard);
    if (found == this->shards.end()) {
        applyHints(this->parkedOf(hints.shard, now).memory, hints, mostParkedChats);
        return;
    }
    noteTeller(found->second.outbox, from, now);
    applyHints(found->second.memory, hints, BoundSettings{}.rememberedChats);
}

std::vector<SlotList> KeeperTable::lists() const
{
    const RankedLock lock(this->mutex);
    std::vector<SlotList> result;
    for (const auto &[id, state] : this->shards) {
        std::map<std::uint64_t, std::map<std::uint32_t, UpstreamId>> held;
        for (const auto &[key, slot] : state.slots) {
            held[key.first][key.second] = slot.upstream;
        }
        for (const auto &[router, slots] : held) {
            const std::uint32_t below = slots.rbegin()->first + 1;
            const auto lists = listsOf(state.shard, router, slots, below);
            result.insert(result.end(), lists.begin(), lists.end());
        }
    }
    return result;
}

std::size_t KeeperTable::slotCount() const
{
    const RankedLock lock(this->mutex);
    std::size_t count = 0;
    for (const auto &[id, state] : this->shards) {
        count += state.slots.size();
    }
    return count;
}

std::vector<std::pair<UpstreamId, std::uint64_t>> KeeperTable::running(ShardId shard,
                                                                       const SlotKey &except) const
{
    const RankedLock lock(this->mutex);
    std::vector<std::pair<UpstreamId, std::uint64_t>> result;
    const auto found = this->shards.find(shard);
    if (found == this->shards.end()) {
        return result;
    }
    for (const auto &[key, slot] : found->second.slots) {
        if (key != except) {
            result.emplace_back(slot.upstream, slot.fingerprint);
        }
    }
    return result;
}

std::map<UpstreamId, std::uint32_t> KeeperTable::loads(ShardId shard) const
{
    const RankedLock lock(this->mutex);
    const auto found = this->shards.find(shard);
    if (found == this->shards.end()) {
        return {};
    }
    return found->second.loads;
}

} // namespace plantainswitch
