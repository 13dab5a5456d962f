#include <set>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "plantainswitch/plantainswitch.h"

using namespace plantainswitch;

namespace {

constexpr std::uint32_t maxWaitMilliseconds = 1000;

SlotRequest requestOf(std::uint32_t id, std::uint64_t workspace, std::uint32_t weight = 1,
                      std::uint32_t priority = 0)
{
    SlotRequest request{id, {"model", "hall-a", 0}, id, id, {}};
    request.waitMilliseconds = maxWaitMilliseconds;
    request.workspace = workspace;
    request.weight = weight;
    request.priority = priority;
    return request;
}

class QueueFixture
{
protected:
    QueueVerdict add(const SlotRequest &request)
    {
        return enqueueRequest(this->queue, 1, request, this->settings, this->clock.now()).verdict;
    }

    std::uint64_t serve()
    {
        const std::uint64_t workspace = peekRequest(this->queue)->request.workspace;
        popRequest(this->queue, true, this->clock.now());
        return workspace;
    }

    ManualClock clock;
    FairQueue queue;
    QueueSettings settings;
};

/// Generated history of a coordinator with one engine and its queue.
struct CoordinatorHistory
{
    enum class Fault { None, GrantAfterExpiry, FirstInFirstOut, Unbounded };

    void arrive(std::uint64_t workspace)
    {
        const SlotRequest request = requestOf(this->nextId++, workspace);
        QueueSettings settings;
        settings.maxPerWeight = this->fault == Fault::Unbounded ? 100'000 : maxQueued;
        SlotRequest queued = request;
        queued.workspace = this->fault == Fault::FirstInFirstOut ? 0 : workspace;
        queued.waitMilliseconds =
            this->fault == Fault::Unbounded ? 1000 * maxWaitMilliseconds : maxWaitMilliseconds;
        const auto outcome = enqueueRequest(this->queue, 1, queued, settings, this->clock.now());
        if (outcome.verdict == QueueVerdict::Queued) {
            this->waiting[request.requestId] = workspace;
        } else if (workspace == quiet) {
            ++this->quietUnserved;
        }
        this->maxLength = std::max(this->maxLength, this->queue.length);
    }

    void expire()
    {
        for (const QueuedRequest &each : expireRequests(this->queue, this->clock.now())) {
            this->expired.insert(each.request.requestId);
            if (this->waiting.at(each.request.requestId) == quiet) {
                ++this->quietUnserved;
            }
            if (this->fault == Fault::GrantAfterExpiry) {
                this->granted.insert(each.request.requestId);
            }
        }
    }

    void serve()
    {
        const QueuedRequest *next = peekRequest(this->queue);
        if (next == nullptr) {
            return;
        }
        const SlotReply reply =
            grantSlot(this->shard, 1, next->request, {{11}, {}, false}, this->clock.now());
        if (reply.verdict == SlotVerdict::Granted) {
            this->granted.insert(next->request.requestId);
            releaseSlot(this->shard, {1, next->request.requestId});
            popRequest(this->queue, true, this->clock.now());
        }
    }

    static constexpr std::uint64_t quiet = 99;
    static constexpr std::size_t maxQueued = 8;

    Fault fault = Fault::None;
    ManualClock clock;
    FairQueue queue;
    ShardState shard;
    std::uint32_t nextId = 1;
    std::size_t maxLength = 0;
    std::size_t quietUnserved = 0;
    std::map<std::uint32_t, std::uint64_t> waiting;
    std::set<std::uint32_t> expired;
    std::set<std::uint32_t> granted;
};

/// Drives arrivals of three surging workspaces and a quiet one, with a free slot every 50 ms.
/// \returns whether the queue was bounded, no quiet workspace starved and no request ended in two
/// ways.
bool historyHolds(CoordinatorHistory::Fault fault)
{
    CoordinatorHistory history;
    history.fault = fault;
    const auto arrivals =
        *rc::gen::container<std::vector<std::uint32_t>>(200, rc::gen::inRange<std::uint32_t>(0, 6));
    std::size_t step = 0;
    for (const std::uint32_t count : arrivals) {
        for (std::uint32_t each = 0; each < count; ++each) {
            history.arrive(each % 3 + 1);
        }
        if (++step % 20 == 0) {
            history.arrive(CoordinatorHistory::quiet);
        }
        history.clock.advance(Milliseconds{50});
        // The router repeats waiting requests, so that none times out.
        for (auto &[workspace, flow] : history.queue.flows) {
            for (QueuedRequest &queued : flow.waiting) {
                queued.lastRepeatedAt = history.clock.now();
            }
        }
        history.expire();
        history.serve();
    }
    const bool endedTwice =
        std::any_of(history.expired.begin(), history.expired.end(),
                    [&](std::uint32_t id) { return history.granted.contains(id); });
    return !endedTwice && history.quietUnserved == 0
           && history.maxLength <= 4 * CoordinatorHistory::maxQueued;
}

} // namespace

