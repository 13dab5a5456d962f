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
    Heartbeat keeper;
    Shard shard;
    std::uint32_t askId = 0;
    Upstream upstream;
};

/// What a request needs a slot for.
struct SlotRequirements
{
    PlacementPlan plan;
    std::uint64_t chatHash = 0;
    std::uint64_t fingerprint = 0;
    std::vector<UpstreamId> avoid;
    std::uint64_t workspace = 0;
    std::uint32_t weight = 1;
    std::uint32_t priority = 0;
    /// Longest wait in a keeper's queue when every shard of the plan is full.
    std::uint32_t waitMilliseconds = 0;
    /// Set when the caller is gone; a waiting ask then leaves the queue.
    std::atomic<bool> abandoned = false;
};

/// Gets slots from the keepers of the shards, in the order of the plan.
/// What it has to remember lives on the peer link's strand.
class SlotClient : public std::enable_shared_from_this<SlotClient>
{
public:
    using AcquireCallback = std::function<void(std::optional<HeldSlot>, Reason)>;
    /// Hears each step, for the explanation of the request.
    using StepCallback = std::function<void(std::string)>;

    SlotClient(asio::io_context &context, Node &node, std::shared_ptr<PeerTransport> link,
               std::shared_ptr<CoordinatorService> keeper);

    void start();
    /// Asks one shard after the other; \a done is called once, maybe on another thread.
    void acquire(const std::shared_ptr<const SlotRequirements> &need, StepCallback note,
                 AcquireCallback done);
    /// Gives \a slot back.
    void release(const HeldSlot &slot);
    /// Sends the releases that wait; \a done runs once they are handed to the socket.
    void flush(std::function<void()> done);

    /// Lets go of the requests that wait, once no worker runs any more.
    void dropPendingRequests() { this->pendingRequests.clear(); }

private:
    using ReplyCallback = std::function<void(const std::optional<SlotReply> &)>;
    struct PendingRequest
    {
        Endpoint keeper;
        SlotRequest ask;
        ReplyCallback onReply;
        std::unique_ptr<asio::steady_timer> timer;
        int sendCount = 0;
        std::shared_ptr<const SlotRequirements> requirements;
        /// The keeper is this router.
        bool local = false;
        bool queued = false;
    };
    /// An ask without an answer that this router no longer waits for.
    struct TimedOutRequest
    {
        Endpoint keeper;
        ShardId shard = 0;
        TimePoint since;
    };

    /// A request on its way to a slot.
    struct Acquisition
    {
        std::shared_ptr<const SlotRequirements> requirements;
        StepCallback addStep;
        AcquireCallback onDone;
        std::size_t shardIndex = 0;
        /// Position in the shard's order of keepers.
        std::size_t keeperIndex = 0;
        bool answered = false;
        bool waiting = false;
        Reason lastRefusal;
    };
    using AcquisitionPointer = std::shared_ptr<Acquisition>;

    void tryShard(const AcquisitionPointer &way);
    void tryFallback(const AcquisitionPointer &way);
    void askKeeper(const AcquisitionPointer &way, const Heartbeat &keeper);
    void handleOutcome(const AcquisitionPointer &way, const Heartbeat &keeper, std::uint32_t askId,
                       const std::optional<SlotReply> &reply);
    bool acceptGrant(const AcquisitionPointer &way, const Heartbeat &keeper, std::uint32_t askId,
                     UpstreamId upstreamId);
    [[nodiscard]] std::vector<Heartbeat> keepersToAsk(const Shard &shard);
    void markUnresponsive(const std::string &keeper);
    void releaseOnStrand(const HeldSlot &slot);
    [[nodiscard]] std::uint32_t lowestPending(ShardId shard) const;
    void ask(const Heartbeat &keeper, SlotRequest ask, std::shared_ptr<const SlotRequirements> need,
             ReplyCallback done);
    void sendAsk(std::uint32_t askId);
    void handleReply(const SlotReply &reply);
    void timeOutRequest(std::uint32_t askId);
    void releaseLateGrant(const SlotReply &reply);
    void sendRelease(const Endpoint &keeper, bool local, ShardId shard, std::uint32_t askId);
    void finishAsk(std::uint32_t askId, const std::optional<SlotReply> &reply);
    void scheduleReleases();
    void flushReleases();

    Node &node;
    std::shared_ptr<PeerTransport> link;
    std::shared_ptr<CoordinatorService> keeper;
    std::shared_ptr<HeldSlots> heldSlots;
    asio::steady_timer releaseTimer;
    std::atomic<std::uint32_t> nextAsk = 1;
    TimePoint lastFlush;
    std::unordered_map<std::uint32_t, PendingRequest> pendingRequests;
    std::unordered_map<std::uint32_t, TimedOutRequest> timedOutRequests;
    std::map<std::pair<Endpoint, ShardId>, std::vector<std::uint32_t>> pendingReleases;
    RankedMutex mutex{LockRank::Slots};
    /// Keepers that gave no answer of late are asked last until then.
    std::map<std::string, TimePoint> unresponsiveUntil;
};

} // namespace plantainswitch
