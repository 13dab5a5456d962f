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

/// Parses the size line of a chunk. \returns nothing if it is malformed.
std::optional<std::uint64_t> chunkSizeOf(std::string_view line) noexcept
{
    constexpr int hexadecimal = 16;
    const auto size = takeNumber(line, hexadecimal);
    const std::string_view extensions = withoutBlanks(line);
    const bool isValid = size && (extensions.empty() || extensions.front() == ';')
                         && !hasControlCharacter(extensions);
    return isValid ? size : std::nullopt;
}

/// Takes a line from \a bytes, or adds its beginning to \a buffered.
/// \param line set to the whole line without its end, in \a bytes or \a buffered
/// \returns Malformed if the line is longer than \a maxBytes or does not end with CR LF.
ChunkedState takeLine(std::string &buffered, std::string_view &bytes, std::size_t maxBytes,
                      std::string_view &line)
{
    const std::size_t end = bytes.find('\n');
    const std::string_view part = bytes.substr(0, end);
    // Only the last byte of a line may be a carriage return. Earlier parts were searched before.
    const bool hasBareReturn =
        !part.empty()
        && (part.find('\r') < part.size() - 1 || (!buffered.empty() && buffered.back() == '\r'));
    if (hasBareReturn || buffered.size() + part.size() > maxBytes) {
        return ChunkedState::Malformed;
    }
    bytes.remove_prefix(part.size());
    if (end == std::string_view::npos) {
        buffered.append(part);
        return ChunkedState::Incomplete;
    }
    bytes.remove_prefix(1);
    line = part;
    if (!buffered.empty()) {
        line = buffered.append(part);
    }
    if (!line.ends_with('\r')) {
        return ChunkedState::Malformed;
    }
    line.remove_suffix(1);
    return ChunkedState::Complete;
}

std::size_t maxLineOf(const ChunkedBody &body) noexcept
{
    switch (body.part) {
    case ChunkedBody::Part::DataEnd:
        return 1;
    case ChunkedBody::Part::Trailers:
        return maxResponseHeadBytes - std::min(body.trailerBytes, maxResponseHeadBytes);
    default:
        return maxChunkSizeLineBytes;
    }
}

/// Handles a whole line, which is not the data of a chunk. \returns whether it is valid.
bool applyLine(ChunkedBody &body, std::string_view line)
{
    using enum ChunkedBody::Part;
    switch (body.part) {
    case SizeLine: {
        const auto size = chunkSizeOf(line);
        body.remaining = size.value_or(0);
        body.part = body.remaining == 0 ? Trailers : Data;
        return size.has_value();
    }
    case DataEnd:
        body.part = SizeLine;
        return line.empty();
    default:
        if (line.empty()) {
            body.part = End;
            return true;
        }
        body.trailerBytes += line.size();
        return isFieldLine(line);
    }
}

} // namespace

bool equalsIgnoringCase(std::string_view left, std::string_view right) noexcept
{
    return left.size() == right.size()
           && std::equal(
               left.begin(), left.end(), right.begin(),
               [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
}

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

ChunkedState decodeChunked(ChunkedBody &body, std::string_view &bytes,
                           const std::function<void(std::string_view)> &onData)
{
    using enum ChunkedBody::Part;
    while (body.part != End && !bytes.empty()) {
        if (body.part == Data) {
            const auto size =
                static_cast<std::size_t>(std::min<std::uint64_t>(body.remaining, bytes.size()));
            const std::string_view data = bytes.substr(0, size);
            bytes.remove_prefix(size);
            body.remaining -= size;
            body.part = body.remaining == 0 ? DataEnd : Data;
            onData(data);
            continue;
        }
        std::string_view line;
        const ChunkedState lineState = takeLine(body.line, bytes, maxLineOf(body), line);
        if (lineState != ChunkedState::Complete) {
            return lineState;
        }
        if (!applyLine(body, line)) {
            return ChunkedState::Malformed;
        }
        body.line.clear();
    }
    return body.part == End ? ChunkedState::Complete : ChunkedState::Incomplete;
}

} // namespace plantainswitch::net
