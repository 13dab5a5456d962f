#pragma once

#include <memory>

#include "node.h"
#include "peertransport.h"

namespace plantainswitch {

/// Tells all routers which requests were in flight on a crashed upstream (suspects), and which
/// suspects have completed since.
class SuspectBroadcaster : public std::enable_shared_from_this<SuspectBroadcaster>
{
public:
    SuspectBroadcaster(Node &node, std::shared_ptr<PeerTransport> link)
        : node(node)
        , link(std::move(link))
    {}

    void start();
    /// Reports that \a upstream crashed while it ran the request with \a fingerprint.
    void reportCrash(UpstreamId upstream, Fingerprint fingerprint);
    /// Reports that the suspect with \a fingerprint has completed.
    void reportCleared(Fingerprint fingerprint);

private:
    void broadcast(const SuspectUpdate &news);

    Node &node;
    std::shared_ptr<PeerTransport> link;
};

} // namespace plantainswitch
