#pragma once

#include <memory>

#include "node.h"
#include "peertransport.h"

namespace plantainswitch {

/// Shares blame for crashes with all other routers.
class SuspectSharing : public std::enable_shared_from_this<SuspectSharing>
{
public:
    SuspectSharing(Node &node, std::shared_ptr<PeerLink> link)
        : node(node)
        , link(std::move(link))
    {}

    void start();
    /// Tells all that \a upstream crashed while it ran the request.
    void crashed(UpstreamId upstream, Fingerprint fingerprint);
    /// Tells all that a suspect has finished.
    void cleared(Fingerprint fingerprint);

private:
    void share(const SuspectNews &news);

    Node &node;
    std::shared_ptr<PeerLink> link;
};

} // namespace plantainswitch
