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
std::uint64_t homeKey(const SelectionRequest &request) noexcept
{
    const std::uint64_t whole = request.prefixHashes.empty() ? 0 : request.prefixHashes.back();
    return sharedPrefixOf(request.prefixHashes).value_or(whole);
}

double cachedTokens(const UpstreamState &state, bool isTrusted, const SelectionRequest &request,
                    const PrefixIndex &memory, TimePoint now)
{
    if (isTrusted) {
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
double spreadDelay(const UpstreamState &state, const SelectionRequest &request,
                   const SelectionPolicy &policy)
{
    constexpr std::uint64_t steps = 1024;
    const std::uint64_t step = mixHash(request.hash, hashOf(state.replica.id)) % steps;
    return policy.promptlessJitter * static_cast<double>(step) / steps;
}

double queueDelay(const UpstreamState &state, const SelectionPolicy &policy)
{
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
struct Survey
{
    /// Running requests above which an upstream exceeds its share.
    double bound = 0.0;
    /// Few enough are ejected for the others to carry their load.
    bool avoidanceHolds = true;
    double meanFailureShare = 0.0;
    double occupancy = 0.0;
};

Survey survey(std::span<UpstreamState *const> candidates, const SelectionPolicy &policy,
              TimePoint now)
{
    double running = 0.0;
    double failureShares = 0.0;
    double slots = 0.0;
    std::size_t usable = 0;
    std::size_t avoided = 0;
    for (const UpstreamState *state : candidates) {
        if (state->replica.draining || connectFailureCount(state->health, now) > 0) {
            continue;
        }
        ++usable;
        running += runningAt(*state);
        slots += state->replica.maxConcurrency;
        failureShares += failureRateOf(state->health, now);
        avoided += isEjected(state->health, now) ? 1 : 0;
    }
    const auto count = static_cast<double>(std::max<std::size_t>(usable, 1));
    return {policy.loadBoundFactor * running / count + policy.loadBoundExtra,
            static_cast<double>(avoided) <= policy.maxEjectedShare * count, failureShares / count,
            slots > 0.0 ? running / slots : 0.0};
}

double orderDelay(std::size_t place, const SelectionPolicy &policy)
{
    const double step = policy.preferenceStepRequests * policy.performance.tokensPerRequest
                        / policy.performance.prefillRate;
    return step * std::min(static_cast<double>(place), policy.maxPreferenceSteps);
}

/// \returns whether an eligible engine is known to have the whole shared prefix cached.
bool isKnownAnywhere(std::span<UpstreamState *const> candidates, const SelectionRequest &request,
                     const PrefixIndex &memory, const Survey &seen, TimePoint now)
{
    const std::size_t shared = request.prefixHashes.size() - 1;
    return std::any_of(candidates.begin(), candidates.end(), [&](const UpstreamState *state) {
        return isEligible(*state, seen.avoidanceHolds, now)
               && memory.cachedParts(request.prefixHashes, incarnationOf(state->replica), now)
                      >= shared;
    });
}

/// \returns the number of leading prompt tokens that each candidate is expected to have cached.
std::vector<double> cachedAtEach(std::span<UpstreamState *const> candidates,
                                 std::optional<std::size_t> trustedHome,
                                 const SelectionRequest &request, const PrefixIndex &memory,
                                 TimePoint now)
{
    std::vector<double> cached(candidates.size(), 0.0);
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        cached[i] = cachedTokens(*candidates[i], trustedHome == i, request, memory, now);
    }
    return cached;
}

/// The engines from which a prompt is best transferred; the second one serves the best one itself.
struct Donors
{
    std::optional<std::size_t> best;
    std::optional<std::size_t> second;
};

/// Excludes engines that are down: a transfer from one would block the request until its timeout. A
/// draining engine is as good as any while it runs, and its cache will soon be lost.
bool mayBeCopiedFrom(const UpstreamState &state, const SelectionRequest &request, TimePoint now)
{
    return !isEjected(state.health, now) && connectFailureCount(state.health, now) == 0
           && !wasTried(state.replica, request);
}

/// \returns the engines with the most cached tokens of the prompt; among equals, those that come
/// first in its preference list.
Donors donorsOf(std::span<UpstreamState *const> candidates, const std::vector<double> &cached,
                const PreferenceList &order, const SelectionRequest &request,
                const SelectionPolicy &policy, TimePoint now)
{
    const auto isBetter = [&](std::size_t left, std::optional<std::size_t> right) {
        return !right || cached[left] > cached[*right]
               || (cached[left] == cached[*right] && order.ranks[left] < order.ranks[*right]);
    };
    const double least = breakEvenTransferTokens(policy.performance);
    Donors donors;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (cached[i] < least || !mayBeCopiedFrom(*candidates[i], request, now)) {
            continue;
        }
        if (isBetter(i, donors.best)) {
            donors.second = std::exchange(donors.best, i);
        } else if (isBetter(i, donors.second)) {
            donors.second = i;
        }
    }
    return donors;
}

/// Sets how many prompt tokens the selected engine must prefill and how many it can transfer.
void weighPrompt(UpstreamSelection &choice, const std::vector<double> &cached, const Donors &donors,
                 const SelectionRequest &request)
{
    const double known = cached[choice.index];
    choice.uncachedTokens = std::max(0.0, tokensOf(*request.prompt) - known);
    const auto donor = donors.best == choice.index ? donors.second : donors.best;
    if (!donor) {
        return;
    }
    // Also if the engine is expected to have the whole prompt: it may have evicted parts that were
    // idle for some seconds, and a transfer of nothing costs nothing.
    choice.transferSource = donor;
    choice.transferredTokens = std::max(0.0, cached[*donor] - known);
    choice.uncachedTokens -= choice.transferredTokens;
}

double transferDelay(const UpstreamSelection &choice, const SelectionPolicy &policy)
{
    if (choice.transferredTokens <= 0.0) {
        return 0.0;
    }
    return policy.performance.transferSetup
           + choice.transferredTokens / policy.performance.transferRate;
}

/// \returns the cost to other requests: a prefill delays the next tokens of all requests running
/// beside it, and like a transfer it takes cache space from other prefixes.
double loadOnOthers(const UpstreamSelection &choice, const UpstreamState &state,
                    const SelectionPolicy &policy)
{
    const double cachedTokens = choice.uncachedTokens + choice.transferredTokens;
    const double delayedTokens = runningAt(state) * choice.uncachedTokens;
    return (policy.cacheWeight * cachedTokens + policy.interference * delayedTokens)
           / policy.performance.prefillRate;
}

void estimateDelay(UpstreamSelection &choice, const UpstreamState &state, bool hasPrompt,
                   const SelectionPolicy &policy, TimePoint now)
{
    const double prefill =
        (choice.uncachedTokens + state.ownPendingPrefill + state.peersPendingPrefill)
        / policy.performance.prefillRate;
    choice.extraDelay = extraDelayOf(state.health, now);
    choice.expectedDelay = (hasPrompt ? policy.performance.baseDelay : 0.0) + prefill
                           + transferDelay(choice, policy) + queueDelay(state, policy)
                           + choice.extraDelay;
}

/// Adds the shared prefix to the estimate of the home. It was compared with the others as if it had
/// the shared prefix cached, so that all routers select it; its actual work is the whole prompt.
void addFirstRead(UpstreamSelection &choice, const std::vector<double> &cached,
                  const SelectionRequest &request, const SelectionPolicy &policy)
{
    const double shared = sharedTokensOf(*request.prompt);
    const double before = transferDelay(choice, policy);
    choice.transferredTokens =
        choice.transferSource ? std::min(shared, cached[*choice.transferSource]) : 0.0;
    choice.uncachedTokens += shared - choice.transferredTokens;
    choice.expectedDelay += (shared - choice.transferredTokens) / policy.performance.prefillRate
                            + transferDelay(choice, policy) - before;
}

/// In order of preference: a class is used only if no candidate is in a better one.
enum class Fitness : std::uint8_t { Good, OverBound, Avoided, Unreachable, Unusable };

Fitness fitnessOf(const UpstreamState &state, const SelectionRequest &request, const Survey &seen,
                  TimePoint now)
{
    if (state.replica.draining || wasTried(state.replica, request)) {
        return Fitness::Unusable;
    }
    const std::uint32_t unreachable = connectFailureCount(state.health, now);
    if (unreachable > 0) {
        // A single lost packet looks the same. After two failures, another attempt would cost the
        // caller as much again, so the request is rejected at once instead.
        return unreachable == 1 ? Fitness::Unreachable : Fitness::Unusable;
    }
    if (seen.avoidanceHolds && isEjected(state.health, now)) {
        return Fitness::Avoided;
    }
    return runningAt(state) + 1.0 > seen.bound ? Fitness::OverBound : Fitness::Good;
}

/// Inputs to the comparison of all candidates.
struct Comparison
{
    Survey seen;
    bool hasPrompt = false;
    PreferenceList order;
    /// The home is assumed to have the shared prefix cached.
    bool trustsHome = false;
    std::vector<double> cached;
    Donors donors;
};

Comparison prepare(std::span<UpstreamState *const> candidates, const SelectionRequest &request,
                   const PrefixIndex &memory, const SelectionPolicy &policy, TimePoint now)
{
    Comparison result;
    result.seen = survey(candidates, policy, now);
    result.hasPrompt = request.prompt != nullptr && !request.prefixHashes.empty();
    if (!result.hasPrompt) {
        return result;
    }
    result.order = preferenceListOf(candidates, homeKey(request), result.seen.avoidanceHolds, now);
    // If no engine is known to have the prefix cached, all routers select its home, so that it is
    // prefilled once. When it is known, engines that have it are preferred: a home changes as
    // engines join and leave, but cached prefixes stay where they are.
    result.trustsHome = policy.preferredUpstreams
                        && !isKnownAnywhere(candidates, request, memory, result.seen, now);
    result.cached = cachedAtEach(candidates, result.trustsHome ? result.order.home : std::nullopt,
                                 request, memory, now);
    if (policy.transfers) {
        result.donors = donorsOf(candidates, result.cached, result.order, request, policy, now);
    }
    return result;
}

UpstreamSelection weigh(std::size_t index, const UpstreamState &state, const Comparison &comparison,
                        const SelectionRequest &request, const SelectionPolicy &policy,
                        TimePoint now)
{
    UpstreamSelection choice;
    choice.index = index;
    if (comparison.hasPrompt) {
        weighPrompt(choice, comparison.cached, comparison.donors, request);
    }
    estimateDelay(choice, state, comparison.hasPrompt, policy, now);
    const double excessFailures =
        std::max(0.0, failureRateOf(state.health, now) - comparison.seen.meanFailureShare);
    choice.cost = choice.expectedDelay + loadOnOthers(choice, state, policy)
                  + policy.failureDelay * excessFailures
                  + (comparison.hasPrompt ? orderDelay(comparison.order.ranks[index], policy)
                                          : spreadDelay(state, request, policy))
                  + (state.replica.dataCentre == request.dataCentre ? 0.0 : policy.remoteDelay);
    choice.isHome = comparison.order.home == index;
    choice.isFirstPrefill = comparison.trustsHome && choice.isHome;
    return choice;
}

} // namespace

