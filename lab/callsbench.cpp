#include "callsbench.h"

#include <iostream>

#include <fmt/format.h>

#include "fleet.h"

namespace plantainswitch::lab {

namespace {

std::uint64_t controlSent(Fleet &fleet, std::size_t router)
{
    const std::string page = fleet.operatorPage(router, "/metrics").body;
    constexpr std::string_view name = "\nplantainswitch_control_sent_bytes_total ";
    const std::size_t found = page.find(name);
    return found == std::string::npos ? 0 : std::stoull(page.substr(found + name.size()));
}

std::uint64_t allControl(Fleet &fleet)
{
    std::uint64_t sum = 0;
    for (std::size_t index = 0; index < fleet.layout.size(); ++index) {
        sum += controlSent(fleet, index);
    }
    return sum;
}

/// Edits one entry at a steady rate until the time is over.
void passTime(Fleet &fleet, const CallsOptions &options)
{
    const auto until = std::chrono::steady_clock::now() + options.duration;
    const bool edits = options.editsPerSecond > 0;
    const std::chrono::duration<double> step{edits ? 1 / options.editsPerSecond : 1.0};
    std::uint32_t round = 0;
    while (std::chrono::steady_clock::now() < until) {
        if (edits) {
            const DataClass body{"bench", fleet.deployment.places, 1000 + ++round};
            fleet.standIns.platform.set("dataclass", "bench", toJson(EntryBody(body)));
        }
        std::this_thread::sleep_for(step);
    }
}

} // namespace

bool runCalls(const CallsOptions &options)
{
    Deployment deployment = *deploymentOf("cooperative");
    deployment.routers = options.routers;
    deployment.basePort = options.basePort;
    deployment.places = {deployment.places.front()};
    Fleet fleet(deployment);
    if (!fleet.start()) {
        return false;
    }
    // What the start costs is over once every router knows every other.
    std::this_thread::sleep_for(std::chrono::seconds(5));
    const std::uint64_t callsBefore = fleet.standIns.platform.calls();
    const std::uint64_t bytesBefore = allControl(fleet);
    passTime(fleet, options);
    const auto seconds = static_cast<double>(options.duration.count());
    const auto routers = static_cast<double>(options.routers);
    const auto calls = static_cast<double>(fleet.standIns.platform.calls() - callsBefore);
    const auto bytes = static_cast<double>(allControl(fleet) - bytesBefore);
    std::cout << fmt::format("routers {}, edits a second {}\n", options.routers,
                             options.editsPerSecond)
              << fmt::format("platform calls a second {:.2f}\n", calls / seconds)
              << fmt::format("control bytes sent a second and router {:.0f}\n",
                             bytes / seconds / routers);
    return true;
}

} // namespace plantainswitch::lab
