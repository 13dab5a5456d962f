#include "http1.h"

#include <algorithm>
#include <utility>

#include <http_parser.h>

#include "responsesyntax.h"

namespace plantainswitch::gateway {

namespace {

/// Calls \a read with each line of \a head, without its end, up to the final empty line.
/// \returns whether \a read accepted them all, and each ends with CR LF and has no other CR.
template<typename Read>
bool readLines(std::string_view head, Read read)
{
    while (!head.empty()) {
        const std::size_t end = head.find('\n');
        if (end == std::string_view::npos || end == 0 || head[end - 1] != '\r') {
            return false;
        }
        const std::string_view line = head.substr(0, end - 1);
        head.remove_prefix(end + 1);
        if (line.empty()) {
            return head.empty();
        }
        if (line.find('\r') != std::string_view::npos || !read(line)) {
            return false;
        }
    }
    return false;
}

/// Reads the head of a response. \returns whether it is one.
bool readResponseHead(std::string_view head, net::ResponseSyntax &syntax)
{
    bool isFirst = true;
    return readLines(head,
                     [&](std::string_view line) {
                         return std::exchange(isFirst, false) ? net::readStatusLine(line, syntax)
                                                              : net::readHeaderLine(line, syntax);
                     })
           && !isFirst;
}

} // namespace

/// Informational responses before one final response above which it counts as malformed: an
/// upstream may send them without end.
constexpr std::uint32_t maxInterimResponses = 32;

struct MessageParser::State
{
    http_parser parser{};
    MessageHandlers events;
    MessageHead head;
    std::string statusText;
    bool lastWasValue = false;
    bool isHeadComplete = false;
    bool isComplete = false;
    bool expectsEmptyBody = false;
    /// Responses only.
    net::ResponseSyntax syntax;
    /// Set while the body of a response is chunked: http_parser takes any two bytes for the end of
    /// a chunk, and any for its extensions.
    std::optional<net::ChunkedBody> chunks;
    /// An informational (1xx) response, such as 100, that is followed by the final one.
    bool interim = false;
    /// Informational responses before the final one.
    std::uint32_t interimCount = 0;
    MessageKind kind = MessageKind::Request;

    void begin()
    {
        http_parser_init(&this->parser,
                         this->kind == MessageKind::Request ? HTTP_REQUEST : HTTP_RESPONSE);
        this->parser.data = this;
        this->head = {};
        this->lastWasValue = false;
        this->isHeadComplete = false;
        this->isComplete = false;
        this->interim = false;
        this->chunks.reset();
    }

    void onFieldName(std::string_view part)
    {
        if (this->isHeadComplete) {
            return;
        }
        if (this->head.fields.empty() || this->lastWasValue) {
            this->head.fields.emplace_back();
        }
        this->head.fields.back().name.append(part);
        this->lastWasValue = false;
    }

    void onFieldValue(std::string_view part)
    {
        this->lastWasValue = true;
        if (!this->isHeadComplete && !this->head.fields.empty()) {
            this->head.fields.back().value.append(part);
        }
    }

