#include "plantainswitch/routing/selection.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "plantainswitch/base/hash.h"
#include "plantainswitch/routing/preferencelist.h"

namespace plantainswitch {

namespace {

bool wasTried(const Replica &replica, const SelectionRequest &request)
{
    return std::find(request.triedUpstreams.begin(), request.triedUpstreams.end(), replica.id)
           != request.triedUpstreams.end();
}

/// \returns the hash that determines the request's preference list: that of the shared prefix, or
/// of the whole prompt if it shares none.
std::uint64_t preferenceKey(const SelectionRequest &request) noexcept
{
    const std::uint64_t whole = request.prefixHashes.empty() ? 0 : request.prefixHashes.back();
    return sharedPrefixOf(request.prefixHashes).value_or(whole);
}

double cachedTokens(const UpstreamState &state, bool isAssumedCached,
                    const SelectionRequest &request, const PrefixIndex &memory, TimePoint now)
{
    if (isAssumedCached) {
        return sharedTokensOf(*request.prompt);
    }
    const std::size_t known =
        memory.cachedParts(request.prefixHashes, incarnationOf(state.replica), now);
    double cached = 0.0;
    for (std::size_t i = 0; i < known; ++i) {
        cached += request.prompt->parts[i].tokens;
    }
    return cached;
}

/// \returns a delay from 0 to policy.promptlessJitter, by the hashes of the request and of the
/// upstream.
double promptlessDelay(const UpstreamState &state, const SelectionRequest &request,
                       const SelectionPolicy &policy)
{
    constexpr std::uint64_t steps = 1024;
    const std::uint64_t step = mixHash(request.hash, hashOf(state.replica.id)) % steps;
    return policy.promptlessJitter * static_cast<double>(step) / steps;
}

double queueDelay(const UpstreamState &state, const SelectionPolicy &policy, TimePoint now)
{
    // The coordinator counts exactly what this router knows from updates.
    if (now < state.queueWaitUntil) {
        return static_cast<double>(state.queueWait.count());
    }
    const double running = runningAt(state);
    double delay = running * policy.performance.delayPerRunning;
    const double slots = state.replica.maxConcurrency;
    if (slots > 0 && running >= slots) {
        // If all slots are busy, one is released every slotHoldTime / slots.
        delay += policy.performance.slotHoldTime * (running - slots + 1.0) / slots;
    }
    return delay;
}

/// Statistics over all usable candidates.
struct CandidateStatistics
{
    /// Running requests above which an upstream exceeds its share.
    double bound = 0.0;
    /// Few enough are ejected for the others to carry their load.
    bool avoidanceHolds = true;
    double meanUnservedRate = 0.0;
    double occupancy = 0.0;
    /// Number of candidates that count for the mean load.
    std::size_t counted = 0;
};

CandidateStatistics collectStatistics(std::span<UpstreamState *const> candidates,
                                      const SelectionPolicy &policy, TimePoint now)
{
    double running = 0.0;
    double runningOnAvailable = 0.0;
    double unservedShares = 0.0;
    double slots = 0.0;
    std::size_t usable = 0;
    std::size_t reachable = 0;
    std::size_t ejected = 0;
    // If this router reaches few upstreams, the mean of these would be its own load.
    const bool countsUnreachable = isReachLimited(candidates, now);
    for (const UpstreamState *state : candidates) {
        const bool isUnreachable = connectFailureCount(state->health, now) > 0;
        if (isDraining(*state) || (isUnreachable && !countsUnreachable)) {
            continue;
        }
        // An upstream that backs off still counts for the mean load: a bound over the others alone
        // would let them run more than their multiple of the whole service's mean.
        ++usable;
        running += runningAt(*state);
        if (!isBackingOff(*state, now)) {
            runningOnAvailable += runningAt(*state);
            slots += state->replica.maxConcurrency;
        }
        if (!isUnreachable) {
            ++reachable;
            unservedShares += unservedRateOf(state->health, now);
            ejected += isEjected(state->health, now) ? 1 : 0;
        }
    }
    const auto count = static_cast<double>(std::max<std::size_t>(usable, 1));
    const auto reached = static_cast<double>(std::max<std::size_t>(reachable, 1));
    return {policy.loadBoundFactor * running / count + policy.loadBoundExtra,
            static_cast<double>(ejected) <= policy.maxEjectedShare * reached,
            unservedShares / reached, slots > 0.0 ? runningOnAvailable / slots : 0.0, usable};
}

double preferenceDelay(std::size_t rank, const SelectionPolicy &policy)
{
    const double step = policy.preferenceStepRequests * policy.performance.tokensPerRequest
                        / policy.performance.prefillRate;
    return step * std::min(static_cast<double>(rank), policy.maxPreferenceSteps);
}

/// \returns whether an eligible engine is known to have the whole shared prefix cached.
bool isCachedAnywhere(std::span<UpstreamState *const> candidates, const SelectionRequest &request,
                      const PrefixIndex &memory, const CandidateStatistics &statistics,
                      TimePoint now)
{
    const std::size_t shared = request.prefixHashes.size() - 1;
    return std::any_of(candidates.begin(), candidates.end(), [&](const UpstreamState *state) {
        return isEligible(*state, statistics.avoidanceHolds, now)
               && memory.cachedParts(request.prefixHashes, incarnationOf(state->replica), now)
                      >= shared;
    });
}

/// \returns the number of leading prompt tokens that each candidate is expected to have cached.
std::vector<double> cachedTokensOfEach(std::span<UpstreamState *const> candidates,
                                       std::optional<std::size_t> assumedHome,
                                       const SelectionRequest &request, const PrefixIndex &memory,
                                       TimePoint now)
{
    std::vector<double> cached(candidates.size(), 0.0);
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        cached[i] = cachedTokens(*candidates[i], assumedHome == i, request, memory, now);
    }
    return cached;
}

/// The engines from which a prompt is best transferred; the second one serves the best one itself.
struct TransferSources
{
    std::optional<std::size_t> best;
    std::optional<std::size_t> second;
};

/// Excludes engines that are down or back off: a transfer from one would block the request until
/// its timeout. A draining engine is as good as any while it runs, and its cache will soon be lost.
bool canTransferFrom(const UpstreamState &state, const SelectionRequest &request, TimePoint now)
{
    return !isEjected(state.health, now) && connectFailureCount(state.health, now) == 0
           && !isBackingOff(state, now) && !wasTried(state.replica, request);
}

/// \returns the engines with the most cached tokens of the prompt; among equals, those that come
/// first in its preference list.
TransferSources transferSourcesOf(std::span<UpstreamState *const> candidates,
                                  const std::vector<double> &cached,
                                  const PreferenceList &preferences,
                                  const SelectionRequest &request, const SelectionPolicy &policy,
                                  TimePoint now)
{
    const auto isBetter = [&](std::size_t left, std::optional<std::size_t> right) {
        return !right || cached[left] > cached[*right]
               || (cached[left] == cached[*right]
                   && preferences.ranks[left] < preferences.ranks[*right]);
    };
    const double minTokens = breakEvenTransferTokens(policy.performance);
    TransferSources sources;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (cached[i] < minTokens || !canTransferFrom(*candidates[i], request, now)) {
            continue;
        }
        if (isBetter(i, sources.best)) {
            sources.second = std::exchange(sources.best, i);
        } else if (isBetter(i, sources.second)) {
            sources.second = i;
        }
    }
    return sources;
}

