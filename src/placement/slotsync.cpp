#include "plantainswitch/placement/slotsync.h"

#include "plantainswitch/base/hash.h"

namespace plantainswitch {

namespace {

void releaseUnlisted(ShardState &state, const SlotList &list)
{
    std::map<std::uint32_t, UpstreamId> listed;
    for (const ListedSlot &slot : list.slots) {
        listed.emplace(slot.requestId, slot.upstream);
    }
    std::vector<SlotKey> unlisted;
    const auto end = state.slots.lower_bound({list.router, list.below});
    for (auto each = state.slots.lower_bound({list.router, list.from}); each != end; ++each) {
        const auto found = listed.find(each->first.second);
        if (found == listed.end() || found->second != each->second.upstream) {
            unlisted.push_back(each->first);
        }
    }
    for (const SlotKey &key : unlisted) {
        releaseSlot(state, key);
    }
}

} // namespace

SlotDigest digestOf(ShardId shard, const std::map<std::uint32_t, UpstreamId> &held,
                    std::uint32_t below) noexcept
{
    SlotDigest digest{shard, below, 0, 0};
    for (const auto &[requestId, upstream] : held) {
        if (requestId >= below) {
            break;
        }
        ++digest.count;
        digest.hash ^= mixHash(requestId, upstream);
    }
    return digest;
}

bool digestDiffers(const ShardState &state, std::uint64_t router, const SlotDigest &digest)
{
    SlotDigest local{digest.shard, digest.below, 0, 0};
    const auto end = state.slots.lower_bound({router, digest.below});
    for (auto each = state.slots.lower_bound({router, 0}); each != end; ++each) {
        ++local.count;
        local.hash ^= mixHash(each->first.second, each->second.upstream);
    }
    return local.count != digest.count || local.hash != digest.hash;
}

std::vector<SlotList> splitIntoLists(const Shard &shard, std::uint64_t router,
                                     const std::map<std::uint32_t, UpstreamId> &held,
                                     std::uint32_t below)
{
    std::vector<SlotList> result{{shard, router, 0, below, {}}};
    for (const auto &[requestId, upstream] : held) {
        if (requestId >= below) {
            break;
        }
        if (result.back().slots.size() == maxSlotsPerList) {
            result.back().below = requestId;
            result.push_back({shard, router, requestId, below, {}});
        }
        result.back().slots.push_back({requestId, upstream});
    }
    return result;
}

void applySlotList(ShardState &state, const SlotList &list, bool isComplete, TimePoint now)
{
    if (isComplete) {
        releaseUnlisted(state, list);
    }
    for (const ListedSlot &slot : list.slots) {
        const SlotKey key{list.router, slot.requestId};
        if (state.slots.emplace(key, Slot{slot.upstream, 0, now}).second) {
            ++state.loads[slot.upstream];
        }
    }
}

} // namespace plantainswitch
