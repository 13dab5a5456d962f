#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include <asio/steady_timer.hpp>

#include "plantainswitch/routing/concurrencylimit.h"
#include "plantainswitch/routing/peerloads.h"
#include "plantainswitch/routing/slotqueue.h"

#include "gatewaystate.h"
#include "slotmessages.h"

namespace plantainswitch::gateway {

/// Time for which requests at an upstream without a grant are counted, by what the upstream or
/// their router stated. Long enough for the next response to state it again.
inline constexpr Milliseconds unknownRunningRetention{200};

/// What a coordinator knows of one contended upstream, for the gauges.
struct SlotQueueGauge
{
    /// Id of the upstream, or its hash if this router does not know it.
    std::string upstream;
    std::size_t waiting = 0;
    std::size_t granted = 0;
    std::uint32_t unknown = 0;
    /// As the upstream last stated it; 0 if it did not.
    std::uint32_t slowdownPercent = 0;
    /// Requests that the upstream is found to run well at once; its slots without evidence.
    double limit = 0.0;
};

/// The slot queues of the contended upstreams that this router coordinates.
class SlotQueueCoordinator
{
public:
    /// Sends the end of a request's wait to its router.
    using ReplySender = std::function<void(const std::string &router, const QueueReply &)>;

    SlotQueueCoordinator(GatewayState &gateway, ReplySender send);

    /// Grants, queues or denies a request. If it is queued, a second reply follows.
    QueueReply request(const QueueAsk &ask);
    /// Ends a grant or a wait; an unknown one is ignored.
    void end(const std::string &router, std::uint64_t requestId, std::uint64_t incarnation,
             const GrantRelease &release);
    /// Revokes old grants of \a router that are not among its \a loads.
    void reconcile(const std::string &router, const std::vector<PeerLoad> &loads);
    /// Revokes the grants and removes the waiting requests of a router that has left the fleet.
    void releaseRouter(const std::string &router);
    /// Removes the queues without grants for which there was no request for idleEngineRetention.
    void removeIdle();
    [[nodiscard]] std::vector<SlotQueueGauge> gauges() const;

private:
    /// Requests without a grant, by one statement.
    struct UnknownCount
    {
        std::uint32_t requests = 0;
        TimePoint statedAt;
    };

    struct Incarnation
    {
        /// Hash of the upstream's id.
        std::uint64_t upstream = 0;
        TimePoint lastRequest;
    };

    struct Upstream
    {
        /// Hash of the upstream's id.
        std::uint64_t key = 0;
        SlotQueue queue;
        /// Router and id of each request that waits in the queue.
        std::set<std::pair<std::string, std::uint64_t>> waiting;
        /// The one that the queue and all figures belong to; 0 before the first question.
        std::uint64_t incarnation = 0;
        /// When the queue was started for it.
        TimePoint startedAt;
        /// As the last router stated them that asked; 0 if it did not.
        std::uint32_t slots = 0;
        TimePoint lastRequest;
        /// By the upstream's own statement, and by those of the routers.
        UnknownCount statedUnknown;
        std::map<std::string, UnknownCount> unknownOfRouters;
        std::uint32_t slowdownPercent = 0;
        /// The limit that was last logged; 0 if none was.
        double loggedLimit = 0.0;
    };

    /// \returns the concurrency limit of the upstream, if it is below its slots; 0 otherwise.
    [[nodiscard]] double learnedLimitOf(const Upstream &upstream) const;
    /// \returns the slots that the upstream states, at least 1.
    [[nodiscard]] double statedSlotsOf(const Upstream &upstream) const;
    /// Learns from a completed run, and logs a change of the limit.
    void recordRun(Upstream &upstream, const SlotRun &run);
    /// \returns the number of requests that the upstream runs well at once.
    [[nodiscard]] double slotsOf(const Upstream &upstream) const;
    [[nodiscard]] SlotQueueLimits limitsOf(const Upstream &upstream) const;
    [[nodiscard]] std::uint32_t unknownRunning(const Upstream &upstream) const;
    /// \returns the upstream whose queue belongs to \a incarnation, or nullptr.
    [[nodiscard]] Upstream *findIncarnation(std::uint64_t incarnation);
    /// \returns how much longer requests to the upstream need a permit because it is cold.
    [[nodiscard]] Milliseconds coldFor(const Upstream &upstream) const;
    /// \returns whether \a incarnation was started after the one that the queue belongs to.
    [[nodiscard]] bool isNewer(std::uint64_t incarnation, const Upstream &upstream) const;
    /// Starts a new queue if \a incarnation is newer than the queue's. \returns whether the queue
    /// belongs to it.
    bool bind(Upstream &upstream, std::uint64_t incarnation);
    /// Denies a request for an incarnation that has ended.
    [[nodiscard]] QueueReply denyOutdated(const QueueAsk &ask, const Upstream &upstream) const;
    void recordOwnRunning(Upstream &upstream, const QueueAsk &ask);
    /// Records a sign of contention if a request was denied while the slots were taken, or the
    /// queue is as long as an upstream's would be.
    void recordContention(const Upstream &upstream, bool wasDenied);
    /// Denies all waiting requests, because the upstream is cold for \a coldFor: from then on each
    /// of them needs a permit. If that is 0, the upstream has restarted.
    void denyWaiting(Upstream &upstream, Milliseconds coldFor);
    /// Grants the waiting requests whose turn has come, and notifies the routers of all whose wait
    /// has ended.
    void grantWaiting(Upstream &upstream);
    /// Notifies the routers of the requests that the queue has dropped.
    void sendDropped(Upstream &upstream);
    [[nodiscard]] QueueReply makeReply(std::uint64_t requestId, const Upstream &upstream) const;
    [[nodiscard]] QueueReply makeDenial(std::uint64_t requestId, const Upstream &upstream) const;
    void armTimer();

    GatewayState &gateway;
    ReplySender send;
    asio::steady_timer timer;
    /// By hash of the upstream's id.
    std::unordered_map<std::uint64_t, Upstream> upstreams;
    /// What routers have named, by incarnation.
    std::unordered_map<std::uint64_t, Incarnation> upstreamOf;
    ConcurrencyLimits limits;
};

} // namespace plantainswitch::gateway
