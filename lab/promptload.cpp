#include "promptload.h"

#include <algorithm>
#include <list>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <unordered_map>

namespace plantainswitch::lab {

namespace {

/// Milliseconds since the start of the run.
using Time = double;

constexpr double readPerMillisecond = 110.0;
constexpr double copiedPerMillisecond = 227.0;
constexpr double copySetup = 2.0;
constexpr double stepMilliseconds = 6.08;
constexpr double stepPerRunning = 0.0413;

/// The parts that an engine keeps, the least recently used first.
class EngineMemory
{
public:
    [[nodiscard]] bool has(std::uint64_t part) const { return this->found.contains(part); }

    void use(std::uint64_t part, double tokens, double capacity)
    {
        if (const auto known = this->found.find(part); known != this->found.end()) {
            this->parts.splice(this->parts.end(), this->parts, known->second);
            return;
        }
        this->parts.push_back({part, tokens});
        this->found[part] = std::prev(this->parts.end());
        this->held += tokens;
        while (this->held > capacity && this->parts.size() > 1) {
            this->held -= this->parts.front().tokens;
            this->found.erase(this->parts.front().part);
            this->parts.pop_front();
        }
    }

private:
    struct Part
    {
        std::uint64_t part = 0;
        double tokens = 0.0;
    };

    std::list<Part> parts;
    std::unordered_map<std::uint64_t, std::list<Part>::iterator> found;
    double held = 0.0;
};

struct Engine
{
    UpstreamState state;
    EngineMemory memory;
    /// Until when it reads what it has been sent.
    Time readingUntil = 0.0;
    double runningTokens = 0.0;
};

struct Run
{
    Time first = 0.0;
    Time end = 0.0;
    std::shared_ptr<Engine> engine;
    double tokens = 0.0;
    double uncached = 0.0;
    bool firstSeen = false;

    [[nodiscard]] Time due() const { return this->firstSeen ? this->end : this->first; }
};

struct Later
{
    bool operator()(const Run &left, const Run &right) const { return left.due() > right.due(); }
};

class Player
{
public:
    Player(const PromptLoad &load, const SelectionPolicy &policy)
        : load(load)
        , policy(policy)
        , random(load.seed)
    {
        for (std::uint32_t i = 0; i < load.engines; ++i) {
            this->addEngine();
        }
    }

    PromptLoadResult play()
    {
        std::exponential_distribution<double> pause(this->load.requestsPerSecond / 1000.0);
        const Time end = this->load.seconds * 1000.0;
        Time nextReplaced = this->load.replaced == 0 ? end : end / (this->load.replaced + 1);
        for (Time now = pause(this->random); now < end; now += pause(this->random)) {
            while (now >= nextReplaced) {
                this->replaceOne();
                nextReplaced += end / (this->load.replaced + 1);
            }
            this->endRuns(now);
            this->request(now);
        }
        return this->summary();
    }

private:
    void addEngine()
    {
        auto engine = std::make_shared<Engine>();
        engine->state.replica.id = "engine-" + std::to_string(this->nextEngine);
        engine->state.replica.dataCentre =
            "place-" + std::to_string(this->nextEngine % this->load.places);
        engine->state.replica.maxConcurrency = this->load.slots;
        ++this->nextEngine;
        this->engines.push_back(std::move(engine));
        this->refresh();
    }

    void replaceOne()
    {
        this->engines.erase(this->engines.begin());
        this->addEngine();
    }

    void refresh()
    {
        this->candidates.clear();
        for (const auto &engine : this->engines) {
            this->candidates.push_back(&engine->state);
        }
    }

    void endRuns(Time now)
    {
        while (!this->runs.empty() && this->runs.top().due() <= now) {
            Run run = this->runs.top();
            this->runs.pop();
            if (!run.firstSeen) {
                run.firstSeen = true;
                run.engine->state.ownPendingPrefill -= run.uncached;
                this->runs.push(run);
                continue;
            }
            run.engine->state.ownRunning -= 1;
            run.engine->runningTokens -= run.tokens;
        }
    }

    Prompt nextPrompt()
    {
        std::uniform_real_distribution<double> share;
        std::uniform_int_distribution<std::uint64_t> subjects(1, this->load.subjects);
        const std::uint64_t subject =
            share(this->random) < this->load.hotShare ? 1 : subjects(this->random);
        const std::uint64_t prefix = 1'000'000 + subject % this->load.prefixes;
        const std::uint64_t own = 2'000'000 + ++this->result.requests;
        return {"m",
                {{prefix, this->load.prefixTokens},
                 {subject, this->load.subjectTokens},
                 {own, this->load.ownTokens}},
                this->load.outputTokens};
    }

