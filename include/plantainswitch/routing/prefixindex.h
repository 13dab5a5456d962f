#pragma once

#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

#include "plantainswitch/base/clock.h"

namespace plantainswitch {

/// Time after its last use at which a prompt prefix is assumed to be evicted from an engine's
/// cache. By the users' workload figures, about 170,000 tokens of an engine's cache are left for
/// idle prefixes, and requests add 5,000 tokens of their own text per second. A third of the
/// resulting time is used, because prefixes transferred from other engines take cache space as
/// well.
inline constexpr Seconds cacheResidency{12};

/// The last use of a prefix by an upstream incarnation.
struct PrefixUse
{
    std::uint64_t prefix = 0;
    std::uint64_t incarnation = 0;
    TimePoint usedAt;
};

/// Tracks which upstream incarnations have recently used which prompt prefixes, and so are expected
/// to have them cached.
class PrefixIndex
{
public:
    /// \param maxPrefixes prefixes tracked at once, about 100 bytes each; the least recently used
    /// ones are evicted first
    explicit PrefixIndex(std::size_t most = 20'000)
        : maxPrefixes(most)
    {}

    /// Records that \a incarnation has processed the prompt with these prefix hashes.
    void recordUse(std::span<const std::uint64_t> prefixHashes, std::uint64_t incarnation,
                   TimePoint now);
    /// Records that \a incarnation has used the shared prefix with hash \a prefix.
    void recordSharedUse(std::uint64_t prefix, std::uint64_t incarnation, TimePoint usedAt);
    /// \returns the shared prefixes used within cacheResidency, the most recent \a limit ones,
    /// newest first.
    [[nodiscard]] std::vector<PrefixUse> recentSharedUses(std::size_t limit, TimePoint now) const;
    /// \returns the number of leading prompt parts that \a incarnation has used within
    /// cacheResidency. A prefix hash covers all parts up to its own, so the last one used stands
    /// for those before it.
    [[nodiscard]] std::size_t cachedParts(std::span<const std::uint64_t> prefixHashes,
                                          std::uint64_t incarnation, TimePoint now) const;
    /// \returns the number of incarnations on which \a prefix is tracked, including those that may
    /// have evicted it.
    [[nodiscard]] std::size_t holderCount(std::uint64_t prefix) const;
    /// \returns whether \a incarnation has used \a prefix within \a span.
    [[nodiscard]] bool wasUsed(std::uint64_t prefix, std::uint64_t incarnation, Duration span,
                               TimePoint now) const;

private:
    /// Holders of one prefix at which expired ones are pruned. It exceeds the number of engines
    /// that share a prefix at any one time, so that the scan is rare.
    static constexpr std::size_t pruneThreshold = 64;

    struct Holders
    {
        std::unordered_map<std::uint64_t, TimePoint> uses;
        bool isShared = false;
    };

    void recordHolder(Holders &entry, std::uint64_t incarnation, TimePoint usedAt);

    void trim();

    std::size_t maxPrefixes;
    std::unordered_map<std::uint64_t, Holders> holders;
};

} // namespace plantainswitch
