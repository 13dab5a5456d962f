#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace plantainswitch {

/// A part of a prompt; parts with the same id have the same text.
struct PromptPart
{
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

/// A prompt as a sequence of parts. An engine that has the first ones cached prefills only the
/// rest.
struct Prompt
{
    std::string model;
    /// The last part is specific to this request or chat.
    std::vector<PromptPart> parts;
    std::uint32_t outputTokens = 0;
};

/// \returns the number of tokens of all parts.
[[nodiscard]] std::uint32_t tokensOf(const Prompt &prompt) noexcept;

/// \returns the number of tokens of all parts but the last one.
[[nodiscard]] std::uint32_t sharedTokensOf(const Prompt &prompt) noexcept;

/// \returns one hash for each part, which identifies the prefix up to and including that part.
[[nodiscard]] std::vector<std::uint64_t> prefixHashesOf(const Prompt &prompt);

/// \returns the hash of the prefix that other prompts may share, which is all parts but the last
/// one; nothing if there is none.
[[nodiscard]] std::optional<std::uint64_t>
sharedPrefixOf(std::span<const std::uint64_t> prefixHashes) noexcept;

} // namespace plantainswitch
