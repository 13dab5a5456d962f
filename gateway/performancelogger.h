#pragma once

#include <map>
#include <string>

#include "gatewaystate.h"

namespace plantainswitch::gateway {

/// Logs what upstreams are estimated to be like whenever that has changed.
class FigureLog
{
public:
    /// Logs each service whose figures differ by a fifth or more from those logged last, at most
    /// once in a few seconds.
    void update(const GatewayState &state);

private:
    struct Logged
    {
        ServiceFigures figures;
        TimePoint when;
    };

    std::map<std::string, Logged> services;
};

} // namespace plantainswitch::gateway