/// Sets how many prompt tokens the selected engine must prefill and how many it can transfer.
void estimatePrompt(UpstreamSelection &selection, const std::vector<double> &cached,
                    const TransferSources &sources, const SelectionRequest &request)
{
    const double known = cached[selection.index];
    selection.uncachedTokens = std::max(0.0, tokensOf(*request.prompt) - known);
    const auto source = sources.best == selection.index ? sources.second : sources.best;
    if (!source) {
        return;
    }
    // Also if the engine is expected to have the whole prompt: it may have evicted parts that were
    // idle for some seconds, and a transfer of nothing costs nothing.
    selection.transferSource = source;
    selection.transferredTokens = std::max(0.0, cached[*source] - known);
    selection.uncachedTokens -= selection.transferredTokens;
}

double transferDelay(const UpstreamSelection &selection, const SelectionPolicy &policy)
{
    if (selection.transferredTokens <= 0.0) {
        return 0.0;
    }
    return policy.performance.transferSetup
           + selection.transferredTokens / policy.performance.transferRate;
}

/// \returns the cost to other requests: a prefill delays the next tokens of all requests running
/// beside it, and like a transfer it takes cache space from other prefixes.
double costToOthers(const UpstreamSelection &selection, const UpstreamState &state,
                    const SelectionPolicy &policy)
{
    const double cachedTokens = selection.uncachedTokens + selection.transferredTokens;
    const double delayedTokens = runningAt(state) * selection.uncachedTokens;
    return (policy.cacheWeight * cachedTokens + policy.interference * delayedTokens)
           / policy.performance.prefillRate;
}

