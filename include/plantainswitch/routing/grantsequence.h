#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "plantainswitch/base/clock.h"

namespace plantainswitch {

/// An upstream's coordinator has denied a request, or does not respond.
struct GrantDenial
{
    /// Hash of the upstream's id.
    std::uint64_t upstream = 0;
    /// How long the request would have waited; nothing if the coordinator did not respond.
    std::optional<Milliseconds> expectedWait;
    /// After which time the caller may retry; 0 if not stated.
    Milliseconds retryAfter{0};
};

/// The coordinators of a contended service's upstreams that a request has asked so far: first each
/// one with a short wait, in the order of expected delay, and at last the one that stated the
/// shortest wait, with all the time that is left.
struct GrantSequence
{
    std::vector<GrantDenial> denials;
    /// The last question was asked.
    bool isExhausted = false;
};

/// The time that a request has left.
struct GrantTimes
{
    /// The service's latency objective; 0 if it has none.
    Milliseconds objective{0};
    Milliseconds untilDeadline{0};
};

/// \returns for how long a request may wait at an upstream of which it was not denied yet: a
/// quarter of the objective, so that the other upstreams can be asked within the objective, too.
/// Without an objective, a quarter of the time to the deadline.
[[nodiscard]] Milliseconds firstGrantWait(const GrantTimes &times) noexcept;

/// Records a denial; a later one of the same upstream replaces the earlier one.
void recordDenial(GrantSequence &sequence, const GrantDenial &denial);

[[nodiscard]] bool wasDenied(const GrantSequence &sequence, std::uint64_t upstream) noexcept;

/// \returns the upstream to ask with all the time that is left, once every one has denied the
/// request: the one with the shortest stated wait; nothing if that was done, or none stated a wait.
[[nodiscard]] std::optional<std::uint64_t> lastUpstreamToAsk(const GrantSequence &sequence);

/// \returns the shortest Retry-After of all denials, or \a otherwise if none stated one.
[[nodiscard]] Milliseconds shortestRetryAfter(const GrantSequence &sequence,
                                              Milliseconds otherwise) noexcept;

/// \returns the time that is left to the objective of a request that has waited for \a waited. A
/// service without an objective has its deadline for one.
[[nodiscard]] Milliseconds timeToObjective(const GrantTimes &times, Duration waited) noexcept;

} // namespace plantainswitch
