#pragma once

#include <functional>
#include <memory>
#include <set>

#include <asio/steady_timer.hpp>

#include "node.h"
#include "peertransport.h"

namespace plantainswitch {

/// Runs the SWIM membership protocol: sends its messages, logs membership changes, and reports
/// peers whose catalogue is newer or whose VM list differs from this router's.
class MembershipService : public std::enable_shared_from_this<MembershipService>
{
public:
    /// Called with the heartbeat of a peer whose catalogue is newer or whose VM list may be.
    using PeerDiffersHandler = std::function<void(const Heartbeat &)>;

    MembershipService(asio::io_context &context, Node &node, std::shared_ptr<PeerTransport> link);

    /// Joins the fleet and starts the protocol timer.
    /// \param handler called on the transport's strand
    void start(PeerDiffersHandler handler);
    /// Sends this router's state to its peers at once, for example when it starts to stop.
    void announceState();
    /// Announces that this process leaves. \a done runs after the datagrams were handed to the
    /// socket.
    void announceLeave(std::function<void()> done);
    /// Gossips the current versions to a few peers of this data centre, so that they pull the
    /// changes.
    void gossipVersion();
    /// Adds the datagram address of a router from the platform's VM list as a join seed.
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
