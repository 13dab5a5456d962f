#pragma once

#include <cstdint>

#include <nlohmann/json.hpp>

namespace plantainswitch::lab {

/// Measures one workspace's limit over many routers on a manual clock: what is admitted above
/// the limit and what is lost below it while traffic shifts, the owner changes and the fleet is
/// partitioned; and the control bytes of one router among 1,200 with 7,300 limited workspaces.
[[nodiscard]] nlohmann::ordered_json measureLimits(std::uint64_t seed, std::size_t routers);

} // namespace plantainswitch::lab
