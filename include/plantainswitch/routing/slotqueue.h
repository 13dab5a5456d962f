#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "plantainswitch/base/clock.h"
#include "plantainswitch/routing/enginegrant.h"
#include "plantainswitch/routing/slotorder.h"

namespace plantainswitch {

/// Maximum number of requests that wait for the slots of one upstream.
inline constexpr std::size_t maxSlotQueueLength = 4096;
/// Shortest time after which a denied request should be repeated.
inline constexpr Milliseconds minSlotRetryAfter{50};

/// A router's request for a slot of a contended upstream.
struct SlotQueueRequest
{
    /// The requesting router.
    std::string router;
    /// Id of the request, unique at its router.
    std::uint64_t requestId = 0;
    /// Hash of the workspace.
    std::uint64_t workspace = 0;
    /// Weight of the workspace in fair queueing, in any unit that all requests share; 0 if not
    /// stated, which counts as the mean of those stated lately.
    double weight = 0.0;
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    /// Time until the response is due by the latency objective; 0 if it has passed or is not
    /// stated. Such a request is late.
    Milliseconds untilObjective{0};
    /// Time until the caller gives up.
    Milliseconds untilDeadline{0};
    /// Longest wait in the queue; 0: the request is granted or denied at once.
    Milliseconds maxWait{0};
};

enum class SlotQueueVerdict : std::uint8_t {
    /// The request may be sent. Its router reports the end of the run, which frees the slot.
    Granted,
    /// The request waits. Its end is a SlotGrant, a SlotDrop or end().
    Queued,
    /// The request is unknown to the queue from now on. The same id may ask again.
    Denied,
};

/// The reply to a request for a slot.
struct SlotQueueReply
{
    SlotQueueVerdict verdict = SlotQueueVerdict::Denied;
    /// Expected wait; with a denial, the wait that led to it. For a late request that is denied,
    /// the time in which the requests that wait now get their slots.
    Milliseconds expectedWait{0};
    /// Time after which to repeat a denied request; 0 otherwise.
    Milliseconds retryAfter{0};
    /// Requests at the upstream, this one included if it was granted.
    std::uint32_t running = 0;
};

/// \returns the time after which to repeat a denied request, different for each request.
/// \param excess time by which the wait must fall, in milliseconds
/// \param untilDeadline milliseconds; infinite if not known
[[nodiscard]] Milliseconds slotRetryAfter(double excess, double untilDeadline,
                                          const std::string &router, std::uint64_t requestId);

/// What an upstream can run, passed with each call because it changes.
struct SlotQueueLimits
{
    /// Requests that the upstream runs at once; its stated slots or a lower limit that was learned.
    double slots = 1.0;
    /// Grants beyond the slots, for the time from a release to the arrival of the next request. The
    /// sum with the slots is rounded down to whole requests, and is at least 1.
    double margin = 0.0;
    /// Time from a grant to its end, assumed until such times were observed; 0 if not known.
    Milliseconds holdTime{0};
};

/// A waiting request that got a slot.
struct SlotGrant
{
    std::string router;
    std::uint64_t requestId = 0;
    std::uint64_t workspace = 0;
    /// Time from the request to the grant.
    Milliseconds waited{0};
    /// Requests at the upstream, including this one.
    std::uint32_t running = 0;
};

enum class SlotDropReason : std::uint8_t {
    /// The longest wait or the last time to start before the deadline has passed.
    Expired,
    /// The request is late and can't be expected to get a slot before it expires: too many are
    /// ahead for what the requests in time leave of the slots.
    Late,
};

/// A waiting request that was removed without a grant, and never gets one.
struct SlotDrop
{
    std::string router;
    std::uint64_t requestId = 0;
    SlotDropReason reason = SlotDropReason::Expired;
    /// Time from the request to its removal.
    Milliseconds waited{0};
    /// As in SlotQueueReply.
    Milliseconds retryAfter{0};
};

/// A run that has ended, as an estimate of the upstream's concurrency limit needs it.
struct SlotRun
{
    /// Requests at the upstream at the time of the grant, including this one.
    double concurrency = 0.0;
    /// Time from the grant to its end.
    Duration runTime{0};
};

/// Queue of the requests for one contended upstream, held by the upstream's coordinator.
///
/// It grants as many requests at once as the upstream runs well, and a margin. The others wait if
/// they can be expected to get a slot in time, and are denied at once if not, so that overload
/// makes few requests late instead of all.
///
/// Order: requests that can meet their objective come first, by start-time fair queueing across
/// workspaces, and within a workspace by priority and then by the time left to the objective. Late
/// requests follow in order of arrival.
///
/// Invariants: the grants never exceed the slots and the margin by a grant of this queue; a request
/// that was denied or dropped is never granted without having asked again.
///
/// The owner calls grantWaiting() after each end(), releaseRouter() and reconcile(), when limits or
/// unknown requests have changed, and not later than nextChange(). It calls takeDropped() after
/// each request() and grantWaiting(), because an id that was dropped may ask again.
class SlotQueue
{
public:
    /// Grants, queues or denies a request. One that is granted or queued already stays as it is.
    /// \param unknownRunning requests at the upstream that have no grant of this queue
    SlotQueueReply request(const SlotQueueRequest &asked, const SlotQueueLimits &limits,
                           std::uint32_t unknownRunning, TimePoint now);
    /// Ends a grant, or removes a waiting request; an unknown one is ignored.
    /// \param reason with GrantEnd::Unused the time is not taken for a run's
    /// \returns the run, if the upstream has responded.
    std::optional<SlotRun> end(const std::string &router, std::uint64_t requestId, TimePoint now,
                               GrantEnd reason = GrantEnd::Responded);
    /// Removes the waiting requests that have expired, or are late without a prospect of a slot,
    /// and grants those whose turn it is.
    /// \returns the grants.
    [[nodiscard]] std::vector<SlotGrant> grantWaiting(const SlotQueueLimits &limits,
                                                      std::uint32_t unknownRunning, TimePoint now);
    /// \returns the requests that were removed without a grant since the last call.
    [[nodiscard]] std::vector<SlotDrop> takeDropped() { return std::exchange(this->dropped, {}); }
    /// Removes the grants and the waiting requests of a router that is lost.
    void releaseRouter(const std::string &router, TimePoint now);
    /// Revokes the oldest grants of \a router in excess of the \a reported ones, if they are older
    /// than orphanedGrantTimeout: the message that ended them was lost.
    void reconcile(const std::string &router, std::uint32_t reported, TimePoint now);

