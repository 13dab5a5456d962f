#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "plantainswitch/base/clock.h"
#include "plantainswitch/base/lockorder.h"
#include "plantainswitch/placement/messages.h"

namespace plantainswitch {

/// How the bound on an engine's load is set.
struct BoundSettings
{
    /// No engine gets a request that would bring it above this multiple of the mean.
    double multiple = 1.25;
    /// Requests that one engine takes at a time, whatever the mean.
    std::uint32_t capacity = 64;
};

/// Identity of a granted slot: the asking router's incarnation hash and its ask id.
using SlotKey = std::pair<std::uint64_t, std::uint32_t>;

/// A slot in use.
struct Slot
{
    UpstreamId upstream = 0;
    std::uint64_t fingerprint = 0;
    TimePoint since;
};

/// The exact counts of one shard, as its keeper holds them.
struct ShardState
{
    std::map<SlotKey, Slot> slots;
    std::map<UpstreamId, std::uint32_t> loads;
};

/// \returns the highest load an engine may have after the next grant.
/// With a mean below one the bound is one request: rounding up is part of the promise.
[[nodiscard]] std::uint32_t loadBound(const BoundSettings &settings, std::uint64_t total,
                                      std::size_t engines) noexcept;

/// Grants a slot on the first engine in the chat's own order that stays within the bound.
/// \param state of the shard
/// \param router incarnation hash of the asking router
/// \param ask of the router; a repeat gets the same grant
/// \param ready engines of the shard as the keeper sees them
SlotReply grantSlot(ShardState &state, std::uint64_t router, const SlotAsk &ask,
                    const std::vector<UpstreamId> &ready, const BoundSettings &settings,
                    TimePoint now);

/// Gives a slot back; unknown slots are ignored.
void releaseSlot(ShardState &state, const SlotKey &key);

/// Gives back all slots of a router that is gone.
void releaseRouter(ShardState &state, std::uint64_t router);

/// The shards that this router keeps.
class KeeperTable
{
public:
    SlotReply grant(std::uint64_t router, const SlotAsk &ask, const std::vector<UpstreamId> &ready,
                    const BoundSettings &settings, TimePoint now);
    void release(std::uint64_t router, const SlotRelease &release);
    void releaseRouter(std::uint64_t router);
    /// \returns what runs on the engines of \a shard, but for the slot \a except.
    [[nodiscard]] std::vector<std::pair<UpstreamId, std::uint64_t>>
    running(ShardId shard, const SlotKey &except) const;
    /// \returns the load of each engine of the shard that has any.
    [[nodiscard]] std::map<UpstreamId, std::uint32_t> loads(ShardId shard) const;

private:
    mutable RankedMutex mutex{LockRank::Keeper};
    std::map<ShardId, ShardState> shards;
};

} // namespace plantainswitch
