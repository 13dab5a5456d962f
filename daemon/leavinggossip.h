#pragma once

#include <memory>
#include <random>

#include <asio/steady_timer.hpp>

#include "node.h"
#include "peertransport.h"

namespace plantainswitch {

/// Gossips which upstreams are leaving. A router that learns of one for the first time tells a few
/// random routers, twice in a row to tolerate lost datagrams.
class LeavingGossip : public std::enable_shared_from_this<LeavingGossip>
{
public:
    LeavingGossip(Node &node, std::shared_ptr<PeerTransport> link);

    void start();

private:
    void tick();
    void gossip(const LeavingNotice &notice);

    Node &node;
    std::shared_ptr<PeerTransport> link;
    asio::steady_timer timer;
    std::mt19937_64 random;
    LeavingNotice previousNotice;
};

} // namespace plantainswitch
