#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "plantainswitch/routing/streamorigin.h"

namespace plantainswitch {

/// Time between two rounds of questions for the origin of a stream: some round trips between data
/// centres and turns of an event loop.
inline constexpr Milliseconds originAskInterval{40};
/// Rounds after which the origin counts as unknown.
inline constexpr int maxOriginRounds = 3;

/// The search for the origin of one stream, which this router does not know, at other routers.
struct OriginSearch
{
    StreamKey stream = 0;
    /// Routers that have not replied.
    std::vector<Endpoint> pending;
    /// Routers that did not know the origin in this round.
    std::vector<Endpoint> ignorant;
    int rounds = 0;
};

/// Starts the next round, in which routers that did not know the origin are asked again: its report
/// may have reached them meanwhile.
/// \param sources routers that may know the origin
/// \returns the routers to ask, or nothing after the last round.
[[nodiscard]] std::optional<std::vector<Endpoint>> nextRound(OriginSearch &search,
                                                             const std::vector<Endpoint> &sources);
/// Records that \a router does not know the origin.
/// \param alive number of other routers that are alive
/// \returns whether the search has ended because none of them knows it.
bool recordIgnorance(OriginSearch &search, const Endpoint &router, std::size_t alive);

} // namespace plantainswitch
