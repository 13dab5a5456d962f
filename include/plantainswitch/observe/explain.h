#pragma once

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "plantainswitch/base/lockorder.h"

namespace plantainswitch {

/// The placement decisions on a request, step by step.
struct Explanation
{
    std::string requestId;
    std::vector<std::string> steps;
};

/// Number of requests whose explanations are kept.
inline constexpr std::size_t maxExplanations = 4096;

/// Thread-safe store of the explanations of the latest requests.
class ExplainTable
{
public:
    void record(Explanation explanation);
    [[nodiscard]] std::optional<Explanation> find(const std::string &requestId) const;

private:
    mutable RankedMutex mutex{LockRank::Explain};
    std::unordered_map<std::string, Explanation> explanations;
    std::deque<std::string> order;
};

} // namespace plantainswitch
