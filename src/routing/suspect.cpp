#include "plantainswitch/routing/suspect.h"

#include <algorithm>
#include <array>

#include "plantainswitch/base/hash.h"
#include "plantainswitch/routing/prompt.h"

namespace plantainswitch {

namespace {

constexpr SuspectKey kindBit = 1;

} // namespace

std::string_view nameOf(SuspectKind kind) noexcept
{
    constexpr std::array<std::string_view, 2> names{"request", "prompt-part"};
    return names.at(static_cast<std::size_t>(kind));
}

SuspectKey requestSuspect(std::uint64_t fingerprint) noexcept
{
    return fingerprint & ~kindBit;
}

SuspectKey partSuspect(std::uint64_t service, std::uint64_t part) noexcept
{
    return mixHash(service, part) | kindBit;
}

SuspectKind kindOf(SuspectKey suspect) noexcept
{
    return (suspect & kindBit) == 0 ? SuspectKind::Request : SuspectKind::PromptPart;
}

std::vector<SuspectKey> partSuspectsOf(std::uint64_t service, const Prompt &prompt)
{
    std::vector<SuspectKey> suspects;
    const std::size_t shared = prompt.parts.empty() ? 0 : prompt.parts.size() - 1;
    for (std::size_t i = 0; i < std::min(shared, maxSuspectParts); ++i) {
        const SuspectKey suspect = partSuspect(service, prompt.parts[i].id);
        if (std::find(suspects.begin(), suspects.end(), suspect) == suspects.end()) {
            suspects.push_back(suspect);
        }
    }
    return suspects;
}

} // namespace plantainswitch
