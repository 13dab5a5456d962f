#pragma once

#include <optional>

#include "plantainswitch/base/clock.h"

namespace plantainswitch {

/// A time in which the process did not run.
struct Pause
{
    /// The whole VM was frozen, including its monotonic clock.
    Milliseconds frozen{0};
    /// The clock went on: the process waited for a CPU, or was stopped by a signal.
    Milliseconds late{0};
};

/// Shorter pauses are the usual timer lateness of a small VM.
inline constexpr Milliseconds minPause{500};

/// Detects pauses of the process by a regular tick with a known due time.
class PauseDetector
{
public:
    /// Handles a tick. \returns the pause before it, if it is at least minPause.
    /// \param uptime time since the VM started, which advances while the VM is frozen
    /// \param due when the next tick is due
    std::optional<Pause> tick(TimePoint now, Duration uptime, TimePoint due);

private:
    bool hasTicked = false;
    TimePoint lastNow;
    Duration lastUptime{0};
    TimePoint expected;
};

} // namespace plantainswitch
