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

/// Chats in one datagram; it stays below the longest datagram even if each runs on an engine of its
/// own.
inline constexpr std::size_t maxChatsPerHintMessage = 72;
/// Moved chats that may wait to be sent; beyond that the oldest are dropped.
inline constexpr std::size_t maxPendingHints = 256;
/// Number of chats, the most recently used, that a new target is told of.
inline constexpr std::size_t maxHandedOverChats = 4096;
/// Datagrams a second that carry them.
inline constexpr std::size_t handOverDatagramsPerSecond = 4;
/// Number of other coordinators that receive a shard's hints because they sent theirs.
inline constexpr std::size_t maxPeerCoordinators = 4;

/// Hints that a coordinator has yet to send, and their targets.
struct HintOutbox
{
    /// Chats that have moved to another engine, the oldest move first.
    std::vector<std::uint64_t> movedChats;
    /// Chats for new targets, the least recently used first.
    std::vector<std::uint64_t> backlog;
    /// Targets of the previous round.
    std::vector<Endpoint> lastTargets;
    /// Other coordinators of the shard, with the time of their last hints.
    std::map<Endpoint, TimePoint> peerCoordinators;
};

/// Hints with their destination.
struct AddressedHints
{
    Endpoint to;
    ChatHints hints;
};

/// Records that \a chat moved to another engine.
void recordMovedChat(HintOutbox &outbox, std::uint64_t chat);

/// Records that \a sender coordinates the shard too; it receives hints in return for a while.
void recordPeerCoordinator(HintOutbox &outbox, const Endpoint &sender, TimePoint now);

/// \returns the targets of a shard's hints: the first router besides \a self in the shard's order,
/// which coordinates it now or next, and the routers that sent hints lately.
[[nodiscard]] std::vector<Endpoint> hintTargets(const HintOutbox &outbox, const Shard &shard,
                                                const std::vector<Heartbeat> &active,
                                                const Endpoint &self, TimePoint now);

/// Removes one second's hints from \a outbox. A new target adds the most recently used chats, a few
/// datagrams a second.
[[nodiscard]] std::vector<ChatHints> takeNextHints(HintOutbox &outbox, ShardId shard,
                                                   const ChatAffinityCache &affinity,
                                                   const std::vector<Endpoint> &targets);

/// \returns hints on the most recently used chats, for a coordinator that is leaving.
[[nodiscard]] std::vector<ChatHints> allHints(ShardId shard, const ChatAffinityCache &affinity);

/// Applies hints. They are preferences only: a grant looks the engines up in its own list of the
/// shard's ready ones, within the load bound.
void applyHints(ChatAffinityCache &affinity, const ChatHints &hints, std::size_t capacity);

} // namespace plantainswitch
