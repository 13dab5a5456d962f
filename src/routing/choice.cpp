#include "plantainswitch/routing/choice.h"

#include <algorithm>

#include "plantainswitch/base/hash.h"
#include "plantainswitch/placement/rendezvous.h"

namespace plantainswitch {

namespace {

bool wasTried(const Replica &replica, const ChoiceRequest &request)
{
    return std::find(request.tried.begin(), request.tried.end(), replica.id) != request.tried.end();
}

/// \returns the hash by which the request's chain finds its engine: that of all shared parts.
std::uint64_t homeKey(const ChoiceRequest &request) noexcept
{
    if (request.chain.empty()) {
        return 0;
    }
    return request.chain.size() > 1 ? request.chain[request.chain.size() - 2]
                                    : request.chain.front();
}

double cachedTokens(const UpstreamState &state, bool isTrusted, const ChoiceRequest &request,
                    const ChainMemory &memory)
{
    if (isTrusted) {
        return sharedTokensOf(*request.prompt);
    }
    const std::size_t known = memory.knownParts(request.chain, lifeOf(state.replica));
    double cached = 0.0;
    for (std::size_t i = 0; i < known; ++i) {
        cached += request.prompt->parts[i].tokens;
    }
    return cached;
}

/// \returns a delay from 0 to policy.spillSpread that the chain, or the request, has there.
double spillDelay(const UpstreamState &state, const ChoiceRequest &request,
                  const ChoicePolicy &policy)
{
    const std::uint64_t key = request.chain.empty() ? request.hash : homeKey(request);
    const double spread = request.chain.empty() ? policy.plainSpread : policy.spillSpread;
    constexpr std::uint64_t steps = 1024;
    return spread * static_cast<double>(mixHash(key, hashOf(state.replica.id)) % steps) / steps;
}

double queueDelay(const UpstreamState &state, const ChoicePolicy &policy)
{
    const double running = runningAt(state);
    double delay = running * policy.delayPerRunning;
    const double slots = state.replica.slots;
    if (slots > 0 && running >= slots) {
        // Whoever waits for a slot waits for a share of the work before it.
        constexpr double workOfOne = 20.0;
        delay += workOfOne * (running - slots + 1.0) / slots;
    }
    return delay;
}

/// What the candidates are like together.
struct Survey
{
    /// Requests above which an upstream holds more than its share.
    double bound = 0.0;
    /// Few enough are avoided that the others can carry their work.
    bool avoidanceHolds = true;
    double meanFailureShare = 0.0;
};

Survey survey(std::span<UpstreamState *const> candidates, const ChoicePolicy &policy, TimePoint now)
{
    double running = 0.0;
    double failureShares = 0.0;
    std::size_t usable = 0;
    std::size_t avoided = 0;
    for (const UpstreamState *state : candidates) {
        if (state->replica.leaving || unreachableCount(state->health, now) > 0) {
            continue;
        }
        ++usable;
        running += runningAt(*state);
        failureShares += failureShareOf(state->health, now);
        avoided += isAvoided(state->health, now) ? 1 : 0;
    }
    const auto count = static_cast<double>(std::max<std::size_t>(usable, 1));
    return {policy.boundFactor * running / count + policy.boundExtra,
            static_cast<double>(avoided) <= policy.mostAvoided * count, failureShares / count};
}

std::optional<std::size_t> homeOf(std::span<UpstreamState *const> candidates,
                                  const ChoiceRequest &request, const Survey &seen, TimePoint now)
{
    std::optional<std::size_t> best;
    double highest = 0.0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const UpstreamState &state = *candidates[i];
        if (state.replica.leaving || unreachableCount(state.health, now) > 0
            || (seen.avoidanceHolds && isAvoided(state.health, now))) {
            continue;
        }
        const double score = rendezvousScore(homeKey(request), {hashOf(state.replica.id), 1.0});
        if (!best || score > highest) {
            best = i;
            highest = score;
        }
    }
    return best;
}

/// \returns whether an engine that may be used is known to have all shared parts.
bool isKnownAnywhere(std::span<UpstreamState *const> candidates, const ChoiceRequest &request,
                     const ChainMemory &memory, const Survey &seen, TimePoint now)
{
    const std::size_t shared = request.chain.size() - 1;
    return std::any_of(candidates.begin(), candidates.end(), [&](const UpstreamState *state) {
        return !state->replica.leaving && !(seen.avoidanceHolds && isAvoided(state->health, now))
               && memory.knownParts(request.chain, lifeOf(state->replica)) >= shared;
    });
}

/// Lower classes are only used when no higher one is left.
enum class Fitness : std::uint8_t { Good, OverBound, Avoided, Unreachable, Unusable };

Fitness fitnessOf(const UpstreamState &state, const ChoiceRequest &request, const Survey &seen,
                  TimePoint now)
{
    if (state.replica.leaving || wasTried(state.replica, request)) {
        return Fitness::Unusable;
    }
    const std::uint32_t unreachable = unreachableCount(state.health, now);
    if (unreachable > 0) {
        // A single lost packet looks the same; after two, a further try costs the caller as much
        // again and is refused at once instead.
        return unreachable == 1 ? Fitness::Unreachable : Fitness::Unusable;
    }
    if (seen.avoidanceHolds && isAvoided(state.health, now)) {
        return Fitness::Avoided;
    }
    return runningAt(state) + 1.0 > seen.bound ? Fitness::OverBound : Fitness::Good;
}

} // namespace

