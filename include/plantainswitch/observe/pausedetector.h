#pragma once

#include <optional>

#include "plantainswitch/base/clock.h"

namespace plantainswitch {

/// A time in which the process stood still.
struct Pause
{
    /// With its whole VM: the monotonic clock stood still too.
    Milliseconds frozen{0};
    /// While the clock ran on: it waited for its processor, or was stopped by a signal.
    Milliseconds late{0};
};

/// Pauses shorter than this are the usual lateness of a small VM's timers.
inline constexpr Milliseconds minPause{500};

/// Finds pauses by a regular turn that should come at a known time.
class PauseDetector
{
public:
    /// Takes a turn. \returns the pause before it, if there was one worth telling.
    /// \param uptime time since the VM started, which runs on while it is frozen
    /// \param due when the next turn is to come
    std::optional<Pause> tick(TimePoint now, Duration uptime, TimePoint due);

private:
    bool hasTicked = false;
    TimePoint lastNow;
    Duration lastUptime{0};
    TimePoint expected;
};

} // namespace plantainswitch
