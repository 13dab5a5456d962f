#pragma once

#include <memory>

#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>

#include "platform.h"

#include "beats.h"
#include "node.h"
#include "peercalls.h"

namespace plantainswitch {

/// Keeps the tables up to date: the catalogue and the VM list from the platform, and the
/// catalogue from whichever peer has a newer one.
class Sync : public std::enable_shared_from_this<Sync>
{
public:
    Sync(asio::io_context &context, Node &node, net::HttpClient &http, std::shared_ptr<Beats> beats,
         PeerCalls &calls);

    void start();

private:
    void watchCatalogue();
    void takeChanges(const net::PlatformChanges &changes);
    void pollVms();
    void takeVms(const std::vector<Vm> &vms);
    void pullFromPeers();
    void after(asio::steady_timer &timer, std::chrono::milliseconds delay, void (Sync::*next)());

    Node &node;
    net::PlatformClient platform;
    std::shared_ptr<Beats> beats;
    PeerCalls &calls;
    asio::strand<asio::io_context::executor_type> strand;
    asio::steady_timer watchTimer;
    asio::steady_timer vmTimer;
    asio::steady_timer pullTimer;
    std::uint64_t storeVersion = 0;
    bool platformLost = false;
};

} // namespace plantainswitch
