#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "plantainswitch/upstreams/upstreams.h"

namespace plantainswitch {

/// Identity of a shard in the peer protocol: a hash of service, data centre and number.
using ShardId = std::uint64_t;

/// A part of a service's upstreams in one data centre, whose in-flight counts one coordinator
/// holds.
struct Shard
{
    std::string service;
    std::string dataCentre;
    std::uint32_t number = 0;
};

/// \returns the identity of \a shard.
[[nodiscard]] ShardId shardIdOf(const Shard &shard) noexcept;

/// Requests a slot on an upstream from a shard's coordinator. Repeating it with the same id is
/// idempotent.
struct SlotRequest
{
    /// Unique within the requesting router's incarnation.
    std::uint32_t requestId = 0;
    Shard shard;
    /// Hash of workspace and chat.
    std::uint64_t chat = 0;
    /// Hash of the request's content, which identifies a request that crashes upstreams.
    std::uint64_t fingerprint = 0;
    /// Upstreams that already failed this request.
    std::vector<UpstreamId> avoid;
    /// Longest wait in the coordinator's queue when the shard is full; 0: don't queue. The fields
    /// below concern the queue and are not set without a wait.
    std::uint32_t waitMilliseconds = 0;
    std::uint64_t workspace = 0;
    std::uint32_t weight = 1;
    std::uint32_t priority = 0;
};

enum class SlotVerdict : std::uint8_t {
    Granted,
    /// Every engine of the shard is at its bound; another shard may have capacity.
    Overflow,
    /// The shard has no ready engine in the coordinator's view.
    Empty,
    /// The request waits in the coordinator's queue; another reply follows.
    Queued,
    /// The request waited as long as it allowed and was not granted.
    Expired,
    /// The wait would be longer than the request allows.
    Busy,
};
[[nodiscard]] std::string_view nameOf(SlotVerdict verdict) noexcept;

struct SlotReply
{
    std::uint32_t requestId = 0;
    SlotVerdict verdict = SlotVerdict::Empty;
    UpstreamId upstream = 0;
    /// With Busy: when to retry.
    std::uint32_t retryAfterSeconds = 0;
};

/// Releases slots.
struct SlotRelease
{
    ShardId shard = 0;
    std::vector<std::uint32_t> requestIds;
};

/// Periodic digest, from a router to a shard's coordinator, of the slots that it holds there.
/// Without it a lost release would leak a slot and the engine would get less and less work, and a
/// new coordinator would not know what runs.
struct SlotDigest
{
    ShardId shard = 0;
    /// Only requests below this id are counted; those from there on may be in transit.
    std::uint32_t below = 0;
    std::uint32_t count = 0;
    /// Exclusive or of the hashes of all ids.
    std::uint64_t hash = 0;
};

/// The coordinator's answer to a digest that differs from its own state.
struct SlotListRequest
{
    ShardId shard = 0;
};

/// A slot as its holder reports it.
struct ListedSlot
{
    std::uint32_t requestId = 0;
    UpstreamId upstream = 0;
};

/// All slots of one router in a shard with ids from `from` to below `below`.
struct SlotList
{
    Shard shard;
    /// Incarnation hash of the holder, which is not the sender when a coordinator hands over.
    std::uint64_t router = 0;
    std::uint32_t from = 0;
    std::uint32_t below = 0;
    std::vector<ListedSlot> slots;
};

/// A chat and the engine on which it last ran.
struct ChatHint
{
    std::uint64_t chat = 0;
    UpstreamId upstream = 0;
};

/// Hints from a coordinator about where the chats of a shard ran, to the router that coordinates it
/// now or next. They may be late, lost or wrong.
struct ChatHints
{
    ShardId shard = 0;
    /// Whether the chats have just moved there; otherwise the knowledge is older.
    bool moved = false;
    std::vector<ChatHint> chats;
};

/// Load of a shard, sent by its coordinator to those of the pool's other shards.
struct ShardSummary
{
    Shard shard;
    std::uint64_t load = 0;
    std::uint32_t engines = 0;
};

} // namespace plantainswitch
