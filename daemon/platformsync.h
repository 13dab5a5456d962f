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

/// Keeps the catalogue and the VM list up to date. Two or three routers of a data centre watch the
/// platform; the others, and a watcher that is behind, pull from a peer that is ahead.
class PlatformSync : public std::enable_shared_from_this<PlatformSync>
{
public:
    PlatformSync(asio::io_context &context, Node &node, net::HttpClient &http,
                 std::shared_ptr<MembershipService> beats, PeerCalls &calls);

    void start();
    /// Pulls from \a peer, which has a newer catalogue or another VM list. Thread-safe.
    void pullFrom(const Heartbeat &peer);

private:
    void watchCatalogue();
    void requestChanges(bool waiting);
    void applyChanges(const net::PlatformChanges &changes, std::uint64_t known);
    void markPlatformUnreachable();
    void pollVms();
    void applyVmList(const std::vector<Vm> &vms);
    void publishVms();
    void pullFromSource();
    [[nodiscard]] std::uint64_t vmStampForPull(const Heartbeat &own) const;
    void applyPulled(const std::string &peer, const PullResult &pulled);
    void setWatching(bool watching);
    void scheduleAfter(asio::steady_timer &timer, std::chrono::milliseconds delay,
                       void (PlatformSync::*next)());

    Node &node;
    net::PlatformClient platform;
    std::shared_ptr<MembershipService> membership;
    PeerCalls &calls;
    asio::strand<asio::io_context::executor_type> strand;
    asio::steady_timer watchTimer;
    asio::steady_timer vmTimer;
    asio::steady_timer pullTimer;
    std::mt19937_64 random;
    VmPollState vmPolls;
    std::optional<Heartbeat> pullSource;
    std::uint64_t vmPullsInRow = 0;
    bool pulling = false;
    bool watching = false;
    bool platformUnreachable = false;
    bool platformBehind = false;
    std::optional<TimePoint> rereadAt;
};

} // namespace plantainswitch
