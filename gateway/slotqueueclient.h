#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include <asio/steady_timer.hpp>

#include "gatewaystate.h"
#include "slotmessages.h"
#include "slotqueuecoordinator.h"

namespace plantainswitch::gateway {

/// Asks the coordinators of contended upstreams for slots, and ends what they granted.
///
/// A request that was asked for is known to its coordinator until end() was called for it, or \a
/// done with anything but a grant. What a lost message leaves behind at a coordinator is removed
/// there by SlotQueueCoordinator::reconcile().
class SlotQueueClient
{
public:
    using Sender = std::function<void(const Endpoint &, const wire::GatewayDatagram &)>;
    /// \returns the coordinator of an upstream; nothing if it is this router.
    using Locator = std::function<std::optional<RouterIdentity>(std::uint64_t upstream)>;
    /// Called with the grant or the denial; with nothing if the coordinator does not respond.
    using Done = std::function<void(const std::optional<QueueReply> &)>;

    /// \param own coordinates the upstreams of which this router is the coordinator
    SlotQueueClient(GatewayState &gateway, SlotQueueCoordinator &own, Sender send, Locator locate);

    /// Asks for a slot. \a done is called once, unless end() is called before.
    /// \param attempt the caller's id, for the log
    void ask(QueueAsk ask, std::string attempt, Done done);
    /// Ends a grant, or withdraws a request that waits. \returns false if the request is unknown.
    bool end(std::uint64_t requestId, const GrantRelease &release);
    /// Handles a coordinator's reply. If it is not the one that the request was last sent to, what
    /// it granted or queued is returned to it. \returns false if the request is unknown: the
    /// coordinator must then be sent the end of what it granted or queued.
    /// \param sender nothing if it is this router
    bool onReply(const QueueReply &reply, const std::optional<RouterIdentity> &sender);

private:
    struct Pending
    {
        QueueAsk ask;
        std::string attempt;
        std::optional<RouterIdentity> coordinator;
        Done done;
        std::unique_ptr<asio::steady_timer> timer;
        TimePoint askedAt;
        /// When the first reply queued the request.
        std::optional<TimePoint> queuedAt;
        /// A reply to the last message is expected.
        bool isAwaitingReply = false;
    };

    struct Grant
    {
        std::optional<RouterIdentity> coordinator;
        std::uint64_t incarnation = 0;
    };

    /// Sends a pending request with the times that are left.
    void sendAsk(std::uint64_t requestId);
    void sendEnd(std::uint64_t requestId, const Grant &grant, const GrantRelease &release);
    /// Ends what another router than the \a asked one has granted or queued.
    void returnSlot(const QueueReply &reply, const std::optional<RouterIdentity> &asked,
                    const std::optional<RouterIdentity> &sender);
    void onQueued(Pending &pending, const QueueReply &reply);
    void armTimer(std::uint64_t requestId, Duration wait);
    void onTimer(std::uint64_t requestId);
    /// Withdraws a waiting request from a coordinator that no longer is the upstream's, which stops
    /// or was lost, so that it can ask the present one.
    void followCoordinator(std::uint64_t requestId);
    /// Withdraws a pending request and calls its \a done.
    void giveUp(std::uint64_t requestId, std::string_view outcome,
                const std::optional<QueueReply> &reply);
    void logLeft(const Pending &pending, std::string_view outcome) const;
    [[nodiscard]] TimePoint waitEnd(const Pending &pending) const;

    GatewayState &gateway;
    SlotQueueCoordinator &own;
    Sender send;
    Locator locate;
    std::unordered_map<std::uint64_t, Pending> pendingAsks;
    std::unordered_map<std::uint64_t, Grant> grants;
};

} // namespace plantainswitch::gateway
