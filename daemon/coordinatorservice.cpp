#include "coordinatorservice.h"

#include <algorithm>

#include <asio/post.hpp>

namespace plantainswitch {

namespace {

/// Interval of the expiry check: a waiting request is told of its expiry at most this late.
constexpr std::chrono::milliseconds expiryPeriod{20};
constexpr std::int64_t maxRetrySeconds = 60;

std::uint32_t retrySeconds(Duration expected)
{
    const auto whole = std::chrono::ceil<Seconds>(expected).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(whole, 1, maxRetrySeconds));
}

} // namespace

CoordinatorService::CoordinatorService(Node &node, std::shared_ptr<PeerTransport> link)
    : node(node)
    , link(std::move(link))
    , timer(this->link->executor())
{}

void CoordinatorService::start()
{
    this->link->setHandler<SlotRequest>([self = this->shared_from_this()](std::uint64_t sender,
                                                                          const Endpoint &from,
                                                                          PeerBody body) {
        self->handleRequest(
            sender, std::get<SlotRequest>(body),
            [self, from](const SlotReply &reply) { self->link->send(from, reply); });
    });
    this->link->setHandler<SlotRelease>(
        [self = this->shared_from_this()](std::uint64_t sender, const Endpoint &, PeerBody body) {
            self->release(sender, std::get<SlotRelease>(body));
        });
    asio::post(this->link->executor(), [self = this->shared_from_this()] { self->tick(); });
}

void CoordinatorService::handleRequest(std::uint64_t router, const SlotRequest &ask,
                                       const ReplyCallback &done)
{
    Replies replies;
    {
        const RankedLock lock(this->mutex);
        replies.emplace_back(done, this->handleRequestLocked(router, ask, done, replies));
    }
    send(replies);
}

SlotReply CoordinatorService::handleRequestLocked(std::uint64_t router, const SlotRequest &ask,
                                                  const ReplyCallback &done, Replies &replies)
{
    const auto found = this->queues.find(shardIdOf(ask.shard));
    if (found == this->queues.end()) {
        const SlotReply reply = this->grant(router, ask);
        const bool mayWait = reply.verdict == SlotVerdict::Overflow && ask.waitMilliseconds != 0;
        return mayWait ? this->enqueue(this->queues[shardIdOf(ask.shard)], router, ask, done)
                       : reply;
    }
    // Serve the waiting requests first: only capacity that they leave is free for this one.
    ShardQueue &shard = found->second;
    this->grantWaiting(shard, replies);
    if (shard.waiters.contains({router, ask.requestId})) {
        return this->enqueue(shard, router, ask, done);
    }
    const SlotReply reply = this->grant(router, ask);
    if (reply.verdict == SlotVerdict::Overflow && ask.waitMilliseconds != 0) {
        return this->enqueue(shard, router, ask, done);
    }
    return reply;
}

SlotReply CoordinatorService::enqueue(ShardQueue &shard, std::uint64_t router,
                                      const SlotRequest &ask, const ReplyCallback &done)
{
    shard.shard = ask.shard;
    const EnqueueResult outcome =
        enqueueRequest(shard.queue, router, ask, QueueSettings{}, this->node.clock.now());
    if (outcome.verdict == QueueVerdict::Refused) {
        this->node.metrics.count(Counter::QueueRefused);
        return {ask.requestId, SlotVerdict::Busy, 0, retrySeconds(outcome.expectedWait)};
    }
    if (outcome.verdict == QueueVerdict::Queued) {
        this->node.metrics.count(Counter::QueueEntered);
        shard.waiters[{router, ask.requestId}] = done;
    }
    return {ask.requestId, SlotVerdict::Queued, 0, 0};
}

