#include <algorithm>

#include "plantainswitch/placement/plan.h"
#include "plantainswitch/placement/slotsync.h"

namespace plantainswitch {

ShardState &ShardCoordinator::findOrCreateState(const Shard &shard, TimePoint now)
{
    const auto [found, isNew] = this->shards.try_emplace(shardIdOf(shard));
    ShardState &state = found->second;
    if (isNew) {
        state.shard = shard;
        state.coordinatingSince = now;
        if (auto parkedAffinity = this->parked.extract(found->first)) {
            state.affinity = std::move(parkedAffinity.mapped().affinity);
        }
    }
    state.lastUsed = now;
    return state;
}

SlotReply ShardCoordinator::grant(std::uint64_t router, const SlotRequest &request,
                                  GrantContext context, bool own, TimePoint now)
{
    const RankedLock lock(this->mutex);
    ShardState &state = this->findOrCreateState(request.shard, now);
    context.conservative = context.conservative || needsConservativeBound(state, own, now);
    return grantSlot(state, router, request, context, now);
}

void ShardCoordinator::release(std::uint64_t router, const SlotRelease &release)
{
    const RankedLock lock(this->mutex);
    const auto found = this->shards.find(release.shard);
    if (found == this->shards.end()) {
        return;
    }
    for (const std::uint32_t requestId : release.requestIds) {
        releaseSlot(found->second, {router, requestId});
    }
}

void ShardCoordinator::releaseRouter(std::uint64_t router)
{
    const RankedLock lock(this->mutex);
    for (auto &[id, state] : this->shards) {
        plantainswitch::releaseRouter(state, router);
    }
}

bool ShardCoordinator::checkDigest(std::uint64_t router, const SlotDigest &digest, TimePoint now)
{
    const RankedLock lock(this->mutex);
    const auto found = this->shards.find(digest.shard);
    if (found == this->shards.end()) {
        return digest.count > 0;
    }
    found->second.lastUsed = now;
    return digestDiffers(found->second, router, digest);
}

void ShardCoordinator::receiveList(std::uint64_t sender, const SlotList &list, TimePoint now)
{
    const RankedLock lock(this->mutex);
    applySlotList(this->findOrCreateState(list.shard, now), list, list.router == sender, now);
}

void ShardCoordinator::receiveSummary(const ShardSummary &summary, TimePoint now)
{
    const RankedLock lock(this->mutex);
    const ShardId reportedShard = shardIdOf(summary.shard);
    for (auto &[id, state] : this->shards) {
        if (id == reportedShard) {
            state.rivalSeenAt = now;
        } else if (state.shard.service == summary.shard.service
                   && state.shard.dataCentre == summary.shard.dataCentre) {
            const double own = state.readyEngines == 0
                                   ? 0.0
                                   : static_cast<double>(state.slots.size())
                                         / static_cast<double>(state.readyEngines);
            state.peerShards[reportedShard] = {summary.load, summary.engines, now, own};
        }
    }
}

std::vector<ShardSummary> ShardCoordinator::summaries(TimePoint now)
{
    const RankedLock lock(this->mutex);
    this->parkIdleShards(now);
    std::vector<ShardSummary> result;
    for (const auto &[id, state] : this->shards) {
        result.push_back({state.shard, state.slots.size(), state.readyEngines});
    }
    return result;
}

ShardCoordinator::ParkedAffinity &ShardCoordinator::findOrCreateParked(ShardId shard, TimePoint now)
{
    if (!this->parked.contains(shard) && this->parked.size() >= maxParkedShards) {
        this->parked.erase(std::min_element(
            this->parked.begin(), this->parked.end(), [](const auto &first, const auto &second) {
                return first.second.lastUsed < second.second.lastUsed;
            }));
    }
    ParkedAffinity &result = this->parked[shard];
    result.lastUsed = now;
    return result;
}

void ShardCoordinator::parkIdleShards(TimePoint now)
{
    for (auto each = this->shards.begin(); each != this->shards.end();) {
        if (now - each->second.lastUsed <= idleShardTimeout) {
            ++each;
            continue;
        }
        // The chats return when the coordinator changes again, and outlive the slots.
        this->findOrCreateParked(each->first, now).affinity = std::move(each->second.affinity);
        each = this->shards.erase(each);
    }
}

std::vector<AddressedHints> ShardCoordinator::takeHints(const Endpoint &self,
                                                        const std::vector<Heartbeat> &active,
                                                        TimePoint now)
{
    const RankedLock lock(this->mutex);
    std::vector<AddressedHints> result;
    for (auto &[id, state] : this->shards) {
        const auto targets = hintTargets(state.hintOutbox, state.shard, active, self, now);
        for (const ChatHints &hints :
             takeNextHints(state.hintOutbox, id, state.affinity, targets)) {
            for (const Endpoint &target : targets) {
                result.push_back({target, hints});
            }
        }
    }
    return result;
}

std::vector<AddressedHints>
ShardCoordinator::handOverHints(const std::vector<Heartbeat> &others) const
{
    const RankedLock lock(this->mutex);
    std::vector<AddressedHints> result;
    for (const auto &[id, state] : this->shards) {
        const auto next = coordinatorOf(state.shard, others);
        if (!next) {
            continue;
        }
        for (ChatHints &hints : allHints(id, state.affinity)) {
            result.push_back({next->datagramEndpoint, std::move(hints)});
        }
    }
    return result;
}

void ShardCoordinator::receiveHints(const ChatHints &hints, const Endpoint &from, TimePoint now)
{
    const RankedLock lock(this->mutex);
    const auto found = this->shards.find(hints.shard);
    if (found == this->shards.end()) {
        applyHints(this->findOrCreateParked(hints.shard, now).affinity, hints, maxParkedChats);
        return;
    }
    recordPeerCoordinator(found->second.hintOutbox, from, now);
    applyHints(found->second.affinity, hints, LoadBoundSettings{}.maxRememberedChats);
}

std::vector<SlotList> ShardCoordinator::slotLists() const
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
            const auto lists = splitIntoLists(state.shard, router, slots, below);
            result.insert(result.end(), lists.begin(), lists.end());
        }
    }
    return result;
}

std::size_t ShardCoordinator::slotCount() const
{
    const RankedLock lock(this->mutex);
    std::size_t count = 0;
    for (const auto &[id, state] : this->shards) {
        count += state.slots.size();
    }
    return count;
}

std::vector<std::pair<UpstreamId, std::uint64_t>>
ShardCoordinator::runningRequests(ShardId shard, const SlotKey &except) const
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

std::map<UpstreamId, std::uint32_t> ShardCoordinator::loads(ShardId shard) const
{
    const RankedLock lock(this->mutex);
    const auto found = this->shards.find(shard);
    if (found == this->shards.end()) {
        return {};
    }
    return found->second.loads;
}

} // namespace plantainswitch
