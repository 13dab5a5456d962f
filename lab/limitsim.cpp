#include "limitsim.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <memory>
#include <numeric>
#include <random>

#include "plantainswitch/plantainswitch.h"

#include "peercodec.h"

namespace plantainswitch::lab {

namespace {

constexpr Milliseconds step{50};
constexpr Milliseconds reportTick{250};
constexpr Seconds phaseLength{30};
constexpr std::uint32_t limitRate = 1000;
constexpr WorkspaceId workspace = 7;
constexpr std::size_t datagramOverhead = 28;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

std::size_t sizeOf(const PeerBody &body)
{
    return encode({1, body}).size() + datagramOverhead;
}

struct PhaseResult
{
    double offered = 0;
    double admitted = 0;
    /// Most that was admitted within one second.
    double mostInSecond = 0;
    /// Sum over the seconds of what was admitted above the limit.
    double above = 0;
    /// Sum over the seconds of what was offered within the limit and refused.
    double lost = 0;
};

/// Routers with one limited workspace; each tells its owner, who may change or be cut off.
class Fleet
{
public:
    Fleet(std::uint64_t seed, std::size_t routers)
        : random(seed)
        , owner(routers, 0)
        , sizes(routers, FleetSize{routers, routers, {}})
    {
        for (std::size_t index = 0; index < routers; ++index) {
            this->tables.push_back(std::make_unique<LimitTable>());
        }
    }

    /// \param offered requests a second that reach a router
    PhaseResult run(const std::function<double(std::size_t)> &offered)
    {
        PhaseResult result;
        const TimePoint end = this->clock.now() + phaseLength;
        while (this->clock.now() < end) {
            const TimePoint second = this->clock.now() + Seconds{1};
            double wanted = 0;
            double admitted = 0;
            while (this->clock.now() < second) {
                for (std::size_t router = 0; router < this->tables.size(); ++router) {
                    const int count = this->arrivals(offered(router));
                    wanted += count;
                    admitted += this->admit(router, count);
                }
                this->report();
                this->clock.advance(step);
            }
            result.offered += wanted;
            result.admitted += admitted;
            result.mostInSecond = std::max(result.mostInSecond, admitted);
            result.above += std::max(0.0, admitted - limitRate);
            result.lost += std::max(0.0, std::min<double>(wanted, limitRate) - admitted);
        }
        return result;
    }

    [[nodiscard]] TimePoint now() const noexcept { return this->clock.now(); }

    std::mt19937_64 random;
    std::vector<std::size_t> owner;
    std::vector<FleetSize> sizes;

private:
    int arrivals(double rate)
    {
        return rate <= 0 ? 0 : std::poisson_distribution<int>(rate * seconds(step))(this->random);
    }

    double admit(std::size_t router, int count)
    {
        double admitted = 0;
        for (; count > 0; --count) {
            if (!this->tables[router]->admit(workspace, this->limit, this->sizes[router],
                                             this->clock.now())) {
                this->tables[router]->release(workspace);
                admitted += 1;
            }
        }
        return admitted;
    }

    void report()
    {
        if ((this->clock.now().time_since_epoch() % reportTick).count() != 0) {
            return;
        }
        const LimitLookup lookup = [this](WorkspaceId) { return std::optional(this->limit); };
        ++this->sequence;
        for (std::size_t router = 0; router < this->tables.size(); ++router) {
            const auto uses = this->tables[router]->dueReports(
                this->sequence, lookup, this->sizes[router], this->clock.now());
            const std::size_t to = this->owner[router];
            if (uses.empty() || to >= this->tables.size()) {
                continue;
            }
            const LimitShares shares = this->tables[to]->allocateShares(
                router + 1, {this->sequence, uses}, lookup, this->sizes[to], this->clock.now());
            this->tables[router]->applyShares(shares, this->clock.now());
        }
    }

