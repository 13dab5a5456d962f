#include "plantainswitch/claims/claim.h"

#include <array>

#include "plantainswitch/base/hash.h"

namespace plantainswitch {

namespace {

constexpr std::uint64_t highSeed = 0x9e3779b97f4a7c15;
constexpr std::uint64_t lowSeed = 0xc2b2ae3d27d4eb4f;
constexpr std::array verdictNames{std::string_view{"queued"}, std::string_view{"granted"},
                                  std::string_view{"taken"}, std::string_view{"expired"},
                                  std::string_view{"unavailable"}};

} // namespace

ClaimId claimIdOf(std::string_view workspace, std::string_view key) noexcept
{
    return {hashOf(key, hashOf(workspace, highSeed)), hashOf(key, hashOf(workspace, lowSeed))};
}

std::uint32_t sliceOf(const ClaimId &id) noexcept
{
    return static_cast<std::uint32_t>(id.high % claimSliceCount);
}

std::string_view nameOf(ClaimVerdict verdict) noexcept
{
    return verdictNames.at(static_cast<std::size_t>(verdict));
}

} // namespace plantainswitch