std::uint32_t runningAt(const UpstreamState &state) noexcept
{
    return state.ownRunning + state.peersRunning;
}

double breakEvenTransferTokens(const ServicePerformance &figures) noexcept
{
    const double savedPerToken = 1.0 / figures.prefillRate - 1.0 / figures.transferRate;
    return savedPerToken > 0.0 ? figures.transferSetup / savedPerToken
                               : std::numeric_limits<double>::infinity();
}

std::uint64_t incarnationOf(const Replica &replica) noexcept
{
    return mixHash(hashOf(replica.id), replica.startTime);
}

std::optional<UpstreamSelection> selectUpstream(std::span<UpstreamState *const> candidates,
                                                const SelectionRequest &request,
                                                const PrefixIndex &memory,
                                                const SelectionPolicy &policy, TimePoint now)
{
    const Comparison comparison = prepare(candidates, request, memory, policy, now);
    std::optional<UpstreamSelection> best;
    Fitness bestFitness = Fitness::Unusable;
    std::uint32_t avoided = 0;
    std::uint32_t overBound = 0;
    double homeCost = 0.0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const Fitness fitness = fitnessOf(*candidates[i], request, comparison.seen, now);
        avoided += fitness >= Fitness::Avoided ? 1 : 0;
        overBound += fitness == Fitness::OverBound ? 1 : 0;
        if (fitness == Fitness::Unusable) {
            continue;
        }
        const UpstreamSelection choice = weigh(i, *candidates[i], comparison, request, policy, now);
        homeCost = choice.isHome ? choice.cost : homeCost;
        if (!best || fitness < bestFitness
            || (fitness == bestFitness && choice.cost < best->cost)) {
            best = choice;
            bestFitness = fitness;
        }
    }
    if (best) {
        if (best->isFirstPrefill) {
            addFirstRead(*best, comparison.cached, request, policy);
        }
        best->ejectedCount = avoided;
        best->overBoundCount = overBound;
        best->loadBound = comparison.seen.bound;
        best->homeCost = homeCost;
        best->occupancy = comparison.seen.occupancy;
    }
    return best;
}

} // namespace plantainswitch
