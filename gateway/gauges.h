#pragma once

#include <string>

#include "gatewaystate.h"

namespace plantainswitch::gateway {

/// \returns the router's current state as gauges in the Prometheus text format: age of the
/// configuration and of the store's last confirmation, upstreams by service and condition,
/// estimates, retry budgets left, number of routers.
[[nodiscard]] std::string renderGauges(const GatewayState &state);

} // namespace plantainswitch::gateway
