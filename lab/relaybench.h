#pragma once

#include <nlohmann/json.hpp>

#include "deployment.h"

namespace plantainswitch::lab {

/// Measures what a router adds, against direct connections to the same stand-ins in the same run:
/// latency to the first and to each later event, short requests a second and core, resident
/// memory with a thousand open streams.
/// \param deployment whose stand-ins and single router run beside this process
/// \param routerPid process whose processor time and memory are read
[[nodiscard]] nlohmann::ordered_json measureRelay(const Deployment &deployment, int routerPid);

} // namespace plantainswitch::lab
