#include "policysim.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <numeric>
#include <queue>

#include "policyworld.h"

namespace plantainswitch::lab {

namespace {

constexpr int mostAttempts = 3;
constexpr double prefillTokensPerSecond = 10'000.0;
constexpr double tokenSeconds = 0.015;
constexpr Duration listPeriod = Seconds{1};
constexpr Duration samplePeriod = Milliseconds{100};
constexpr Duration reportPeriod = Seconds{1};
constexpr Duration summaryPeriod = Seconds{1};
constexpr Duration digestPeriod = Seconds{2};
constexpr Duration disagreePeriod = Seconds{30};
/// Pools start empty; what is measured begins after this part of the run, at most.
constexpr double warmUpShare = 0.25;
constexpr double longestWarmUpSeconds = 20.0;

struct Run
{
    std::uint32_t router = 0;
    std::size_t engine = 0;
    std::uint32_t generation = 0;
    BenchChoice choice;
};

struct Timed
{
    Duration at{};
    std::uint64_t order = 0;
    std::function<void()> action;
};

struct Later
{
    bool operator()(const Timed &first, const Timed &second) const noexcept
    {
        return first.at != second.at ? first.at > second.at : first.order > second.order;
    }
};

class Simulation
{
public:
    Simulation(const PolicyOptions &options, const PolicyTrace &trace)
        : options(options)
        , trace(trace)
        , world(options)
        , begin(this->world.clock.now())
        , end(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(options.seconds)))
        , warmUp(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
              std::min(longestWarmUpSeconds, warmUpShare * options.seconds))))
    {}

    PolicyResult run()
    {
        for (const TraceRequest &request : this->trace.requests) {
            this->schedule(request.at, [this, &request] { this->arrive(request, {}, 1); });
        }
        for (const TraceChange &change : this->trace.changes) {
            this->schedule(change.at, [this, &change] { this->change(change); });
        }
        this->every(listPeriod, [this] { this->takeList(); });
        this->every(samplePeriod, [this] { this->sample(); });
        this->every(reportPeriod, [this] { this->report(); });
        this->every(summaryPeriod, [this] {
            sendSummaries(this->world);
            sendHints(this->world);
        });
        this->every(digestPeriod, [this] { sendDigests(this->world); });
        if (this->options.disagreeSeconds > 0) {
            this->every(disagreePeriod, [this] { this->disagree(); });
        }
        while (!this->queue.empty() && this->queue.top().at <= this->end) {
            const Timed next = this->queue.top();
            this->queue.pop();
            this->world.clock.advance(next.at - this->now());
            next.action();
        }
        this->result.controlBytes = this->world.controlBytes;
        this->result.meanLoad = this->loadSum / std::max(1.0, this->loadSamples);
        std::sort(this->result.skews.begin(), this->result.skews.end());
        std::sort(this->result.excesses.begin(), this->result.excesses.end());
        return std::move(this->result);
    }

