#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "node.h"
#include "peerlink.h"

namespace plantainswitch {

/// A slot that this router holds on an upstream.
struct HeldSlot
{
    Heartbeat keeper;
    ShardId shard = 0;
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
};

/// Gets slots from the keepers of the shards, in the order of the plan.
class Slots : public std::enable_shared_from_this<Slots>
{
public:
    using Done = std::function<void(std::optional<HeldSlot>, Reason)>;
    /// Hears each step, for the explanation of the request.
    using Note = std::function<void(std::string)>;

    Slots(Node &node, std::shared_ptr<PeerLink> link)
        : node(node)
        , link(std::move(link))
    {}

    /// Asks one shard after the other; \a done is called once, maybe on another thread.
    void acquire(const std::shared_ptr<const SlotNeed> &need, Note note, Done done);
    /// Gives \a slot back.
    void release(const HeldSlot &slot);

private:
    void tryShard(const std::shared_ptr<const SlotNeed> &need, std::size_t index, Reason last,
                  Note note, Done done);

    Node &node;
    std::shared_ptr<PeerLink> link;
    std::atomic<std::uint32_t> nextAsk = 1;
};

} // namespace plantainswitch
