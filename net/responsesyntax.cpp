#include "responsesyntax.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <limits>
#include <optional>
#include <utility>

namespace plantainswitch::net {

namespace {

constexpr int switchingProtocols = 101;
constexpr int firstSuccess = 200;
constexpr int noContent = 204;
constexpr int notModified = 304;
constexpr int firstStatus = 100;
constexpr int lastStatus = 599;
constexpr std::size_t statusDigits = 3;
/// Larger lengths overflow the signed offsets of some readers.
constexpr auto maxLength = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());

bool isDigit(char c) noexcept
{
    return c >= '0' && c <= '9';
}

bool isBlank(char c) noexcept
{
    return c == ' ' || c == '\t';
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

bool equalsIgnoringCase(std::string_view left, std::string_view right) noexcept
{
    return left.size() == right.size()
           && std::equal(
               left.begin(), left.end(), right.begin(),
               [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
}

std::string_view withoutBlanks(std::string_view text) noexcept
{
    while (!text.empty() && isBlank(text.front())) {
        text.remove_prefix(1);
    }
    while (!text.empty() && isBlank(text.back())) {
        text.remove_suffix(1);
    }
    return text;
}

/// Parses digits at the begin of \a text and removes them. \returns nothing if there are none, or
/// if their number is above maxLength.
std::optional<std::uint64_t> takeNumber(std::string_view &text, int base) noexcept
{
    std::uint64_t number = 0;
    const char *const end = text.data() + text.size();
    const auto [rest, fault] = std::from_chars(text.data(), end, number, base);
    if (fault != std::errc{} || number > maxLength) {
        return std::nullopt;
    }
    text.remove_prefix(static_cast<std::size_t>(rest - text.data()));
    return number;
}

bool isLength(std::string_view text) noexcept
{
    return takeNumber(text, 10).has_value() && text.empty();
}

/// \returns whether a list of transfer codings holds "chunked" only. No other coding is requested.
bool isChunkedOnly(std::string_view codings) noexcept
{
    std::size_t count = 0;
    while (!codings.empty()) {
        const std::size_t comma = std::min(codings.find(','), codings.size());
        const std::string_view coding = withoutBlanks(codings.substr(0, comma));
        codings.remove_prefix(std::min(comma + 1, codings.size()));
        if (coding.empty()) {
            continue;
        }
        if (!equalsIgnoringCase(coding, "chunked")) {
            return false;
        }
        ++count;
    }
    return count == 1;
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
    syntax.isVersion10 = line[name.size()] == '0';
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

bool readHeaderLine(std::string_view line, ResponseSyntax &syntax) noexcept
{
    if (!isFieldLine(line)) {
        return false;
    }
    const std::size_t colon = line.find(':');
    const std::string_view name = line.substr(0, colon);
    const std::string_view value = withoutBlanks(line.substr(colon + 1));
    if (equalsIgnoringCase(name, "Content-Length")) {
        return !std::exchange(syntax.hasLength, true) && isLength(value);
    }
    if (equalsIgnoringCase(name, "Transfer-Encoding")) {
        return !std::exchange(syntax.isChunked, true) && !syntax.isVersion10
               && isChunkedOnly(value);
    }
    return true;
}

bool isInterim(const ResponseSyntax &syntax) noexcept
{
    return syntax.status >= firstStatus && syntax.status < firstSuccess;
}

bool isBodiless(int status) noexcept
{
    return status < firstSuccess || status == noContent || status == notModified;
}

} // namespace plantainswitch::net