private:
    [[nodiscard]] Duration now() const { return this->world.clock.now() - this->begin; }

    void schedule(Duration at, std::function<void()> action)
    {
        this->queue.push({at, this->nextOrder++, std::move(action)});
    }

    void every(Duration period, const std::function<void()> &action)
    {
        this->schedule(this->now() + period, [this, period, action] {
            action();
            this->every(period, action);
        });
    }

    void arrive(const TraceRequest &request, std::vector<UpstreamId> avoid, int attempt)
    {
        const auto before = std::chrono::steady_clock::now();
        const auto choice = choose(this->world, request, avoid);
        this->result.decisionSeconds +=
            std::chrono::duration<double>(std::chrono::steady_clock::now() - before).count();
        if (attempt == 1) {
            ++this->result.requests;
        }
        if (!choice) {
            ++this->result.refused;
            return;
        }
        const auto found = this->world.engineIndex.find(choice->upstream);
        if (found == this->world.engineIndex.end() || !this->world.engines[found->second].up) {
            this->release(request.router, *choice);
            this->world.routers[request.router]->upstreams.markUnreachable(choice->upstream,
                                                                           this->world.clock.now());
            if (attempt == mostAttempts) {
                ++this->result.refused;
                return;
            }
            ++this->result.retries;
            avoid.push_back(choice->upstream);
            this->arrive(request, std::move(avoid), attempt + 1);
            return;
        }
        this->serve(request, {request.router, found->second,
                              this->world.engines[found->second].generation, *choice});
    }

    void serve(const TraceRequest &request, const Run &run)
    {
        BenchEngine &engine = this->world.engines[run.engine];
        const auto places = this->world.admissionOf(request.workspace).dataCentres;
        if (std::find(places.begin(), places.end(), engine.vm.dataCentre) == places.end()) {
            ++this->result.placeViolations;
        }
        const auto &blocks = this->trace.chats[request.chat];
        const std::vector<PromptBlock> prompt(
            blocks.begin(), blocks.begin() + static_cast<std::ptrdiff_t>(request.blocks));
        const std::uint32_t cached = engine.cache.reuse(prompt);
        engine.cache.insert(prompt);
        if (this->now() >= this->warmUp) {
            this->result.reusedTokens += cached;
            this->result.reusableTokens += request.reusableTokens;
        }
        ++engine.load;
        this->checkBound(engine);
        const double seconds = (request.promptTokens - cached) / prefillTokensPerSecond
                               + request.answerTokens * tokenSeconds;
        this->schedule(
            this->now()
                + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)),
            [this, run] { this->finish(run); });
    }

    void finish(const Run &run)
    {
        BenchEngine &engine = this->world.engines[run.engine];
        if (engine.generation == run.generation) {
            --engine.load;
        }
        this->release(run.router, run.choice);
    }

    void release(std::uint32_t router, const BenchChoice &choice)
    {
        if (!choice.counted) {
            return;
        }
        const SlotRelease release{choice.shard, {choice.askId}};
        if (choice.keeper != router) {
            this->world.send(release);
        }
        this->world.routers[choice.keeper]->keeper.release(router, release);
        this->world.routers[router]->held[choice.shard].second.erase(choice.askId);
        const auto present = coordinatorOf(this->world.routers[router]->held[choice.shard].first,
                                           this->world.routers[router]->active);
        const std::uint32_t now = present ? this->world.routerIndex.at(present->id) : choice.keeper;
        if (now != choice.keeper && this->options.policy != "local-bound") {
            this->world.send(release);
            this->world.routers[now]->keeper.release(router, release);
        }
    }

    void change(const TraceChange &what)
    {
        BenchEngine &engine = this->world.engines[what.engine];
        if (what.kind == TraceChange::Kind::Replace) {
            this->world.renewEngine(what.engine);
        } else if (what.kind == TraceChange::Kind::Down) {
            engine.up = false;
            engine.load = 0;
            ++engine.generation;
        } else {
            engine.up = true;
        }
    }

    /// The platform's list is a second old when it is taken.
    void takeList()
    {
        if (this->options.platformDown) {
            return;
        }
        for (const auto &router : this->world.routers) {
            router->upstreams.replace(this->lateList);
        }
        this->lateList = this->world.listOfVms();
    }

    void report()
    {
        for (BenchEngine &engine : this->world.engines) {
            engine.reported = engine.load;
        }
    }

    void sample()
    {
        if (this->now() < this->warmUp) {
            return;
        }
        for (std::uint32_t place = 0; place < this->options.places; ++place) {
            this->samplePool(BenchWorld::placeName(place));
        }
    }

    void samplePool(const std::string &place)
    {
        const auto [total, count, most] = this->poolLoad(place);
        // Below one request an engine, the rounding is all that max over mean would show.
        if (count == 0 || total < count) {
            return;
        }
        const double mean = static_cast<double>(total) / static_cast<double>(count);
        this->result.skews.push_back(most / mean);
        this->result.excesses.push_back(
            static_cast<double>(most)
            - static_cast<double>(loadBound(this->world.bound(), total, count)));
        this->loadSum += mean;
        this->loadSamples += 1.0;
    }

    struct PoolLoad
    {
        std::uint64_t total = 0;
        std::size_t count = 0;
        std::uint32_t most = 0;
    };

    [[nodiscard]] PoolLoad poolLoad(const std::string &place) const
    {
        PoolLoad pool;
        for (const BenchEngine &engine : this->world.engines) {
            if (engine.vm.dataCentre == place && engine.up && this->isListed(engine.id)) {
                pool.total += engine.load;
                pool.most = std::max(pool.most, engine.load);
                ++pool.count;
            }
        }
        return pool;
    }

    /// An engine that the platform's late list doesn't show yet is no part of its pool.
    [[nodiscard]] bool isListed(UpstreamId id) const
    {
        return this->world.routers.front()->upstreams.find(id).has_value();
    }

    /// \a engine has just got a request; the bound was set by the load before it.
    void checkBound(const BenchEngine &engine)
    {
        const PoolLoad pool = this->poolLoad(engine.vm.dataCentre);
        if (this->now() >= this->warmUp
            && engine.load > loadBound(this->world.bound(), pool.total - 1, pool.count)) {
            ++this->result.boundViolations;
        }
    }

    /// Half of the routers miss one in each place for a while, so that its shards have two keepers.
    void disagree()
    {
        std::vector<Heartbeat> all;
        for (const auto &router : this->world.routers) {
            all.push_back(router->self);
        }
        std::vector<Heartbeat> fewer = all;
        for (std::uint32_t place = 0; place < this->options.places; ++place) {
            const auto keeper = coordinatorOf({"model", BenchWorld::placeName(place), 0}, all);
            std::erase_if(fewer, [&keeper](const Heartbeat &member) {
                return keeper && member.id == keeper->id;
            });
        }
        for (std::size_t index = 0; index < this->world.routers.size(); index += 2) {
            this->world.routers[index]->active = fewer;
        }
        const Duration until = std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(this->options.disagreeSeconds));
        this->schedule(this->now() + until, [this, all] {
            for (const auto &router : this->world.routers) {
                router->active = all;
            }
        });
    }

    const PolicyOptions &options;
    const PolicyTrace &trace;
    BenchWorld world;
    TimePoint begin;
    Duration end;
    Duration warmUp;
    std::priority_queue<Timed, std::vector<Timed>, Later> queue;
    std::uint64_t nextOrder = 0;
    std::vector<Vm> lateList = this->world.listOfVms();
    double loadSum = 0;
    double loadSamples = 0;
    PolicyResult result;
};

} // namespace

PolicyResult runPolicy(const PolicyOptions &options, const PolicyTrace &trace)
{
    return Simulation(options, trace).run();
}

} // namespace plantainswitch::lab
