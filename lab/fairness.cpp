#include "fairness.h"

#include <algorithm>
#include <random>

#include "plantainswitch/plantainswitch.h"

#include "enginemodel.h"

namespace plantainswitch::lab {

namespace {

constexpr std::size_t engineCount = 4;
constexpr std::uint32_t slotsOfEngine = 8;
constexpr std::uint32_t answerTokens = 20;
constexpr Milliseconds step{5};
constexpr std::uint64_t workspaces = 10;
/// Requests a second of each workspace: about 60% of what the engines do in all.
constexpr double shareRate = 18.0;
constexpr double surgeFactor = 20.0;
constexpr std::uint32_t allowedWait = 2000;
constexpr Seconds phaseLength{30};

struct PhaseResult
{
    std::vector<double> othersWaits;
    std::size_t othersRefused = 0;
    std::size_t othersExpired = 0;
    std::size_t surgingServed = 0;
    std::size_t surgingRefused = 0;
};

double quantile(std::vector<double> values, double part)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(part * static_cast<double>(values.size() - 1))];
}

/// One shard's keeper, its queue and its engines.
class World
{
public:
    World(std::uint64_t seed, bool fair)
        : random(seed)
        , fair(fair)
    {
        EngineSpeed speed;
        speed.step = step;
        speed.batch = slotsOfEngine;
        for (std::size_t index = 0; index < engineCount; ++index) {
            this->engines.emplace_back(speed);
            this->ready.push_back(index + 1);
        }
        this->bound.capacity = slotsOfEngine;
    }

    PhaseResult run(double surge)
    {
        this->result = {};
        const TimePoint end = this->clock.now() + phaseLength;
        while (this->clock.now() < end) {
            this->arrive(surge);
            this->clock.advance(step);
            this->work();
            this->expire();
            this->drain();
        }
        return this->result;
    }

private:
    void arrive(double surge)
    {
        for (std::uint64_t workspace = 0; workspace < workspaces; ++workspace) {
            const double rate = shareRate * (workspace == 0 ? surge : 1.0);
            std::poisson_distribution<int> arrivals(rate
                                                    * std::chrono::duration<double>(step).count());
            for (int count = arrivals(this->random); count > 0; --count) {
                this->ask(workspace);
            }
        }
    }

    void ask(std::uint64_t workspace)
    {
        SlotRequest ask{this->nextId++, {"model", "place", 0}, this->random(), 0, {}};
        ask.waitMilliseconds = allowedWait;
        ask.workspace = this->fair ? workspace : 0;
        this->owners[ask.requestId] = workspace;
        if (this->queue.length == 0 && this->grant(ask, this->clock.now())) {
            return;
        }
        QueueSettings settings;
        settings.maxPerWeight = this->fair ? settings.maxPerWeight : settings.maxTotal;
        const auto outcome = enqueueRequest(this->queue, 1, ask, settings, this->clock.now());
        if (outcome.verdict == QueueVerdict::Refused) {
            ++(workspace == 0 ? this->result.surgingRefused : this->result.othersRefused);
        }
    }

    bool grant(const SlotRequest &ask, TimePoint arrived)
    {
        const SlotReply reply =
            grantSlot(this->shard, 1, ask, {this->ready, this->bound, false}, this->clock.now());
        if (reply.verdict != SlotVerdict::Granted) {
            return false;
        }
        EngineRequest request;
        request.id = std::to_string(ask.requestId);
        request.answerTokens = answerTokens;
        this->engines[reply.upstream - 1].submit(std::move(request));
        const std::chrono::duration<double, std::milli> wait = this->clock.now() - arrived;
        if (this->owners[ask.requestId] == 0) {
            ++this->result.surgingServed;
        } else {
            this->result.othersWaits.push_back(wait.count());
        }
        return true;
    }

    void work()
    {
        for (EngineModel &engine : this->engines) {
            for (const EngineToken &token : engine.step()) {
                if (token.last) {
                    releaseSlot(this->shard, {1, static_cast<std::uint32_t>(std::stoul(token.id))});
                }
            }
        }
    }

    void expire()
    {
        for (auto &[workspace, flow] : this->queue.flows) {
            for (QueuedRequest &queued : flow.waiting) {
                queued.lastRepeatedAt = this->clock.now();
            }
        }
        for (const QueuedRequest &expired : expireRequests(this->queue, this->clock.now())) {
            this->result.othersExpired += this->owners[expired.request.requestId] == 0 ? 0 : 1;
        }
    }

    void drain()
    {
        while (const QueuedRequest *next = peekRequest(this->queue)) {
            if (!this->grant(next->request, next->arrivedAt)) {
                return;
            }
            popRequest(this->queue, true, this->clock.now());
        }
    }

    ManualClock clock;
    std::mt19937_64 random;
    bool fair;
    std::vector<EngineModel> engines;
    std::vector<UpstreamId> ready;
    LoadBoundSettings bound;
    ShardState shard;
    FairQueue queue;
    std::map<std::uint32_t, std::uint64_t> owners;
    std::uint32_t nextId = 1;
    PhaseResult result;
};

nlohmann::ordered_json toJson(const PhaseResult &result)
{
    constexpr double median = 0.5;
    constexpr double high = 0.99;
    return {{"othersServed", result.othersWaits.size()},
            {"othersWaitP50Milliseconds", quantile(result.othersWaits, median)},
            {"othersWaitP99Milliseconds", quantile(result.othersWaits, high)},
            {"othersRefused", result.othersRefused},
            {"othersExpired", result.othersExpired},
            {"surgingServed", result.surgingServed},
            {"surgingRefused", result.surgingRefused}};
}

} // namespace

nlohmann::ordered_json measureFairness(std::uint64_t seed)
{
    nlohmann::ordered_json report;
    for (const bool fair : {true, false}) {
        World world(seed, fair);
        nlohmann::ordered_json phases;
        phases["before"] = toJson(world.run(1.0));
        phases["surge"] = toJson(world.run(surgeFactor));
        phases["after"] = toJson(world.run(1.0));
        report[fair ? "fairQueue" : "firstInFirstOut"] = phases;
    }
    return report;
}

} // namespace plantainswitch::lab
