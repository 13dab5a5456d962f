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
struct SlotNeed
{
    PlacementPlan plan;
    std::uint64_t chat = 0;
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
class Slots : public std::enable_shared_from_this<Slots>
{
public:
    using Done = std::function<void(std::optional<HeldSlot>, Reason)>;
    /// Hears each step, for the explanation of the request.
    using Note = std::function<void(std::string)>;

    Slots(asio::io_context &context, Node &node, std::shared_ptr<PeerLink> link,
          std::shared_ptr<KeeperService> keeper);

    void start();
    /// Asks one shard after the other; \a done is called once, maybe on another thread.
    void acquire(const std::shared_ptr<const SlotNeed> &need, Note note, Done done);
    /// Gives \a slot back.
    void release(const HeldSlot &slot);
    /// Sends the releases that wait; \a done runs once they are handed to the socket.
    void flush(std::function<void()> done);

    /// Lets go of the requests that wait, once no worker runs any more.
    void forgetAsks() { this->pending.clear(); }

private:
    using ReplyHandler = std::function<void(const std::optional<SlotReply> &)>;
    struct PendingAsk
    {
        Endpoint keeper;
        SlotAsk ask;
        ReplyHandler done;
        std::unique_ptr<asio::steady_timer> timer;
        int sends = 0;
        std::shared_ptr<const SlotNeed> need;
        /// The keeper is this router.
        bool local = false;
        bool queued = false;
    };
    /// An ask without an answer that this router no longer waits for.
    struct GivenUpAsk
    {
        Endpoint keeper;
        ShardId shard = 0;
        TimePoint since;
    };

    /// A request on its way to a slot.
    struct Acquisition
    {
        std::shared_ptr<const SlotNeed> need;
        Note note;
        Done done;
        std::size_t shard = 0;
        /// Position in the shard's order of keepers.
        std::size_t keeper = 0;
        bool answered = false;
        bool waiting = false;
        Reason last;
    };
    using AcquisitionPointer = std::shared_ptr<Acquisition>;

    void tryShard(const AcquisitionPointer &way);
    void tryElsewhere(const AcquisitionPointer &way);
    void askKeeper(const AcquisitionPointer &way, const Heartbeat &keeper);
    void takeOutcome(const AcquisitionPointer &way, const Heartbeat &keeper, std::uint32_t askId,
                     const std::optional<SlotReply> &reply);
    bool takeGrant(const AcquisitionPointer &way, const Heartbeat &keeper, std::uint32_t askId,
                   UpstreamId upstreamId);
    [[nodiscard]] std::vector<Heartbeat> keepersToAsk(const Shard &shard);
    void markSilent(const std::string &keeper);
    void releaseHere(const HeldSlot &slot);
    [[nodiscard]] std::uint32_t lowestPending(ShardId shard) const;
    void ask(const Heartbeat &keeper, SlotAsk ask, std::shared_ptr<const SlotNeed> need,
             ReplyHandler done);
    void sendAsk(std::uint32_t askId);
    void takeReply(const SlotReply &reply);
    void giveUp(std::uint32_t askId);
    void returnLateGrant(const SlotReply &reply);
    void give(const Endpoint &keeper, bool local, ShardId shard, std::uint32_t askId);
    void finishAsk(std::uint32_t askId, const std::optional<SlotReply> &reply);
    void scheduleReleases();
    void flushReleases();

    Node &node;
    std::shared_ptr<PeerLink> link;
    std::shared_ptr<KeeperService> keeper;
    std::shared_ptr<HeldSlots> held;
    asio::steady_timer releaseTimer;
    std::atomic<std::uint32_t> nextAsk = 1;
    TimePoint flushedAt;
    std::unordered_map<std::uint32_t, PendingAsk> pending;
    std::unordered_map<std::uint32_t, GivenUpAsk> givenUp;
    std::map<std::pair<Endpoint, ShardId>, std::vector<std::uint32_t>> releases;
    RankedMutex mutex{LockRank::Slots};
    /// Keepers that gave no answer of late are asked last until then.
    std::map<std::string, TimePoint> silentUntil;
};

} // namespace plantainswitch