SlotReply CoordinatorService::grant(std::uint64_t router, const SlotRequest &ask)
{
    const auto view = this->node.catalogue.view();
    const Service *service = nullptr;
    if (view) {
        service = view->services.find(ask.shard.service);
    }
    if (service == nullptr) {
        return {ask.requestId, SlotVerdict::Empty, 0};
    }
    const TimePoint now = this->node.clock.now();
    GrantContext grantView;
    grantView.settings.capacity = service->engineCapacity;
    grantView.readyEngines =
        readyUpstreamsOf(this->node.upstreams, ask.shard, service->shards, now);
    const auto keeper = coordinatorOf(ask.shard, *this->node.members.active());
    const bool isOwnKeeper = keeper && keeper->id == this->node.settings.id;
    if (this->node.suspects.statusOf(ask.fingerprint, now) == SuspectStatus::None) {
        return this->node.shardCoordinator.grant(router, ask, std::move(grantView), isOwnKeeper,
                                                 now);
    }
    // Empty instead of Overflow: a queued suspect would block the requests behind it.
    const auto running =
        this->node.shardCoordinator.runningRequests(shardIdOf(ask.shard), {router, ask.requestId});
    if (this->node.suspects.blocks(ask.fingerprint, running, now)) {
        return {ask.requestId, SlotVerdict::Empty, 0};
    }
    SlotRequest restrictedAsk = ask;
    const auto excluded = this->node.suspects.excludedFor(ask.fingerprint, running, now);
    restrictedAsk.avoid.insert(restrictedAsk.avoid.end(), excluded.begin(), excluded.end());
    return this->node.shardCoordinator.grant(router, restrictedAsk, std::move(grantView),
                                             isOwnKeeper, now);
}

void CoordinatorService::grantWaiting(ShardQueue &shard, Replies &replies)
{
    while (const QueuedRequest *next = peekRequest(shard.queue)) {
        const SlotKey key{next->router, next->request.requestId};
        const SlotReply reply = this->grant(next->router, next->request);
        if (reply.verdict == SlotVerdict::Overflow) {
            return;
        }
        popRequest(shard.queue, reply.verdict == SlotVerdict::Granted, this->node.clock.now());
        const auto waiter = shard.waiters.extract(key);
        if (waiter) {
            replies.emplace_back(waiter.mapped(), reply);
        }
    }
}

void CoordinatorService::expireWaiting(ShardQueue &shard, Replies &replies)
{
    for (const QueuedRequest &expired : expireRequests(shard.queue, this->node.clock.now())) {
        this->node.metrics.count(Counter::QueueExpired);
        const auto waiter = shard.waiters.extract({expired.router, expired.request.requestId});
        if (waiter) {
            replies.emplace_back(waiter.mapped(),
                                 SlotReply{expired.request.requestId, SlotVerdict::Expired, 0, 0});
        }
    }
}

void CoordinatorService::release(std::uint64_t router, const SlotRelease &release)
{
    Replies replies;
    {
        const RankedLock lock(this->mutex);
        this->node.shardCoordinator.release(router, release);
        const auto found = this->queues.find(release.shard);
        if (found != this->queues.end()) {
            ShardQueue &shard = found->second;
            for (const std::uint32_t askId : release.requestIds) {
                if (shard.waiters.erase({router, askId}) > 0) {
                    cancelRequest(shard.queue, {router, askId});
                }
            }
            this->grantWaiting(shard, replies);
        }
    }
    send(replies);
}

void CoordinatorService::tick()
{
    Replies replies;
    {
        const RankedLock lock(this->mutex);
        for (auto &[id, shard] : this->queues) {
            this->expireWaiting(shard, replies);
            // Engines that joined and routers that left free capacity without a release.
            this->grantWaiting(shard, replies);
        }
        // A queue exists only while requests wait; the service interval that it measured would be
        // stale later.
        std::erase_if(this->queues, [](const auto &item) { return item.second.queue.length == 0; });
    }
    send(replies);
    this->timer.expires_after(expiryPeriod);
    this->timer.async_wait([self = this->shared_from_this()](const asio::error_code &error) {
        if (!error) {
            self->tick();
        }
    });
}

void CoordinatorService::send(const Replies &replies)
{
    for (const auto &[answer, reply] : replies) {
        answer(reply);
    }
}

} // namespace plantainswitch
