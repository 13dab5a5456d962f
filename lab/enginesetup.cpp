#include "enginesetup.h"

#include <algorithm>

namespace plantainswitch::lab {

namespace {

constexpr int statusOk = 200;
constexpr int statusBad = 400;
constexpr int statusConflict = 409;
constexpr std::chrono::milliseconds loadTime{200};

void take(std::string &part, const std::string &wanted)
{
    part = wanted.empty() ? part : wanted;
}

} // namespace

std::pair<int, nlohmann::json> SimulatedSetup::serve(const std::string &method,
                                                     const std::string &body)
{
    if (method == "PUT") {
        const auto json = nlohmann::json::parse(body, nullptr, false);
        if (!json.is_object()) {
            return {statusBad, {{"error", "no order"}}};
        }
        const EngineSetup wanted{json.value("model", ""), json.value("version", ""),
                                 json.value("adapter", ""), json.value("role", "")};
        if (!this->order(wanted, json.value("fencing", std::uint64_t{0}))) {
            return {statusConflict, {{"error", "old fencing number"}}};
        }
        this->loadsUntil = std::chrono::steady_clock::now() + loadTime;
    }
    return {statusOk,
            {{"model", this->current.model},
             {"version", this->current.version},
             {"adapter", this->current.adapter},
             {"role", this->current.role},
             {"fencing", this->highest},
             {"loading", this->loading()}}};
}

bool SimulatedSetup::order(const EngineSetup &wanted, std::uint64_t fencing)
{
    if (this->checksFencing && fencing < this->highest) {
        return false;
    }
    this->highest = this->checksFencing ? fencing : 0;
    take(this->current.model, wanted.model);
    take(this->current.version, wanted.version);
    take(this->current.adapter, wanted.adapter);
    take(this->current.role, wanted.role);
    this->carriedOut.push_back(fencing);
    return true;
}

bool SimulatedSetup::loading() const
{
    return std::chrono::steady_clock::now() < this->loadsUntil;
}

} // namespace plantainswitch::lab