std::uint32_t runningAt(const UpstreamState &state) noexcept
{
    return state.ownRunning + state.peersRunning;
}

std::uint64_t lifeOf(const Replica &replica) noexcept
{
    return mixHash(hashOf(replica.id), replica.born);
}

void ChainMemory::note(std::span<const std::uint64_t> chain, std::uint64_t life, TimePoint now)
{
    for (const std::uint64_t part : chain) {
        this->lives[part][life] = now;
    }
    if (this->lives.size() > this->most) {
        this->trim();
    }
}

std::size_t ChainMemory::knownParts(std::span<const std::uint64_t> chain, std::uint64_t life) const
{
    std::size_t known = 0;
    for (const std::uint64_t part : chain) {
        const auto found = this->lives.find(part);
        if (found == this->lives.end() || !found->second.contains(life)) {
            break;
        }
        ++known;
    }
    return known;
}

void ChainMemory::trim()
{
    std::vector<std::pair<TimePoint, std::uint64_t>> ages;
    ages.reserve(this->lives.size());
    for (const auto &[part, readers] : this->lives) {
        TimePoint newest;
        for (const auto &[life, when] : readers) {
            newest = std::max(newest, when);
        }
        ages.emplace_back(newest, part);
    }
    // A quarter at once, so that the scan is rare.
    const auto cut = ages.begin() + static_cast<std::ptrdiff_t>(ages.size() / 4);
    std::nth_element(ages.begin(), cut, ages.end());
    for (auto old = ages.begin(); old != cut; ++old) {
        this->lives.erase(old->second);
    }
}

std::optional<Choice> chooseUpstream(std::span<UpstreamState *const> candidates,
                                     const ChoiceRequest &request, const ChainMemory &memory,
                                     const ChoicePolicy &policy, TimePoint now)
{
    const Survey seen = survey(candidates, policy, now);
    const bool hasPrompt = request.prompt != nullptr && !request.chain.empty();
    const std::optional<std::size_t> home =
        hasPrompt ? homeOf(candidates, request, seen, now) : std::nullopt;
    // Where nobody is known to have read the chain, its home is the one that all routers pick, so
    // that it is read once. Once it is known, engines that have it go first: a home changes when
    // engines come and go, and what is cached stays where it was.
    const bool trustsHome = hasPrompt && !isKnownAnywhere(candidates, request, memory, seen, now);
    std::optional<Choice> best;
    Fitness bestFitness = Fitness::Unusable;
    std::uint32_t avoided = 0;
    std::uint32_t overBound = 0;
    double homeDelay = 0.0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const UpstreamState &state = *candidates[i];
        const Fitness fitness = fitnessOf(state, request, seen, now);
        avoided += fitness >= Fitness::Avoided ? 1 : 0;
        overBound += fitness == Fitness::OverBound ? 1 : 0;
        if (fitness == Fitness::Unusable) {
            continue;
        }
        Choice choice;
        choice.index = i;
        if (hasPrompt) {
            choice.uncachedTokens =
                std::max(0.0, tokensOf(*request.prompt)
                                  - cachedTokens(state, trustsHome && home == i, request, memory));
        }
        choice.expectedDelay =
            (policy.readWeight * choice.uncachedTokens + state.ownUnread + state.peersUnread)
                / policy.tokensPerMillisecond
            + queueDelay(state, policy) + extraDelayOf(state.health, now)
            + policy.failureDelay
                  * std::max(0.0, failureShareOf(state.health, now) - seen.meanFailureShare)
            + (home == i ? 0.0 : spillDelay(state, request, policy))
            + (state.replica.place == request.place ? 0.0 : policy.otherPlaceDelay);
        choice.isHome = home == i;
        homeDelay = choice.isHome ? choice.expectedDelay : homeDelay;
        if (!best || fitness < bestFitness
            || (fitness == bestFitness && choice.expectedDelay < best->expectedDelay)) {
            best = choice;
            bestFitness = fitness;
        }
    }
    if (best) {
        best->avoided = avoided;
        best->overBound = overBound;
        best->bound = seen.bound;
        best->homeDelay = homeDelay;
    }
    return best;
}

} // namespace plantainswitch
