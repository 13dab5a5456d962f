#include "plantainswitch/base/workqueue.h"

#include <utility>

namespace plantainswitch {

void WorkQueue::push(std::function<void()> work)
{
    this->waiting.push_back({this->clock.now(), std::move(work)});
}

void WorkQueue::runFor(Duration slice)
{
    TimePoint now = this->clock.now();
    const TimePoint end = now + slice;
    while (!this->waiting.empty()) {
        const Work work = std::move(this->waiting.front());
        this->waiting.pop_front();
        this->waited = now - work.pushedAt;
        work.run();
        now = this->clock.now();
        if (now >= end) {
            break;
        }
    }
    this->waited = Duration{0};
}

Duration WorkQueue::currentWait() const noexcept
{
    return this->waited;
}

Duration WorkQueue::longestWait() const noexcept
{
    return this->waiting.empty() ? Duration{0} : this->clock.now() - this->waiting.front().pushedAt;
}

} // namespace plantainswitch