    [[nodiscard]] std::size_t grantedCount() const noexcept { return this->grants.size(); }
    /// \returns the number of grants of \a router.
    [[nodiscard]] std::size_t grantedTo(const std::string &router) const;
    [[nodiscard]] std::size_t waitingCount() const noexcept { return this->waiting.size(); }
    /// \returns the number of waiting requests that can't meet their objective any more.
    [[nodiscard]] std::size_t lateCount() const noexcept { return this->late.size(); }
    /// \returns the mean time from a grant to its end; nothing before one was observed.
    [[nodiscard]] std::optional<Duration> holdTime() const noexcept;
    /// \returns the share of the slots that requests in time have used lately, 0 to 1.
    [[nodiscard]] double onTimeUse() const noexcept { return this->use; }
    /// \returns when the next waiting request expires or becomes late; nothing if none waits.
    [[nodiscard]] std::optional<TimePoint> nextChange() const noexcept
    {
        if (this->byExpiry.empty()) {
            return std::nullopt;
        }
        const TimePoint expiry = this->byExpiry.begin()->first;
        return this->byLatestStart.empty() ? expiry
                                           : std::min(expiry, this->byLatestStart.begin()->first);
    }

private:
    using Key = std::pair<std::string, std::uint64_t>;
    using Timeline = std::set<std::pair<TimePoint, std::uint64_t>>;

    struct Grant
    {
        TimePoint grantedAt;
        double concurrency = 0.0;
        bool isOnTime = false;
    };

    struct Waiting
    {
        Key key;
        std::uint64_t workspace = 0;
        double weight = 1.0;
        SlotRank rank;
        TimePoint arrivedAt;
        /// After which the request can't be expected to meet its objective.
        TimePoint latestStart;
        TimePoint expiresAt;
        TimePoint deadline;
        /// In milliseconds.
        double predictedWait = 0.0;
        bool isLate = false;
    };

    /// Exponentially weighted mean and variance of the hold times, in milliseconds.
    struct HoldTimes
    {
        std::uint32_t samples = 0;
        double mean = 0.0;
        double variance = 0.0;
        /// What the mean ages towards.
        double assumed = 0.0;
        TimePoint endedAt;
        TimePoint agedAt;
    };

