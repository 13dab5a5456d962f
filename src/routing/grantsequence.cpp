#include "plantainswitch/routing/grantsequence.h"

#include <algorithm>

namespace plantainswitch {

namespace {

/// Part of the objective for which a request waits at one upstream before it asks the next.
constexpr int firstWaitDivisor = 4;
/// A request that may wait for 0 ms is one that is not to be queued.
constexpr Milliseconds minWait{1};

} // namespace

Milliseconds firstGrantWait(const GrantTimes &times) noexcept
{
    const Milliseconds whole = times.objective.count() > 0 ? times.objective : times.untilDeadline;
    return std::max(minWait, std::min(whole / firstWaitDivisor, times.untilDeadline));
}

void recordDenial(GrantSequence &sequence, const GrantDenial &denial)
{
    const auto same = std::find_if(
        sequence.denials.begin(), sequence.denials.end(),
        [&denial](const GrantDenial &other) { return other.upstream == denial.upstream; });
    if (same != sequence.denials.end()) {
        *same = denial;
        return;
    }
    sequence.denials.push_back(denial);
}

bool wasDenied(const GrantSequence &sequence, std::uint64_t upstream) noexcept
{
    return std::any_of(
        sequence.denials.begin(), sequence.denials.end(),
        [upstream](const GrantDenial &denial) { return denial.upstream == upstream; });
}

std::optional<std::uint64_t> lastUpstreamToAsk(const GrantSequence &sequence)
{
    if (sequence.isExhausted) {
        return std::nullopt;
    }
    const GrantDenial *shortest = nullptr;
    for (const GrantDenial &denial : sequence.denials) {
        if (denial.expectedWait
            && (shortest == nullptr || *denial.expectedWait < *shortest->expectedWait)) {
            shortest = &denial;
        }
    }
    return shortest == nullptr ? std::nullopt : std::optional(shortest->upstream);
}

Milliseconds shortestRetryAfter(const GrantSequence &sequence, Milliseconds otherwise) noexcept
{
    std::optional<Milliseconds> shortest;
    for (const GrantDenial &denial : sequence.denials) {
        if (denial.retryAfter.count() > 0) {
            shortest = std::min(denial.retryAfter, shortest.value_or(denial.retryAfter));
        }
    }
    return shortest.value_or(otherwise);
}

Milliseconds timeToObjective(const GrantTimes &times, Duration waited) noexcept
{
    if (times.objective.count() == 0) {
        return times.untilDeadline;
    }
    const auto left = std::chrono::duration_cast<Milliseconds>(times.objective - waited);
    return std::max(Milliseconds{0}, left);
}

} // namespace plantainswitch
