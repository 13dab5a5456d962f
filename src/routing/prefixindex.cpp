#include "plantainswitch/routing/prefixindex.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace plantainswitch {

void PrefixIndex::recordUse(std::span<const std::uint64_t> chain, std::uint64_t life, TimePoint now)
{
    for (const std::uint64_t part : chain) {
        this->recordHolder(this->holders[part], life, now);
    }
    if (this->holders.size() > this->maxPrefixes) {
        this->trim();
    }
}

void PrefixIndex::recordSharedUse(std::uint64_t part, std::uint64_t life, TimePoint when)
{
    Holders &readers = this->holders[part];
    readers.isShared = true;
    this->recordHolder(readers, life, when);
    if (this->holders.size() > this->maxPrefixes) {
        this->trim();
    }
}

void PrefixIndex::recordHolder(Holders &readers, std::uint64_t life, TimePoint when)
{
    if (readers.uses.size() >= pruneThreshold) {
        // A prefix that all prompts share stays in use while its engines are replaced one after the
        // other.
        std::erase_if(readers.uses,
                      [when](const auto &use) { return when - use.second > cacheResidency; });
    }
    TimePoint &last = readers.uses[life];
    last = std::max(last, when);
}

std::vector<PrefixUse> PrefixIndex::recentSharedUses(std::size_t most, TimePoint now) const
{
    std::vector<PrefixUse> result;
    for (const auto &[part, readers] : this->holders) {
        for (const auto &[life, when] : readers.uses) {
            if (readers.isShared && now - when <= cacheResidency) {
                result.push_back({part, life, when});
            }
        }
    }
    const auto isNewer = [](const PrefixUse &left, const PrefixUse &right) {
        return left.usedAt > right.usedAt;
    };
    std::sort(result.begin(), result.end(), isNewer);
    result.resize(std::min(result.size(), most));
    return result;
}

std::size_t PrefixIndex::cachedParts(std::span<const std::uint64_t> chain, std::uint64_t life,
                                     TimePoint now) const
{
    std::size_t known = chain.size();
    while (known > 0 && !this->wasUsed(chain[known - 1], life, cacheResidency, now)) {
        --known;
    }
    return known;
}

std::size_t PrefixIndex::holderCount(std::uint64_t part) const
{
    const auto found = this->holders.find(part);
    return found == this->holders.end() ? 0 : found->second.uses.size();
}

bool PrefixIndex::wasUsed(std::uint64_t part, std::uint64_t life, Duration span,
                          TimePoint now) const
{
    const auto found = this->holders.find(part);
    if (found == this->holders.end()) {
        return false;
    }
    const auto used = found->second.uses.find(life);
    return used != found->second.uses.end() && now - used->second <= span;
}

void PrefixIndex::trim()
{
    std::vector<std::pair<TimePoint, std::uint64_t>> ages;
    ages.reserve(this->holders.size());
    for (const auto &[part, readers] : this->holders) {
        TimePoint newest;
        for (const auto &[life, when] : readers.uses) {
            newest = std::max(newest, when);
        }
        ages.emplace_back(newest, part);
    }
    // A quarter is evicted at once, so that the scan is rare.
    const auto cut = ages.begin() + static_cast<std::ptrdiff_t>(ages.size() / 4);
    std::nth_element(ages.begin(), cut, ages.end());
    for (auto old = ages.begin(); old != cut; ++old) {
        this->holders.erase(old->second);
    }
}

} // namespace plantainswitch
