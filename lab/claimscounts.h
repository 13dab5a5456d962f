#pragma once

#include <cstdint>
#include <vector>

#include <nlohmann/json.hpp>

namespace plantainswitch::lab {

/// Counts of one second of the run.
struct ClaimCounts
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t lostRaces = 0;
    std::uint64_t loads = 0;
    std::uint64_t granted = 0;
    std::uint64_t refused = 0;
    std::vector<double> milliseconds;
};

/// \returns the sum of the seconds \a from until \a until, with its peaks and quantiles.
[[nodiscard]] nlohmann::ordered_json sumOf(const std::vector<ClaimCounts> &seconds,
                                           std::size_t from, std::size_t until);

} // namespace plantainswitch::lab
