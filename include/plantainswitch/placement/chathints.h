#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "plantainswitch/base/clock.h"
#include "plantainswitch/membership/members.h"
#include "plantainswitch/placement/chataffinity.h"
#include "plantainswitch/placement/messages.h"

namespace plantainswitch {

/// Chats that one datagram carries; each on an engine of its own, it stays below the longest one.
inline constexpr std::size_t maxChatsPerHintMessage = 72;
/// Chats that wait to be told; with more, the oldest are left out.
inline constexpr std::size_t maxPendingHints = 256;
/// Chats of which a router that is newly told gets to know, the most recently used.
inline constexpr std::size_t maxHandedOverChats = 4096;
/// Datagrams a second by which it is told of them.
inline constexpr std::size_t handOverDatagramsPerSecond = 4;
/// Others that are told of a shard's chats because they told of them.
inline constexpr std::size_t maxPeerCoordinators = 4;

/// Which chats a keeper has yet to tell, and whom.
struct HintOutbox
{
    /// Chats that have moved, the oldest first.
    std::vector<std::uint64_t> movedChats;
    /// Chats for routers that were not told before, the least recently used first.
    std::vector<std::uint64_t> backlog;
    /// Who was told last time.
    std::vector<Endpoint> lastTargets;
    /// Other keepers of the shard by what they told, and when.
    std::map<Endpoint, TimePoint> peerCoordinators;
};

/// Hints and whom they are for.
struct AddressedHints
{
    Endpoint to;
    ChatHints hints;
};

/// Notes that \a chat runs on another engine than before.
void recordMovedChat(HintOutbox &outbox, std::uint64_t chat);

/// Notes that \a from keeps the shard too: it is told in return for a while.
void recordPeerCoordinator(HintOutbox &outbox, const Endpoint &from, TimePoint now);

/// \returns who is told of the chats of \a shard: the first in its order besides \a self, which
/// keeps it now or next, and who told of them lately.
[[nodiscard]] std::vector<Endpoint> hintTargets(const HintOutbox &outbox, const Shard &shard,
                                                const std::vector<Heartbeat> &active,
                                                const Endpoint &self, TimePoint now);

/// Takes a second's hints out of \a outbox. A target that was not told before makes it tell the
/// most recently used chats too, a few datagrams a second.
[[nodiscard]] std::vector<ChatHints> takeNextHints(HintOutbox &outbox, ShardId shard,
                                                   const ChatAffinityCache &memory,
                                                   const std::vector<Endpoint> &targets);

/// \returns the most recently used chats of \a memory in hints, for a keeper that leaves.
[[nodiscard]] std::vector<ChatHints> allHints(ShardId shard, const ChatAffinityCache &memory);

/// Takes hints over. They are preferences only: a grant looks up the engines in its own list of
/// the shard's ready ones, within the bound.
void applyHints(ChatAffinityCache &memory, const ChatHints &hints, std::size_t capacity);

} // namespace plantainswitch
