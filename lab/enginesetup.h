#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "plantainswitch/base/clock.h"
#include "plantainswitch/catalogue/entry.h"

namespace plantainswitch::lab {

/// What an engine stand-in has loaded, and the orders that it took.
class SimulatedSetup
{
public:
    /// Serves GET and PUT /orders. \returns status and body of the answer.
    std::pair<int, nlohmann::json> serve(const std::string &method, const std::string &body);
    /// Takes an order. \returns whether it was carried out.
    bool order(const EngineSetup &wanted, std::uint64_t fencing);
    [[nodiscard]] bool loading() const;

    /// Some engines refuse an order with an old fencing number, others ignore the number.
    bool checksFencing = true;
    EngineSetup current{"base", "1", "none", "serve"};
    std::uint64_t highest = 0;
    /// Fencing numbers of the orders that were carried out.
    std::vector<std::uint64_t> carriedOut;

private:
    TimePoint loadsUntil;
};

} // namespace plantainswitch::lab
