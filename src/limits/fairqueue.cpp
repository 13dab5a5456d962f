#include "plantainswitch/limits/fairqueue.h"

#include <algorithm>
#include <cmath>

namespace plantainswitch {

namespace {

constexpr double intervalSmoothing = 0.1;

bool hasKey(const QueuedRequest &queued, const SlotKey &key) noexcept
{
    return queued.router == key.first && queued.request.requestId == key.second;
}

std::uint32_t weightOf(const SlotRequest &request) noexcept
{
    return std::max<std::uint32_t>(request.weight, 1);
}

using FlowIterator = std::map<std::uint64_t, QueueFlow>::const_iterator;

FlowIterator nextFlow(const FairQueue &queue)
{
    auto best = queue.flows.end();
    for (auto each = queue.flows.begin(); each != queue.flows.end(); ++each) {
        if (!each->second.waiting.empty()
            && (best == queue.flows.end() || each->second.startTag < best->second.startTag)) {
            best = each;
        }
    }
    return best;
}

/// Drops flows without waiting requests whose virtual time has passed. Dropping them earlier would
/// let a workspace start afresh each time its queue becomes empty.
void dropPassedFlows(FairQueue &queue)
{
    if (queue.length == 0) {
        queue.flows.clear();
        queue.virtualTime = 0;
        queue.lastServed.reset();
        return;
    }
    std::erase_if(queue.flows, [&queue](const auto &item) {
        return item.second.waiting.empty() && item.second.startTag <= queue.virtualTime;
    });
}

QueuedRequest *findRequest(FairQueue &queue, const SlotKey &key, std::uint64_t workspace)
{
    const auto flow = queue.flows.find(workspace);
    if (flow == queue.flows.end()) {
        return nullptr;
    }
    std::deque<QueuedRequest> &waiting = flow->second.waiting;
    const auto found =
        std::find_if(waiting.begin(), waiting.end(),
                     [&key](const QueuedRequest &each) { return hasKey(each, key); });
    return found == waiting.end() ? nullptr : &*found;
}

template<typename Condition>
std::vector<QueuedRequest> removeIf(FairQueue &queue, Condition condition)
{
    std::vector<QueuedRequest> removed;
    for (auto &[workspace, flow] : queue.flows) {
        const auto firstRemoved = std::stable_partition(
            flow.waiting.begin(), flow.waiting.end(),
            [&condition](const QueuedRequest &each) { return !condition(each); });
        std::move(firstRemoved, flow.waiting.end(), std::back_inserter(removed));
        flow.waiting.erase(firstRemoved, flow.waiting.end());
    }
    queue.length -= removed.size();
    dropPassedFlows(queue);
    return removed;
}

void insertByPriority(QueueFlow &flow, QueuedRequest queued)
{
    const auto position = std::find_if(flow.waiting.begin(), flow.waiting.end(),
                                       [&queued](const QueuedRequest &each) {
                                           return each.request.priority < queued.request.priority;
                                       });
    flow.waiting.insert(position, std::move(queued));
}

void recordServed(FairQueue &queue, TimePoint now)
{
    if (queue.lastServed) {
        const Duration interval = now - *queue.lastServed;
        const Duration smoothed = queue.slotInterval.value_or(interval);
        queue.slotInterval =
            smoothed
            + std::chrono::duration_cast<Duration>((interval - smoothed) * intervalSmoothing);
    }
    queue.lastServed = now;
}

} // namespace

Duration expectedWait(const FairQueue &queue, std::uint64_t workspace, std::uint32_t weight)
{
    if (!queue.slotInterval) {
        return Duration{0};
    }
    double weights = weight;
    std::size_t ahead = 0;
    for (const auto &[id, flow] : queue.flows) {
        if (id == workspace) {
            ahead = flow.waiting.size();
        } else if (!flow.waiting.empty()) {
            weights += flow.weight;
        }
    }
    const double turns = static_cast<double>(ahead + 1) * weights / weight;
    // Never more turns than there are requests: shorter queues of others end first.
    const double maxTurns = static_cast<double>(queue.length + 1);
    return std::chrono::duration_cast<Duration>(*queue.slotInterval * std::min(turns, maxTurns));
}

EnqueueResult enqueueRequest(FairQueue &queue, std::uint64_t router, const SlotRequest &request,
                             const QueueSettings &settings, TimePoint now)
{
    const std::uint32_t weight = weightOf(request);
    if (QueuedRequest *known = findRequest(queue, {router, request.requestId}, request.workspace)) {
        known->lastRepeatedAt = now;
        return {QueueVerdict::Repeated, Duration{0}};
    }
    const Duration expected = expectedWait(queue, request.workspace, weight);
    const Duration maxWait = Milliseconds{request.waitMilliseconds};
    const auto known = queue.flows.find(request.workspace);
    const std::size_t ownLength = known == queue.flows.end() ? 0 : known->second.waiting.size();
    if (expected > maxWait || ownLength >= settings.maxPerWeight * weight
        || queue.length >= settings.maxTotal) {
        return {QueueVerdict::Refused, expected};
    }
    QueueFlow &flow = queue.flows[request.workspace];
    if (flow.waiting.empty()) {
        flow.startTag = std::max(flow.startTag, queue.virtualTime);
    }
    flow.weight = weight;
    insertByPriority(flow, {router, request, now, now + maxWait, now});
    ++queue.length;
    return {QueueVerdict::Queued, expected};
}

std::vector<QueuedRequest> expireRequests(FairQueue &queue, TimePoint now)
{
    return removeIf(queue, [now](const QueuedRequest &each) {
        return now >= each.expiresAt || now - each.lastRepeatedAt > requesterTimeout;
    });
}

const QueuedRequest *peekRequest(const FairQueue &queue)
{
    const auto flow = nextFlow(queue);
    return flow == queue.flows.end() ? nullptr : &flow->second.waiting.front();
}

void popRequest(FairQueue &queue, bool served, TimePoint now)
{
    const auto next = nextFlow(queue);
    if (next == queue.flows.end()) {
        return;
    }
    QueueFlow &flow = queue.flows.at(next->first);
    flow.waiting.pop_front();
    --queue.length;
    if (served) {
        queue.virtualTime = std::max(queue.virtualTime, flow.startTag);
        flow.startTag += 1.0 / flow.weight;
        recordServed(queue, now);
    }
    dropPassedFlows(queue);
}

bool cancelRequest(FairQueue &queue, const SlotKey &key)
{
    return !removeIf(queue, [&key](const QueuedRequest &each) {
                return hasKey(each, key);
            }).empty();
}

void cancelRouter(FairQueue &queue, std::uint64_t router)
{
    removeIf(queue, [router](const QueuedRequest &each) { return each.router == router; });
}

} // namespace plantainswitch