    /// The state of the upstream that one call sees. Times in milliseconds.
    struct View
    {
        std::uint32_t capacity = 1;
        std::uint32_t unknown = 0;
        TimePoint now;
        double hold = 0.0;
        /// Between two grants of the queue.
        double interval = 0.0;
    };

    /// The reply to a request, before it takes effect.
    struct Decision
    {
        SlotQueueVerdict verdict = SlotQueueVerdict::Denied;
        bool isLate = false;
        /// In milliseconds.
        double wait = 0.0;
        /// The wait at which the request would not have been denied.
        double acceptable = 0.0;
    };

    [[nodiscard]] View viewOf(const SlotQueueLimits &limits, std::uint32_t unknownRunning,
                              TimePoint now);
    [[nodiscard]] bool hasRoom(const View &view) const noexcept
    {
        return this->grants.size() + view.unknown < view.capacity;
    }
    [[nodiscard]] Decision decide(const SlotQueueRequest &request, double weight,
                                  const View &view) const;
    [[nodiscard]] Decision decideLate(double longest, const View &view) const;
    [[nodiscard]] std::optional<SlotQueueReply> stateOf(const Key &key, const View &view) const;
    [[nodiscard]] double waitOnTime(std::uint64_t workspace, double weight, const SlotRank &rank,
                                    const View &view) const
    {
        return view.interval * this->order.expectedTurns(workspace, weight, rank);
    }
    [[nodiscard]] double waitLate(std::size_t lateAhead, const View &view) const noexcept;
    [[nodiscard]] double waitAllowed(double untilObjective, const View &view) const noexcept;

    void grant(const Key &key, bool isOnTime, const View &view);
    void enqueue(const SlotQueueRequest &request, double weight, const Decision &decision,
                 const View &view);
    void recordWait(const Waiting &request, TimePoint now);
    void remove(std::uint64_t number)
    {
        const auto found = this->waiting.find(number);
        if (!found->second.isLate) {
            this->makeLate(number);
        }
        this->late.erase(number);
        this->byExpiry.erase({found->second.expiresAt, number});
        this->numbers.erase(found->second.key);
        this->waiting.erase(found);
    }
    void drop(std::uint64_t number, SlotDropReason reason, const View &view);
    void removeOverdue(const View &view);
    /// Removes the late requests that can't be expected to get a slot before they expire.
    void removeHopeless(const View &view);
    void makeLate(std::uint64_t number);
    [[nodiscard]] std::optional<std::uint64_t> next() const
    {
        if (!this->order.empty()) {
            return this->order.next();
        }
        return this->late.empty() ? std::nullopt : std::optional{*this->late.begin()};
    }
    void advanceUse(TimePoint now) noexcept;
    void averageUse(TimePoint now) noexcept;
    void updateUseLevel() noexcept
    {
        const double used = static_cast<double>(this->onTimeGrants + this->lastUnknown);
        this->useLevel = std::min(used / this->lastCapacity, 1.0);
    }
    void forget(std::map<Key, Grant>::iterator grant) noexcept
    {
        if (grant->second.isOnTime) {
            --this->onTimeGrants;
        }
        this->grants.erase(grant);
        this->updateUseLevel();
    }
    /// Moves the mean towards the stated hold time when no run has ended for some time.
    void ageHoldTime(double stated, TimePoint now) noexcept;
    void recordHoldTime(double time, TimePoint now) noexcept;

    std::map<Key, Grant> grants;
    std::size_t onTimeGrants = 0;
    /// By number, which is the order of arrival.
    std::map<std::uint64_t, Waiting> waiting;
    std::map<Key, std::uint64_t> numbers;
    std::uint64_t nextNumber = 0;
    /// Requests that can meet their objective.
    SlotOrder order;
    std::set<std::uint64_t> late;
    Timeline byLatestStart;
    Timeline byExpiry;
    std::vector<SlotDrop> dropped;
    TimePoint prospectsCheckedAt;
    HoldTimes holds;
    TimePoint lastProgress;
    /// Time-weighted mean of useLevel.
    double use = 0.0;
    double useLevel = 0.0;
    TimePoint useUpdatedAt;
    std::uint32_t lastCapacity = 1;
    std::uint32_t lastUnknown = 0;
    TimePoint unknownUntil;
};

} // namespace plantainswitch
