#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "plantainswitch/base/clock.h"
#include "plantainswitch/placement/coordinator.h"
#include "plantainswitch/placement/messages.h"

namespace plantainswitch {

/// Bounds of a shard's queue.
struct QueueSettings
{
    /// Maximum length of one workspace's queue per unit of its weight.
    std::size_t maxPerWeight = 256;
    /// Maximum length of the shard's queue.
    std::size_t maxTotal = 4096;
};

/// A router's request that waits for a slot.
struct QueuedRequest
{
    std::uint64_t router = 0;
    SlotRequest request;
    TimePoint arrivedAt;
    TimePoint expiresAt;
    /// When its router last repeated it.
    TimePoint lastRepeatedAt;
};

/// Time without a repeat after which the router of a waiting request counts as gone. A slot granted
/// to a router that vanished would stay taken until the member timeout; routers repeat waiting
/// requests several times within this time.
inline constexpr Duration requesterTimeout = Seconds{1};

/// Waiting requests of one workspace: higher priorities first, then in order of arrival.
struct QueueFlow
{
    std::deque<QueuedRequest> waiting;
    /// Virtual start time of the flow's next request.
    double startTag = 0;
    std::uint32_t weight = 1;
};

/// Start-time fair queue of a shard. Each request advances its workspace's virtual time by the
/// inverse of its weight, and the workspace that is furthest behind is next. A workspace with a
/// surge thus lengthens its own queue and no other.
struct FairQueue
{
    std::map<std::uint64_t, QueueFlow> flows;
    /// Virtual start time of the request served last.
    double virtualTime = 0;
    std::size_t length = 0;
    /// Smoothed time between two slots that became free while requests waited.
    std::optional<Duration> slotInterval;
    std::optional<TimePoint> lastServed;
};

enum class QueueVerdict : std::uint8_t {
    Queued,
    /// The request was in the queue already.
    Repeated,
    /// The queue is full or the wait would be longer than the request allows.
    Refused,
};

/// Result of enqueueRequest().
struct EnqueueResult
{
    QueueVerdict verdict = QueueVerdict::Refused;
    /// Expected wait; with a refusal, the time after which to retry.
    Duration expectedWait{0};
};

/// \returns the expected wait of a workspace's next request: what is ahead of it in its own queue,
/// at its weight's share of the rate at which slots become free.
[[nodiscard]] Duration expectedWait(const FairQueue &queue, std::uint64_t workspace,
                                    std::uint32_t weight);

/// Queues a request, for at most the wait that it states.
EnqueueResult enqueueRequest(FairQueue &queue, std::uint64_t router, const SlotRequest &request,
                             const QueueSettings &settings, TimePoint now);

/// Removes the requests that have waited too long or whose router is gone. They were not granted
/// and never will be.
[[nodiscard]] std::vector<QueuedRequest> expireRequests(FairQueue &queue, TimePoint now);

/// \returns the next request without removing it, or null when the queue is empty.
[[nodiscard]] const QueuedRequest *peekRequest(const FairQueue &queue);

/// Removes the request that peekRequest() returns.
/// \param served whether it got a slot, which is charged to its workspace
void popRequest(FairQueue &queue, bool served, TimePoint now);

/// Removes a request whose router gave up. \returns whether it was waiting.
bool cancelRequest(FairQueue &queue, const SlotKey &key);

/// Removes all requests of a router that is gone.
void cancelRouter(FairQueue &queue, std::uint64_t router);

} // namespace plantainswitch
