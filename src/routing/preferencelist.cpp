#include "plantainswitch/routing/preferencelist.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "plantainswitch/base/hash.h"
#include "plantainswitch/placement/rendezvous.h"

namespace plantainswitch {

bool isEligible(const UpstreamState &state, bool ejectionHolds, TimePoint now) noexcept
{
    return !state.replica.draining && connectFailureCount(state.health, now) == 0
           && !(ejectionHolds && isEjected(state.health, now));
}

PreferenceList preferenceListOf(std::span<UpstreamState *const> candidates, std::uint64_t key,
                                bool ejectionHolds, TimePoint now)
{
    std::vector<std::pair<double, std::size_t>> scores;
    scores.reserve(candidates.size());
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (isEligible(*candidates[i], ejectionHolds, now)) {
            const Candidate engine{hashOf(candidates[i]->replica.id), 1.0};
            scores.emplace_back(rendezvousScore(key, engine), i);
        }
    }
    std::sort(scores.begin(), scores.end(), std::greater<>());
    PreferenceList order;
    order.ranks.assign(candidates.size(), scores.size());
    for (std::size_t place = 0; place < scores.size(); ++place) {
        order.ranks[scores[place].second] = place;
    }
    if (!scores.empty()) {
        order.home = scores.front().second;
    }
    return order;
}

} // namespace plantainswitch
