#include "deployment.h"

namespace plantainswitch::lab {

namespace {

constexpr const char *loopback = "127.0.0.1";
constexpr std::uint16_t cooperativePort = 21000;
constexpr std::uint16_t lowtherPort = 23000;
constexpr std::uint16_t benchPort = 32000;
constexpr std::uint16_t routerOffset = 100;
constexpr std::uint16_t portsOfRouter = 4;
constexpr std::uint16_t engineOffset = 200;
constexpr std::uint16_t plainOffset = 300;
constexpr std::uint32_t workspaces = 10;
/// The first few workspaces are the large ones.
constexpr std::uint32_t largeWorkspaces = 2;

Endpoint at(const Deployment &deployment, std::uint32_t offset)
{
    return {loopback, static_cast<std::uint16_t>(deployment.basePort + offset)};
}

void addEntry(Deployment &deployment, EntryKind kind, std::string name, EntryBody body)
{
    deployment.entries.push_back({{kind, std::move(name)}, 0, std::move(body)});
}

Deployment withEntries(Deployment deployment, const std::string &owner)
{
    addEntry(deployment, EntryKind::DataClass, "regulated", DataClass{owner, deployment.places, 0});
    const std::vector<std::string> fewer(deployment.places.begin(), deployment.places.end() - 1);
    addEntry(deployment, EntryKind::DataClass, "restricted", DataClass{owner, fewer, 0});
    Service model;
    model.owner = owner;
    model.dataClass = "regulated";
    model.engineCapacity = deployment.engineCapacity;
    addEntry(deployment, EntryKind::Service, deployment.modelService, model);
    Service plain = model;
    plain.type = ServiceType::Plain;
    addEntry(deployment, EntryKind::Service, deployment.plainService, plain);
    for (std::uint32_t index = 0; index < workspaces; ++index) {
        Workspace workspace;
        workspace.owner = owner;
        workspace.dataClass = index + 1 == workspaces ? "restricted" : "regulated";
        workspace.token = "token-" + deployment.name + "-" + std::to_string(index);
        workspace.services = {deployment.modelService, deployment.plainService};
        workspace.weight = index < largeWorkspaces ? 4 : 1;
        addEntry(deployment, EntryKind::Workspace, "workspace-" + std::to_string(index), workspace);
    }
    return deployment;
}

} // namespace

std::vector<std::string> deploymentNames()
{
    return {"cooperative", "lowther"};
}

std::optional<Deployment> deploymentOf(std::string_view name)
{
    Deployment deployment;
    deployment.name = name;
    if (name == "cooperative") {
        deployment.places = {"kitakyushu", "fukuoka", "kumamoto", "oita"};
        deployment.modelService = "sharpen-llm";
        deployment.plainService = "job-desk";
        deployment.plainReplicas = 4;
        deployment.basePort = cooperativePort;
        return withEntries(deployment, "cooperative");
    }
    if (name == "lowther") {
        deployment.places = {"hall-a", "hall-b", "hall-c"};
        deployment.modelService = "model-pool";
        deployment.plainService = "track-app";
        deployment.plainReplicas = 3;
        deployment.basePort = lowtherPort;
        return withEntries(deployment, "lowther");
    }
    if (name == "bench") {
        deployment.places = {"here", "elsewhere"};
        deployment.modelService = "bench-llm";
        deployment.engines = 4;
        deployment.plainService = "bench-app";
        deployment.plainReplicas = 2;
        deployment.routers = 1;
        deployment.workersOfRouter = 4;
        deployment.engineCapacity = 1000;
        deployment.basePort = benchPort;
        return withEntries(deployment, "bench");
    }
    return std::nullopt;
}

Endpoint platformOf(const Deployment &deployment)
{
    return at(deployment, 0);
}

std::vector<RouterLayout> routersOf(const Deployment &deployment)
{
    std::vector<RouterLayout> result;
    for (std::uint32_t index = 0; index < deployment.routers; ++index) {
        const std::uint32_t offset = routerOffset + index * portsOfRouter;
        RouterLayout router;
        router.place = deployment.places[index % deployment.places.size()];
        router.id = router.place + "-router-" + std::to_string(index);
        router.callers = at(deployment, offset);
        router.operators = at(deployment, offset + 1);
        router.datagrams = at(deployment, offset + 2);
        router.calls = at(deployment, offset + 3);
        result.push_back(router);
    }
    return result;
}

std::vector<Vm> upstreamsOf(const Deployment &deployment)
{
    std::vector<Vm> result;
    for (std::uint32_t index = 0; index < deployment.engines; ++index) {
        const std::string &place = deployment.places[index % deployment.places.size()];
        result.push_back({place + "-engine-" + std::to_string(index), VmRole::Engine,
                          deployment.modelService, place, at(deployment, engineOffset + index),
                          false});
    }
    for (std::uint32_t index = 0; index < deployment.plainReplicas; ++index) {
        const std::string &place = deployment.places[index % deployment.places.size()];
        result.push_back({place + "-plain-" + std::to_string(index), VmRole::Plain,
                          deployment.plainService, place, at(deployment, plainOffset + index),
                          false});
    }
    return result;
}

namespace {

/// A few routers that settings name, so that a router finds the others without the platform.
std::vector<std::string> seedsOf(const Deployment &deployment)
{
    constexpr std::size_t mostSeeds = 4;
    std::vector<std::string> seeds;
    for (const RouterLayout &router : routersOf(deployment)) {
        if (seeds.size() < mostSeeds) {
            seeds.push_back(toText(router.datagrams));
        }
    }
    return seeds;
}

} // namespace

nlohmann::ordered_json settingsOf(const Deployment &deployment, const RouterLayout &router)
{
    return {{"id", router.id},
            {"place", router.place},
            {"workers", deployment.workersOfRouter},
            {"callers", {{"address", router.callers.host}, {"port", router.callers.port}}},
            {"operators", {{"address", router.operators.host}, {"port", router.operators.port}}},
            {"peer",
             {{"address", router.datagrams.host},
              {"datagramPort", router.datagrams.port},
              {"callPort", router.calls.port},
              {"seeds", seedsOf(deployment)}}},
            {"platform", {{"url", "http://" + toText(platformOf(deployment))}}},
            {"lingerMilliseconds", 500}};
}

} // namespace plantainswitch::lab