void estimateDelay(UpstreamSelection &selection, const UpstreamState &state, bool hasPrompt,
                   const SelectionPolicy &policy, TimePoint now)
{
    const double prefill =
        (selection.uncachedTokens + state.ownPendingPrefill + state.peersPendingPrefill)
        / policy.performance.prefillRate;
    selection.extraDelay = extraDelayOf(state.health, now);
    const double base = hasPrompt ? policy.performance.baseDelay : 0.0;
    const double transfer = transferDelay(selection, policy);
    const double ownWork = base + prefill + queueDelay(state, policy, now);
    selection.unqueuedDelay =
        state.slowdown * (base + selection.uncachedTokens / policy.performance.prefillRate)
        + transfer;
    selection.serviceDelay = ownWork + transfer;
    selection.expectedDelay = state.slowdown * ownWork + transfer + selection.extraDelay;
}

/// Adds the shared prefix to the estimate of the home. It was compared with the others as if it had
/// the shared prefix cached, so that all routers select it; its actual work is the whole prompt.
void addFirstPrefill(UpstreamSelection &selection, const UpstreamState &state,
                     const std::vector<double> &cached, const SelectionRequest &request,
                     const SelectionPolicy &policy)
{
    const double shared = sharedTokensOf(*request.prompt);
    const double before = transferDelay(selection, policy);
    selection.transferredTokens =
        selection.transferSource ? std::min(shared, cached[*selection.transferSource]) : 0.0;
    selection.uncachedTokens += shared - selection.transferredTokens;
    const double prefill = (shared - selection.transferredTokens) / policy.performance.prefillRate;
    const double transfer = transferDelay(selection, policy) - before;
    const double added = state.slowdown * prefill + transfer;
    selection.expectedDelay += added;
    selection.unqueuedDelay += added;
    selection.serviceDelay += prefill + transfer;
}

Eligibility eligibilityOf(const UpstreamState &state, const SelectionRequest &request,
                          const CandidateStatistics &statistics, TimePoint now)
{
    const bool isBlocked = now < state.permitBlockedUntil;
    if (isBlocked && (request.isBrittle || state.cold.remaining(now).count() > 0)) {
        return Eligibility::Unusable;
    }
    if (!acceptsRequests(state, now) || wasTried(state.replica, request)) {
        return Eligibility::Unusable;
    }
    const std::uint32_t unreachable = connectFailureCount(state.health, now);
    if (unreachable > 0) {
        // A single lost packet looks the same. After two failures, another attempt would cost the
        // caller as much again, so the request is rejected at once instead.
        return unreachable == 1 ? Eligibility::Unreachable : Eligibility::Unusable;
    }
    if (statistics.avoidanceHolds && isEjected(state.health, now)) {
        return Eligibility::Ejected;
    }
    const bool isOverBound = isBlocked || runningAt(state) + 1.0 > statistics.bound;
    return isOverBound ? Eligibility::OverBound : Eligibility::Good;
}

/// Inputs to the comparison of all candidates.
struct Comparison
{
    CandidateStatistics statistics;
    bool hasPrompt = false;
    PreferenceList preferences;
    /// The home is assumed to have the shared prefix cached.
    bool assumesHomeCached = false;
    std::vector<double> cached;
    TransferSources sources;
};

Comparison prepare(std::span<UpstreamState *const> candidates, const SelectionRequest &request,
                   const PrefixIndex &memory, const SelectionPolicy &policy, TimePoint now)
{
    Comparison result;
    result.statistics = collectStatistics(candidates, policy, now);
    result.hasPrompt = request.prompt != nullptr && !request.prefixHashes.empty();
    if (!result.hasPrompt) {
        return result;
    }
    result.preferences =
        preferenceListOf(candidates, preferenceKey(request), result.statistics.avoidanceHolds, now);
    // If no engine is known to have the prefix cached, all routers select its home, so that it is
    // prefilled once. When it is known, engines that have it are preferred: a home changes as
    // engines join and leave, but cached prefixes stay where they are.
    result.assumesHomeCached =
        policy.preferredUpstreams
        && !isCachedAnywhere(candidates, request, memory, result.statistics, now);
    result.cached = cachedTokensOfEach(
        candidates, result.assumesHomeCached ? result.preferences.home : std::nullopt, request,
        memory, now);
    if (policy.transfers) {
        result.sources =
            transferSourcesOf(candidates, result.cached, result.preferences, request, policy, now);
    }
    return result;
}

