#include "plantainswitch/routing/prefixindex.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace plantainswitch {

void PrefixIndex::recordUse(std::span<const std::uint64_t> prefixHashes, std::uint64_t incarnation,
                            TimePoint now)
{
    for (const std::uint64_t prefix : prefixHashes) {
        this->recordHolder(this->holders[prefix], incarnation, now);
    }
    if (this->holders.size() > this->maxPrefixes) {
        this->trim();
    }
}

void PrefixIndex::recordSharedUse(std::uint64_t prefix, std::uint64_t incarnation, TimePoint usedAt)
{
    Holders &entry = this->holders[prefix];
    entry.isShared = true;
    this->recordHolder(entry, incarnation, usedAt);
    if (this->holders.size() > this->maxPrefixes) {
        this->trim();
    }
}

void PrefixIndex::recordHolder(Holders &entry, std::uint64_t incarnation, TimePoint usedAt)
{
    if (entry.uses.size() >= pruneThreshold) {
        // A prefix that all prompts share stays in use while its engines are replaced one after the
        // other.
        std::erase_if(entry.uses,
                      [usedAt](const auto &use) { return usedAt - use.second > cacheResidency; });
    }
    TimePoint &last = entry.uses[incarnation];
    last = std::max(last, usedAt);
}

std::vector<PrefixUse> PrefixIndex::recentSharedUses(std::size_t limit, TimePoint now) const
{
    std::vector<PrefixUse> result;
    for (const auto &[prefix, entry] : this->holders) {
        for (const auto &[incarnation, usedAt] : entry.uses) {
            if (entry.isShared && now - usedAt <= cacheResidency) {
                result.push_back({prefix, incarnation, usedAt});
            }
        }
    }
    const auto isNewer = [](const PrefixUse &left, const PrefixUse &right) {
        return left.usedAt > right.usedAt;
    };
    std::sort(result.begin(), result.end(), isNewer);
    result.resize(std::min(result.size(), limit));
    return result;
}

std::size_t PrefixIndex::cachedParts(std::span<const std::uint64_t> prefixHashes,
                                     std::uint64_t incarnation, TimePoint now) const
{
    std::size_t cached = prefixHashes.size();
    while (cached > 0
           && !this->wasUsed(prefixHashes[cached - 1], incarnation, cacheResidency, now)) {
        --cached;
    }
    return cached;
}

std::size_t PrefixIndex::holderCount(std::uint64_t prefix) const
{
    const auto found = this->holders.find(prefix);
    return found == this->holders.end() ? 0 : found->second.uses.size();
}

bool PrefixIndex::wasUsed(std::uint64_t prefix, std::uint64_t incarnation, Duration span,
                          TimePoint now) const
{
    const auto found = this->holders.find(prefix);
    if (found == this->holders.end()) {
        return false;
    }
    const auto used = found->second.uses.find(incarnation);
    return used != found->second.uses.end() && now - used->second <= span;
}

void PrefixIndex::trim()
{
    std::vector<std::pair<TimePoint, std::uint64_t>> ages;
    ages.reserve(this->holders.size());
    for (const auto &[prefix, entry] : this->holders) {
        TimePoint newest;
        for (const auto &[incarnation, usedAt] : entry.uses) {
            newest = std::max(newest, usedAt);
        }
        ages.emplace_back(newest, prefix);
    }
    // A quarter is evicted at once, so that the scan is rare.
    const auto oldest = ages.begin() + static_cast<std::ptrdiff_t>(ages.size() / 4);
    std::nth_element(ages.begin(), oldest, ages.end());
    for (auto each = ages.begin(); each != oldest; ++each) {
        this->holders.erase(each->second);
    }
}

} // namespace plantainswitch
