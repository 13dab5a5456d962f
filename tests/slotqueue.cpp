#include <algorithm>
#include <limits>
#include <set>

#include <catch2/catch.hpp>

#include "plantainswitch/routing/enginecoordinator.h"
#include "plantainswitch/routing/slotqueue.h"

using namespace plantainswitch;

namespace {

/// An upstream with room for three grants, which the requests 1 to 3 of router "f" take.
class SlotQueueFixture
{
protected:
    SlotQueueFixture()
    {
        for (std::uint64_t id = 1; id <= 3; ++id) {
            SlotQueueRequest request = inTime(99);
            request.router = "f";
            REQUIRE(this->ask(id, request) == SlotQueueVerdict::Granted);
        }
    }

    SlotQueueVerdict ask(std::uint64_t id, SlotQueueRequest request = {})
    {
        request.requestId = id;
        request.untilDeadline = std::max(request.untilDeadline, Milliseconds{1000});
        this->reply = this->queue.request(request, this->limits, 0, this->now);
        return this->reply.verdict;
    }

    /// \returns the ids in the order in which one slot grants them.
    std::vector<std::uint64_t> drain()
    {
        std::vector<std::uint64_t> ids;
        this->queue.end("f", 1, this->now, GrantEnd::Unused);
        while (true) {
            const auto granted = this->queue.grantWaiting(this->limits, 0, this->now);
            if (granted.empty()) {
                return ids;
            }
            CHECK(granted.size() == 1);
            CHECK(this->queue.grantedCount() == 3);
            ids.push_back(granted.front().requestId);
            this->queue.end("a", ids.back(), this->now, GrantEnd::Unused);
        }
    }

    static SlotQueueRequest inTime(std::uint64_t workspace = 1, std::uint32_t priority = 0,
                                   Milliseconds untilObjective = Milliseconds{150})
    {
        return {.router = "a",
                .workspace = workspace,
                .priority = priority,
                .untilObjective = untilObjective,
                .maxWait = Milliseconds{900}};
    }

    SlotQueue queue;
    SlotQueueReply reply;
    SlotQueueLimits limits{2.0, 1.5, Milliseconds{9}};
    TimePoint now{Seconds{1000}};
};

} // namespace

TEST_CASE_METHOD(SlotQueueFixture, "slotQueue_waitingRequests_areGrantedInOrder", "[routing]")
{
    // Guards against a long queue of one workspace, or late requests, before those of others.
    CHECK(this->ask(10, inTime(1, 0, Milliseconds{0})) == SlotQueueVerdict::Queued);
    CHECK(this->ask(11, inTime(1, 0, Milliseconds{0})) == SlotQueueVerdict::Queued);
    CHECK(this->ask(12, inTime(1, 1, Milliseconds{100})) == SlotQueueVerdict::Queued);
    CHECK(this->ask(13, inTime(1, 1, Milliseconds{90})) == SlotQueueVerdict::Queued);
    CHECK(this->ask(14, inTime(1, 0)) == SlotQueueVerdict::Queued);
    CHECK(this->ask(15, inTime(2)) == SlotQueueVerdict::Queued);
    CHECK(this->queue.lateCount() == 2);
    CHECK(this->drain() == std::vector<std::uint64_t>{14, 15, 13, 12, 10, 11});
}

TEST_CASE_METHOD(SlotQueueFixture, "slotQueue_unknownRequestsAtUpstream_takeRoom", "[routing]")
{
    // Guards against grants beyond the slots while routers send requests without asking.
    this->ask(10, inTime());
    this->queue.end("f", 1, this->now);
    CHECK(this->queue.grantWaiting(this->limits, 1, this->now).empty());
    CHECK(this->queue.grantWaiting(this->limits, 0, this->now).size() == 1);
}

TEST_CASE_METHOD(SlotQueueFixture, "slotQueue_waitTooLong_isDeniedAtOnce", "[routing]")
{
    // Guards against requests that wait in vain, and against denied ones that all return at once.
    std::set<std::int64_t> retries;
    for (std::uint64_t id = 10; id < 20; ++id) {
        CHECK(this->ask(id, {.router = "a", .untilObjective = Milliseconds{150}})
              == SlotQueueVerdict::Denied);
        CHECK(this->reply.expectedWait == Milliseconds{3});
        CHECK(this->reply.retryAfter >= minSlotRetryAfter);
        CHECK(this->reply.retryAfter <= Milliseconds{333});
        retries.insert(this->reply.retryAfter.count());
    }
    CHECK(retries.size() > 5);
    CHECK(this->drain().empty());
    const SlotQueueRequest tooShort{
        .router = "a", .requestId = 30, .untilDeadline = Milliseconds{8}};
    CHECK(this->queue.request(tooShort, this->limits, 0, this->now).verdict
          == SlotQueueVerdict::Denied);
}

TEST_CASE_METHOD(SlotQueueFixture, "slotQueue_slotsUsedInTime_lateRequestsAreDenied", "[routing]")
{
    // Guards against late requests that take the slots from those that can be in time.
    SlotQueueRequest late = inTime(1, 0, Milliseconds{0});
    late.maxWait = late.untilDeadline = Seconds{5};
    CHECK(this->ask(10, late) == SlotQueueVerdict::Queued);
    this->now += Seconds{2};
    CHECK(this->ask(11, late) == SlotQueueVerdict::Denied);
    const auto dropped = this->queue.takeDropped();
    REQUIRE(dropped.size() == 1);
    CHECK(dropped.front().reason == SlotDropReason::Late);
    CHECK(this->drain().empty());
}

