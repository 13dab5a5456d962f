#include "http1.h"

#include <algorithm>
#include <cctype>

#include <http_parser.h>

namespace plantainswitch::gateway {

namespace {

bool isTokenCharacter(unsigned char c) noexcept
{
    constexpr std::string_view others = "!#$%&'*+-.^_`|~";
    return std::isalnum(c) != 0 || others.find(static_cast<char>(c)) != std::string_view::npos;
}

bool isFieldLine(std::string_view line) noexcept
{
    const std::size_t colon = line.find(':');
    if (colon == 0 || colon == std::string_view::npos) {
        return false;
    }
    const std::string_view name = line.substr(0, colon);
    return std::all_of(name.begin(), name.end(), isTokenCharacter)
           && std::none_of(line.begin(), line.end(),
                           [](unsigned char c) { return (c < ' ' && c != '\t') || c == 0x7f; });
}

} // namespace

struct MessageParser::State
{
    http_parser parser{};
    MessageHandlers events;
    MessageHead head;
    std::string statusText;
    bool lastWasValue = false;
    bool headDone = false;
    bool whole = false;
    bool noBody = false;
    /// An informational (1xx) response, such as 100, that is followed by the final one.
    bool interim = false;
    MessageKind kind = MessageKind::Request;

    void begin()
    {
        http_parser_init(&this->parser,
                         this->kind == MessageKind::Request ? HTTP_REQUEST : HTTP_RESPONSE);
        this->parser.data = this;
        this->head = {};
        this->lastWasValue = false;
        this->headDone = false;
        this->whole = false;
        this->interim = false;
    }

    void takeName(std::string_view part)
    {
        if (this->headDone) {
            return;
        }
        if (this->head.fields.empty() || this->lastWasValue) {
            this->head.fields.emplace_back();
        }
        this->head.fields.back().name.append(part);
        this->lastWasValue = false;
    }

    void takeValue(std::string_view part)
    {
        this->lastWasValue = true;
        if (!this->headDone && !this->head.fields.empty()) {
            this->head.fields.back().value.append(part);
        }
    }

    int finishHead()
    {
        this->headDone = true;
        this->head.keepAlive = http_should_keep_alive(&this->parser) != 0;
        this->head.chunked = (this->parser.flags & F_CHUNKED) != 0;
        if ((this->parser.flags & F_CONTENTLENGTH) != 0) {
            this->head.contentLength = this->parser.content_length;
        }
        if (this->kind == MessageKind::Request) {
            this->head.method = http_method_str(static_cast<http_method>(this->parser.method));
        } else {
            this->head.status = static_cast<int>(this->parser.status_code);
        }
        this->interim = this->head.status >= 100 && this->head.status < 200;
        if (!this->interim) {
            this->events.onHead(std::move(this->head));
        }
        this->head = {};
        return this->noBody ? 1 : 0;
    }
};

bool isSameFieldName(std::string_view left, std::string_view right) noexcept
{
    return left.size() == right.size()
           && std::equal(
               left.begin(), left.end(), right.begin(),
               [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
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
    while (!head.empty()) {
        const std::size_t end = head.find('\n');
        if (end == std::string_view::npos || end == 0 || head[end - 1] != '\r') {
            return false;
        }
        const std::string_view line = head.substr(0, end - 1);
        head.remove_prefix(end + 1);
        if (line.find('\r') != std::string_view::npos) {
            return false;
        }
        if (line.empty()) {
            return head.empty() && !isFirst;
        }
        if (!isFirst && !isFieldLine(line)) {
            return false;
        }
        isFirst = false;
    }
    return false;
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

void MessageParser::expectEmptyBody() noexcept
{
    this->state->noBody = true;
}

bool MessageParser::inBody() const noexcept
{
    return this->state->headDone && !this->state->whole;
}

ParseState MessageParser::feed(std::string_view bytes)
{
    if (this->state->headDone && !this->state->whole && this->buffered.empty()) {
        std::size_t used = 0;
        const ParseState reached = this->execute(bytes, used);
        this->buffered.assign(bytes.substr(used));
        return reached;
    }
    this->buffered.append(bytes);
    return this->state->whole ? ParseState::Complete : this->parseMessage();
}

ParseState MessageParser::beginNext()
{
    this->state->begin();
    return this->parseMessage();
}

ParseState MessageParser::finish()
{
    if (!this->state->headDone) {
        return ParseState::Malformed;
    }
    if (this->state->whole) {
        return ParseState::Complete;
    }
    std::size_t used = 0;
    return this->execute({}, used);
}

ParseState MessageParser::parseMessage()
{
    ParseState reached = this->parseHead();
    while (reached == ParseState::Complete && this->state->interim) {
        this->state->begin();
        reached = this->parseHead();
    }
    return reached;
}

ParseState MessageParser::parseHead()
{
    // RFC 9112 2.2: empty lines before a request line are ignored.
    while (this->state->kind == MessageKind::Request && this->buffered.starts_with("\r\n")) {
        this->buffered.erase(0, 2);
    }
    constexpr std::string_view blankLine = "\r\n\r\n";
    const std::size_t end = this->buffered.find(blankLine);
    if (end == std::string::npos) {
        if (this->buffered.size() > this->maxHeadBytes) {
            return ParseState::HeadTooLarge;
        }
        const bool bareEnd = this->buffered.find("\n\n") != std::string::npos;
        return bareEnd ? ParseState::Malformed : ParseState::Incomplete;
    }
    const std::size_t size = end + blankLine.size();
    if (size > this->maxHeadBytes) {
        return ParseState::HeadTooLarge;
    }
    if (!isUnambiguousHead(std::string_view(this->buffered).substr(0, size))) {
        return ParseState::Malformed;
    }
    std::size_t used = 0;
    const ParseState reached = this->execute(this->buffered, used);
    this->buffered.erase(0, used);
    return reached;
}

ParseState MessageParser::execute(std::string_view bytes, std::size_t &used)
{
    static const http_parser_settings settings = [] {
        http_parser_settings made;
        http_parser_settings_init(&made);
        made.on_url = [](http_parser *parser, const char *at, std::size_t size) {
            static_cast<State *>(parser->data)->head.target.append(at, size);
            return 0;
        };
        made.on_header_field = [](http_parser *parser, const char *at, std::size_t size) {
            static_cast<State *>(parser->data)->takeName({at, size});
            return 0;
        };
        made.on_header_value = [](http_parser *parser, const char *at, std::size_t size) {
            static_cast<State *>(parser->data)->takeValue({at, size});
            return 0;
        };
        made.on_headers_complete = [](http_parser *parser) {
            return static_cast<State *>(parser->data)->finishHead();
        };
        made.on_body = [](http_parser *parser, const char *at, std::size_t size) {
            static_cast<State *>(parser->data)->events.onBody({at, size});
            return 0;
        };
        made.on_message_complete = [](http_parser *parser) {
            static_cast<State *>(parser->data)->whole = true;
            http_parser_pause(parser, 1);
            return 0;
        };
        return made;
    }();
    http_parser &parser = this->state->parser;
    used = http_parser_execute(&parser, &settings, bytes.data(), bytes.size());
    if (parser.upgrade != 0) {
        return ParseState::Malformed;
    }
    if (this->state->whole) {
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
