#include "plantainswitch/routing/preferencelist.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "plantainswitch/base/hash.h"
#include "plantainswitch/placement/rendezvous.h"

namespace plantainswitch {

bool isEligible(const UpstreamState &state, bool ejectionInForce, TimePoint now) noexcept
{
    return acceptsRequests(state, now) && connectFailureCount(state.health, now) == 0
           && !(ejectionInForce && isEjected(state.health, now));
}

PreferenceList preferenceListOf(std::span<UpstreamState *const> candidates, std::uint64_t key,
                                bool ejectionInForce, TimePoint now)
{
    std::vector<std::pair<double, std::size_t>> scores;
    scores.reserve(candidates.size());
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (isEligible(*candidates[i], ejectionInForce, now)) {
            const Candidate engine{hashOf(candidates[i]->replica.id), 1.0};
            scores.emplace_back(rendezvousScore(key, engine), i);
        }
    }
    std::sort(scores.begin(), scores.end(), std::greater<>());
    PreferenceList list;
    list.ranks.assign(candidates.size(), scores.size());
    for (std::size_t rank = 0; rank < scores.size(); ++rank) {
        list.ranks[scores[rank].second] = rank;
    }
    if (!scores.empty()) {
        list.home = scores.front().second;
    }
    return list;
}

} // namespace plantainswitch
