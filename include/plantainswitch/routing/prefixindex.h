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
    std::uint64_t life = 0;
    TimePoint when;
};

/// Where chains of prompts were read lately.
class ChainMemory
{
public:
    /// Chains remembered at once; the least recently used go first. Some 100 bytes each.
    explicit ChainMemory(std::size_t most = 20'000)
        : most(most)
    {}

    /// Notes that the upstream life \a life has read \a chain.
    void note(std::span<const std::uint64_t> chain, std::uint64_t life, TimePoint now);
    /// Notes that the upstream life \a life has used the shared prefix that ends with \a part.
    void noteShared(std::uint64_t part, std::uint64_t life, TimePoint when);
    /// \returns the shared prefixes used within cacheResidency, the \a most last used ones.
    [[nodiscard]] std::vector<PrefixUse> sharedUses(std::size_t most, TimePoint now) const;
    /// \returns how many parts at the start of \a chain that life has used within cacheResidency.
    /// Each part names the chain up to it, so that the last one used stands for those before it.
    [[nodiscard]] std::size_t knownParts(std::span<const std::uint64_t> chain, std::uint64_t life,
                                         TimePoint now) const;
    /// \returns on how many lives \a part is remembered, also those that have dropped it.
    [[nodiscard]] std::size_t livesOf(std::uint64_t part) const;
    /// \returns whether \a life has used \a part within \a span.
    [[nodiscard]] bool wasUsed(std::uint64_t part, std::uint64_t life, Duration span,
                               TimePoint now) const;

private:
    /// Engines remembered for a part before those are looked for that have dropped it: more than
    /// share one chain at any moment, so that the look is rare.
    static constexpr std::size_t manyLives = 64;

    struct Readers
    {
        std::unordered_map<std::uint64_t, TimePoint> uses;
        bool isShared = false;
    };

    void noteUse(Readers &readers, std::uint64_t life, TimePoint when);

    void trim();

    std::size_t most;
    std::unordered_map<std::uint64_t, Readers> lives;
};

} // namespace plantainswitch
