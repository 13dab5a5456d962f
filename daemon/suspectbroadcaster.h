#pragma once

#include <memory>

#include "node.h"
#include "peertransport.h"

namespace plantainswitch {

/// Shares blame for crashes with all other routers.
class SuspectBroadcaster : public std::enable_shared_from_this<SuspectBroadcaster>
{
public:
    SuspectBroadcaster(Node &node, std::shared_ptr<PeerTransport> link)
        : node(node)
        , link(std::move(link))
    {}

    void start();
    /// Tells all that \a upstream crashed while it ran the request.
    void reportCrash(UpstreamId upstream, Fingerprint fingerprint);
    /// Tells all that a suspect has finished.
    void reportCleared(Fingerprint fingerprint);

private:
    void broadcast(const SuspectUpdate &news);

    Node &node;
    std::shared_ptr<PeerTransport> link;
};

} // namespace plantainswitch
