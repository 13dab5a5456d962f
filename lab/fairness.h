#pragma once

#include <cstdint>

#include <nlohmann/json.hpp>

namespace plantainswitch::lab {

/// Measures the waits of other workspaces before and while one surges to 20 times its share, in
/// the fair queue and in order of arrival, on a manual clock.
[[nodiscard]] nlohmann::ordered_json measureFairness(std::uint64_t seed);

} // namespace plantainswitch::lab
