#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace plantainswitch {

/// \returns the number that the whole of \a text states without sign or spaces, or nothing.
[[nodiscard]] std::optional<std::uint64_t> parseUnsigned(std::string_view text,
                                                         int base = 10) noexcept;

} // namespace plantainswitch
