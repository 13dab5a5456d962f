#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "plantainswitch/catalogue/entry.h"
#include "plantainswitch/membership/vm.h"

namespace plantainswitch {

/// An engine as its own answer showed it.
struct EngineStatus
{
    Vm vm;
    /// Whether the engine answered.
    bool isReachable = false;
    /// Whether it is carrying out an order and serves nothing meanwhile.
    bool isLoading = false;
    EngineSetup setup;
    /// Highest fencing number it has seen; 0 when it keeps none.
    std::uint64_t fencingToken = 0;
};

/// \returns whether the parts of \a setup that \a wanted names are as wanted.
[[nodiscard]] bool matchesSetup(const EngineSetup &setup, const EngineSetup &wanted);

/// Chooses the engines that get the order to take the wanted state on now. An order names the
/// state, never a step, so that repeating it is harmless. Loads are staggered: they share the
/// rate-limited weight store, and an engine that loads serves nothing.
/// \param engines of one service in one place, read just now
/// \returns the indexes of the engines to order, maybe none
[[nodiscard]] std::vector<std::size_t> planOrders(const std::vector<EngineStatus> &engines,
                                                  const EngineOrders &wanted);

} // namespace plantainswitch
