#pragma once

#include <memory>
#include <set>

#include <asio/steady_timer.hpp>

#include "node.h"
#include "peerlink.h"

namespace plantainswitch {

/// Heartbeats between routers: sends this router's own and hears those of its peers.
class Beats : public std::enable_shared_from_this<Beats>
{
public:
    Beats(asio::io_context &context, Node &node, std::shared_ptr<PeerLink> link);

    void start();
    /// Sends heartbeats to all peers now, such as at the begin of a stop.
    void beat();
    /// Adds a router of the platform's list as an address to beat to.
    void addSeed(const Endpoint &datagrams);

private:
    void hear(const Heartbeat &heartbeat);
    void beatHere();
    void schedule();

    Node &node;
    std::shared_ptr<PeerLink> link;
    asio::steady_timer timer;
    std::set<Endpoint> seeds;
};

} // namespace plantainswitch
