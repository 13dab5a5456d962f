#pragma once

#include <functional>
#include <map>
#include <memory>

#include <asio/steady_timer.hpp>

#include "node.h"
#include "peertransport.h"

namespace plantainswitch {

/// The slots that this router holds in each shard. Periodically sends a digest of them to each
/// shard's coordinator, which requests the full list if its own count differs. State is confined to
/// the peer transport's strand.
class HeldSlots : public std::enable_shared_from_this<HeldSlots>
{
public:
    /// \returns the id of the shard's lowest request that is still unanswered. Digests and lists
    /// cover only the ids below it.
    using LowestPending = std::function<std::uint32_t(ShardId)>;

    HeldSlots(Node &node, std::shared_ptr<PeerTransport> link)
        : node(node)
        , link(std::move(link))
        , timer(this->link->executor())
    {}

    void start(LowestPending lowestPending);
    /// Records a granted slot. Thread-safe.
    void add(const Shard &shard, std::uint32_t askId, UpstreamId upstream);
    /// Removes a released slot. Call on the strand only.
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
