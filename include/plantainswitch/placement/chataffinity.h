#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>
#include <vector>

#include "plantainswitch/upstreams/upstreams.h"

namespace plantainswitch {

/// Where a chat ran: its engine's cache holds the chat's prefix.
struct ChatLocation
{
    std::uint64_t chat = 0;
    UpstreamId latest = 0;
    /// The engine before, whose cache holds an older part; 0: none.
    UpstreamId previous = 0;
};

/// Remembers where chats ran, bounded in number; the least recently used are forgotten.
/// It is a hint: a forgotten chat goes to its first engine by hash.
class ChatAffinityCache
{
public:
    /// \returns where \a chat ran, and marks it as used.
    std::optional<ChatLocation> find(std::uint64_t chat);
    /// \returns where \a chat ran, without marking it.
    [[nodiscard]] std::optional<ChatLocation> peek(std::uint64_t chat) const;
    /// \returns the chats used last, at most \a most, the latest first.
    [[nodiscard]] std::vector<std::uint64_t> mostRecent(std::size_t most) const;
    /// \returns whether the chat is remembered and was not before, or on another engine.
    bool record(std::uint64_t chat, UpstreamId upstream, std::size_t capacity);
    [[nodiscard]] std::size_t size() const noexcept { return this->recency.size(); }

private:
    std::list<ChatLocation> recency;
    std::unordered_map<std::uint64_t, std::list<ChatLocation>::iterator> locations;
};

} // namespace plantainswitch
