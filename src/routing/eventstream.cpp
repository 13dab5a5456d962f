#include "plantainswitch/routing/eventstream.h"

#include <charconv>

namespace plantainswitch {

namespace {

std::optional<std::uint64_t> idOf(std::string_view event)
{
    while (!event.empty()) {
        const std::size_t end = event.find('\n');
        std::string_view line = event.substr(0, end);
        event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
        if (!line.starts_with("id:")) {
            continue;
        }
        line.remove_prefix(3);
        while (line.starts_with(' ')) {
            line.remove_prefix(1);
        }
        std::uint64_t id = 0;
        const auto [rest, fault] = std::from_chars(line.data(), line.data() + line.size(), id);
        if (fault == std::errc{}) {
            return id;
        }
    }
    return std::nullopt;
}

/// \returns the position after the first blank line at or after \a from, or npos.
std::size_t eventEnd(std::string_view text, std::size_t from)
{
    for (std::size_t at = text.find('\n', from); at != std::string_view::npos;
         at = text.find('\n', at + 1)) {
        if (at + 1 < text.size() && text[at + 1] == '\n') {
            return at + 2;
        }
        if (at + 2 < text.size() && text[at + 1] == '\r' && text[at + 2] == '\n') {
            return at + 3;
        }
    }
    return std::string_view::npos;
}

} // namespace

bool EventRelay::recordEvent(std::string_view event)
{
    const std::optional<std::uint64_t> id = idOf(event);
    if (id && this->last && *id <= *this->last) {
        return false;
    }
    if (id) {
        this->last = id;
    }
    ++this->count;
    return true;
}

bool EventRelay::feed(std::string_view bytes, std::string &out)
{
    this->partial.append(bytes);
    std::size_t begin = 0;
    for (std::size_t end = eventEnd(this->partial, this->scanned); end != std::string::npos;
         end = eventEnd(this->partial, begin)) {
        const std::string_view event = std::string_view(this->partial).substr(begin, end - begin);
        if (!this->recordEvent(event)) {
            return false;
        }
        out.append(event);
        begin = end;
    }
    this->partial.erase(0, begin);
    // The last two bytes may be the start of an event's end.
    this->scanned = this->partial.size() > 2 ? this->partial.size() - 2 : 0;
    return this->partial.size() <= maxStreamEventBytes;
}

} // namespace plantainswitch
