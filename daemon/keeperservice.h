#pragma once

#include <functional>
#include <memory>

#include <asio/steady_timer.hpp>

#include "node.h"
#include "peerlink.h"

namespace plantainswitch {

/// The keeper's side of slots: answers asks out of this router's keeper table.
class KeeperService : public std::enable_shared_from_this<KeeperService>
{
public:
    KeeperService(Node &node, std::shared_ptr<PeerLink> link)
        : node(node)
        , link(std::move(link))
        , timer(this->link->executor())
    {}

    void start();
    /// Answers an ask of \a router, which may be this one; \a done is called once.
    void ask(std::uint64_t router, const SlotAsk &ask, const std::function<void(SlotReply)> &done);
    void release(std::uint64_t router, const SlotRelease &release);
    /// Tells the next keepers what is held here, at the begin of a stop.
    void handOver();

private:
    void schedule();
    void sendSummaries();
    /// \returns whether this router is the shard's keeper in its own view.
    [[nodiscard]] bool keeps(const Shard &shard) const;

    Node &node;
    std::shared_ptr<PeerLink> link;
    asio::steady_timer timer;
};

} // namespace plantainswitch
