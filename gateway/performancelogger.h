#pragma once

#include <map>
#include <string>

#include "gatewaystate.h"

namespace plantainswitch::gateway {

/// Logs the estimated performance of each service's upstreams when it changes.
class PerformanceLogger
{
public:
    /// Logs each service of which a value differs by a fifth or more from the last logged one, at
    /// most once in five seconds.
    void update(const GatewayState &state);

private:
    struct LoggedPerformance
    {
        ServicePerformance figures;
        TimePoint loggedAt;
    };

    std::map<std::string, LoggedPerformance> lastLogged;
};

} // namespace plantainswitch::gateway
