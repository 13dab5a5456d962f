#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "plantainswitch/base/clock.h"
#include "plantainswitch/routing/upstreamstate.h"

namespace plantainswitch {

/// Order in which a prompt prefix prefers the engines of its service, by rendezvous hashing. It
/// depends on the prefix and the engines alone, so that routers agree on it without communication,
/// and each prefix is cached on only as many engines as its load needs.
struct PreferenceList
{
    /// Rank of each candidate among the eligible ones, 0 for the first; ineligible candidates have
    /// the number of eligible ones.
    std::vector<std::size_t> ranks;
    /// Index of the candidate with rank 0, the home of the prefix; empty if none is eligible.
    std::optional<std::size_t> home;
};

/// \returns whether \a state may get new work: it isn't draining, is reachable and, if \a
/// ejectionInForce, isn't ejected.
[[nodiscard]] bool isEligible(const UpstreamState &state, bool ejectionInForce,
                              TimePoint now) noexcept;

/// \returns the preference list of the prefix with hash \a key over the eligible ones of \a
/// candidates.
[[nodiscard]] PreferenceList preferenceListOf(std::span<UpstreamState *const> candidates,
                                              std::uint64_t key, bool ejectionInForce,
                                              TimePoint now);

} // namespace plantainswitch
