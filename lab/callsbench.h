#pragma once

#include <chrono>
#include <cstdint>

namespace plantainswitch::lab {

/// How to count the calls that routers make to the platform.
struct CallsOptions
{
    std::uint32_t routers = 8;
    std::chrono::seconds duration{20};
    double editsPerSecond = 0;
    std::uint16_t basePort = 0;
};

/// Runs real routers of the cooperative's deployment in one place without load and prints the
/// platform's calls and the control bytes. \returns whether the routers got ready.
[[nodiscard]] bool runCalls(const CallsOptions &options);

} // namespace plantainswitch::lab
