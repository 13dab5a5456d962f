#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "plantainswitch/membership/vm.h"

namespace plantainswitch::soak {

/// What the operator's configuration holds.
struct ConfigDocument
{
    std::uint64_t version = 1;
    /// Versions that brought a route.
    std::vector<std::uint64_t> routeVersions;
    std::vector<std::string> keys;
};

/// Where a router listens and whom it knows.
struct RouterDocument
{
    std::string id;
    std::string dataCentre;
    Endpoint callers;
    std::uint16_t readinessPort = 0;
    std::uint16_t datagramPort = 0;
    std::uint16_t callPort = 0;
    std::vector<std::string> seeds;
    Endpoint store;
    std::int64_t graceSeconds = 0;
    std::string logLevel = "info";
};

/// \returns the configuration as the platform's store holds it: a host with a route of each kind.
[[nodiscard]] std::string textOf(const ConfigDocument &config);
/// \returns the entry of an upstream of the one service, as the store holds it.
[[nodiscard]] std::string upstreamEntry(const Endpoint &endpoint, const std::string &place,
                                        bool isLeaving);
/// \returns a router's settings file.
[[nodiscard]] std::string textOf(const RouterDocument &router);

} // namespace plantainswitch::soak
