#pragma once

#include <memory>

#include <asio/steady_timer.hpp>

#include "node.h"
#include "peertransport.h"

namespace plantainswitch {

/// Synchronises the slot counts that this router keeps as a coordinator with the slots that routers
/// hold, exchanges load summaries and chat hints with other coordinators, and hands its shards over
/// when the router stops.
class ShardSync : public std::enable_shared_from_this<ShardSync>
{
public:
    ShardSync(Node &node, std::shared_ptr<PeerTransport> link)
        : node(node)
        , link(std::move(link))
        , timer(this->link->executor())
    {}

    void start();
    /// Sends the slots and chat hints kept here to the shards' next coordinators, at the start of a
    /// stop.
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
