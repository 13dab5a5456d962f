#pragma once

#include <memory>

#include <asio/steady_timer.hpp>

#include "node.h"
#include "peertransport.h"

namespace plantainswitch {

/// Keeps this router's keeper table equal to what routers hold, tells the pool's other keepers of
/// its load, and hands its shards over at a stop.
class ShardSync : public std::enable_shared_from_this<ShardSync>
{
public:
    ShardSync(Node &node, std::shared_ptr<PeerTransport> link)
        : node(node)
        , link(std::move(link))
        , timer(this->link->executor())
    {}

    void start();
    /// Tells the next keepers what is held here, at the begin of a stop.
    void handOver();

private:
    void tick();
    void sendSummaries();
    void sendHints(const std::vector<AddressedHints> &sendings);

    Node &node;
    std::shared_ptr<PeerTransport> link;
    asio::steady_timer timer;
};

} // namespace plantainswitch
