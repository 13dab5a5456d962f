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
