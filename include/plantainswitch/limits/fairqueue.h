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
    /// Longest queue of one workspace for each unit of its weight.
    std::size_t maxPerWeight = 256;
    /// Longest queue of the shard.
    std::size_t maxTotal = 4096;
};

/// A router's ask that waits for a slot.
struct QueuedRequest
{
    std::uint64_t router = 0;
    SlotRequest request;
    TimePoint arrivedAt;
    TimePoint expiresAt;
    /// When its router last repeated it.
    TimePoint lastRepeatedAt;
};

/// Time without a repeat after which a waiting ask's router counts as gone. A slot granted to a
/// router that vanished would stay taken until the member timeout; routers repeat waiting asks
/// several times within this time.
inline constexpr Duration requesterTimeout = Seconds{1};

/// The waiting asks of one workspace: higher priorities first, then in order of arrival.
struct QueueFlow
{
    std::deque<QueuedRequest> waiting;
    /// Virtual start time of the flow's next ask.
    double startTag = 0;
    std::uint32_t weight = 1;
};

/// Start-time fair queue of a shard: each workspace's asks advance its own virtual time by one
/// part in its weight, and the workspace that is furthest behind is next. A surging workspace
/// so lengthens its own queue and no one else's.
struct FairQueue
{
    std::map<std::uint64_t, QueueFlow> flows;
    /// Virtual start time of the latest ask that was served.
    double virtualTime = 0;
    std::size_t length = 0;
    /// Smoothed time between two slots that came free while asks waited.
    std::optional<Duration> slotInterval;
    std::optional<TimePoint> lastServed;
};

enum class QueueVerdict : std::uint8_t {
    Queued,
    /// The ask was in the queue already.
    Repeated,
    /// The queue is full or the wait would be longer than the ask allows.
    Refused,
};

/// How an ask fared at the queue.
struct EnqueueResult
{
    QueueVerdict verdict = QueueVerdict::Refused;
    /// Wait to be expected now; with a refusal, when to come back.
    Duration expectedWait{0};
};

/// \returns the wait to be expected by the next ask of a workspace: what is ahead of it in its
/// own queue, at its weight's part of the rate at which slots come free.
[[nodiscard]] Duration expectedWait(const FairQueue &queue, std::uint64_t workspace,
                                    std::uint32_t weight);

/// Queues an ask, for at most the wait that it carries.
EnqueueResult enqueueRequest(FairQueue &queue, std::uint64_t router, const SlotRequest &ask,
                             const QueueSettings &settings, TimePoint now);

/// Takes out the asks that have waited too long or whose router is silent. They were not granted
/// and never will be.
[[nodiscard]] std::vector<QueuedRequest> expireRequests(FairQueue &queue, TimePoint now);

/// \returns the ask that is next, which stays in the queue; nothing when the queue is empty.
[[nodiscard]] const QueuedRequest *peekRequest(const FairQueue &queue);

/// Takes the ask that nextAsk() gave out of the queue.
/// \param served whether it got a slot, which its workspace then has to pay for
void popRequest(FairQueue &queue, bool served, TimePoint now);

/// Takes out an ask whose router gave up. \returns whether it was waiting.
bool cancelRequest(FairQueue &queue, const SlotKey &key);

/// Takes out all asks of a router that is gone.
void cancelRouter(FairQueue &queue, std::uint64_t router);

} // namespace plantainswitch
