#include "plantainswitch/base/number.h"

#include <charconv>

namespace plantainswitch {

std::optional<std::uint64_t> parseUnsigned(std::string_view text, int base) noexcept
{
    std::uint64_t number = 0;
    const char *const end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, number, base);
    if (error != std::errc{} || rest != end) {
        return std::nullopt;
    }
    return number;
}

} // namespace plantainswitch
