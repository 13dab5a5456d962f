#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace plantainswitch {

/// Maximum size of a relayed server-sent event in bytes; a longer one is invalid.
inline constexpr std::size_t maxSseEventBytes = 1 << 20;

/// Parses a byte stream into the data of server-sent events, in bounded memory.
class SseParser
{
public:
    /// Parses \a bytes and appends the data of each complete event to \a events.
    /// \returns false if the stream is not a server-sent event stream or an event is too long.
    [[nodiscard]] bool feed(std::string_view bytes, std::vector<std::string> &events);
    /// \returns whether an incomplete event is buffered.
    [[nodiscard]] bool hasRemainder() const noexcept;

private:
    bool takeLine(std::string_view line, std::vector<std::string> &events);

    std::string line;
    std::string data;
    bool hasData = false;
};

/// Final event of a chat stream.
inline constexpr std::string_view doneEvent = "[DONE]";

/// State of a chat stream, by the events relayed so far.
struct StreamProgress
{
    std::size_t events = 0;
    bool finished = false;
    bool done = false;
};

/// Checks one event of an engine's chat stream and updates the state of the stream.
/// \param data of the event
/// \param attempt that the event must belong to
/// \param progress of the stream
/// \returns false if the event belongs to another attempt or can't be parsed: a response to another
/// request must never reach this caller.
[[nodiscard]] bool acceptEvent(std::string_view data, std::string_view attempt,
                               StreamProgress &progress);

/// \returns whether \a body is a complete chat response to \a attempt.
[[nodiscard]] bool isWholeAnswer(std::string_view body, std::string_view attempt);

} // namespace plantainswitch
