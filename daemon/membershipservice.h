#pragma once

#include <functional>
#include <memory>
#include <set>

#include <asio/steady_timer.hpp>

#include "node.h"
#include "peertransport.h"

namespace plantainswitch {

/// Keeps the member table by the membership protocol, and hands on what peers say of their
/// catalogue and list of VMs.
class MembershipService : public std::enable_shared_from_this<MembershipService>
{
public:
    /// Hears of a peer whose catalogue or list of VMs differs from this router's.
    using PeerDiffersHandler = std::function<void(const Heartbeat &)>;

    MembershipService(asio::io_context &context, Node &node, std::shared_ptr<PeerTransport> link);

    /// \param differing runs on the link's strand
    void start(PeerDiffersHandler differing);
    /// Tells peers of this router's state now, such as at the begin of a stop.
    void announceState();
    /// Tells peers that this process ends; \a done runs once the datagrams are handed over.
    void announceLeave(std::function<void()> done);
    /// Tells a few peers of the own place that there is something new to be had here.
    void gossipVersion();
    /// Adds a router of the platform's list as an address to speak to.
    void addSeed(const Endpoint &datagrams);

private:
    void receive(const SwimMessage &message, const Endpoint &from);
    void applyOutput(const SwimOutput &output);
    void announce(bool gone);
    void tick();

    Node &node;
    std::shared_ptr<PeerTransport> link;
    asio::steady_timer timer;
    std::set<Endpoint> seeds;
    PeerDiffersHandler onPeerDiffers;
};

} // namespace plantainswitch
