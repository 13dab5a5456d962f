#pragma once

#include "policytrace.h"

namespace plantainswitch::lab {

/// What a run measured.
struct PolicyResult
{
    std::uint64_t requests = 0;
    std::uint64_t refused = 0;
    std::uint64_t retries = 0;
    std::uint64_t reusedTokens = 0;
    std::uint64_t reusableTokens = 0;
    /// Max over mean of each pool at each sample, in rising order.
    std::vector<double> skews;
    /// Max less the bound of the pool's load at the sample, in requests, in rising order.
    std::vector<double> excesses;
    /// Grants that brought an engine above the bound of its pool's true load at that instant.
    std::uint64_t boundViolations = 0;
    std::uint64_t placeViolations = 0;
    std::uint64_t controlBytes = 0;
    /// Processor time of all placing decisions.
    double decisionSeconds = 0;
    double meanLoad = 0;
};

/// Plays \a trace under the policy of \a options with discrete events on a manual clock.
[[nodiscard]] PolicyResult runPolicy(const PolicyOptions &options, const PolicyTrace &trace);

} // namespace plantainswitch::lab
