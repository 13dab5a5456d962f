#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace plantainswitch {

/// Longest event that is relayed; a longer one is garbage.
inline constexpr std::size_t maxStreamEventBytes = 1 << 20;

/// Lets only whole server-sent events through, byte for byte, and knows the last one's id. A
/// stream that breaks within an event can then go on elsewhere after the last whole one.
class EventRelay
{
public:
    /// Takes bytes and appends those of all whole events to \a out.
    /// \returns false when an event is too long or its id is not above the last one.
    [[nodiscard]] bool feed(std::string_view bytes, std::string &out);

    /// \returns the id of the last whole event, if it had one.
    [[nodiscard]] std::optional<std::uint64_t> lastId() const noexcept { return this->last; }
    /// \returns whole events let through.
    [[nodiscard]] std::uint64_t eventCount() const noexcept { return this->count; }
    /// \returns whether a part of an event is held back.
    [[nodiscard]] bool hasPartial() const noexcept { return !this->partial.empty(); }
    /// Forgets the part of an event held back, before the stream goes on from another upstream.
    void dropPartial() noexcept
    {
        this->partial.clear();
        this->scanned = 0;
    }

private:
    bool recordEvent(std::string_view event);

    std::string partial;
    /// Bytes of the partial event that hold no event end.
    std::size_t scanned = 0;
    std::optional<std::uint64_t> last;
    std::uint64_t count = 0;
};

} // namespace plantainswitch
