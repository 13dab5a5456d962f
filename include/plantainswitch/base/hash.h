#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace plantainswitch {

/// 64-bit xxHash of \a text; equal on every VM, so that routers agree without communication.
[[nodiscard]] std::uint64_t hashOf(std::string_view text, std::uint64_t seed = 0) noexcept;

/// Combines two hashes into one; the order matters.
[[nodiscard]] std::uint64_t mixHash(std::uint64_t first, std::uint64_t second) noexcept;

/// \returns \a hash as 16 hexadecimal digits, as log lines and stored names have it.
[[nodiscard]] std::string formatHash(std::uint64_t hash);
/// \returns the hash that formatHash() wrote as \a text, or nothing.
[[nodiscard]] std::optional<std::uint64_t> parseHash(std::string_view text);

} // namespace plantainswitch
