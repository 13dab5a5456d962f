#include "plantainswitch/routing/prefixindex.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace plantainswitch {

void ChainMemory::note(std::span<const std::uint64_t> chain, std::uint64_t life, TimePoint now)
{
    for (const std::uint64_t part : chain) {
        this->noteUse(this->lives[part], life, now);
    }
    if (this->lives.size() > this->most) {
        this->trim();
    }
}

void ChainMemory::noteShared(std::uint64_t part, std::uint64_t life, TimePoint when)
{
    Readers &readers = this->lives[part];
    readers.isShared = true;
    this->noteUse(readers, life, when);
    if (this->lives.size() > this->most) {
        this->trim();
    }
}

void ChainMemory::noteUse(Readers &readers, std::uint64_t life, TimePoint when)
{
    if (readers.uses.size() >= manyLives) {
        // A prefix that all prompts share outlives engine after engine.
        std::erase_if(readers.uses,
                      [when](const auto &use) { return when - use.second > cacheResidency; });
    }
    TimePoint &last = readers.uses[life];
    last = std::max(last, when);
}

std::vector<PrefixUse> ChainMemory::sharedUses(std::size_t most, TimePoint now) const
{
    std::vector<PrefixUse> result;
    for (const auto &[part, readers] : this->lives) {
        for (const auto &[life, when] : readers.uses) {
            if (readers.isShared && now - when <= cacheResidency) {
                result.push_back({part, life, when});
            }
        }
    }
    const auto isNewer = [](const PrefixUse &left, const PrefixUse &right) {
        return left.when > right.when;
    };
    std::sort(result.begin(), result.end(), isNewer);
    result.resize(std::min(result.size(), most));
    return result;
}

std::size_t ChainMemory::knownParts(std::span<const std::uint64_t> chain, std::uint64_t life,
                                    TimePoint now) const
{
    std::size_t known = chain.size();
    while (known > 0 && !this->wasUsed(chain[known - 1], life, cacheResidency, now)) {
        --known;
    }
    return known;
}

std::size_t ChainMemory::livesOf(std::uint64_t part) const
{
    const auto found = this->lives.find(part);
    return found == this->lives.end() ? 0 : found->second.uses.size();
}

bool ChainMemory::wasUsed(std::uint64_t part, std::uint64_t life, Duration span,
                          TimePoint now) const
{
    const auto found = this->lives.find(part);
    if (found == this->lives.end()) {
        return false;
    }
    const auto used = found->second.uses.find(life);
    return used != found->second.uses.end() && now - used->second <= span;
}

void ChainMemory::trim()
{
    std::vector<std::pair<TimePoint, std::uint64_t>> ages;
    ages.reserve(this->lives.size());
    for (const auto &[part, readers] : this->lives) {
        TimePoint newest;
        for (const auto &[life, when] : readers.uses) {
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

} // namespace plantainswitch