    void request(Time now)
    {
        const Prompt prompt = this->nextPrompt();
        const std::vector<std::uint64_t> chain = prefixHashesOf(prompt);
        const std::string place =
            "place-" + std::to_string(this->result.requests % this->load.places);
        const TimePoint at{std::chrono::duration_cast<Duration>(
            std::chrono::duration<double, std::milli>(now + 1.0))};
        const auto choice = selectUpstream(this->candidates, {place, 0, &prompt, chain, {}},
                                           this->known, this->policy, at);
        if (!choice) {
            return;
        }
        const std::shared_ptr<Engine> engine = this->engines[choice->index];
        const Engine *const donor =
            choice->transferSource ? this->engines[*choice->transferSource].get() : nullptr;
        this->known.recordUse(chain, incarnationOf(engine->state.replica), at);
        this->start(now, *choice, prompt, chain, engine, donor);
    }

    void start(Time now, const UpstreamSelection &choice, const Prompt &prompt,
               const std::vector<std::uint64_t> &chain, const std::shared_ptr<Engine> &engine,
               const Engine *donor)
    {
        double read = 0.0;
        double copied = 0.0;
        bool isHeld = true;
        bool isOffered = donor != nullptr;
        for (std::size_t i = 0; i < chain.size(); ++i) {
            const double tokens = prompt.parts[i].tokens;
            isHeld = isHeld && engine->memory.has(chain[i]);
            isOffered = isOffered && donor->memory.has(chain[i]);
            if (!isHeld && isOffered) {
                copied += tokens;
            } else if (!isHeld) {
                read += tokens;
                this->result.readAgainTokens +=
                    this->readBefore.insert(chain[i]).second ? 0 : tokens;
            }
        }
        const double capacity = this->load.memoryTokens - engine->runningTokens;
        for (std::size_t i = 0; i < chain.size(); ++i) {
            engine->memory.use(chain[i], prompt.parts[i].tokens, capacity);
        }
        this->result.readTokens += read;
        this->result.copiedTokens += copied;
        UpstreamState &state = engine->state;
        state.ownRunning += 1;
        state.ownPendingPrefill += choice.uncachedTokens;
        const Time begun = std::max(now, engine->readingUntil);
        engine->readingUntil = begun + read / readPerMillisecond
                               + (copied > 0 ? copySetup + copied / copiedPerMillisecond : 0.0);
        const double step = stepMilliseconds + stepPerRunning * state.ownRunning;
        Run run;
        run.first = engine->readingUntil + step;
        run.end = run.first + step * prompt.outputTokens;
        run.engine = engine;
        run.tokens = prompt.parts.back().tokens + prompt.outputTokens;
        run.uncached = choice.uncachedTokens;
        engine->runningTokens += run.tokens;
        this->firstTokens.push_back(run.first - now);
        this->runs.push(std::move(run));
        this->noteLoads(state.ownRunning);
    }

    void noteLoads(std::uint32_t running)
    {
        double all = 0.0;
        for (const auto &engine : this->engines) {
            all += engine->state.ownRunning;
        }
        const double bound = 2.0 * all / static_cast<double>(this->engines.size()) + 3.0;
        this->result.highestAboveBound = std::max(this->result.highestAboveBound, running - bound);
    }

    PromptLoadResult summary()
    {
        std::sort(this->firstTokens.begin(), this->firstTokens.end());
        double sum = 0.0;
        for (const double each : this->firstTokens) {
            sum += each;
        }
        if (!this->firstTokens.empty()) {
            this->result.meanFirstToken = sum / static_cast<double>(this->firstTokens.size());
            this->result.p99FirstToken = this->firstTokens[this->firstTokens.size() * 99 / 100];
        }
        return this->result;
    }

    PromptLoad load;
    SelectionPolicy policy;
    std::mt19937_64 random;
    std::vector<std::shared_ptr<Engine>> engines;
    std::vector<UpstreamState *> candidates;
    std::uint32_t nextEngine = 0;
    PrefixIndex known;
    std::priority_queue<Run, std::vector<Run>, Later> runs;
    std::set<std::uint64_t> readBefore;
    std::vector<double> firstTokens;
    PromptLoadResult result;
};

} // namespace

PromptLoadResult playPromptLoad(const PromptLoad &load, const SelectionPolicy &policy)
{
    return Player(load, policy).play();
}

} // namespace plantainswitch::lab
