#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <nlohmann/json.hpp>

#include "plantainswitch/plantainswitch.h"

namespace plantainswitch::lab {

/// What goes wrong in the middle of a run of claims.
enum class ClaimFault : std::uint8_t {
    None,
    /// The usual writers of all slices are paused.
    Silent,
    /// The first places are cut off from the others, not from the store.
    Cut,
    /// The store takes no calls.
    StoreDown,
};
/// \returns the fault of that name, or nothing.
[[nodiscard]] std::optional<ClaimFault> claimFaultOf(const std::string &name);

/// A run of the claims' decision functions alone, on a manual clock and a store in memory.
struct ClaimsOptions
{
    std::uint32_t routers = 1200;
    std::uint32_t places = 23;
    double claimsPerSecond = 2220;
    std::uint32_t seconds = 30;
    std::uint64_t seed = 1;
    /// Share of datagrams that are lost.
    double loss = 0;
    ClaimFault fault = ClaimFault::None;
    /// From a third of the run on.
    std::uint32_t faultSeconds = 8;
    /// Places that Cut cuts off.
    std::uint32_t cutPlaces = 1;
    /// Time of each call on the store.
    Duration storeTime = Milliseconds{3};
    WriterLimits writers;
    ClaimLogLimits log;
};

/// Runs it. \returns the figures, by name.
[[nodiscard]] nlohmann::ordered_json measureClaims(const ClaimsOptions &options);

} // namespace plantainswitch::lab
