#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace plantainswitch::gateway {

/// One header field as received.
struct HeaderField
{
    std::string name;
    std::string value;
};

/// The head of a request or a response.
struct MessageHead
{
    /// Requests only.
    std::string method;
    std::string target;
    /// Responses only.
    int status = 0;
    std::vector<HeaderField> fields;
    /// The sender keeps the connection open after this message.
    bool keepAlive = false;
    /// The body has a chunked transfer encoding.
    bool chunked = false;
    std::optional<std::uint64_t> contentLength;

    /// \returns the value of the first field called \a name, ignoring case, or nullptr.
    [[nodiscard]] const std::string *find(std::string_view name) const noexcept;
    /// \returns the number of fields called \a name, ignoring case.
    [[nodiscard]] std::size_t count(std::string_view name) const noexcept;
};

/// \returns whether two field names are equal, ignoring case.
[[nodiscard]] bool isSameFieldName(std::string_view left, std::string_view right) noexcept;

/// The kind of messages that a parser reads.
enum class MessageKind : std::uint8_t { Request, Response };

/// How far the current message has been parsed.
enum class ParseState : std::uint8_t {
    /// More bytes are needed.
    Incomplete,
    /// The message is complete. Further bytes are buffered until beginNext().
    Complete,
    /// Not HTTP/1.1, or ambiguous: two parsers may read it in two ways.
    Malformed,
    /// The head is larger than allowed.
    HeadTooLarge,
};

/// Callbacks of a parser, called in the order of the bytes.
struct MessageHandlers
{
    std::function<void(MessageHead)> onHead;
    std::function<void(std::string_view)> onBody;
};

/// Parses a sequence of HTTP/1.1 messages with http_parser. To prevent request smuggling, heads
/// with bare line feeds, folded lines, whitespace before a colon or contradictory lengths are
/// rejected: another parser behind this one could find a second request in them, which would run in
/// the name of another caller.
class MessageParser
{
public:
    /// \param maxHeadBytes size of a head above which it is rejected
    MessageParser(MessageKind kind, std::size_t largestHead, MessageHandlers events);
    ~MessageParser();
    MessageParser(const MessageParser &) = delete;
    MessageParser &operator=(const MessageParser &) = delete;

    /// Parses bytes received from the connection.
    ParseState feed(std::string_view bytes);
    /// Begins the next message with the buffered bytes.
    ParseState beginNext();
    /// Handles the orderly end of the connection. \returns Complete if it ends a message without a
    /// length.
    ParseState finish();

    /// Sets whether the next response answers a HEAD request and has no body.
    void expectEmptyBody(bool isEmpty) noexcept;
    void setMaxHeadBytes(std::size_t bytes) noexcept { this->maxHeadBytes = bytes; }
    /// \returns whether bytes after a complete message are buffered.
    [[nodiscard]] bool hasBufferedBytes() const noexcept { return !this->buffered.empty(); }
    /// \returns whether the head was parsed and the body is incomplete.
    [[nodiscard]] bool inBody() const noexcept;
    /// \returns whether the body of a response ends with its connection.
    [[nodiscard]] bool inBodyUntilClose() const noexcept;

private:
    struct State;

    ParseState parseMessage();
    ParseState parseHead();
    ParseState parseBody(std::string_view bytes, std::size_t &consumed);
    ParseState execute(std::string_view bytes, std::size_t &consumed);

    std::size_t maxHeadBytes;
    std::string buffered;
    /// Buffered bytes in which the end of a head was searched for.
    std::size_t searched = 0;
    std::unique_ptr<State> state;
};

/// \returns whether \a head, including its final empty line, can be read in only one way.
[[nodiscard]] bool isUnambiguousHead(std::string_view head) noexcept;

/// \returns the standard reason phrase of \a status, or "Unknown".
[[nodiscard]] std::string_view reasonPhraseOf(int status) noexcept;

} // namespace plantainswitch::gateway
