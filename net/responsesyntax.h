#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace plantainswitch::net {

/// Largest head of a response in bytes, with the informational responses before it.
inline constexpr std::size_t maxResponseHeadBytes = 64 << 10;
/// Largest size line of a chunk with its extensions, in bytes.
inline constexpr std::size_t maxChunkSizeLineBytes = 8 << 10;

/// What the head of a response states about its syntax and framing. The functions below decide for
/// every HTTP client of this project whether bytes are a response (RFC 9112): the libraries behind
/// them accept more, such as a status of 000 or any two bytes behind a chunk.
struct ResponseSyntax
{
    int status = 0;
    /// HTTP/1.0, whose responses have no transfer codings.
    bool isVersion10 = false;
    bool hasLength = false;
    /// The length does not count then.
    bool isChunked = false;
};

/// Reads a status line, given without its line end. \returns false if it is none of HTTP/1.x with a
/// status that is defined for responses and was not excluded by the request.
[[nodiscard]] bool readStatusLine(std::string_view line, ResponseSyntax &syntax) noexcept;
/// Reads the line of a header field, given without its line end. \returns false if its syntax is
/// invalid, or if it makes the framing of the body invalid or ambiguous.
[[nodiscard]] bool readHeaderLine(std::string_view line, ResponseSyntax &syntax) noexcept;
/// \returns whether a line, given without its line end, is a header or trailer field.
[[nodiscard]] bool isFieldLine(std::string_view line) noexcept;

/// \returns whether two names of fields or codings are equal, ignoring case.
[[nodiscard]] bool equalsIgnoringCase(std::string_view left, std::string_view right) noexcept;

/// \returns whether the response is informational, and followed by another one.
[[nodiscard]] bool isInterim(const ResponseSyntax &syntax) noexcept;
/// \returns whether a response with that status has no body, whatever its header fields state.
[[nodiscard]] bool isBodiless(int status) noexcept;

/// How far a chunked body was decoded.
enum class ChunkedState : std::uint8_t { Incomplete, Complete, Malformed };

/// Position within a chunked body.
struct ChunkedBody
{
    enum class Part : std::uint8_t { SizeLine, Data, DataEnd, Trailers, End };

    Part part = Part::SizeLine;
    /// Bytes of the current chunk that have yet to arrive.
    std::uint64_t remaining = 0;
    /// The beginning of an incomplete line.
    std::string line;
    std::size_t trailerBytes = 0;
};

/// Decodes the next bytes of a chunked body, and removes from \a bytes what belongs to it. Trailer
/// fields are checked and discarded.
/// \param onData receives the data of the chunks
[[nodiscard]] ChunkedState decodeChunked(ChunkedBody &body, std::string_view &bytes,
                                         const std::function<void(std::string_view)> &onData);

} // namespace plantainswitch::net
