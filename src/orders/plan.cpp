#include "plantainswitch/orders/plan.h"

#include <algorithm>

namespace plantainswitch {

namespace {

constexpr std::size_t hundredPercent = 100;

bool matchesIfWanted(const std::string &value, const std::string &wanted)
{
    return wanted.empty() || value == wanted;
}

} // namespace

bool matchesSetup(const EngineSetup &setup, const EngineSetup &wanted)
{
    return matchesIfWanted(setup.model, wanted.model)
           && matchesIfWanted(setup.version, wanted.version)
           && matchesIfWanted(setup.adapter, wanted.adapter)
           && matchesIfWanted(setup.role, wanted.role);
}

std::vector<std::size_t> planOrders(const std::vector<EngineStatus> &engines,
                                    const EngineOrders &wanted)
{
    std::size_t ready = 0;
    std::size_t loading = 0;
    std::vector<std::size_t> outdated;
    for (std::size_t index = 0; index < engines.size(); ++index) {
        const EngineStatus &engine = engines[index];
        ready += engine.isReachable && !engine.isLoading ? 1 : 0;
        // An engine that doesn't respond may be loading.
        loading += !engine.isReachable || engine.isLoading ? 1 : 0;
        if (engine.isReachable && !engine.isLoading && !matchesSetup(engine.setup, wanted.setup)) {
            outdated.push_back(index);
        }
    }
    // Rounded down, so that a pool of one engine can be changed at all.
    const std::size_t minReady = engines.size() * wanted.minReadyPercent / hundredPercent;
    const std::size_t readyAllowance = ready > minReady ? ready - minReady : 0;
    const std::size_t loadAllowance =
        wanted.maxConcurrentLoads > loading ? wanted.maxConcurrentLoads - loading : 0;
    outdated.resize(std::min({outdated.size(), readyAllowance, loadAllowance}));
    return outdated;
}

} // namespace plantainswitch
