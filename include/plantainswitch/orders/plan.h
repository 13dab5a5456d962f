#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "plantainswitch/catalogue/entry.h"
#include "plantainswitch/membership/vm.h"

namespace plantainswitch {

/// State of an engine as it reported it.
struct EngineStatus
{
    Vm vm;
    /// Whether the engine responded.
    bool isReachable = false;
    /// Whether it is executing an order and serves nothing meanwhile.
    bool isLoading = false;
    EngineSetup setup;
    /// Highest fencing token it has seen; 0 when it keeps none.
    std::uint64_t fencingToken = 0;
};

/// \returns whether all fields of \a wanted that are not empty match \a setup.
[[nodiscard]] bool matchesSetup(const EngineSetup &setup, const EngineSetup &wanted);

/// Selects the engines to order into the wanted state now. An order names the state, never a step,
/// so repeating it is idempotent. Loads are staggered: they share the rate-limited weight store,
/// and a loading engine serves nothing.
/// \param engines of one service in one data centre, read just now
/// \returns the indexes of the engines to order, maybe none
[[nodiscard]] std::vector<std::size_t> planOrders(const std::vector<EngineStatus> &engines,
                                                  const EngineOrders &wanted);

} // namespace plantainswitch
