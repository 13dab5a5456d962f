#include "plantainswitch/base/hash.h"

#include <array>

#include <xxhash.h>

#include "plantainswitch/base/number.h"

namespace plantainswitch {

namespace {

/// Hexadecimal digits of a hash.
constexpr std::size_t hashDigits = sizeof(std::uint64_t) * 2;

} // namespace

std::uint64_t hashOf(std::string_view text, std::uint64_t seed) noexcept
{
    return XXH64(text.data(), text.size(), seed);
}

std::uint64_t mixHash(std::uint64_t first, std::uint64_t second) noexcept
{
    const std::array<std::uint64_t, 2> pair{first, second};
    return XXH64(pair.data(), sizeof(pair), 0);
}

std::string formatHash(std::uint64_t hash)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text(hashDigits, '0');
    for (auto digit = text.rbegin(); digit != text.rend(); ++digit) {
        *digit = digits[hash % digits.size()];
        hash /= digits.size();
    }
    return text;
}

std::optional<std::uint64_t> parseHash(std::string_view text)
{
    constexpr int base = 16;
    return text.size() == hashDigits ? parseUnsigned(text, base) : std::nullopt;
}

} // namespace plantainswitch
