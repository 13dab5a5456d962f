#pragma once

#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

#include "plantainswitch/base/clock.h"

namespace plantainswitch {

/// Time since its last use after which an engine is taken to have dropped a part of a prompt. From
/// the users' sheets: some 170,000 tokens of an engine's memory are left for parts that nobody uses
/// at the moment, and 5,000 a second come in with requests of their own text; a third of that time,
/// because copies of other engines' parts come in besides.
inline constexpr Seconds cacheResidency{12};

/// An upstream that has used a prefix.
struct PrefixUse
{
    std::uint64_t prefix = 0;
    std::uint64_t incarnation = 0;
    TimePoint usedAt;
};

/// Where chains of prompts were read lately.
class PrefixIndex
{
public:
    /// Chains remembered at once; the least recently used go first. Some 100 bytes each.
    explicit PrefixIndex(std::size_t most = 20'000)
        : maxPrefixes(most)
    {}

    /// Notes that the upstream life \a life has read \a chain.
    void recordUse(std::span<const std::uint64_t> chain, std::uint64_t life, TimePoint now);
    /// Notes that the upstream life \a life has used the shared prefix that ends with \a part.
    void recordSharedUse(std::uint64_t part, std::uint64_t life, TimePoint when);
    /// \returns the shared prefixes used within cacheResidency, the \a most last used ones.
    [[nodiscard]] std::vector<PrefixUse> recentSharedUses(std::size_t most, TimePoint now) const;
    /// \returns how many parts at the start of \a chain that life has used within cacheResidency.
    /// Each part names the chain up to it, so that the last one used stands for those before it.
    [[nodiscard]] std::size_t cachedParts(std::span<const std::uint64_t> chain, std::uint64_t life,
                                          TimePoint now) const;
    /// \returns on how many lives \a part is remembered, also those that have dropped it.
    [[nodiscard]] std::size_t holderCount(std::uint64_t part) const;
    /// \returns whether \a life has used \a part within \a span.
    [[nodiscard]] bool wasUsed(std::uint64_t part, std::uint64_t life, Duration span,
                               TimePoint now) const;

private:
    /// Engines remembered for a part before those are looked for that have dropped it: more than
    /// share one chain at any moment, so that the look is rare.
    static constexpr std::size_t pruneThreshold = 64;

    struct Holders
    {
        std::unordered_map<std::uint64_t, TimePoint> uses;
        bool isShared = false;
    };

    void recordHolder(Holders &readers, std::uint64_t life, TimePoint when);

    void trim();

    std::size_t maxPrefixes;
    std::unordered_map<std::uint64_t, Holders> holders;
};

} // namespace plantainswitch
