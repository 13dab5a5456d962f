#pragma once

#include <map>
#include <memory>

#include <asio/steady_timer.hpp>

#include "node.h"
#include "peertransport.h"

namespace plantainswitch {

/// Distributes the rate and concurrency limits of workspaces over the routers. Each limited
/// workspace has one owner among the routers. This service reports local use to the owners, and
/// divides the limits of the workspaces that this router owns.
class LimitService : public std::enable_shared_from_this<LimitService>
{
public:
    LimitService(Node &node, std::shared_ptr<PeerTransport> link);

    void start();

private:
    using LimitsById = std::map<WorkspaceId, WorkspaceLimit>;

    void tick();
    void reportUses();
    void sendReport(const Heartbeat &owner, std::vector<LimitUse> uses);
    [[nodiscard]] LimitLookup limitLookup();

    Node &node;
    std::shared_ptr<PeerTransport> link;
    asio::steady_timer timer;
    std::uint32_t sequence = 0;
    std::shared_ptr<const CatalogueView> view;
    std::shared_ptr<const LimitsById> limits;
};

} // namespace plantainswitch
