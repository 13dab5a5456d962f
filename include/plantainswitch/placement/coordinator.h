#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "plantainswitch/base/clock.h"
#include "plantainswitch/base/lockorder.h"
#include "plantainswitch/placement/chataffinity.h"
#include "plantainswitch/placement/chathints.h"
#include "plantainswitch/placement/messages.h"

namespace plantainswitch {

/// How an engine is selected among those within the load bound.
enum class EngineSelectionRule : std::uint8_t {
    /// The first in the chat's order of preference.
    HashOrder,
    /// The engine where the chat ran before while that is within the affinity bound, else the least
    /// loaded one.
    LeastLoaded,
};

/// Parameters of the bound on an engine's load, as in consistent hashing with bounded loads.
struct LoadBoundSettings
{
    /// No engine gets a request that would raise its load above this multiple of the mean.
    double loadFactor = 1.25;
    /// Multiple up to which a chat stays on the engine that has its prefix. Below the hard bound,
    /// because the mean falls between a grant and the end of its request.
    double affinityLoadFactor = 1.15;
    /// Multiple up to which an unknown chat goes to its first engine by hash.
    double newChatLoadFactor = 1.0;
    /// Concurrent requests of one engine, whatever the mean.
    std::uint32_t capacity = 64;
    EngineSelectionRule selectionRule = EngineSelectionRule::LeastLoaded;
    /// Chats of a shard that are remembered with their engines.
    std::size_t maxRememberedChats = 32'768;
};

/// Identity of a granted slot: the incarnation hash of the requesting router and its request id.
using SlotKey = std::pair<std::uint64_t, std::uint32_t>;

/// A slot in use.
struct Slot
{
    UpstreamId upstream = 0;
    std::uint64_t fingerprint = 0;
    TimePoint since;
};

/// Ejection of an engine after a failed request.
struct EngineEjection
{
    /// Until then the engine gets new work only if no other engine is available.
    TimePoint ejectedUntil;
};

/// Load of another shard of the same pool, as its coordinator reported it.
struct PeerShardLoad
{
    std::uint64_t load = 0;
    std::uint32_t engines = 0;
    TimePoint receivedAt;
    /// This shard's mean load at that time. The other shard's mean is assumed to have risen by as
    /// much since.
    double localMeanAtReceipt = 0;
};

/// Exact counts of one shard, held by its coordinator.
struct ShardState
{
    Shard shard;
    std::map<SlotKey, Slot> slots;
    std::map<UpstreamId, std::uint32_t> loads;
    ChatAffinityCache affinity;
    HintOutbox hintOutbox;
    std::map<UpstreamId, EngineEjection> ejections;
    std::map<ShardId, PeerShardLoad> peerShards;
    /// When this router became a coordinator of the shard.
    TimePoint coordinatingSince;
    /// When another router last showed that it coordinates the shard too.
    std::optional<TimePoint> rivalSeenAt;
    /// When a request or digest for the shard last arrived.
    TimePoint lastUsed;
    /// Number of ready engines at the last grant.
    std::uint32_t readyEngines = 0;
};

/// Input of a grant besides the shard's state.
struct GrantContext
{
    /// Ready engines of the shard as the coordinator sees them.
    std::vector<UpstreamId> readyEngines;
    LoadBoundSettings settings;
    /// Whether another router may coordinate the shard too, or slots may be held that are not known
    /// here.
    bool conservative = false;
};

/// Validity of another shard's summary and of a sign of a rival coordinator.
inline constexpr Duration summaryLifetime = Milliseconds{3500};
/// Time after which a new coordinator has learned from every router what it holds.
inline constexpr Duration slotLearningPeriod = Milliseconds{4000};
/// Time without a request or digest after which a shard is dropped: its routers use another
/// coordinator, which learned the slots from them.
inline constexpr Duration idleShardTimeout = Milliseconds{10'000};
/// Number of shards not coordinated here whose chats are kept, and the number of chats for each.
inline constexpr std::size_t maxParkedShards = 16;
inline constexpr std::size_t maxParkedChats = 8192;
/// Time for which an engine that failed a request gets no other.
inline constexpr Duration ejectionPeriod = Milliseconds{1000};
/// \returns the highest load that an engine may have after the next grant: the multiple of the
/// mean, rounded up. With \a conservative set it is rounded down, yet never below an even spread.
/// The shares of two coordinators then exceed the bound of their sum by at most one request.
[[nodiscard]] std::uint32_t loadBound(const LoadBoundSettings &settings, std::uint64_t total,
                                      std::size_t engines, bool conservative = false) noexcept;

/// Grants a slot on an engine of the shard that stays within the bound.
/// \param router incarnation hash of the requesting router
/// \param request a slot request; a repeated request gets the same grant
SlotReply grantSlot(ShardState &state, std::uint64_t router, const SlotRequest &request,
                    const GrantContext &context, TimePoint now);

/// Releases a slot; unknown slots are ignored.
void releaseSlot(ShardState &state, const SlotKey &key);

/// Releases all slots of a router that is gone.
void releaseRouter(ShardState &state, std::uint64_t router);

/// \returns whether a coordinator has to round the shard's bound down at \a now, see loadBound().
/// \param isCoordinator whether this router is the shard's coordinator in its own view
[[nodiscard]] bool needsConservativeBound(const ShardState &state, bool isCoordinator,
                                          TimePoint now) noexcept;

/// Thread-safe state of the shards that this router coordinates.
class ShardCoordinator
{
public:
    /// See grantSlot().
    /// \param isCoordinator whether this router is the shard's coordinator in its own view
    SlotReply grant(std::uint64_t router, const SlotRequest &request, GrantContext context,
                    bool isCoordinator, TimePoint now);
    void release(std::uint64_t router, const SlotRelease &release);
    void releaseRouter(std::uint64_t router);
    /// Compares a router's digest with the slots known here. \returns whether the router's slot
    /// list must be requested.
    [[nodiscard]] bool checkDigest(std::uint64_t router, const SlotDigest &digest, TimePoint now);
    void receiveList(std::uint64_t sender, const SlotList &list, TimePoint now);
    void receiveSummary(const ShardSummary &summary, TimePoint now);
    /// \returns the summary of each shard held here. Drops shards that were handed over a while
    /// ago.
    std::vector<ShardSummary> summaries(TimePoint now);
    /// Takes one second's hints of each shard held here.
    /// \param self address of this router
    [[nodiscard]] std::vector<AddressedHints>
    takeHints(const Endpoint &self, const std::vector<Heartbeat> &active, TimePoint now);
    /// \returns hints on the most recently used chats of each shard, for the next coordinators
    /// among \a others.
    [[nodiscard]] std::vector<AddressedHints>
    handOverHints(const std::vector<Heartbeat> &others) const;
    void receiveHints(const ChatHints &hints, const Endpoint &from, TimePoint now);
    /// \returns all slots of all shards, for a coordinator that is leaving.
    [[nodiscard]] std::vector<SlotList> slotLists() const;
    /// \returns the number of slots in use in all shards held here.
    [[nodiscard]] std::size_t slotCount() const;
    /// \returns the fingerprints of the requests that run on the engines of \a shard, without the
    /// slot \a except.
    [[nodiscard]] std::vector<std::pair<UpstreamId, std::uint64_t>>
    runningRequests(ShardId shard, const SlotKey &except) const;
    /// \returns the load of each engine of the shard that has any.
    [[nodiscard]] std::map<UpstreamId, std::uint32_t> loads(ShardId shard) const;

private:
    /// Chats of a shard that this router doesn't coordinate at present.
    struct ParkedAffinity
    {
        ChatAffinityCache affinity;
        TimePoint lastUsed;
    };

    ShardState &findOrCreateState(const Shard &shard, TimePoint now);
    ParkedAffinity &findOrCreateParked(ShardId shard, TimePoint now);
    void parkIdleShards(TimePoint now);

    mutable RankedMutex mutex{LockRank::ShardCoordinator};
    std::map<ShardId, ShardState> shards;
    std::map<ShardId, ParkedAffinity> parked;
};

} // namespace plantainswitch