    ManualClock clock;
    WorkspaceLimit limit{limitRate, 0};
    std::vector<std::unique_ptr<LimitTable>> tables;
    std::uint32_t sequence = 0;
};

nlohmann::ordered_json toJson(const PhaseResult &result)
{
    const double length = seconds(phaseLength);
    const double allowed = limitRate * length;
    return {{"offeredPerSecond", result.offered / length},
            {"admittedPerSecond", result.admitted / length},
            {"mostInOneSecondOverLimit", result.mostInSecond / limitRate},
            {"excessOverLimit", result.above / allowed},
            {"lostBelowLimit", result.lost / allowed}};
}

nlohmann::ordered_json measurePhases(std::uint64_t seed, std::size_t routers)
{
    constexpr double pressed = 1.5;
    constexpr std::size_t fewParts = 10;
    Fleet fleet(seed, routers);
    const double even = pressed * limitRate / static_cast<double>(routers);
    const std::size_t few = std::max<std::size_t>(1, routers / fewParts);
    nlohmann::ordered_json report;
    report["evenLightLoad"] = toJson(fleet.run([&](std::size_t) { return even / (2 * pressed); }));
    report["evenOverload"] = toJson(fleet.run([&](std::size_t) { return even; }));
    report["shiftedToFewRouters"] = toJson(fleet.run([&](std::size_t router) {
        return router < few ? pressed * limitRate / static_cast<double>(few) : 0.0;
    }));
    report["backToAll"] = toJson(fleet.run([&](std::size_t) { return even; }));
    std::fill(fleet.owner.begin(), fleet.owner.end(), 1);
    fleet.sizes[1].changedAt = fleet.now();
    report["ownerChanges"] = toJson(fleet.run([&](std::size_t) { return even; }));
    std::fill(fleet.owner.begin(), fleet.owner.end(), routers);
    report["noOwnerReachable"] = toJson(fleet.run([&](std::size_t) { return even; }));
    for (std::size_t router = 0; router < routers; ++router) {
        fleet.owner[router] = router % 2;
        fleet.sizes[router] = {routers / 2, routers, fleet.now()};
    }
    report["partitionedInTwo"] = toJson(fleet.run([&](std::size_t) { return even; }));
    return report;
}

constexpr std::size_t fleetSize = 1200;
constexpr std::size_t workspaceCount = 7300;
constexpr double requestRate = 62.0;

std::vector<double> zipfWeights()
{
    std::vector<double> weights;
    for (std::size_t rank = 1; rank <= workspaceCount; ++rank) {
        weights.push_back(1.0 / static_cast<double>(rank));
    }
    return weights;
}

/// \returns limits of \a headroom times what the whole fleet gets of each workspace.
std::map<WorkspaceId, WorkspaceLimit> limitsAbove(const std::vector<double> &weights,
                                                  double headroom)
{
    const double wholeRate = requestRate * static_cast<double>(fleetSize);
    const double wholeWeight = std::accumulate(weights.begin(), weights.end(), 0.0);
    std::map<WorkspaceId, WorkspaceLimit> limits;
    for (std::size_t rank = 0; rank < weights.size(); ++rank) {
        const double rate = headroom * wholeRate * weights[rank] / wholeWeight;
        limits[workspaceIdOf(std::to_string(rank))] = {static_cast<std::uint32_t>(std::ceil(rate)),
                                                       0};
    }
    return limits;
}

std::vector<Heartbeat> wholeFleet()
{
    std::vector<Heartbeat> members(fleetSize);
    for (std::size_t index = 0; index < fleetSize; ++index) {
        members[index].id = "router-" + std::to_string(index);
    }
    return members;
}

/// One router of many: each request belongs to a workspace by a Zipf law.
nlohmann::ordered_json measureBytes(std::uint64_t seed, double headroom)
{
    constexpr int lasting = 60;
    std::mt19937_64 random(seed);
    const std::vector<double> weights = zipfWeights();
    std::discrete_distribution<std::size_t> pick(weights.begin(), weights.end());
    const std::vector<Heartbeat> members = wholeFleet();
    ManualClock clock;
    LimitTable table;
    const FleetSize size{fleetSize, fleetSize, {}};
    const auto limits = limitsAbove(weights, headroom);
    const LimitLookup lookup = [&limits](WorkspaceId id) { return std::optional(limits.at(id)); };
    std::uint32_t sequence = 0;
    std::size_t reportBytes = 0;
    std::size_t answerBytes = 0;
    std::size_t datagrams = 0;
    const int ticks = static_cast<int>(Seconds{lasting} / reportTick);
    for (int tick = 0; tick < ticks; ++tick) {
        std::poisson_distribution<int> arrivals(requestRate * seconds(reportTick));
        for (int count = arrivals(random); count > 0; --count) {
            const WorkspaceId id = workspaceIdOf(std::to_string(pick(random)));
            if (!table.admit(id, limits.at(id), size, clock.now())) {
                table.release(id);
            }
        }
        std::map<std::string, LimitReport> batches;
        for (const LimitUse &use : table.dueReports(++sequence, lookup, size, clock.now())) {
            LimitReport &batch = batches[limitOwnerOf(use.workspace, members)->id];
            batch.sequence = sequence;
            batch.uses.push_back(use);
        }
        for (const auto &[id, report] : batches) {
            LimitShares shares{sequence, {}};
            for (const LimitUse &use : report.uses) {
                shares.shares.push_back({use.workspace, use.rateWanted * headroom, 0});
            }
            reportBytes += sizeOf(report);
            answerBytes += sizeOf(shares);
            ++datagrams;
            table.applyShares(shares, clock.now());
        }
        clock.advance(reportTick);
    }
    return {{"reportsPerSecond", static_cast<double>(datagrams) / lasting},
            {"reportBytesPerSecond", static_cast<double>(reportBytes) / lasting},
            {"answerBytesPerSecond", static_cast<double>(answerBytes) / lasting},
            {"sentPerSecond", static_cast<double>(reportBytes + answerBytes) / lasting}};
}

} // namespace

nlohmann::ordered_json measureLimits(std::uint64_t seed, std::size_t routers)
{
    constexpr double light = 4.0;
    constexpr double pressed = 1.0;
    nlohmann::ordered_json report;
    report["routers"] = routers;
    report["phases"] = measurePhases(seed, routers);
    report["bytesOfOneAmong1200"]["lightLoad"] = measureBytes(seed, light);
    report["bytesOfOneAmong1200"]["everyWorkspaceAtItsLimit"] = measureBytes(seed, pressed);
    return report;
}

} // namespace plantainswitch::lab