TEST_CASE_METHOD(SlotQueueFixture, "slotQueue_repeatedRequest_changesNothing", "[routing]")
{
    // Guards against two grants for a request whose reply was lost.
    CHECK(this->ask(3, {.router = "f"}) == SlotQueueVerdict::Granted);
    this->ask(10, inTime());
    this->ask(11, inTime());
    const Milliseconds wait = this->reply.expectedWait;
    CHECK(this->ask(11, inTime()) == SlotQueueVerdict::Queued);
    CHECK(this->reply.expectedWait == wait);
    CHECK(this->queue.grantedCount() == 3);
    CHECK(this->drain().size() == 2);
}

TEST_CASE_METHOD(SlotQueueFixture, "slotQueue_maxWaitPassed_requestIsDropped", "[routing]")
{
    // Guards against grants for requests that their routers have given up.
    SlotQueueRequest request = inTime();
    request.maxWait = Milliseconds{20};
    this->ask(10, request);
    CHECK(this->queue.nextChange() == this->now + Milliseconds{20});
    this->now += Milliseconds{20};
    CHECK(this->drain().empty());
    const auto dropped = this->queue.takeDropped();
    REQUIRE(dropped.size() == 1);
    CHECK(dropped.front().reason == SlotDropReason::Expired);
    CHECK(dropped.front().waited == Milliseconds{20});
}

TEST_CASE_METHOD(SlotQueueFixture, "slotQueue_routerLostOrEndLost_slotsAreFreed", "[routing]")
{
    // Guards against slots that stay taken when a router or its message is lost.
    this->ask(10, inTime());
    this->now += orphanedGrantTimeout;
    this->queue.reconcile("f", 1, this->now);
    CHECK(this->queue.grantedTo("f") == 3);
    this->now += Milliseconds{1};
    this->queue.reconcile("f", 1, this->now);
    CHECK(this->queue.grantedTo("f") == 1);
    this->queue.releaseRouter("f", this->now);
    this->queue.releaseRouter("a", this->now);
    CHECK(this->queue.grantedCount() + this->queue.waitingCount() == 0);
}

TEST_CASE_METHOD(SlotQueueFixture, "slotQueue_runEnds_isReportedAndMeasured", "[routing]")
{
    // Guards against hold times that count slots that were never used.
    this->now += Milliseconds{30};
    CHECK_FALSE(this->queue.end("f", 1, this->now, GrantEnd::Unused));
    CHECK_FALSE(this->queue.holdTime());
    const auto run = this->queue.end("f", 2, this->now);
    REQUIRE(run);
    CHECK(run->concurrency == 2.0);
    CHECK(run->runTime == Milliseconds{30});
    CHECK(this->queue.holdTime() == Duration{Milliseconds{30}});
    CHECK_FALSE(this->queue.end("f", 2, this->now));
}

TEST_CASE_METHOD(SlotQueueFixture, "slotQueue_extremeInput_isBounded", "[routing]")
{
    // Guards against a queue that grows without bound, and against numbers that are none.
    this->limits = {2.0, 1.0, Milliseconds{1}};
    SlotQueueRequest request = inTime();
    request.untilObjective = request.untilDeadline = request.maxWait = Milliseconds::max();
    request.weight = std::numeric_limits<double>::quiet_NaN();
    for (std::uint64_t id = 10; id < 10 + maxSlotQueueLength; ++id) {
        REQUIRE(this->ask(id, request) == SlotQueueVerdict::Queued);
    }
    CHECK(this->ask(9, request) == SlotQueueVerdict::Denied);
    this->limits.slots = std::numeric_limits<double>::quiet_NaN();
    CHECK(
        this->queue.grantWaiting(this->limits, std::numeric_limits<std::uint32_t>::max(), this->now)
            .empty());
}

TEST_CASE_METHOD(SlotQueueFixture, "slotQueue_longRunsEnded_shortDeadlinesAreServed", "[routing]")
{
    // Guards against a queue that denies all requests for ever since a few runs were long.
    this->limits.slots = 16.0;
    SlotQueueRequest slow = inTime();
    slow.untilDeadline = Seconds{10};
    for (std::uint64_t id = 10; id < 24; ++id) {
        REQUIRE(this->ask(id, slow) == SlotQueueVerdict::Granted);
    }
    this->now += Seconds{2};
    for (std::uint64_t id = 10; id < 24; ++id) {
        this->queue.end("a", id, this->now);
    }
    this->queue.releaseRouter("f", this->now);
    CHECK(this->queue.holdTime() > Duration{Seconds{1}});
    CHECK(this->ask(30, inTime()) == SlotQueueVerdict::Granted);
    CHECK(this->ask(31, inTime()) == SlotQueueVerdict::Denied);
    this->now += Seconds{20};
    CHECK(this->ask(32, inTime()) == SlotQueueVerdict::Granted);
    CHECK(this->queue.holdTime() < Duration{Milliseconds{100}});
}

TEST_CASE_METHOD(SlotQueueFixture, "slotQueue_runsTimeOut_holdTimeStaysBounded", "[routing]")
{
    // Guards against time-outs that are taken for the time that the upstream works.
    this->ask(10, inTime());
    this->now += Seconds{1};
    for (std::uint64_t id = 1; id <= 3; ++id) {
        this->queue.end("f", id, this->now, GrantEnd::Abandoned);
    }
    CHECK(this->queue.holdTime() <= Duration{Milliseconds{36}});
}

TEST_CASE_METHOD(SlotQueueFixture, "slotQueue_unknownRequestsExpired_useDecreases", "[routing]")
{
    // Guards against requests of other routers that count as running while no call is made.
    this->queue.releaseRouter("f", this->now);
    CHECK(this->queue.grantWaiting(this->limits, 3, this->now).empty());
    this->now += Seconds{5};
    CHECK(this->queue.grantWaiting(this->limits, 0, this->now).empty());
    CHECK(this->queue.onTimeUse() < 0.01);
}
