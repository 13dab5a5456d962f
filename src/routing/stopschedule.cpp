#include "plantainswitch/routing/stopschedule.h"

#include <algorithm>

namespace plantainswitch {

StopSchedule scheduleStop(TimePoint now, Milliseconds grace) noexcept
{
    const Milliseconds untilAbort = std::max(grace - stopAbortReserve, Milliseconds{0});
    StopSchedule schedule;
    schedule.acceptUntil = now + stopAcceptTime;
    // With a short grace period requests need time to end, too.
    schedule.admitAllUntil = now + std::min(stopAcceptTime, untilAbort / 2);
    schedule.abortAt = now + untilAbort;
    schedule.exitAt = now + std::max(grace - stopExitReserve, untilAbort);
    return schedule;
}

bool admitsDuringStop(const StopSchedule &schedule, TimePoint now, TimePoint deadline) noexcept
{
    return now <= schedule.admitAllUntil || deadline <= schedule.abortAt;
}

} // namespace plantainswitch
