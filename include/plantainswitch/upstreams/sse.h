#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace plantainswitch {

/// Longest server-sent event that is relayed; a longer one is garbage.
inline constexpr std::size_t maxSseEventBytes = 1 << 20;

/// Splits a byte stream into the data of server-sent events, in bounded memory.
class SseParser
{
public:
    /// Takes \a bytes and appends the data of each complete event to \a events.
    /// \returns false when the stream is not server-sent events or an event is too long.
    [[nodiscard]] bool feed(std::string_view bytes, std::vector<std::string> &events);
    /// \returns whether bytes of an unfinished event are held.
    [[nodiscard]] bool hasRemainder() const noexcept;

private:
    bool takeLine(std::string_view line, std::vector<std::string> &events);

    std::string line;
    std::string data;
    bool hasData = false;
};

/// Closing event of a chat stream.
inline constexpr std::string_view doneEvent = "[DONE]";

/// What a chat stream's relayed events have shown so far.
struct StreamProgress
{
    std::size_t events = 0;
    bool finished = false;
    bool done = false;
};

/// Takes one event of an engine's chat stream into account.
/// \param data of the event
/// \param attempt that the event must belong to
/// \param progress of the stream
/// \returns false when the event is not of this attempt or not understood: an answer to another
/// request must never reach this caller.
[[nodiscard]] bool acceptEvent(std::string_view data, std::string_view attempt,
                               StreamProgress &progress);

/// \returns whether \a body is a whole chat answer to \a attempt.
[[nodiscard]] bool isWholeAnswer(std::string_view body, std::string_view attempt);

} // namespace plantainswitch
