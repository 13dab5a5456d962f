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

/// How an engine is chosen among those within the bound.
enum class EngineSelectionRule : std::uint8_t {
    /// The first in the chat's own order.
    HashOrder,
    /// Where the chat ran before, as long as that is within the inner bound; else the least loaded.
    LeastLoaded,
};

/// How the bound on an engine's load is set.
struct LoadBoundSettings
{
    /// No engine gets a request that would bring it above this multiple of the mean.
    double loadFactor = 1.25;
    /// Multiple up to which a chat is kept at the engine that has its prefix; below the hard one,
    /// because the mean falls between a grant and the end of its request.
    double affinityLoadFactor = 1.15;
    /// Multiple up to which a chat that isn't remembered goes to its first engine by hash.
    double newChatLoadFactor = 1.0;
    /// Requests that one engine takes at a time, whatever the mean.
    std::uint32_t capacity = 64;
    EngineSelectionRule selectionRule = EngineSelectionRule::LeastLoaded;
    /// Chats of a shard whose engine is remembered.
    std::size_t maxRememberedChats = 32'768;
};

/// Identity of a granted slot: the asking router's incarnation hash and its ask id.
using SlotKey = std::pair<std::uint64_t, std::uint32_t>;

/// A slot in use.
struct Slot
{
    UpstreamId upstream = 0;
    std::uint64_t fingerprint = 0;
    TimePoint since;
};

/// What a keeper noticed of an engine.
struct EngineEjection
{
    /// Until then it gets new work only when nothing else is there.
    TimePoint ejectedUntil;
};

/// Load and engines of another shard of the same pool, as its keeper told.
struct PeerShardLoad
{
    std::uint64_t load = 0;
    std::uint32_t engines = 0;
    TimePoint receivedAt;
    /// This shard's own mean at that time: the other is taken to have risen as much since.
    double localMeanAtReceipt = 0;
};

/// The exact counts of one shard, as its keeper holds them.
struct ShardState
{
    Shard shard;
    std::map<SlotKey, Slot> slots;
    std::map<UpstreamId, std::uint32_t> loads;
    ChatAffinityCache affinity;
    HintOutbox hintOutbox;
    std::map<UpstreamId, EngineEjection> ejections;
    std::map<ShardId, PeerShardLoad> peerShards;
    /// When this router began to keep the shard.
    TimePoint coordinatingSince;
    /// When another router was last heard to keep it too.
    std::optional<TimePoint> rivalSeenAt;
    /// When the shard was last asked for or reported here.
    TimePoint lastUsed;
    /// Ready engines at the last grant.
    std::uint32_t readyEngines = 0;
};

/// What a grant looks at besides the shard's state.
struct GrantContext
{
    /// Ready engines of the shard as the keeper sees them.
    std::vector<UpstreamId> readyEngines;
    LoadBoundSettings settings;
    /// Whether another router may keep the shard too, or slots may be held that are not known.
    bool conservative = false;
};

/// Time during which a summary of another shard, or a sign of a rival, counts.
inline constexpr Duration summaryLifetime = Milliseconds{3500};
/// Time after which a new keeper has heard from every router what it holds.
inline constexpr Duration slotLearningPeriod = Milliseconds{4000};
/// Time without an ask or a digest after which a shard is forgotten: its routers have moved on to
/// another keeper, which learnt the slots from them.
inline constexpr Duration idleShardTimeout = Milliseconds{10'000};
/// Shards of which the chats are remembered that this router doesn't keep at present, and their
/// number for each.
inline constexpr std::size_t maxParkedShards = 16;
inline constexpr std::size_t maxParkedChats = 8192;
/// Time for which an engine that failed a request gets no other.
inline constexpr Duration ejectionPeriod = Milliseconds{1000};
/// \returns the highest load an engine may have after the next grant: the multiple of the mean,
/// rounded up. A careful keeper rounds down, yet never below an even spread; two keepers' shares
/// then add up to the bound of their sum and at most one request.
[[nodiscard]] std::uint32_t loadBound(const LoadBoundSettings &settings, std::uint64_t total,
                                      std::size_t engines, bool careful = false) noexcept;

/// Grants a slot on an engine of the shard that stays within the bound.
/// \param state of the shard
/// \param router incarnation hash of the asking router
/// \param ask of the router; a repeat gets the same grant
SlotReply grantSlot(ShardState &state, std::uint64_t router, const SlotRequest &ask,
                    const GrantContext &view, TimePoint now);

/// Gives a slot back; unknown slots are ignored.
void releaseSlot(ShardState &state, const SlotKey &key);

/// Gives back all slots of a router that is gone.
void releaseRouter(ShardState &state, std::uint64_t router);

/// \returns whether a keeper has to be careful with the shard at \a now.
/// \param own whether this router is the shard's keeper in its own view
[[nodiscard]] bool needsConservativeBound(const ShardState &state, bool own,
                                          TimePoint now) noexcept;

/// The shards that this router keeps.
class ShardCoordinator
{
public:
    /// \param own whether this router is the shard's keeper in its own view
    SlotReply grant(std::uint64_t router, const SlotRequest &ask, GrantContext view, bool own,
                    TimePoint now);
    void release(std::uint64_t router, const SlotRelease &release);
    void releaseRouter(std::uint64_t router);
    /// Takes a router's digest. \returns whether its list has to be asked for.
    [[nodiscard]] bool checkDigest(std::uint64_t router, const SlotDigest &digest, TimePoint now);
    void receiveList(std::uint64_t sender, const SlotList &list, TimePoint now);
    void receiveSummary(const ShardSummary &summary, TimePoint now);
    /// \returns the summary of each shard that has state here, forgetting those that were handed
    /// over a while ago.
    std::vector<ShardSummary> summaries(TimePoint now);
    /// \returns a second's hints on the chats of each shard that has state here.
    /// \param self address of this router
    [[nodiscard]] std::vector<AddressedHints>
    takeHints(const Endpoint &self, const std::vector<Heartbeat> &active, TimePoint now);
    /// \returns the most recently used chats of each shard, for the next keepers among \a others.
    [[nodiscard]] std::vector<AddressedHints>
    handOverHints(const std::vector<Heartbeat> &others) const;
    void receiveHints(const ChatHints &hints, const Endpoint &from, TimePoint now);
    /// \returns all slots of all shards, for a keeper that leaves.
    [[nodiscard]] std::vector<SlotList> slotLists() const;
    /// \returns the number of slots in use in all shards kept here.
    [[nodiscard]] std::size_t slotCount() const;
    /// \returns what runs on the engines of \a shard, but for the slot \a except.
    [[nodiscard]] std::vector<std::pair<UpstreamId, std::uint64_t>>
    runningRequests(ShardId shard, const SlotKey &except) const;
    /// \returns the load of each engine of the shard that has any.
    [[nodiscard]] std::map<UpstreamId, std::uint32_t> loads(ShardId shard) const;

private:
    /// Chats of a shard that this router doesn't keep.
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
