#pragma once

#include <memory>
#include <random>

#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>

#include "platformclient.h"

#include "membershipservice.h"
#include "node.h"
#include "peercalls.h"

namespace plantainswitch {

/// Keeps the catalogue and the list of VMs up to date. Two or three routers of a place watch the
/// platform; the others, and a watcher that is behind, fetch from a peer that has more.
class Sync : public std::enable_shared_from_this<Sync>
{
public:
    Sync(asio::io_context &context, Node &node, net::HttpClient &http, std::shared_ptr<Beats> beats,
         PeerCalls &calls);

    void start();
    /// Fetches from \a peer, which has a newer catalogue or another list of VMs.
    void hearOf(const Heartbeat &peer);

private:
    void watchCatalogue();
    void callChanges(bool waiting);
    void takeChanges(const net::PlatformChanges &changes, std::uint64_t known);
    void losePlatform();
    void pollVms();
    void takeVms(const std::vector<Vm> &vms);
    void putVmsInForce();
    void pull();
    [[nodiscard]] std::uint64_t vmStampToAsk(const Heartbeat &own) const;
    void takePulled(const std::string &peer, const Pulled &pulled);
    void setWatching(bool watching);
    void after(asio::steady_timer &timer, std::chrono::milliseconds delay, void (Sync::*next)());

    Node &node;
    net::PlatformClient platform;
    std::shared_ptr<Beats> beats;
    PeerCalls &calls;
    asio::strand<asio::io_context::executor_type> strand;
    asio::steady_timer watchTimer;
    asio::steady_timer vmTimer;
    asio::steady_timer pullTimer;
    std::mt19937_64 random;
    VmPolls vmPolls;
    std::optional<Heartbeat> source;
    std::uint64_t vmPulls = 0;
    bool pulling = false;
    bool watching = false;
    bool platformLost = false;
    bool platformBehind = false;
    std::optional<TimePoint> rereadAt;
};

} // namespace plantainswitch
