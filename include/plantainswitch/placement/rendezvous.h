#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace plantainswitch {

/// A candidate of rendezvous hashing.
struct Candidate
{
    /// Hash of the candidate's identity.
    std::uint64_t id = 0;
    /// Its share relative to the others, such as a number of engines; 0: never ranked first.
    double weight = 1.0;
};

/// \returns the weighted rendezvous score of \a candidate for \a key; the highest wins.
[[nodiscard]] double rendezvousScore(std::uint64_t key, const Candidate &candidate) noexcept;

/// \returns the indexes of \a candidates in descending order of their scores for \a key.
[[nodiscard]] std::vector<std::size_t> rendezvousOrder(std::uint64_t key,
                                                       const std::vector<Candidate> &candidates);

} // namespace plantainswitch
