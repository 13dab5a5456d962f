#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>
#include <vector>

#include "plantainswitch/upstreams/upstreams.h"

namespace plantainswitch {

/// Engines whose caches hold a chat's prefix.
struct ChatLocation
{
    std::uint64_t chat = 0;
    UpstreamId latest = 0;
    /// The previous engine, whose cache holds an older part of the prefix; 0: none.
    UpstreamId previous = 0;
};

/// LRU cache of the engines on which chats ran. Losing an entry is harmless: an unknown chat goes
/// to its first engine by hash.
class ChatAffinityCache
{
public:
    /// \returns where \a chat ran, and marks it as used.
    std::optional<ChatLocation> find(std::uint64_t chat);
    /// \returns where \a chat ran, without marking it as used.
    [[nodiscard]] std::optional<ChatLocation> peek(std::uint64_t chat) const;
    /// \returns at most \a maxCount of the most recently used chats, the latest first.
    [[nodiscard]] std::vector<std::uint64_t> mostRecent(std::size_t maxCount) const;
    /// Records that \a chat runs on \a upstream. \returns whether the chat is new or moved, and is
    /// remembered.
    bool record(std::uint64_t chat, UpstreamId upstream, std::size_t capacity);
    [[nodiscard]] std::size_t size() const noexcept { return this->recency.size(); }

private:
    std::list<ChatLocation> recency;
    std::unordered_map<std::uint64_t, std::list<ChatLocation>::iterator> locations;
};

} // namespace plantainswitch