TEST_CASE_METHOD(QueueFixture, "fairQueue_surgingWorkspace_delaysItself", "[fairqueue]")
{
    // Workspace 1 fills the queue before workspace 2 sends a single request. In order of arrival
    // that request would wait behind the whole surge; here it is served first or second.
    for (std::uint32_t id = 1; id <= 50; ++id) {
        this->add(requestOf(id, 1));
    }
    this->serve();
    this->add(requestOf(100, 2));
    const std::uint64_t first = this->serve();
    const std::uint64_t second = this->serve();
    CHECK((first == 2 || second == 2));
}

TEST_CASE_METHOD(QueueFixture, "fairQueue_weights_shareSlotsInProportion", "[fairqueue]")
{
    for (std::uint32_t id = 0; id < 100; ++id) {
        this->add(requestOf(2 * id, 1, 3));
        this->add(requestOf(2 * id + 1, 2, 1));
    }
    std::size_t heavy = 0;
    for (int turn = 0; turn < 80; ++turn) {
        heavy += this->serve() == 1 ? 1 : 0;
    }
    CHECK(heavy >= 59);
    CHECK(heavy <= 61);
}

TEST_CASE_METHOD(QueueFixture, "fairQueue_priorities_orderOneWorkspaceOnly", "[fairqueue]")
{
    this->add(requestOf(1, 1, 1, 0));
    this->add(requestOf(2, 1, 1, 9));
    CHECK(peekRequest(this->queue)->request.requestId == 2);
}

TEST_CASE_METHOD(QueueFixture, "fairQueue_repeatedAsk_isQueuedOnce", "[fairqueue]")
{
    CHECK(this->add(requestOf(1, 1)) == QueueVerdict::Queued);
    CHECK(this->add(requestOf(1, 1)) == QueueVerdict::Repeated);
    CHECK(this->queue.length == 1);
}

TEST_CASE_METHOD(QueueFixture, "fairQueue_routerGoneOrSilent_leavesTheQueue", "[fairqueue]")
{
    // A router dies while its requests wait. If they were granted later, their slots would stay
    // taken until the member timeout, so a router that doesn't repeat its requests is removed.
    this->add(requestOf(1, 1));
    this->add(requestOf(2, 1));
    CHECK(cancelRequest(this->queue, {1, 1}));
    this->clock.advance(requesterTimeout + Milliseconds{1});
    CHECK(expireRequests(this->queue, this->clock.now()).size() == 1);
    CHECK(this->queue.length == 0);
}

TEST_CASE_METHOD(QueueFixture, "fairQueue_waitBeyondBound_isRefusedAtOnceWithTime", "[fairqueue]")
{
    // A slot becomes free every 100 ms and a request waits for at most a second. The eleventh of a
    // workspace can't be served in time; queueing it would only delay its refusal.
    for (std::uint32_t id = 1; id <= 8; ++id) {
        this->add(requestOf(id, 1));
    }
    for (int turn = 0; turn < 5; ++turn) {
        this->clock.advance(Milliseconds{100});
        this->serve();
    }
    std::uint32_t id = 100;
    EnqueueResult outcome;
    do {
        outcome =
            enqueueRequest(this->queue, 1, requestOf(id++, 1), this->settings, this->clock.now());
    } while (outcome.verdict == QueueVerdict::Queued);
    CHECK(this->queue.length == 10);
    CHECK(outcome.expectedWait > Milliseconds{maxWaitMilliseconds});
    CHECK(this->add(requestOf(200, 2)) == QueueVerdict::Queued);
}

TEST_CASE("fairQueue_anyHistory_boundedFairAndTruthful", "[fairqueue]")
{
    CHECK(rc::check("bounded, nobody starves, expired or granted but not both",
                    [] { RC_ASSERT(historyHolds(CoordinatorHistory::Fault::None)); }));
}

TEST_CASE("fairQueue_brokenVariants_areCaughtByTheChecker", "[fairqueue]")
{
    using Fault = CoordinatorHistory::Fault;
    for (const Fault fault : {Fault::GrantAfterExpiry, Fault::FirstInFirstOut, Fault::Unbounded}) {
        CHECK_FALSE(rc::check("broken on purpose", [fault] { RC_ASSERT(historyHolds(fault)); }));
    }
}
