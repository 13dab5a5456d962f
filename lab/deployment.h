#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "plantainswitch/plantainswitch.h"

namespace plantainswitch::lab {

/// One of today's deployments, laid out on the loopback address.
struct Deployment
{
    std::string name;
    std::vector<std::string> places;
    std::string modelService;
    std::uint32_t engines = 10;
    std::string plainService;
    std::uint32_t plainReplicas = 4;
    std::uint32_t routers = 6;
    std::uint32_t workersOfRouter = 2;
    /// Requests that one engine takes at a time.
    std::uint32_t engineCapacity = 64;
    std::uint16_t basePort = 0;
    /// Catalogue entries put at the platform at the start.
    std::vector<Entry> entries;
};

/// A router's addresses in a deployment.
struct RouterLayout
{
    std::string id;
    std::string place;
    Endpoint callers;
    Endpoint operators;
    Endpoint datagrams;
    Endpoint calls;
};

/// \returns the names of the deployments.
[[nodiscard]] std::vector<std::string> deploymentNames();
/// \returns the deployment of that name, or nothing.
[[nodiscard]] std::optional<Deployment> deploymentOf(std::string_view name);
[[nodiscard]] Endpoint platformOf(const Deployment &deployment);
[[nodiscard]] std::vector<RouterLayout> routersOf(const Deployment &deployment);
/// \returns the upstream VMs of the deployment.
[[nodiscard]] std::vector<Vm> upstreamsOf(const Deployment &deployment);
/// \returns the settings file of one router.
[[nodiscard]] nlohmann::ordered_json settingsOf(const Deployment &deployment,
                                                const RouterLayout &router);

} // namespace plantainswitch::lab
