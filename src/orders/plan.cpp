#include "plantainswitch/orders/plan.h"

#include <algorithm>

namespace plantainswitch {

namespace {

constexpr std::size_t wholePercent = 100;

bool agrees(const std::string &value, const std::string &wanted)
{
    return wanted.empty() || value == wanted;
}

} // namespace

bool matchesSetup(const EngineSetup &setup, const EngineSetup &wanted)
{
    return agrees(setup.model, wanted.model) && agrees(setup.version, wanted.version)
           && agrees(setup.adapter, wanted.adapter) && agrees(setup.role, wanted.role);
}

std::vector<std::size_t> planOrders(const std::vector<EngineStatus> &engines,
                                    const EngineOrders &wanted)
{
    std::size_t ready = 0;
    std::size_t loading = 0;
    std::vector<std::size_t> behind;
    for (std::size_t index = 0; index < engines.size(); ++index) {
        const EngineStatus &engine = engines[index];
        ready += engine.isReachable && !engine.isLoading ? 1 : 0;
        // An engine that doesn't respond may be loading.
        loading += !engine.isReachable || engine.isLoading ? 1 : 0;
        if (engine.isReachable && !engine.isLoading && !matchesSetup(engine.setup, wanted.setup)) {
            behind.push_back(index);
        }
    }
    // Rounded down, so that a pool of one engine can be changed at all.
    const std::size_t leastReady = engines.size() * wanted.minReadyPercent / wholePercent;
    const std::size_t bySpare = ready > leastReady ? ready - leastReady : 0;
    const std::size_t byStore =
        wanted.maxConcurrentLoads > loading ? wanted.maxConcurrentLoads - loading : 0;
    behind.resize(std::min({behind.size(), bySpare, byStore}));
    return behind;
}

} // namespace plantainswitch
