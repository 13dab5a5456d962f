#include "plantainswitch/routing/prompt.h"

#include "plantainswitch/base/hash.h"

namespace plantainswitch {

std::uint32_t tokensOf(const Prompt &prompt) noexcept
{
    std::uint32_t sum = 0;
    for (const PromptPart &part : prompt.parts) {
        sum += part.tokens;
    }
    return sum;
}

std::uint32_t sharedTokensOf(const Prompt &prompt) noexcept
{
    return prompt.parts.empty() ? 0 : tokensOf(prompt) - prompt.parts.back().tokens;
}

std::vector<std::uint64_t> prefixHashesOf(const Prompt &prompt)
{
    std::vector<std::uint64_t> prefixHashes;
    prefixHashes.reserve(prompt.parts.size());
    std::uint64_t hash = hashOf(prompt.model);
    for (const PromptPart &part : prompt.parts) {
        hash = mixHash(hash, part.id);
        prefixHashes.push_back(hash);
    }
    return prefixHashes;
}

std::optional<std::uint64_t> sharedPrefixOf(std::span<const std::uint64_t> prefixHashes) noexcept
{
    // The last part belongs to one request or chat alone.
    return prefixHashes.size() > 1 ? std::optional(prefixHashes[prefixHashes.size() - 2])
                                   : std::nullopt;
}

} // namespace plantainswitch
