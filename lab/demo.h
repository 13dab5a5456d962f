#pragma once

#include <chrono>
#include <vector>

#include "deployment.h"

namespace plantainswitch::lab {

/// What the demo is to do.
struct DemoOptions
{
    std::chrono::seconds duration{15};
    double requestsPerSecond = 60;
    std::uint64_t seed = 1;
};

/// Plays the platform, the engines, the plain services and the callers for routers that were
/// started beside it, edits an entry meanwhile, and prints a table.
/// \returns whether every promise that can be seen from outside held.
[[nodiscard]] bool runDemo(const std::vector<Deployment> &deployments, const DemoOptions &options);

} // namespace plantainswitch::lab