    int onHeadComplete()
    {
        this->isHeadComplete = true;
        this->head.keepAlive = http_should_keep_alive(&this->parser) != 0;
        this->head.chunked = (this->parser.flags & F_CHUNKED) != 0;
        if ((this->parser.flags & F_CONTENTLENGTH) != 0) {
            this->head.contentLength = this->parser.content_length;
        }
        if (this->kind == MessageKind::Request) {
            this->head.method = http_method_str(static_cast<http_method>(this->parser.method));
            this->events.onHead(std::move(this->head));
            this->head = {};
            return 0;
        }
        this->head.status = this->syntax.status;
        this->interim = net::isInterim(this->syntax);
        const bool isEmpty = this->expectsEmptyBody || net::isBodiless(this->syntax.status);
        if (this->syntax.isChunked && !isEmpty) {
            this->chunks.emplace();
        }
        if (!this->interim) {
            this->events.onHead(std::move(this->head));
        }
        this->head = {};
        return isEmpty ? 1 : 0;
    }
};

bool isSameFieldName(std::string_view left, std::string_view right) noexcept
{
    return net::equalsIgnoringCase(left, right);
}

const std::string *MessageHead::find(std::string_view name) const noexcept
{
    const auto found =
        std::find_if(this->fields.begin(), this->fields.end(), [name](const HeaderField &field) {
            return isSameFieldName(field.name, name);
        });
    return found == this->fields.end() ? nullptr : &found->value;
}

std::size_t MessageHead::count(std::string_view name) const noexcept
{
    return static_cast<std::size_t>(
        std::count_if(this->fields.begin(), this->fields.end(), [name](const HeaderField &field) {
            return isSameFieldName(field.name, name);
        }));
}

bool isUnambiguousHead(std::string_view head) noexcept
{
    bool isFirst = true;
    return readLines(head,
                     [&isFirst](std::string_view line) {
                         return std::exchange(isFirst, false) || net::isFieldLine(line);
                     })
           && !isFirst;
}

MessageParser::MessageParser(MessageKind kind, std::size_t largestHead, MessageHandlers events)
    : maxHeadBytes(largestHead)
    , state(std::make_unique<State>())
{
    this->state->kind = kind;
    this->state->events = std::move(events);
    this->state->begin();
}

MessageParser::~MessageParser() = default;

void MessageParser::expectEmptyBody(bool isEmpty) noexcept
{
    this->state->expectsEmptyBody = isEmpty;
}

bool MessageParser::inBody() const noexcept
{
    return this->state->isHeadComplete && !this->state->isComplete;
}

bool MessageParser::inBodyUntilClose() const noexcept
{
    return this->inBody() && !this->state->syntax.isChunked && !this->state->syntax.hasLength;
}

ParseState MessageParser::feed(std::string_view bytes)
{
    if (this->state->isHeadComplete && !this->state->isComplete && this->buffered.empty()) {
        std::size_t consumed = 0;
        const ParseState parseState = this->parseBody(bytes, consumed);
        this->buffered.assign(bytes.substr(consumed));
        return parseState;
    }
    this->buffered.append(bytes);
    return this->state->isComplete ? ParseState::Complete : this->parseMessage();
}

ParseState MessageParser::beginNext()
{
    this->state->interimCount = 0;
    this->state->begin();
    return this->parseMessage();
}

ParseState MessageParser::finish()
{
    if (!this->state->isHeadComplete) {
        return ParseState::Malformed;
    }
    if (this->state->isComplete) {
        return ParseState::Complete;
    }
    if (this->state->chunks) {
        return ParseState::Incomplete;
    }
    std::size_t consumed = 0;
    return this->execute({}, consumed);
}

ParseState MessageParser::parseMessage()
{
    ParseState parseState = this->parseHead();
    while (parseState == ParseState::Complete && this->state->interim) {
        if (++this->state->interimCount > maxInterimResponses) {
            return ParseState::Malformed;
        }
        this->state->begin();
        parseState = this->parseHead();
    }
    return parseState;
}

ParseState MessageParser::parseHead()
{
    // RFC 9112 2.2: empty lines before a request line are ignored.
    while (this->state->kind == MessageKind::Request && this->buffered.starts_with("\r\n")) {
        this->buffered.erase(0, 2);
    }
    constexpr std::string_view blankLine = "\r\n\r\n";
    const std::size_t end = this->buffered.find(blankLine, this->searched);
    if (end == std::string::npos) {
        if (this->buffered.size() > this->maxHeadBytes) {
            return ParseState::HeadTooLarge;
        }
        const bool hasBareLineFeeds =
            this->buffered.find("\n\n", this->searched) != std::string::npos;
        // The last bytes may be the start of the blank line.
        this->searched = this->buffered.size() - std::min(this->buffered.size(), blankLine.size());
        return hasBareLineFeeds ? ParseState::Malformed : ParseState::Incomplete;
    }
    const std::size_t size = end + blankLine.size();
    if (size > this->maxHeadBytes) {
        return ParseState::HeadTooLarge;
    }
    this->searched = 0;
    const std::string_view head = std::string_view(this->buffered).substr(0, size);
    const bool isValid = this->state->kind == MessageKind::Request
                             ? isUnambiguousHead(head)
                             : readResponseHead(head, this->state->syntax);
    if (!isValid) {
        return ParseState::Malformed;
    }
    std::size_t consumed = 0;
    ParseState parseState = this->execute(head, consumed);
    std::size_t bodyBytes = 0;
    if (parseState == ParseState::Incomplete) {
        parseState = this->parseBody(std::string_view(this->buffered).substr(consumed), bodyBytes);
    }
    this->buffered.erase(0, consumed + bodyBytes);
    return parseState;
}

ParseState MessageParser::parseBody(std::string_view bytes, std::size_t &consumed)
{
    if (bytes.empty()) {
        // http_parser would take this for the end of the connection.
        return ParseState::Incomplete;
    }
    if (!this->state->chunks) {
        return this->execute(bytes, consumed);
    }
    std::string_view left = bytes;
    const net::ChunkedState decoded =
        net::decodeChunked(*this->state->chunks, left, this->state->events.onBody);
    consumed = bytes.size() - left.size();
    if (decoded == net::ChunkedState::Malformed) {
        return ParseState::Malformed;
    }
    this->state->isComplete = decoded == net::ChunkedState::Complete;
    return this->state->isComplete ? ParseState::Complete : ParseState::Incomplete;
}

ParseState MessageParser::execute(std::string_view bytes, std::size_t &consumed)
{
    static const http_parser_settings settings = [] {
        http_parser_settings callbacks;
        http_parser_settings_init(&callbacks);
        callbacks.on_url = [](http_parser *parser, const char *at, std::size_t size) {
            static_cast<State *>(parser->data)->head.target.append(at, size);
            return 0;
        };
        callbacks.on_header_field = [](http_parser *parser, const char *at, std::size_t size) {
            static_cast<State *>(parser->data)->onFieldName({at, size});
            return 0;
        };
        callbacks.on_header_value = [](http_parser *parser, const char *at, std::size_t size) {
            static_cast<State *>(parser->data)->onFieldValue({at, size});
            return 0;
        };
        callbacks.on_headers_complete = [](http_parser *parser) {
            return static_cast<State *>(parser->data)->onHeadComplete();
        };
        callbacks.on_body = [](http_parser *parser, const char *at, std::size_t size) {
            static_cast<State *>(parser->data)->events.onBody({at, size});
            return 0;
        };
        callbacks.on_message_complete = [](http_parser *parser) {
            static_cast<State *>(parser->data)->isComplete = true;
            http_parser_pause(parser, 1);
            return 0;
        };
        return callbacks;
    }();
    http_parser &parser = this->state->parser;
    consumed = http_parser_execute(&parser, &settings, bytes.data(), bytes.size());
    if (parser.upgrade != 0) {
        return ParseState::Malformed;
    }
    if (this->state->isComplete) {
        return ParseState::Complete;
    }
    return HTTP_PARSER_ERRNO(&parser) == HPE_OK ? ParseState::Incomplete : ParseState::Malformed;
}

std::string_view reasonPhraseOf(int status) noexcept
{
    switch (status) {
#define PLANTAINSWITCH_PHRASE(number, name, text)                                                  \
    case number:                                                                                   \
        return #text;
        HTTP_STATUS_MAP(PLANTAINSWITCH_PHRASE)
#undef PLANTAINSWITCH_PHRASE
    default:
        return "Unknown";
    }
}

} // namespace plantainswitch::gateway
