#include "plantainswitch/observe/pausedetector.h"

#include <algorithm>

namespace plantainswitch {

std::optional<Pause> PauseDetector::tick(TimePoint now, Duration uptime, TimePoint due)
{
    Pause pause;
    if (this->hasTicked) {
        const Duration unaccounted = (uptime - this->lastUptime) - (now - this->lastNow);
        pause.frozen = std::chrono::duration_cast<Milliseconds>(std::max(unaccounted, Duration{0}));
        pause.late = std::chrono::duration_cast<Milliseconds>(
            std::max<Duration>(now - this->expected, Duration{0}));
    }
    this->hasTicked = true;
    this->lastNow = now;
    this->lastUptime = uptime;
    this->expected = due;
    return std::max(pause.frozen, pause.late) >= minPause ? std::optional(pause) : std::nullopt;
}

} // namespace plantainswitch