UpstreamSelection evaluate(std::size_t index, const UpstreamState &state,
                           const Comparison &comparison, const SelectionRequest &request,
                           const SelectionPolicy &policy, TimePoint now)
{
    UpstreamSelection selection;
    selection.index = index;
    if (comparison.hasPrompt) {
        estimatePrompt(selection, comparison.cached, comparison.sources, request);
    }
    estimateDelay(selection, state, comparison.hasPrompt, policy, now);
    const double excessUnserved =
        std::max(0.0, unservedRateOf(state.health, now) - comparison.statistics.meanUnservedRate);
    selection.cost =
        selection.expectedDelay + costToOthers(selection, state, policy)
        + policy.failureDelay * excessUnserved
        + (comparison.hasPrompt ? preferenceDelay(comparison.preferences.ranks[index], policy)
                                : promptlessDelay(state, request, policy))
        + (state.replica.dataCentre == request.dataCentre ? 0.0 : policy.remoteDelay);
    selection.isHome = comparison.preferences.home == index;
    selection.isFirstPrefill = comparison.assumesHomeCached && selection.isHome;
    return selection;
}

} // namespace

double breakEvenTransferTokens(const ServicePerformance &figures) noexcept
{
    const double savedPerToken = 1.0 / figures.prefillRate - 1.0 / figures.transferRate;
    return savedPerToken > 0.0 ? figures.transferSetup / savedPerToken
                               : std::numeric_limits<double>::infinity();
}

std::size_t unreachableCount(std::span<UpstreamState *const> upstreams, TimePoint now)
{
    const auto count =
        std::count_if(upstreams.begin(), upstreams.end(), [now](const UpstreamState *upstream) {
            return connectFailureCount(upstream->health, now) > 0;
        });
    return static_cast<std::size_t>(count);
}

bool isReachLimited(std::span<UpstreamState *const> upstreams, TimePoint now)
{
    return std::any_of(upstreams.begin(), upstreams.end(), [now](const UpstreamState *upstream) {
        return connectFailureCount(upstream->health, now) > 0 && upstream->peersRunning > 0
               && !isDraining(*upstream);
    });
}

std::optional<UpstreamSelection> selectUpstream(std::span<UpstreamState *const> candidates,
                                                const SelectionRequest &request,
                                                const PrefixIndex &memory,
                                                const SelectionPolicy &policy, TimePoint now)
{
    const Comparison comparison = prepare(candidates, request, memory, policy, now);
    std::optional<UpstreamSelection> best;
    Eligibility bestEligibility = Eligibility::Unusable;
    std::uint32_t ejected = 0;
    std::uint32_t overBound = 0;
    double homeCost = 0.0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const Eligibility eligibility =
            eligibilityOf(*candidates[i], request, comparison.statistics, now);
        ejected += eligibility >= Eligibility::Ejected ? 1 : 0;
        overBound += eligibility == Eligibility::OverBound ? 1 : 0;
        if (eligibility == Eligibility::Unusable) {
            continue;
        }
        const UpstreamSelection selection =
            evaluate(i, *candidates[i], comparison, request, policy, now);
        homeCost = selection.isHome ? selection.cost : homeCost;
        if (!best || eligibility < bestEligibility
            || (eligibility == bestEligibility && selection.cost < best->cost)) {
            best = selection;
            bestEligibility = eligibility;
        }
    }
    if (best) {
        if (best->isFirstPrefill) {
            addFirstPrefill(*best, *candidates[best->index], comparison.cached, request, policy);
        }
        best->ejectedCount = ejected;
        best->overBoundCount = overBound;
        best->isOverBound = bestEligibility >= Eligibility::OverBound;
        best->loadBound = comparison.statistics.bound;
        best->boundOver = static_cast<std::uint32_t>(comparison.statistics.counted);
        best->homeCost = homeCost;
        best->occupancy = comparison.statistics.occupancy;
    }
    return best;
}

std::vector<CandidateEvaluation> evaluateCandidates(std::span<UpstreamState *const> candidates,
                                                    const SelectionRequest &request,
                                                    const PrefixIndex &memory,
                                                    const SelectionPolicy &policy, TimePoint now)
{
    const Comparison comparison = prepare(candidates, request, memory, policy, now);
    std::vector<CandidateEvaluation> evaluations;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const UpstreamState &state = *candidates[i];
        UpstreamSelection selection = evaluate(i, state, comparison, request, policy, now);
        if (selection.isFirstPrefill) {
            addFirstPrefill(selection, state, comparison.cached, request, policy);
        }
        selection.loadBound = comparison.statistics.bound;
        evaluations.push_back(
            {eligibilityOf(state, request, comparison.statistics, now), selection});
    }
    return evaluations;
}

} // namespace plantainswitch
