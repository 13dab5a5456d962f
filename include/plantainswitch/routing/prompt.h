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

/// A prompt as a chain of parts: an engine that has the first ones cached reads only the rest.
struct Prompt
{
    std::string model;
    /// The last part belongs to this request or chat alone.
    std::vector<PromptPart> parts;
    std::uint32_t outputTokens = 0;
};

/// \returns all tokens of the prompt.
[[nodiscard]] std::uint32_t tokensOf(const Prompt &prompt) noexcept;

/// \returns the tokens of all parts but the last.
[[nodiscard]] std::uint32_t sharedTokensOf(const Prompt &prompt) noexcept;

/// \returns one hash for each part, which names the chain up to and including that part.
[[nodiscard]] std::vector<std::uint64_t> prefixHashesOf(const Prompt &prompt);

/// \returns the hash in \a chain of all parts that other prompts share; nothing when there is none.
[[nodiscard]] std::optional<std::uint64_t>
sharedPrefixOf(std::span<const std::uint64_t> chain) noexcept;

} // namespace plantainswitch
