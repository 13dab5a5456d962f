#include "plantainswitch/base/clock.h"

#include <ctime>

namespace plantainswitch {

Duration SystemClock::uptime() const noexcept
{
    timespec since{};
    if (clock_gettime(CLOCK_BOOTTIME, &since) != 0) {
        // Kernel without CLOCK_BOOTTIME. Pauses of the VM are not detected then; nothing else
        // depends on it.
        return this->now().time_since_epoch();
    }
    return Seconds{since.tv_sec} + Duration{since.tv_nsec};
}

} // namespace plantainswitch
