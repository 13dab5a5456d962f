#include "plantainswitch/base/hash.h"

#include <array>

#include <xxhash.h>

namespace plantainswitch {

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
    constexpr unsigned bitsPerDigit = 4;
    std::string text(sizeof(hash) * 2, '0');
    for (auto digit = text.rbegin(); digit != text.rend(); ++digit) {
        *digit = digits[hash % digits.size()];
        hash >>= bitsPerDigit;
    }
    return text;
}

} // namespace plantainswitch
