#pragma once

#include "plantainswitch/base/clock.h"

namespace plantainswitch {

/// How long after the begin of a stop callers are still accepted. The load balancer checks
/// readiness every second and removes a router after two failed checks.
inline constexpr Milliseconds stopAcceptTime{2600};
/// Time before the end of the grace period at which running requests are ended, so that callers
/// still get notice of it.
inline constexpr Milliseconds stopAbortReserve{400};
/// Time before the end of the grace period at which the process exits, whatever is left to write.
inline constexpr Milliseconds stopExitReserve{100};

/// The course of a planned stop.
struct StopSchedule
{
    /// No connections are accepted after this time.
    TimePoint acceptUntil;
    /// From this time on requests are admitted only if they end before \a abortAt.
    TimePoint admitAllUntil;
    /// Requests that still run are ended.
    TimePoint abortAt;
    TimePoint exitAt;
};

/// \returns the course of a stop that begins at \a now, after whose \a grace the process is killed.
[[nodiscard]] StopSchedule scheduleStop(TimePoint now, Milliseconds grace) noexcept;

/// \returns whether a request that ends by \a deadline may be passed on at \a now. A late one that
/// may last longer than the router would be cut in the middle, and not all may be repeated; it is
/// refused while it has not run.
[[nodiscard]] bool admitsDuringStop(const StopSchedule &schedule, TimePoint now,
                                    TimePoint deadline) noexcept;

} // namespace plantainswitch
