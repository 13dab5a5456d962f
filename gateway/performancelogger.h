#pragma once

#include <map>
#include <string>

#include "gatewaystate.h"

namespace plantainswitch::gateway {

/// Logs what upstreams are estimated to be like whenever that has changed.
class PerformanceLogger
{
public:
    /// Logs each service whose figures differ by a fifth or more from those logged last, at most
    /// once in a few seconds.
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
