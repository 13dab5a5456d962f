#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "plantainswitch/base/clock.h"
#include "plantainswitch/catalogue/table.h"
#include "plantainswitch/membership/members.h"
#include "plantainswitch/placement/messages.h"
#include "plantainswitch/upstreams/upstreams.h"

namespace plantainswitch {

/// Shards that may serve a request, in the chat's order of preference.
struct PlacementPlan
{
    std::vector<Shard> shards;
};

/// \returns the number of the shard that \a upstream belongs to.
[[nodiscard]] std::uint32_t shardNumberOf(UpstreamId upstream, std::uint32_t shards) noexcept;

/// \returns the ready upstreams of \a shard.
[[nodiscard]] std::vector<UpstreamId> readyUpstreamsOf(const UpstreamTable &upstreams,
                                                       const Shard &shard, std::uint32_t shards,
                                                       TimePoint now);

/// Lists the shards that may serve a request: only in permitted data centres, only with ready
/// engines. Rendezvous hashing over the shards, weighted by their engines, keeps a chat on its
/// shard while others come and go.
/// \param authorization permitted data centres
/// \param chat hash of workspace and chat
/// \param reason receives why there is none
[[nodiscard]] std::optional<PlacementPlan> planPlacement(const Authorization &authorization,
                                                         std::uint64_t chat,
                                                         const UpstreamTable &upstreams,
                                                         TimePoint now, Reason &reason);

/// Moves shards in data centres without a live router to the end and keeps the order otherwise: a
/// data centre that is cut off goes on with its own engines and doesn't wait for others first.
void preferLiveDataCentres(PlacementPlan &plan, const std::vector<Heartbeat> &active);

/// \returns the routers that may coordinate \a shard: the coordinator first, then its replacements
/// in order when it doesn't respond.
[[nodiscard]] std::vector<Heartbeat> coordinatorsOf(const Shard &shard,
                                                    const std::vector<Heartbeat> &active);

/// \returns the coordinator of \a shard: by rendezvous hashing over the active routers of its data
/// centre, or over all when the data centre has none.
[[nodiscard]] std::optional<Heartbeat> coordinatorOf(const Shard &shard,
                                                     const std::vector<Heartbeat> &active);

} // namespace plantainswitch
