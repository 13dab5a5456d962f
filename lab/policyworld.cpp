#include "policyworld.h"

namespace plantainswitch::lab {

namespace {

constexpr std::uint32_t enginesOfShard = 50;
constexpr std::size_t datagramOverhead = 28;
constexpr std::uint64_t engineCacheTokens = 400'000;
constexpr std::uint32_t classes = 5;

} // namespace

BenchWorld::BenchWorld(const PolicyOptions &options)
    : options(options)
    , random(mixHash(options.seed, hashOf("choices")))
{
    const std::uint32_t enginesOfPlace = (options.engines + options.places - 1) / options.places;
    this->service.shards = options.shards > 0
                               ? options.shards
                               : (enginesOfPlace + enginesOfShard - 1) / enginesOfShard;
    this->engines.resize(options.engines);
    for (std::size_t index = 0; index < this->engines.size(); ++index) {
        this->renewEngine(index);
    }
    std::vector<Heartbeat> members;
    for (std::uint32_t index = 0; index < options.routers; ++index) {
        auto router = std::make_unique<BenchRouter>();
        router->self.id = "router-" + std::to_string(index);
        router->self.dataCentre = placeName(index % options.places);
        router->self.datagramEndpoint.port = static_cast<std::uint16_t>(index);
        members.push_back(router->self);
        this->routerIndex[router->self.id] = index;
        this->routers.push_back(std::move(router));
    }
    for (const auto &router : this->routers) {
        router->active = members;
        router->upstreams.replace(this->listOfVms());
    }
}

std::string BenchWorld::placeName(std::uint32_t place)
{
    return "place-" + std::to_string(place);
}

void BenchWorld::renewEngine(std::size_t index)
{
    BenchEngine &engine = this->engines[index];
    this->engineIndex.erase(engine.id);
    ++engine.generation;
    engine.vm.id = "engine-" + std::to_string(index) + "-" + std::to_string(engine.generation);
    engine.vm.role = VmRole::Engine;
    engine.vm.service = "model";
    engine.vm.dataCentre = placeName(static_cast<std::uint32_t>(index) % this->options.places);
    engine.id = upstreamIdOf(engine.vm.id);
    engine.cache = PrefixCache(engineCacheTokens);
    engine.load = 0;
    this->engineIndex[engine.id] = index;
}

std::vector<Vm> BenchWorld::listOfVms() const
{
    std::vector<Vm> result;
    for (const BenchEngine &engine : this->engines) {
        result.push_back(engine.vm);
    }
    return result;
}

Authorization BenchWorld::admissionOf(std::uint32_t workspace) const
{
    // Most workspaces may use all places, some all but the last, a few only the first.
    std::uint32_t permitted = this->options.places;
    if (workspace % classes == classes - 1) {
        permitted = 1;
    } else if (workspace % classes == classes - 2 && permitted > 1) {
        --permitted;
    }
    Authorization admission;
    admission.workspace = "workspace-" + std::to_string(workspace);
    admission.service = "model";
    admission.serviceEntry = this->service;
    for (std::uint32_t place = 0; place < permitted; ++place) {
        admission.dataCentres.push_back(placeName(place));
    }
    return admission;
}

LoadBoundSettings BenchWorld::bound() const
{
    LoadBoundSettings settings;
    settings.capacity = this->service.engineCapacity;
    if (this->options.policy == "local-bound" || this->options.policy == "keeper-hash") {
        settings.selectionRule = EngineSelectionRule::HashOrder;
        settings.maxRememberedChats = 0;
    } else if (this->options.policy == "keeper-last") {
        settings.selectionRule = EngineSelectionRule::HashOrder;
    }
    return settings;
}

void BenchWorld::send(const PeerBody &body)
{
    this->controlBytes += encode({1, body}).size() + datagramOverhead;
}

} // namespace plantainswitch::lab
