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
struct ChatPlace
{
    std::uint64_t chat = 0;
    UpstreamId latest = 0;
    /// The engine before, whose cache holds an older part; 0: none.
    UpstreamId before = 0;
};

/// Remembers where chats ran, bounded in number; the least recently used are forgotten.
/// It is a hint: a forgotten chat goes to its first engine by hash.
class ChatMemory
{
public:
    /// \returns where \a chat ran, and marks it as used.
    std::optional<ChatPlace> find(std::uint64_t chat);
    /// \returns where \a chat ran, without marking it.
    [[nodiscard]] std::optional<ChatPlace> peek(std::uint64_t chat) const;
    /// \returns the chats used last, at most \a most, the latest first.
    [[nodiscard]] std::vector<std::uint64_t> recent(std::size_t most) const;
    /// \returns whether the chat is remembered and was not before, or on another engine.
    bool keep(std::uint64_t chat, UpstreamId upstream, std::size_t capacity);
    [[nodiscard]] std::size_t size() const noexcept { return this->order.size(); }

private:
    std::list<ChatPlace> order;
    std::unordered_map<std::uint64_t, std::list<ChatPlace>::iterator> places;
};

} // namespace plantainswitch
