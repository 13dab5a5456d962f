#pragma once

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include <asio/steady_timer.hpp>

#include "node.h"
#include "peertransport.h"

namespace plantainswitch {

/// The keeper's side of slots: answers asks out of this router's keeper table, and lets those
/// wait in a fair queue for which no slot is free.
class CoordinatorService : public std::enable_shared_from_this<CoordinatorService>
{
public:
    using ReplyCallback = std::function<void(SlotReply)>;

    CoordinatorService(Node &node, std::shared_ptr<PeerTransport> link);

    void start();
    /// Answers an ask of \a router, which may be this one. \a done is called once, or twice when
    /// the first reply is Queued.
    void ask(std::uint64_t router, const SlotRequest &ask, const ReplyCallback &done);
    void release(std::uint64_t router, const SlotRelease &release);

    /// Lets go of the requests that wait, once no worker runs any more.
    void dropWaiters() { this->queues.clear(); }

private:
    /// The queue of one shard and who waits in it.
    struct ShardQueue
    {
        Shard shard;
        FairQueue queue;
        std::map<SlotKey, ReplyCallback> waiters;
    };
    /// Replies that are sent once the queues are unlocked.
    using Replies = std::vector<std::pair<ReplyCallback, SlotReply>>;

    SlotReply askLocked(std::uint64_t router, const SlotRequest &ask, const ReplyCallback &done,
                        Replies &replies);
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
