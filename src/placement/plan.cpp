#include "plantainswitch/placement/plan.h"

#include <algorithm>
#include <map>

#include "plantainswitch/base/hash.h"
#include "plantainswitch/placement/rendezvous.h"

namespace plantainswitch {

std::uint32_t shardNumberOf(UpstreamId upstream, std::uint32_t shards) noexcept
{
    return shards <= 1 ? 0 : static_cast<std::uint32_t>(mixHash(upstream, 0) % shards);
}

std::vector<UpstreamId> readyUpstreamsOf(const UpstreamTable &upstreams, const Shard &shard,
                                         std::uint32_t shards, TimePoint now)
{
    std::vector<UpstreamId> result;
    for (const Upstream &upstream : upstreams.ready(shard.service, shard.dataCentre, now)) {
        if (shardNumberOf(upstream.shortId, shards) == shard.number) {
            result.push_back(upstream.shortId);
        }
    }
    return result;
}

std::optional<PlacementPlan> planPlacement(const Authorization &authorization, std::uint64_t chat,
                                           const UpstreamTable &upstreams, TimePoint now,
                                           Reason &reason)
{
    std::vector<Shard> shards;
    std::vector<Candidate> candidates;
    for (const std::string &dataCentre : authorization.dataCentres) {
        std::map<std::uint32_t, double> engines;
        for (const Upstream &upstream : upstreams.ready(authorization.service, dataCentre, now)) {
            engines[shardNumberOf(upstream.shortId, authorization.serviceEntry.shards)] += 1.0;
        }
        for (const auto &[number, count] : engines) {
            shards.push_back({authorization.service, dataCentre, number});
            candidates.push_back({shardIdOf(shards.back()), count});
        }
    }
    if (shards.empty()) {
        reason = {ErrorKind::NoPermittedPlace, "no ready upstream in a permitted place", {}};
        return std::nullopt;
    }
    PlacementPlan plan;
    for (const std::size_t index : rendezvousOrder(chat, candidates)) {
        plan.shards.push_back(shards[index]);
    }
    return plan;
}

void preferLiveDataCentres(PlacementPlan &plan, const std::vector<Heartbeat> &active)
{
    std::stable_partition(plan.shards.begin(), plan.shards.end(), [&active](const Shard &shard) {
        return std::any_of(active.begin(), active.end(), [&shard](const Heartbeat &member) {
            return member.dataCentre == shard.dataCentre;
        });
    });
}

std::vector<Heartbeat> coordinatorsOf(const Shard &shard, const std::vector<Heartbeat> &active)
{
    std::vector<const Heartbeat *> eligible;
    for (const Heartbeat &member : active) {
        if (member.dataCentre == shard.dataCentre) {
            eligible.push_back(&member);
        }
    }
    if (eligible.empty()) {
        for (const Heartbeat &member : active) {
            eligible.push_back(&member);
        }
    }
    std::vector<Candidate> candidates;
    candidates.reserve(eligible.size());
    for (const Heartbeat *member : eligible) {
        candidates.push_back({hashOf(member->id), 1.0});
    }
    std::vector<Heartbeat> result;
    result.reserve(eligible.size());
    for (const std::size_t index : rendezvousOrder(shardIdOf(shard), candidates)) {
        result.push_back(*eligible[index]);
    }
    return result;
}

std::optional<Heartbeat> coordinatorOf(const Shard &shard, const std::vector<Heartbeat> &active)
{
    const std::vector<Heartbeat> coordinators = coordinatorsOf(shard, active);
    return coordinators.empty() ? std::nullopt : std::optional(coordinators.front());
}

} // namespace plantainswitch
