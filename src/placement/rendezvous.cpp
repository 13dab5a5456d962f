#include "plantainswitch/placement/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "plantainswitch/base/hash.h"

namespace plantainswitch {

double rendezvousScore(std::uint64_t key, const Candidate &candidate) noexcept
{
    constexpr int mantissaBits = 53;
    constexpr int droppedBits = 64 - mantissaBits;
    const std::uint64_t bits = mixHash(key, candidate.id) >> droppedBits;
    const double uniform =
        (static_cast<double>(bits) + 0.5) / static_cast<double>(1ULL << mantissaBits);
    return -candidate.weight / std::log(uniform);
}

std::vector<std::size_t> rendezvousOrder(std::uint64_t key,
                                         const std::vector<Candidate> &candidates)
{
    std::vector<double> scores;
    scores.reserve(candidates.size());
    for (const Candidate &candidate : candidates) {
        scores.push_back(rendezvousScore(key, candidate));
    }
    std::vector<std::size_t> order(candidates.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::stable_sort(order.begin(), order.end(), [&scores](std::size_t first, std::size_t second) {
        return scores[first] > scores[second];
    });
    return order;
}

} // namespace plantainswitch
