#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace plantainswitch {

/// Maximum size of a relayed event in bytes; a longer one is invalid.
inline constexpr std::size_t maxStreamEventBytes = 1 << 20;

/// Relays only complete server-sent events, byte for byte, and tracks the id of the last one. A
/// stream that is lost within an event can then be resumed on another upstream after the last
/// complete one.
class EventRelay
{
public:
    /// Parses \a bytes and appends all complete events, unchanged, to \a out.
    /// \returns false if an event is too long or its id is not above the last one.
    [[nodiscard]] bool feed(std::string_view bytes, std::string &out);

    /// \returns the last event id that was relayed, if there was any.
    [[nodiscard]] std::optional<std::uint64_t> lastId() const noexcept { return this->last; }
    /// \returns the number of complete events relayed.
    [[nodiscard]] std::uint64_t eventCount() const noexcept { return this->count; }
    /// \returns whether an incomplete event is buffered.
    [[nodiscard]] bool hasPartial() const noexcept { return !this->partial.empty(); }
    /// \returns the bytes of the incomplete event.
    [[nodiscard]] std::size_t partialSize() const noexcept { return this->partial.size(); }
    /// Discards the incomplete event, before the stream is resumed from another upstream.
    void dropPartial() noexcept
    {
        this->partial.clear();
        this->scanned = 0;
    }

private:
    bool recordEvent(std::string_view event);

    std::string partial;
    /// Bytes of the incomplete event that were already searched for its end.
    std::size_t scanned = 0;
    std::optional<std::uint64_t> last;
    std::uint64_t count = 0;
};

} // namespace plantainswitch
