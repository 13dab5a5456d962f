#pragma once

#include <memory>
#include <vector>

#include "deployment.h"
#include "enginestandin.h"
#include "platformstandin.h"
#include "servicestandin.h"

namespace plantainswitch::lab {

/// All stand-ins of one deployment: platform, engines, plain service.
struct StandIns
{
    StandIns(asio::io_context &context, const Deployment &deployment);
    void open();

    PlatformStandIn platform;
    std::vector<std::unique_ptr<EngineStandIn>> engines;
    std::shared_ptr<RunCounts> runs;
    std::shared_ptr<ServiceOrders> orders;
    std::vector<std::unique_ptr<ServiceStandIn>> services;
};

} // namespace plantainswitch::lab
