#pragma once

#include <functional>
#include <map>
#include <memory>

#include <asio/steady_timer.hpp>

#include "node.h"
#include "peertransport.h"

namespace plantainswitch {

/// What this router holds in each shard, and the digests by which the keepers learn of it.
/// All of it lives on the peer link's strand.
class HeldSlots : public std::enable_shared_from_this<HeldSlots>
{
public:
    /// \returns the lowest ask id of the shard that is under way; from there on nothing counts.
    using LowestPending = std::function<std::uint32_t(ShardId)>;

    HeldSlots(Node &node, std::shared_ptr<PeerTransport> link)
        : node(node)
        , link(std::move(link))
        , timer(this->link->executor())
    {}

    void start(LowestPending lowestPending);
    /// Notes a granted slot; safe from any thread.
    void add(const Shard &shard, std::uint32_t askId, UpstreamId upstream);
    /// Forgets a slot that ended; on the strand only.
    void erase(const Shard &shard, std::uint32_t askId);

private:
    struct HeldShard
    {
        Shard shard;
        std::map<std::uint32_t, UpstreamId> slots;
        TimePoint lastUsed;
    };

    void tick();
    void sendDigests();
    void sendList(const Endpoint &to, ShardId shard);

    Node &node;
    std::shared_ptr<PeerTransport> link;
    asio::steady_timer timer;
    LowestPending lowestPending;
    std::map<ShardId, HeldShard> shards;
};

} // namespace plantainswitch
