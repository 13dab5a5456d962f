#include "plantainswitch/routing/slotqueue.h"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "plantainswitch/base/hash.h"
#include "plantainswitch/routing/enginecoordinator.h"

namespace plantainswitch {

namespace {

/// Assumed before a hold time was observed or stated.
constexpr double defaultHoldTime = 50.0;
constexpr double minHoldTime = 1.0;
/// Samples over which hold times are averaged. More would follow a change of the upstream's speed
/// later, fewer would let the mean vary with single runs.
constexpr std::uint32_t holdTimeSamples = 16;
/// Standard deviations of the hold time that are kept between the expected start and the objective.
/// More of them make fewer responses late and deny more requests that would have been in time.
constexpr double holdTimeDeviations = 1.5;
/// Time without an end after which the mean hold time ages; at least twice the mean, since long
/// runs end rarely.
constexpr double holdAgeingDelay = 3000.0;
constexpr double holdAgeingTime = 3000.0;
/// Bound of an abandoned run's time, in assumed hold times, unless the mean is higher: a time-out
/// states how long its router waits and not how long the upstream works.
constexpr double maxAbandonedHold = 4.0;
/// Time over which the use of the slots is averaged, in the order of the time that late requests
/// can wait. A shorter time takes a burst for lasting overload.
constexpr double useAveragingTime = 800.0;
/// Time for which unknown requests count as running after the call that stated them, as long as
/// the coordinator counts them.
constexpr Milliseconds unknownRetention{200};
/// Lower bound of the share of the slots that is expected to be left to late requests.
constexpr double minSpareShare = 0.05;
/// Ratio of the expected wait of a late request to the time left, from which it is removed. At 1,
/// the estimate's variation alone would remove requests that have waited.
constexpr double hopelessWaitRatio = 2.0;
/// Time between two checks of the late requests' prospects, which look at each of them.
constexpr Milliseconds prospectInterval{10};
constexpr double maxCapacity = 1e6;
constexpr Milliseconds maxRequestTime = std::chrono::hours{24};
/// Share of the wait that would still do, up to which a request is queued. Requests that arrive
/// later with less time left overtake it: without a reserve, requests become late in the queue
/// under overload, and are denied only then.
constexpr double entryShare = 0.8;
/// Share of the time until the deadline that callers wait before they repeat a request.
constexpr double maxRetryShare = 1.0 / 3.0;

using RealMilliseconds = std::chrono::duration<double, std::milli>;

constexpr double toReal(Duration time) noexcept
{
    return RealMilliseconds{time}.count();
}

Duration toDuration(double milliseconds) noexcept
{
    return std::chrono::duration_cast<Duration>(RealMilliseconds{milliseconds});
}

Milliseconds roundUp(double milliseconds) noexcept
{
    return std::chrono::ceil<Milliseconds>(RealMilliseconds{milliseconds});
}

std::uint32_t capacityOf(const SlotQueueLimits &limits) noexcept
{
    const double slots = std::isfinite(limits.slots) ? limits.slots : 1.0;
    const double margin = std::isfinite(limits.margin) ? std::max(limits.margin, 0.0) : 0.0;
    return static_cast<std::uint32_t>(std::clamp(slots + margin, 1.0, maxCapacity));
}

/// Times of a damaged message must not overflow.
SlotQueueRequest withValidTimes(SlotQueueRequest request)
{
    for (Milliseconds *each : {&request.untilObjective, &request.untilDeadline, &request.maxWait}) {
        *each = std::clamp(*each, Milliseconds{0}, maxRequestTime);
    }
    return request;
}

} // namespace

Milliseconds slotRetryAfter(double excess, double untilDeadline, const std::string &router,
                            std::uint64_t requestId)
{
    constexpr double shortest = toReal(minSlotRetryAfter);
    // The spread must remain where the bound cuts the time, or else all would return at once.
    const double longest = std::max(untilDeadline * maxRetryShare, shortest);
    const double base = std::clamp(excess, shortest, std::max(shortest, longest / 2.0));
    const double spread = 1.0 + std::ldexp(static_cast<double>(hashOf(router, requestId)), -64);
    return Milliseconds{static_cast<std::int64_t>(std::min(base * spread, longest))};
}

SlotQueueReply SlotQueue::request(const SlotQueueRequest &asked, const SlotQueueLimits &limits,
                                  std::uint32_t unknownRunning, TimePoint now)
{
    const SlotQueueRequest request = withValidTimes(asked);
    const Key key{request.router, request.requestId};
    const View view = this->viewOf(limits, unknownRunning, now);
    if (const auto known = this->stateOf(key, view)) {
        return *known;
    }
    this->removeOverdue(view);
    const double weight = this->order.weightOf(request.weight);
    const Decision decision = this->decide(request, weight, view);
    SlotQueueReply reply;
    reply.verdict = decision.verdict;
    reply.expectedWait = roundUp(decision.wait);
    switch (decision.verdict) {
    case SlotQueueVerdict::Granted:
        if (!decision.isLate) {
            this->order.charge(request.workspace, weight);
            this->order.recordWait(request.workspace, 1.0);
        }
        this->grant(key, !decision.isLate, view);
        break;
    case SlotQueueVerdict::Queued:
        this->enqueue(request, weight, decision, view);
        break;
    case SlotQueueVerdict::Denied:
        reply.retryAfter = slotRetryAfter(decision.wait - decision.acceptable,
                                          toReal(request.untilDeadline), key.first, key.second);
        break;
    }
    reply.running = static_cast<std::uint32_t>(this->grants.size()) + unknownRunning;
    return reply;
}

std::optional<SlotRun> SlotQueue::end(const std::string &router, std::uint64_t requestId,
                                      TimePoint now, GrantEnd reason)
{
    const Key key{router, requestId};
    if (const auto number = this->numbers.find(key); number != this->numbers.end()) {
        this->remove(number->second);
        return std::nullopt;
    }
    const auto found = this->grants.find(key);
    if (found == this->grants.end()) {
        return std::nullopt;
    }
    const SlotRun run{found->second.concurrency, now - found->second.grantedAt};
    this->advanceUse(now);
    this->forget(found);
    this->lastProgress = now;
    if (reason == GrantEnd::Responded) {
        this->recordHoldTime(toReal(run.runTime), now);
    } else if (reason == GrantEnd::Abandoned) {
        const double most = std::max(this->holds.mean, maxAbandonedHold * this->holds.assumed);
        this->recordHoldTime(std::min(toReal(run.runTime), most), now);
    }
    return reason == GrantEnd::Responded ? std::optional{run} : std::nullopt;
}

std::vector<SlotGrant> SlotQueue::grantWaiting(const SlotQueueLimits &limits,
                                               std::uint32_t unknownRunning, TimePoint now)
{
    const View view = this->viewOf(limits, unknownRunning, now);
    this->removeOverdue(view);
    std::vector<SlotGrant> granted;
    while (this->hasRoom(view)) {
        const auto number = this->next();
        if (!number) {
            break;
        }
        const Waiting request = this->waiting.at(*number);
        if (!request.isLate) {
            this->recordWait(request, now);
            this->order.charge(request.workspace, request.weight);
        }
        this->remove(*number);
        this->grant(request.key, !request.isLate, view);
        granted.push_back({request.key.first, request.key.second, request.workspace,
                           std::chrono::duration_cast<Milliseconds>(now - request.arrivedAt),
                           static_cast<std::uint32_t>(this->grants.size()) + unknownRunning});
    }
    return granted;
}

void SlotQueue::releaseRouter(const std::string &router, TimePoint now)
{
    this->advanceUse(now);
    const Key first{router, 0};
    for (auto each = this->grants.lower_bound(first);
         each != this->grants.end() && each->first.first == router;) {
        this->forget(each++);
    }
    std::vector<std::uint64_t> removed;
    for (auto each = this->numbers.lower_bound(first);
         each != this->numbers.end() && each->first.first == router; ++each) {
        removed.push_back(each->second);
    }
    for (const std::uint64_t number : removed) {
        this->remove(number);
    }
}

void SlotQueue::reconcile(const std::string &router, std::uint32_t reported, TimePoint now)
{
    std::vector<std::map<Key, Grant>::iterator> granted;
    for (auto each = this->grants.lower_bound({router, 0});
         each != this->grants.end() && each->first.first == router; ++each) {
        granted.push_back(each);
    }
    if (granted.size() <= reported) {
        return;
    }
    std::sort(granted.begin(), granted.end(), [](const auto &left, const auto &right) {
        return left->second.grantedAt < right->second.grantedAt;
    });
    granted.resize(granted.size() - reported);
    this->advanceUse(now);
    for (const auto &each : granted) {
        if (now - each->second.grantedAt > orphanedGrantTimeout) {
            this->forget(each);
        }
    }
}

std::size_t SlotQueue::grantedTo(const std::string &router) const
{
    const auto isOther = [&router](const auto &item) { return item.first.first != router; };
    const auto first = this->grants.lower_bound({router, 0});
    return static_cast<std::size_t>(
        std::distance(first, std::find_if(first, this->grants.end(), isOther)));
}

std::optional<Duration> SlotQueue::holdTime() const noexcept
{
    return this->holds.samples == 0 ? std::nullopt : std::optional{toDuration(this->holds.mean)};
}

SlotQueue::View SlotQueue::viewOf(const SlotQueueLimits &limits, std::uint32_t unknownRunning,
                                  TimePoint now)
{
    this->advanceUse(now);
    View view;
    view.capacity = capacityOf(limits);
    view.unknown = unknownRunning;
    view.now = now;
    this->ageHoldTime(toReal(limits.holdTime), now);
    view.hold =
        std::max(this->holds.samples > 0 ? this->holds.mean : this->holds.assumed, minHoldTime);
    // While an upstream stalls no run ends, and the mean is out of date.
    const double sinceProgress = this->grants.empty() ? 0.0 : toReal(now - this->lastProgress);
    const std::uint32_t left = unknownRunning < view.capacity ? view.capacity - unknownRunning : 1;
    view.interval = std::max(view.hold, sinceProgress) / left;
    this->lastCapacity = view.capacity;
    this->lastUnknown = unknownRunning;
    this->unknownUntil = now + unknownRetention;
    this->updateUseLevel();
    return view;
}

SlotQueue::Decision SlotQueue::decide(const SlotQueueRequest &request, double weight,
                                      const View &view) const
{
    const double untilObjective = toReal(request.untilObjective);
    const double untilLastStart = toReal(request.untilDeadline) - view.hold;
    const double longest = std::min(toReal(request.maxWait), untilLastStart);
    // A run shows the hold time. A mean that is too long would otherwise deny all requests.
    const bool isIdle = this->grants.empty() && view.unknown == 0 && this->waiting.empty();
    if (isIdle && request.untilDeadline > Milliseconds{0}) {
        return {SlotQueueVerdict::Granted, untilObjective < view.hold, 0.0, 0.0};
    }
    if (untilLastStart < 0.0) {
        return {SlotQueueVerdict::Denied, true, this->waitLate(0, view), 0.0};
    }
    if (untilObjective < view.hold) {
        return this->decideLate(longest, view);
    }
    if (this->hasRoom(view) && this->order.empty()) {
        return {SlotQueueVerdict::Granted, false, 0.0, 0.0};
    }
    const SlotRank rank{request.priority, view.now + request.untilObjective, this->nextNumber};
    const double wait = this->waitOnTime(request.workspace, weight, rank, view);
    const double allowed = this->waitAllowed(untilObjective, view);
    if (wait > allowed * entryShare) {
        Decision decision = this->decideLate(longest, view);
        if (decision.verdict == SlotQueueVerdict::Denied) {
            decision.wait = wait;
            decision.acceptable = allowed * entryShare;
        }
        return decision;
    }
    const bool isQueued = wait <= longest && this->waiting.size() < maxSlotQueueLength;
    return {isQueued ? SlotQueueVerdict::Queued : SlotQueueVerdict::Denied, false, wait,
            std::max(longest, 0.0)};
}

SlotQueue::Decision SlotQueue::decideLate(double longest, const View &view) const
{
    const double drain = view.interval * static_cast<double>(this->waiting.size() + 1);
    if (this->hasRoom(view) && this->waiting.empty()) {
        return {SlotQueueVerdict::Granted, true, 0.0, 0.0};
    }
    const double wait = this->waitLate(this->late.size(), view);
    if (wait > longest || this->waiting.size() >= maxSlotQueueLength) {
        return {SlotQueueVerdict::Denied, true, drain, 0.0};
    }
    return {SlotQueueVerdict::Queued, true, wait, 0.0};
}

std::optional<SlotQueueReply> SlotQueue::stateOf(const Key &key, const View &view) const
{
    SlotQueueReply reply;
    reply.running = static_cast<std::uint32_t>(this->grants.size()) + view.unknown;
    if (this->grants.contains(key)) {
        reply.verdict = SlotQueueVerdict::Granted;
        return reply;
    }
    const auto number = this->numbers.find(key);
    if (number == this->numbers.end()) {
        return std::nullopt;
    }
    const Waiting &request = this->waiting.at(number->second);
    reply.verdict = SlotQueueVerdict::Queued;
    double wait = 0.0;
    if (request.isLate) {
        const auto lateAhead = std::distance(this->late.begin(), this->late.find(number->second));
        wait = this->waitLate(static_cast<std::size_t>(lateAhead), view);
    } else {
        wait = this->waitOnTime(request.workspace, request.weight, request.rank, view);
    }
    reply.expectedWait = roundUp(std::min(wait, toReal(request.expiresAt - view.now)));
    return reply;
}

double SlotQueue::waitLate(std::size_t lateAhead, const View &view) const noexcept
{
    const double spare = std::max(1.0 - this->use, minSpareShare);
    // All slots serve the waiting requests in time; those that arrive later leave the spare share.
    return view.interval
           * (static_cast<double>(this->order.size()) + static_cast<double>(lateAhead + 1) / spare);
}

double SlotQueue::waitAllowed(double untilObjective, const View &view) const noexcept
{
    const double left = untilObjective - view.hold;
    const double deviation = std::sqrt(this->holds.variance);
    // An objective that hardly exceeds the mean hold time still leaves half of the difference.
    return std::max(left - holdTimeDeviations * deviation, left / 2.0);
}

void SlotQueue::grant(const Key &key, bool isOnTime, const View &view)
{
    this->lastProgress = view.now;
    const double concurrency = static_cast<double>(this->grants.size() + 1 + view.unknown);
    this->grants[key] = {view.now, concurrency, isOnTime};
    if (isOnTime) {
        ++this->onTimeGrants;
    }
    this->updateUseLevel();
}

void SlotQueue::enqueue(const SlotQueueRequest &request, double weight, const Decision &decision,
                        const View &view)
{
    const std::uint64_t number = this->nextNumber++;
    Waiting queued;
    queued.key = {request.router, request.requestId};
    queued.workspace = request.workspace;
    queued.weight = weight;
    queued.rank = {request.priority, view.now + request.untilObjective, number};
    queued.arrivedAt = view.now;
    queued.latestStart =
        view.now + toDuration(this->waitAllowed(toReal(request.untilObjective), view));
    queued.deadline = view.now + request.untilDeadline;
    queued.expiresAt =
        std::min(view.now + request.maxWait, queued.deadline - toDuration(view.hold));
    queued.isLate = decision.isLate;
    this->numbers[queued.key] = number;
    this->byExpiry.emplace(queued.expiresAt, number);
    if (queued.isLate) {
        this->late.insert(number);
    } else {
        queued.predictedWait = decision.wait / this->order.stretch(request.workspace);
        this->order.insert(request.workspace, weight, queued.rank);
        this->byLatestStart.emplace(queued.latestStart, number);
    }
    this->waiting.emplace(number, std::move(queued));
}

void SlotQueue::recordWait(const Waiting &request, TimePoint now)
{
    if (request.predictedWait > 0.0) {
        this->order.recordWait(request.workspace,
                               toReal(now - request.arrivedAt) / request.predictedWait);
    }
}

void SlotQueue::drop(std::uint64_t number, SlotDropReason reason, const View &view)
{
    const Waiting request = this->waiting.at(number);
    this->remove(number);
    // An owner that doesn't take them must not make them grow without bound.
    if (this->dropped.size() < maxSlotQueueLength) {
        const double drain = view.interval * static_cast<double>(this->waiting.size());
        this->dropped.push_back(
            {request.key.first, request.key.second, reason,
             std::chrono::duration_cast<Milliseconds>(view.now - request.arrivedAt),
             slotRetryAfter(drain, toReal(request.deadline - view.now), request.key.first,
                            request.key.second)});
    }
}

void SlotQueue::removeOverdue(const View &view)
{
    while (!this->byExpiry.empty() && this->byExpiry.begin()->first <= view.now) {
        this->drop(this->byExpiry.begin()->second, SlotDropReason::Expired, view);
    }
    while (!this->byLatestStart.empty() && this->byLatestStart.begin()->first < view.now) {
        const std::uint64_t number = this->byLatestStart.begin()->second;
        this->recordWait(this->waiting.at(number), view.now);
        this->makeLate(number);
    }
    if (view.now - this->prospectsCheckedAt >= prospectInterval) {
        this->prospectsCheckedAt = view.now;
        this->removeHopeless(view);
    }
}

void SlotQueue::removeHopeless(const View &view)
{
    std::vector<std::uint64_t> hopeless;
    std::size_t ahead = 0;
    for (const std::uint64_t number : this->late) {
        const double left = toReal(this->waiting.at(number).expiresAt - view.now);
        if (this->waitLate(ahead, view) > left * hopelessWaitRatio) {
            hopeless.push_back(number);
        } else {
            ++ahead;
        }
    }
    for (const std::uint64_t number : hopeless) {
        this->drop(number, SlotDropReason::Late, view);
    }
}

void SlotQueue::makeLate(std::uint64_t number)
{
    Waiting &request = this->waiting.at(number);
    this->order.erase(request.workspace, request.rank);
    this->byLatestStart.erase({request.latestStart, number});
    this->late.insert(number);
    request.isLate = true;
}

void SlotQueue::advanceUse(TimePoint now) noexcept
{
    if (this->lastUnknown > 0 && this->unknownUntil < now) {
        this->averageUse(this->unknownUntil);
        this->lastUnknown = 0;
        this->updateUseLevel();
    }
    this->averageUse(now);
}

void SlotQueue::averageUse(TimePoint now) noexcept
{
    const double passed = toReal(now - this->useUpdatedAt);
    if (passed > 0.0) {
        const double share = 1.0 - std::exp(-passed / useAveragingTime);
        this->use += (this->useLevel - this->use) * share;
        this->useUpdatedAt = now;
    }
}

void SlotQueue::ageHoldTime(double stated, TimePoint now) noexcept
{
    HoldTimes &holds = this->holds;
    holds.assumed = stated > 0.0 ? stated : defaultHoldTime;
    const double delay = std::max(holdAgeingDelay, 2.0 * holds.mean);
    const TimePoint start = std::max(holds.agedAt, holds.endedAt + toDuration(delay));
    if (holds.samples > 0 && now > start) {
        const double kept = std::exp(-toReal(now - start) / holdAgeingTime);
        holds.mean = holds.assumed + kept * (holds.mean - holds.assumed);
        holds.variance *= kept;
        holds.agedAt = now;
    }
}

void SlotQueue::recordHoldTime(double time, TimePoint now) noexcept
{
    this->holds.endedAt = now;
    HoldTimes &holds = this->holds;
    holds.samples = std::min(holds.samples + 1, holdTimeSamples);
    const double share = 1.0 / holds.samples;
    const double difference = time - holds.mean;
    holds.mean += share * difference;
    holds.variance = (1.0 - share) * (holds.variance + share * difference * difference);
}

} // namespace plantainswitch
