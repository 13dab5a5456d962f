#include "plantainswitch/placement/keeper.h"

#include <algorithm>
#include <array>
#include <cmath>

#include "plantainswitch/base/hash.h"
#include "plantainswitch/placement/rendezvous.h"

namespace plantainswitch {

namespace {

constexpr std::array verdictNames{std::string_view{"granted"}, std::string_view{"overflow"},
                                  std::string_view{"empty"}};

std::vector<Candidate> candidatesOf(const SlotAsk &ask, const std::vector<UpstreamId> &ready)
{
    std::vector<Candidate> result;
    result.reserve(ready.size());
    for (const UpstreamId id : ready) {
        if (std::find(ask.avoid.begin(), ask.avoid.end(), id) == ask.avoid.end()) {
            result.push_back({id, 1.0});
        }
    }
    return result;
}

std::uint64_t totalLoad(const ShardState &state, const std::vector<UpstreamId> &ready)
{
    std::uint64_t total = 0;
    for (const UpstreamId id : ready) {
        const auto found = state.loads.find(id);
        total += found == state.loads.end() ? 0 : found->second;
    }
    return total;
}

} // namespace

std::string_view nameOf(SlotVerdict verdict) noexcept
{
    return verdictNames.at(static_cast<std::size_t>(verdict));
}

ShardId shardIdOf(const Shard &shard) noexcept
{
    return mixHash(mixHash(hashOf(shard.service), hashOf(shard.place)), shard.number);
}

std::uint32_t loadBound(const BoundSettings &settings, std::uint64_t total,
                        std::size_t engines) noexcept
{
    if (engines == 0) {
        return 0;
    }
    const double mean = static_cast<double>(total + 1) / static_cast<double>(engines);
    const auto bound = static_cast<std::uint32_t>(std::ceil(settings.multiple * mean));
    return std::min(bound, settings.capacity);
}

SlotReply grantSlot(ShardState &state, std::uint64_t router, const SlotAsk &ask,
                    const std::vector<UpstreamId> &ready, const BoundSettings &settings,
                    TimePoint now)
{
    const SlotKey key{router, ask.askId};
    const auto known = state.slots.find(key);
    if (known != state.slots.end()) {
        return {ask.askId, SlotVerdict::Granted, known->second.upstream};
    }
    const std::vector<Candidate> candidates = candidatesOf(ask, ready);
    if (candidates.empty()) {
        return {ask.askId, SlotVerdict::Empty, 0};
    }
    const std::uint32_t bound = loadBound(settings, totalLoad(state, ready), ready.size());
    for (const std::size_t index : rendezvousOrder(ask.chat, candidates)) {
        const UpstreamId upstream = candidates[index].id;
        std::uint32_t &load = state.loads[upstream];
        if (load < bound) {
            ++load;
            state.slots.emplace(key, Slot{upstream, ask.fingerprint, now});
            return {ask.askId, SlotVerdict::Granted, upstream};
        }
    }
    return {ask.askId, SlotVerdict::Overflow, 0};
}

void releaseSlot(ShardState &state, const SlotKey &key)
{
    const auto found = state.slots.find(key);
    if (found == state.slots.end()) {
        return;
    }
    const auto load = state.loads.find(found->second.upstream);
    if (load != state.loads.end() && --load->second == 0) {
        state.loads.erase(load);
    }
    state.slots.erase(found);
}

void releaseRouter(ShardState &state, std::uint64_t router)
{
    auto each = state.slots.lower_bound({router, 0});
    while (each != state.slots.end() && each->first.first == router) {
        const SlotKey key = each->first;
        ++each;
        releaseSlot(state, key);
    }
}

SlotReply KeeperTable::grant(std::uint64_t router, const SlotAsk &ask,
                             const std::vector<UpstreamId> &ready, const BoundSettings &settings,
                             TimePoint now)
{
    const RankedLock lock(this->mutex);
    return grantSlot(this->shards[shardIdOf(ask.shard)], router, ask, ready, settings, now);
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
