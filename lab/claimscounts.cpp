#include "claimscounts.h"

#include <algorithm>

namespace plantainswitch::lab {

namespace {

double quantile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

} // namespace

nlohmann::ordered_json sumOf(const std::vector<ClaimCounts> &seconds, std::size_t from,
                             std::size_t until)
{
    ClaimCounts sum;
    std::uint64_t mostReads = 0;
    std::uint64_t mostWrites = 0;
    for (std::size_t index = from; index < until; ++index) {
        const ClaimCounts &each = seconds[index];
        sum.reads += each.reads;
        sum.writes += each.writes;
        sum.lostRaces += each.lostRaces;
        sum.loads += each.loads;
        sum.granted += each.granted;
        sum.refused += each.refused;
        sum.milliseconds.insert(sum.milliseconds.end(), each.milliseconds.begin(),
                                each.milliseconds.end());
        mostReads = std::max(mostReads, each.reads);
        mostWrites = std::max(mostWrites, each.writes);
    }
    const auto length = static_cast<double>(until - from);
    return {{"granted", sum.granted},
            {"refusedNotRun", sum.refused},
            {"millisecondsP50", quantile(sum.milliseconds, 0.5)},
            {"millisecondsP99", quantile(sum.milliseconds, 0.99)},
            {"writesPerClaim", static_cast<double>(sum.writes)
                                   / static_cast<double>(std::max<std::uint64_t>(1, sum.granted))},
            {"writesPerSecond", static_cast<double>(sum.writes) / length},
            {"mostWritesPerSecond", mostWrites},
            {"lostRaces", sum.lostRaces},
            {"loads", sum.loads},
            {"reads", sum.reads},
            {"mostReadsPerSecond", mostReads}};
}

} // namespace plantainswitch::lab
