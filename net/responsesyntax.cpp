#include "responsesyntax.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace plantainswitch::net {

namespace {

constexpr int switchingProtocols = 101;
constexpr int firstSuccess = 200;
constexpr int firstStatus = 100;
constexpr int lastStatus = 599;
constexpr std::size_t statusDigits = 3;

bool isDigit(char c) noexcept
{
    return c >= '0' && c <= '9';
}

bool isTokenCharacter(unsigned char c) noexcept
{
    constexpr std::string_view others = "!#$%&'*+-.^_`|~";
    return std::isalnum(c) != 0 || others.find(static_cast<char>(c)) != std::string_view::npos;
}

bool hasControlCharacter(std::string_view text) noexcept
{
    return std::any_of(text.begin(), text.end(),
                       [](unsigned char c) { return (c < ' ' && c != '\t') || c == 0x7f; });
}

} // namespace

bool readStatusLine(std::string_view line, ResponseSyntax &syntax) noexcept
{
    constexpr std::string_view name = "HTTP/1.";
    constexpr std::size_t statusAt = name.size() + 2;
    constexpr std::size_t statusEnd = statusAt + statusDigits;
    if (!line.starts_with(name) || line.size() < statusEnd || !isDigit(line[name.size()])
        || line[statusAt - 1] != ' ') {
        return false;
    }
    const std::string_view digits = line.substr(statusAt, statusDigits);
    const std::string_view reason = line.substr(statusEnd);
    if (!std::all_of(digits.begin(), digits.end(), isDigit)
        || (!reason.empty() && reason.front() != ' ') || hasControlCharacter(reason)) {
        return false;
    }
    syntax = {};
    std::from_chars(digits.data(), digits.data() + digits.size(), syntax.status);
    return syntax.status >= firstStatus && syntax.status <= lastStatus
           && syntax.status != switchingProtocols;
}

bool isFieldLine(std::string_view line) noexcept
{
    const std::size_t colon = line.find(':');
    if (colon == 0 || colon == std::string_view::npos) {
        return false;
    }
    const std::string_view name = line.substr(0, colon);
    return std::all_of(name.begin(), name.end(), isTokenCharacter) && !hasControlCharacter(line);
}

bool isInterim(const ResponseSyntax &syntax) noexcept
{
    return syntax.status >= firstStatus && syntax.status < firstSuccess;
}

} // namespace plantainswitch::net
