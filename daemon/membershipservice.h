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
class Beats : public std::enable_shared_from_this<Beats>
{
public:
    /// Hears of a peer whose catalogue or list of VMs differs from this router's.
    using OnDiffering = std::function<void(const Heartbeat &)>;

    Beats(asio::io_context &context, Node &node, std::shared_ptr<PeerLink> link);

    /// \param differing runs on the link's strand
    void start(OnDiffering differing);
    /// Tells peers of this router's state now, such as at the begin of a stop.
    void beat();
    /// Tells peers that this process ends; \a done runs once the datagrams are handed over.
    void farewell(std::function<void()> done);
    /// Tells a few peers of the own place that there is something new to be had here.
    void tellVersion();
    /// Adds a router of the platform's list as an address to speak to.
    void addSeed(const Endpoint &datagrams);

private:
    void hear(const SwimMessage &message, const Endpoint &from);
    void take(const SwimOutput &output);
    void announce(bool gone);
    void schedule();

    Node &node;
    std::shared_ptr<PeerLink> link;
    asio::steady_timer timer;
    std::set<Endpoint> seeds;
    OnDiffering differing;
};

} // namespace plantainswitch
