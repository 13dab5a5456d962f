#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace plantainswitch {

struct Prompt;

/// What may crash the upstreams that run it.
enum class SuspectKind : std::uint8_t {
    /// A request, with all its copies.
    Request,
    /// A part of prompts, whatever else they hold.
    PromptPart,
};
[[nodiscard]] std::string_view nameOf(SuspectKind kind) noexcept;

/// Identifies a suspect, the same on every router. The lowest bit states its kind, so that messages
/// and records of one field carry both.
using SuspectKey = std::uint64_t;

/// Parts of a prompt that are tracked; further ones are not.
inline constexpr std::size_t maxSuspectParts = 64;

/// \param fingerprint hash of the request's workspace, target and body
[[nodiscard]] SuspectKey requestSuspect(std::uint64_t fingerprint) noexcept;
/// \param service hash of the service's name
[[nodiscard]] SuspectKey partSuspect(std::uint64_t service, std::uint64_t part) noexcept;
[[nodiscard]] SuspectKind kindOf(SuspectKey suspect) noexcept;

/// \returns the parts of \a prompt that other requests may share, each once. The last part belongs
/// to one request or chat, which the request's own key identifies.
[[nodiscard]] std::vector<SuspectKey> partSuspectsOf(std::uint64_t service, const Prompt &prompt);

} // namespace plantainswitch
