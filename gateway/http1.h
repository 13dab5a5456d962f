#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace plantainswitch::gateway {

/// One header field as it came.
struct HeaderField
{
    std::string name;
    std::string value;
};

/// The head of a request or an answer.
struct MessageHead
{
    /// Of a request.
    std::string method;
    std::string target;
    /// Of an answer.
    int status = 0;
    std::vector<HeaderField> fields;
    /// The sender keeps the connection open after this message.
    bool keepAlive = false;
    /// The body comes in chunks.
    bool chunked = false;
    std::optional<std::uint64_t> contentLength;

    /// \returns the value of the first field of that name in any case, or nullptr.
    [[nodiscard]] const std::string *find(std::string_view name) const noexcept;
    /// \returns how many fields of that name there are.
    [[nodiscard]] std::size_t count(std::string_view name) const noexcept;
};

/// \returns whether two header names are the same but for case.
[[nodiscard]] bool isSameFieldName(std::string_view left, std::string_view right) noexcept;

/// Which side's messages a parser reads.
enum class MessageKind : std::uint8_t { Request, Response };

/// How far a parser came.
enum class ParseState : std::uint8_t {
    /// The message is not at its end.
    Incomplete,
    /// The message is whole; further bytes are kept back until the next one is begun.
    Complete,
    /// Not HTTP, or a form of it that two parsers may read in two ways.
    Malformed,
    /// The head is larger than allowed.
    HeadTooLarge,
};

/// What a parser hands out, in the order of the bytes.
struct MessageHandlers
{
    std::function<void(MessageHead)> onHead;
    std::function<void(std::string_view)> onBody;
};

/// Reads one HTTP/1.1 message after another by http_parser. A head with bare line feeds, folded
/// lines, blanks before a colon or lengths that contradict each other is refused: a parser behind
/// this one may see another request in it, which would run under somebody else's name.
class MessageParser
{
public:
    MessageParser(MessageKind kind, std::size_t largestHead, MessageHandlers events);
    ~MessageParser();
    MessageParser(const MessageParser &) = delete;
    MessageParser &operator=(const MessageParser &) = delete;

    /// Takes bytes of the connection.
    ParseState feed(std::string_view bytes);
    /// Begins the next message with the bytes kept back.
    ParseState beginNext();
    /// The connection ended in order. \returns Whole when that ends a message without length.
    ParseState finish();

    /// The next answer belongs to a HEAD request and has no body.
    void expectEmptyBody() noexcept;
    void setMaxHeadBytes(std::size_t bytes) noexcept { this->maxHeadBytes = bytes; }
    /// \returns whether bytes behind a whole message are kept back.
    [[nodiscard]] bool hasBufferedBytes() const noexcept { return !this->buffered.empty(); }
    /// \returns whether the head has been read and the body is due.
    [[nodiscard]] bool inBody() const noexcept;

private:
    struct State;

    ParseState parseMessage();
    ParseState parseHead();
    ParseState execute(std::string_view bytes, std::size_t &used);

    std::size_t maxHeadBytes;
    std::string buffered;
    std::unique_ptr<State> state;
};

/// \returns whether \a head, which ends with its blank line, has only one reading.
[[nodiscard]] bool isUnambiguousHead(std::string_view head) noexcept;

/// \returns the standard phrase of \a status.
[[nodiscard]] std::string_view reasonPhraseOf(int status) noexcept;

} // namespace plantainswitch::gateway
