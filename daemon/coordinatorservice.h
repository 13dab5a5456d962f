#pragma once

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include <asio/steady_timer.hpp>

#include "node.h"
#include "peertransport.h"

namespace plantainswitch {

/// Grants slots for the shards that this router coordinates. The coordinator of a shard is the
/// router that counts the requests in flight on the shard's engines. A slot request that finds
/// every engine at its bound can wait in the shard's fair queue.
class CoordinatorService : public std::enable_shared_from_this<CoordinatorService>
{
public:
    using ReplyCallback = std::function<void(SlotReply)>;

    CoordinatorService(Node &node, std::shared_ptr<PeerTransport> link);

    void start();
    /// Handles a slot request of \a router, which may be this router itself. \a done is called
    /// once, or twice if the first reply is Queued.
    void handleRequest(std::uint64_t router, const SlotRequest &ask, const ReplyCallback &done);
    void release(std::uint64_t router, const SlotRelease &release);

    /// Drops the waiting requests. Call only when no worker thread runs any more.
    void dropWaiters() { this->queues.clear(); }

private:
    /// The queue of one shard and the reply callbacks of its waiting requests.
    struct ShardQueue
    {
        Shard shard;
        FairQueue queue;
        std::map<SlotKey, ReplyCallback> waiters;
    };
    /// Replies to send after the queue lock is released.
    using Replies = std::vector<std::pair<ReplyCallback, SlotReply>>;

    SlotReply handleRequestLocked(std::uint64_t router, const SlotRequest &ask,
                                  const ReplyCallback &done, Replies &replies);
    SlotReply enqueue(ShardQueue &shard, std::uint64_t router, const SlotRequest &ask,
                      const ReplyCallback &done);
    SlotReply grant(std::uint64_t router, const SlotRequest &ask);
    void grantWaiting(ShardQueue &shard, Replies &replies);
    void expireWaiting(ShardQueue &shard, Replies &replies);
    void tick();
    static void send(const Replies &replies);

    Node &node;
    std::shared_ptr<PeerTransport> link;
    asio::steady_timer timer;
    RankedMutex mutex{LockRank::Queues};
    std::map<ShardId, ShardQueue> queues;
};

} // namespace plantainswitch
