#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "plantainswitch/catalogue/parse.h"
#include "plantainswitch/membership/vm.h"
#include "plantainswitch/observe/event.h"

namespace plantainswitch {

/// The settings of a router, read from one JSON file.
struct Settings
{
    std::string id;
    std::string dataCentre;
    std::uint32_t workers = 4;
    Endpoint callers;
    Endpoint operators;
    Endpoint peerDatagrams;
    Endpoint peerCalls;
    /// Datagram addresses of other routers, through which a router joins while the platform is
    /// down.
    std::vector<Endpoint> seeds;
    /// Base URL of the platform's object API.
    std::string platformUrl;
    std::uint32_t maxBodyBytes = 8 << 20;
    /// Time after the start of a graceful stop within which the load balancer is expected to notice
    /// it.
    std::uint32_t lingerMilliseconds = 3000;
    LogSettings log;
};

/// Parses settings from JSON text.
/// \param faults receives all faults found, not only the first
/// \returns the settings, or nothing if there is a fault.
[[nodiscard]] std::optional<Settings> parseSettings(std::string_view text,
                                                    std::vector<Fault> &faults);

} // namespace plantainswitch
