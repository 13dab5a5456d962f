#include "plantainswitch/routing/upstreamnotices.h"

#include <algorithm>

#include "plantainswitch/routing/upstreamstate.h"

namespace plantainswitch {

bool UpstreamNotices::recordDraining(const Replica &replica)
{
    const std::uint64_t incarnation = incarnationOf(replica);
    if (!this->draining.insert(incarnation).second) {
        return false;
    }
    this->drainingOrder.push_back(incarnation);
    if (this->drainingOrder.size() > maxDrainingNotices) {
        this->draining.erase(this->drainingOrder.front());
        this->drainingOrder.pop_front();
    }
    return true;
}

TimePoint UpstreamNotices::recordBackoff(const Replica &replica, Milliseconds backoff,
                                         TimePoint now)
{
    std::erase_if(this->backoffEnds, [now](const auto &entry) { return entry.second <= now; });
    TimePoint &end = this->backoffEnds[replica.id];
    end = std::max(end, now + backoff);
    return end;
}

bool UpstreamNotices::isDraining(const Replica &replica) const
{
    return this->draining.contains(incarnationOf(replica));
}

TimePoint UpstreamNotices::backoffEnd(const Replica &replica) const
{
    const auto found = this->backoffEnds.find(replica.id);
    return found == this->backoffEnds.end() ? TimePoint{} : found->second;
}

} // namespace plantainswitch
