#pragma once

#include <map>
#include <memory>

#include <asio/steady_timer.hpp>

#include "node.h"
#include "peertransport.h"

namespace plantainswitch {

/// Reports the use of limited workspaces to their owners and answers as an owner.
class LimitService : public std::enable_shared_from_this<LimitService>
{
public:
    LimitService(Node &node, std::shared_ptr<PeerLink> link);

    void start();

private:
    using ById = std::map<WorkspaceId, WorkspaceLimit>;

    void schedule();
    void report();
    void send(const Heartbeat &owner, std::vector<LimitUse> uses);
    [[nodiscard]] LimitLookup lookup();

    Node &node;
    std::shared_ptr<PeerLink> link;
    asio::steady_timer timer;
    std::uint32_t sequence = 0;
    std::shared_ptr<const CatalogueView> view;
    std::shared_ptr<const ById> limits;
};

} // namespace plantainswitch
