#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "plantainswitch/upstreams/upstreams.h"

namespace plantainswitch {

/// Identity of a shard on the peer link: a hash of service, place and number.
using ShardId = std::uint64_t;

/// A part of a service's upstreams in one place, whose in-flight counts one keeper holds.
struct Shard
{
    std::string service;
    std::string dataCentre;
    std::uint32_t number = 0;
};

/// \returns the identity of \a shard.
[[nodiscard]] ShardId shardIdOf(const Shard &shard) noexcept;

/// A router asks a shard's keeper for an upstream. Repeating it with the same id is harmless.
struct SlotRequest
{
    /// Unique within the asking router's incarnation.
    std::uint32_t requestId = 0;
    Shard shard;
    /// Hash of workspace and chat.
    std::uint64_t chat = 0;
    /// Hash of the request's content, by which a request that crashes upstreams is known.
    std::uint64_t fingerprint = 0;
    /// Upstreams that already failed this request.
    std::vector<UpstreamId> avoid;
    /// Longest wait in the keeper's queue when the shard is full; 0: don't queue. What follows
    /// is for the queue and not filled in without a wait.
    std::uint32_t waitMilliseconds = 0;
    std::uint64_t workspace = 0;
    std::uint32_t weight = 1;
    std::uint32_t priority = 0;
};

enum class SlotVerdict : std::uint8_t {
    Granted,
    /// Every engine of the shard is at its bound; another shard may have room.
    Overflow,
    /// The shard has no ready engine as the keeper sees it.
    Empty,
    /// The ask waits in the keeper's queue; another reply follows.
    Queued,
    /// The ask waited as long as it allowed and was not granted.
    Expired,
    /// The wait would be longer than the ask allows.
    Busy,
};
[[nodiscard]] std::string_view nameOf(SlotVerdict verdict) noexcept;

struct SlotReply
{
    std::uint32_t requestId = 0;
    SlotVerdict verdict = SlotVerdict::Empty;
    UpstreamId upstream = 0;
    /// With Busy: when to come back.
    std::uint32_t retryAfterSeconds = 0;
};

/// Gives slots back.
struct SlotRelease
{
    ShardId shard = 0;
    std::vector<std::uint32_t> requestIds;
};

/// A router's regular word to a shard's keeper on the slots it holds there.
/// A lost release would otherwise leave a slot behind for ever, seen as an engine that gets less
/// and less work; a new keeper would know nothing of what runs.
struct SlotDigest
{
    ShardId shard = 0;
    /// Only asks below this id count; the asks from there on may be under way.
    std::uint32_t below = 0;
    std::uint32_t count = 0;
    /// All ids mixed and combined by exclusive or.
    std::uint64_t hash = 0;
};

/// The keeper's answer to a digest that differs from what it knows.
struct SlotListRequest
{
    ShardId shard = 0;
};

/// A slot as its holder knows it.
struct ListedSlot
{
    std::uint32_t requestId = 0;
    UpstreamId upstream = 0;
};

/// All slots of one router in a shard with ids from `from` to below `below`.
struct SlotList
{
    Shard shard;
    /// Incarnation hash of the holder, which is not the sender when a keeper hands over.
    std::uint64_t router = 0;
    std::uint32_t from = 0;
    std::uint32_t below = 0;
    std::vector<ListedSlot> slots;
};

/// A chat and the engine on which it ran last.
struct ChatHint
{
    std::uint64_t chat = 0;
    UpstreamId upstream = 0;
};

/// A keeper's word on where the chats of a shard ran, to who keeps it now or next. It may be late,
/// lost or wrong.
struct ChatHints
{
    ShardId shard = 0;
    /// Whether the chats have just moved there; else it is older knowledge.
    bool moved = false;
    std::vector<ChatHint> chats;
};

/// A keeper's word to the keepers of the pool's other shards.
struct ShardSummary
{
    Shard shard;
    std::uint64_t load = 0;
    std::uint32_t engines = 0;
};

} // namespace plantainswitch
