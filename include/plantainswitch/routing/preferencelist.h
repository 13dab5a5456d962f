#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "plantainswitch/base/clock.h"
#include "plantainswitch/routing/upstreamstate.h"

namespace plantainswitch {

/// The order in which a chain of prompt parts prefers the engines of its service. It follows from
/// the chain and the engines alone, so that routers which never talk agree on it, and a chain is
/// read by as few engines as its load needs.
struct PreferenceList
{
    /// Place of each candidate among those that may be used. Others have the number of places.
    std::vector<std::size_t> ranks;
    /// The candidate in the first place.
    std::optional<std::size_t> home;
};

/// \returns whether \a state takes new work: it isn't leaving, can be reached, and isn't avoided if
/// \a ejectionHolds.
[[nodiscard]] bool isEligible(const UpstreamState &state, bool ejectionHolds,
                              TimePoint now) noexcept;

/// \returns the order that the chain with \a key has of those of \a candidates that take work.
[[nodiscard]] PreferenceList preferenceListOf(std::span<UpstreamState *const> candidates,
                                              std::uint64_t key, bool ejectionHolds,
                                              TimePoint now);

} // namespace plantainswitch
