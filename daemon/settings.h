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
    /// Datagram addresses of other routers, by which a start without the platform finds them.
    std::vector<Endpoint> seeds;
    /// Base address of the platform's object API.
    std::string platformUrl;
    std::uint32_t maxBodyBytes = 8 << 20;
    /// Time after a stop was asked for during which the balancer is expected to notice.
    std::uint32_t lingerMilliseconds = 3000;
    LogSettings log;
};

/// Reads settings from JSON text; every fault is reported, not only the first.
[[nodiscard]] std::optional<Settings> parseSettings(std::string_view text,
                                                    std::vector<Fault> &faults);

} // namespace plantainswitch
