#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>

#include <asio/steady_timer.hpp>

#include "coordinatorservice.h"
#include "heldslots.h"
#include "node.h"
#include "peertransport.h"

namespace plantainswitch {

/// A slot that this router holds on an upstream.
struct HeldSlot
{
    Heartbeat coordinator;
    Shard shard;
    std::uint32_t requestId = 0;
    Upstream upstream;
};

/// What a request needs of a slot: the shards that may serve it, and how it may wait.
struct SlotRequirements
{
    PlacementPlan plan;
    std::uint64_t chatHash = 0;
    std::uint64_t fingerprint = 0;
    std::vector<UpstreamId> avoid;
    std::uint64_t workspace = 0;
    std::uint32_t weight = 1;
    std::uint32_t priority = 0;
    /// Maximum wait in a coordinator's queue if every shard of the plan is full; 0: it doesn't
    /// wait.
    std::uint32_t waitMilliseconds = 0;
    /// Set when the caller disconnects; a waiting slot request is then withdrawn.
    std::atomic<bool> abandoned = false;
};

/// Acquires slots from the coordinators of the shards, in the order of the placement plan, and
/// releases them. State without a lock is confined to the peer transport's strand.
class SlotClient : public std::enable_shared_from_this<SlotClient>
{
public:
    using AcquireCallback = std::function<void(std::optional<HeldSlot>, Reason)>;
    /// Receives each step, for the explanation of the request.
    using StepCallback = std::function<void(std::string)>;

    SlotClient(asio::io_context &context, Node &node, std::shared_ptr<PeerTransport> link,
               std::shared_ptr<CoordinatorService> keeper);

    void start();
    /// Asks one shard after another for a slot. \a done is called once, possibly on another thread,
    /// with the slot or with the reason why there is none.
    void acquire(const std::shared_ptr<const SlotRequirements> &need, StepCallback note,
                 AcquireCallback done);
    /// Releases \a slot at its coordinator. Thread-safe.
    void release(const HeldSlot &slot);
    /// Sends the pending releases. \a done runs after they were handed to the socket.
    void flush(std::function<void()> done);

    /// Drops the waiting requests. Call only when no worker thread runs any more.
    void dropPendingRequests() { this->pendingRequests.clear(); }

private:
    using ReplyCallback = std::function<void(const std::optional<SlotReply> &)>;
    struct PendingRequest
    {
        Endpoint coordinator;
        SlotRequest request;
        ReplyCallback onReply;
        std::unique_ptr<asio::steady_timer> timer;
        int sendCount = 0;
        std::shared_ptr<const SlotRequirements> requirements;
        /// The coordinator is this router.
        bool local = false;
        bool queued = false;
    };
    /// An unanswered slot request that this router no longer waits for.
    struct TimedOutRequest
    {
        Endpoint coordinator;
        ShardId shard = 0;
        TimePoint since;
    };

    /// The state of one acquire() call.
    struct Acquisition
    {
        std::shared_ptr<const SlotRequirements> requirements;
        StepCallback addStep;
        AcquireCallback onDone;
        std::size_t shardIndex = 0;
        /// Index in the shard's list of coordinators.
        std::size_t coordinatorIndex = 0;
        bool answered = false;
        bool waiting = false;
        Reason lastRefusal;
    };
    using AcquisitionPointer = std::shared_ptr<Acquisition>;

    void tryShard(const AcquisitionPointer &acquisition);
    void tryFallback(const AcquisitionPointer &acquisition);
    void askCoordinator(const AcquisitionPointer &acquisition, const Heartbeat &keeper);
    void handleOutcome(const AcquisitionPointer &acquisition, const Heartbeat &keeper,
                       std::uint32_t askId, const std::optional<SlotReply> &reply);
    bool acceptGrant(const AcquisitionPointer &acquisition, const Heartbeat &keeper,
                     std::uint32_t askId, UpstreamId upstreamId);
    [[nodiscard]] std::vector<Heartbeat> coordinatorsToAsk(const Shard &shard);
    void markUnresponsive(const std::string &keeper);
    void releaseOnStrand(const HeldSlot &slot);
    [[nodiscard]] std::uint32_t lowestPending(ShardId shard) const;
    void startRequest(const Heartbeat &keeper, SlotRequest ask,
                      std::shared_ptr<const SlotRequirements> need, ReplyCallback done);
    void sendRequest(std::uint32_t askId);
    void handleReply(const SlotReply &reply);
    void timeOutRequest(std::uint32_t askId);
    void releaseLateGrant(const SlotReply &reply);
    void sendRelease(const Endpoint &keeper, bool local, ShardId shard, std::uint32_t askId);
    void finishRequest(std::uint32_t askId, const std::optional<SlotReply> &reply);
    void scheduleReleases();
    void flushReleases();

    Node &node;
    std::shared_ptr<PeerTransport> link;
    std::shared_ptr<CoordinatorService> coordinatorService;
    std::shared_ptr<HeldSlots> heldSlots;
    asio::steady_timer releaseTimer;
    std::atomic<std::uint32_t> nextRequestId = 1;
    TimePoint lastFlush;
    std::unordered_map<std::uint32_t, PendingRequest> pendingRequests;
    std::unordered_map<std::uint32_t, TimedOutRequest> timedOutRequests;
    std::map<std::pair<Endpoint, ShardId>, std::vector<std::uint32_t>> pendingReleases;
    RankedMutex mutex{LockRank::Slots};
    /// Keepers that did not respond recently, by id, and until when they are asked last.
    std::map<std::string, TimePoint> unresponsiveUntil;
};

} // namespace plantainswitch
