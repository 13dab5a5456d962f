#include <vector>

#include <catch2/catch.hpp>

#include "plantainswitch/base/workqueue.h"

using namespace plantainswitch;

namespace {

class WorkQueueFixture
{
protected:
    /// Pushes work that takes \a duration and records its number and for how long it has waited.
    void push(int number, Milliseconds duration)
    {
        this->queue.push([this, number, duration] {
            this->performed.push_back(number);
            this->waits.push_back(
                std::chrono::duration_cast<Milliseconds>(this->queue.currentWait()));
            this->clock.advance(duration);
        });
    }

    ManualClock clock;
    WorkQueue queue{this->clock};
    std::vector<int> performed;
    std::vector<Milliseconds> waits;
};

} // namespace

TEST_CASE_METHOD(WorkQueueFixture, "workQueue_moreWorkThanASlice_performsTheOldestAndReturns",
                 "[base]")
{
    // Guards against a turn of the event loop that lasts as long as callers send.
    for (int i = 1; i <= 5; ++i) {
        this->push(i, Milliseconds{3});
    }
    this->queue.runFor(Milliseconds{5});
    CHECK(this->performed == std::vector{1, 2});
    CHECK(this->queue.longestWait() == Milliseconds{6});
    this->queue.runFor(Milliseconds{5});
    CHECK(this->performed == std::vector{1, 2, 3, 4});
    CHECK_FALSE(this->queue.isEmpty());
    this->queue.runFor(Milliseconds{5});
    CHECK(this->queue.isEmpty());
    CHECK(this->queue.longestWait() == Milliseconds{0});
}

TEST_CASE_METHOD(WorkQueueFixture, "workQueue_workLongerThanASlice_isPerformed", "[base]")
{
    this->push(1, Milliseconds{50});
    this->push(2, Milliseconds{50});
    this->queue.runFor(Milliseconds{5});
    CHECK(this->performed == std::vector{1});
}

TEST_CASE_METHOD(WorkQueueFixture, "workQueue_workWaits_statesForHowLong", "[base]")
{
    this->push(1, Milliseconds{4});
    this->push(2, Milliseconds{4});
    this->clock.advance(Milliseconds{10});
    this->queue.runFor(Milliseconds{100});
    CHECK(this->waits == std::vector{Milliseconds{10}, Milliseconds{14}});
    CHECK(this->queue.currentWait() == Milliseconds{0});
}

TEST_CASE_METHOD(WorkQueueFixture, "workQueue_workPushesMore_performsItBehindTheRest", "[base]")
{
    this->queue.push([this] { this->push(3, Milliseconds{1}); });
    this->push(2, Milliseconds{1});
    this->queue.runFor(Milliseconds{100});
    CHECK(this->performed == std::vector{2, 3});
}
