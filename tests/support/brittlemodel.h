#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <utility>
#include <vector>

#include "plantainswitch/base/hash.h"
#include "plantainswitch/routing/brittleservices.h"
#include "plantainswitch/routing/enginecoordinator.h"

#include "simulation.h"

namespace plantainswitch {

/// Time between the announcement and the moment at which the upstreams let fewer requests wait.
inline constexpr Seconds noticeTime{3};
inline constexpr Seconds announceAt{4};
inline constexpr Seconds brittleUntil{24};
inline constexpr Seconds modelDuration{28};
inline constexpr Milliseconds coordinatorTimeout{25};
inline constexpr Milliseconds failureDetection{1500};
inline constexpr Milliseconds updateInterval{100};
inline constexpr Seconds upstreamRestart{3};
inline constexpr std::uint64_t service = 1;
inline constexpr std::uint32_t maxRejectedAttempts = 3;
/// Time without a response after which a router gives a run up.
inline constexpr Milliseconds silenceTimeout{250};
inline constexpr Seconds upstreamSilence{1};
inline constexpr std::size_t maxRunsOfRequest = 2;

struct BrittleOptions
{
    std::size_t routers = 0;
    std::size_t upstreams = 0;
    /// With several data centres, the routers of an upstream's own one coordinate it, and updates
    /// to others are sent as rarely as between real routers.
    std::size_t dataCentres = 1;
    std::uint32_t slots = 0;
    /// Requests that wait at an upstream at most, before and after noticeTime.
    std::uint32_t waitingBefore = 0;
    std::uint32_t waitingAfter = 0;
    std::uint32_t maxRejections = 0;
    /// Requests that arrive, relative to what the upstreams can run.
    double load = 1.5;
    double datagramLoss = 0.005;
    /// Interval of restarts of single routers; 0: none.
    Milliseconds restartInterval{0};
    /// When all routers are killed; 0: never.
    Milliseconds killAllAt{0};
    /// When the first half of the routers is cut off from the second, for five seconds; 0: never.
    Milliseconds cutAt{0};
    /// Interval at which a router stands still for two seconds; 0: never.
    Milliseconds freezeInterval{0};
    /// Interval of crashes of upstreams for reasons of their own; 0: none.
    Milliseconds crashInterval{0};
    /// Share of the requests that their router gives up while they run.
    double abandonedShare = 0.0;
    /// Share of the upstreams that go on with a run after its connection was closed.
    double persistentShare = 0.0;
    /// Interval at which an upstream stands still for a second; 0: never.
    Milliseconds silenceInterval{0};
    /// Interval at which a router responds to others late for two seconds; 0: never.
    Milliseconds slownessInterval{0};
    /// Interval at which the connections of some routers are reset on their way; 0: never.
    Milliseconds resetInterval{0};
    double resetShare = 0.5;
    bool isLimited = true;
    /// Whether coordinators keep the grants of abandoned runs.
    bool areAbandonedKept = true;
};

class BrittleModel : private Simulation
{
public:
    BrittleModel(std::uint64_t seed, const BrittleOptions &options)
        : Simulation(seed)
        , options(options)
        , routers(options.routers)
        , upstreams(options.upstreams)
    {
        for (ModelRouter &router : this->routers) {
            router.views.resize(options.upstreams);
            router.reported.resize(options.routers);
            router.heardAt.assign(options.routers, this->now);
            router.isLost.assign(options.routers, false);
        }
        for (ModelUpstream &upstream : this->upstreams) {
            upstream.incarnation = this->nextIncarnation++;
        }
    }

    void run()
    {
        this->scheduleArrival();
        for (std::size_t i = 0; i < this->routers.size(); ++i) {
            this->at(this->between(0, 100), [this, i] { this->update(i); });
        }
        this->repeat(this->options.restartInterval, [this] { this->restart(this->anyRouter()); });
        this->repeat(this->options.freezeInterval, [this] {
            this->routers[this->anyRouter()].frozenUntil = this->now + Seconds{2};
        });
        this->repeat(this->options.crashInterval,
                     [this] { this->crash(this->below(this->upstreams.size())); });
        this->repeat(this->options.silenceInterval, [this] {
            this->upstreams[this->below(this->upstreams.size())].silentUntil =
                this->now + upstreamSilence;
        });
        this->repeat(this->options.slownessInterval, [this] {
            this->routers[this->anyRouter()].slowUntil = this->now + Seconds{2};
        });
        this->repeat(this->options.resetInterval, [this] { this->resetConnections(); });
        if (this->options.killAllAt.count() > 0) {
            this->at(this->options.killAllAt, [this] {
                for (std::size_t i = 0; i < this->routers.size(); ++i) {
                    this->restart(i);
                }
            });
        }
        this->runFor(modelDuration);
    }

    /// Crashes of upstreams that had rejected too many requests within a second, most of them from
    /// routers that had run without a disturbance for noticeTime.
    [[nodiscard]] std::size_t falls() const { return this->fallCount; }
    [[nodiscard]] std::size_t served() const { return this->servedCount; }

private:
    struct UpstreamView
    {
        std::uint32_t running = 0;
        TimePoint blockedUntil;
        PermitWindow unpermitted;
    };

    struct ModelRouter
    {
        EngineCoordinator coordinator{100.0};
        BrittleServices brittle;
        std::vector<UpstreamView> views;
        /// Requests of the other routers on each upstream, by their last updates.
        std::vector<std::vector<std::uint32_t>> reported;
        /// When the last update of each router arrived.
        std::vector<TimePoint> heardAt;
        std::vector<bool> isLost;
        std::uint64_t process = 0;
        TimePoint startedAt;
        TimePoint frozenUntil;
        TimePoint slowUntil;
    };

    struct Attempt;
    using AttemptPointer = std::shared_ptr<Attempt>;

    /// A request at an upstream.
    struct Run
    {
        AttemptPointer attempt;
        std::size_t upstream = 0;
        std::uint64_t incarnation = 0;
        TimePoint sentAt;
        /// The router has closed the connection.
        bool isAbandoned = false;
        bool isExecuting = false;
        bool isOver = false;
    };
    using RunPointer = std::shared_ptr<Run>;

    struct ModelUpstream
    {
        std::uint64_t incarnation = 0;
        bool isUp = true;
        TimePoint silentUntil;
        std::uint32_t running = 0;
        std::deque<RunPointer> waiting;
        /// Time of each rejection within a second, and whether the router was in contact.
        std::deque<std::pair<TimePoint, bool>> rejections;
    };

    struct Attempt
    {
        std::uint64_t id = 0;
        std::size_t router = 0;
        std::uint64_t process = 0;
        std::vector<std::size_t> tried;
        std::uint32_t rejections = 0;
        /// The coordinator that granted the request; the number of routers if none did.
        std::size_t grantor = 0;
    };

    void repeat(Milliseconds interval, const std::function<void()> &action)
    {
        if (interval.count() > 0) {
            this->at(interval, [this, interval, action] {
                action();
                this->repeat(interval, action);
            });
        }
    }

    std::size_t anyRouter() { return this->below(this->routers.size()); }

    bool isLost() { return this->chance(this->options.datagramLoss); }

    [[nodiscard]] bool isConnected(std::size_t left, std::size_t right) const
    {
        const Duration since = this->elapsed();
        const bool isCut = this->options.cutAt.count() > 0 && since >= this->options.cutAt
                           && since < this->options.cutAt + Seconds{5};
        const std::size_t half = this->routers.size() / 2;
        return !isCut || (left < half) == (right < half);
    }

    /// \returns the data centre of a router, or of an upstream.
    [[nodiscard]] std::size_t dataCentreOf(std::size_t index) const
    {
        return index % this->options.dataCentres;
    }

    [[nodiscard]] bool isFrozen(std::size_t router) const
    {
        return this->now < this->routers[router].frozenUntil;
    }

    /// \returns whether the router has run without a disturbance for noticeTime.
    [[nodiscard]] bool isInContact(std::size_t router) const
    {
        const ModelRouter &own = this->routers[router];
        return this->now - own.startedAt >= noticeTime && this->now - own.frozenUntil >= noticeTime;
    }

    [[nodiscard]] bool announces() const
    {
        const Duration since = this->elapsed();
        return since >= announceAt && since < brittleUntil;
    }

    /// Upstreams let fewer requests wait, and crash on too many rejections.
    [[nodiscard]] bool isFragile() const
    {
        const Duration since = this->elapsed();
        return since >= announceAt + noticeTime && since < brittleUntil;
    }

    [[nodiscard]] std::uint32_t waitingLimit() const
    {
        return this->isFragile() ? this->options.waitingAfter : this->options.waitingBefore;
    }

    void scheduleArrival()
    {
        constexpr double meanRun = 130.0;
        const double capacity =
            static_cast<double>(this->options.slots) * static_cast<double>(this->options.upstreams);
        const double wait = this->exponential(meanRun / (this->options.load * capacity));
        this->at(std::chrono::microseconds{static_cast<int>(wait * 1000.0) + 1}, [this] {
            auto attempt = std::make_shared<Attempt>();
            attempt->id = this->nextAttempt++;
            attempt->router = this->anyRouter();
            attempt->process = this->routers[attempt->router].process;
            this->select(attempt);
            this->scheduleArrival();
        });
    }

    [[nodiscard]] bool isAlive(const Attempt &attempt) const
    {
        return this->routers[attempt.router].process == attempt.process;
    }

    [[nodiscard]] double brittleBound(std::size_t router) const
    {
        const auto maxRejections = this->routers[router].brittle.maxRejections(service, this->now);
        return this->options.isLimited && maxRejections
                   ? brittleLoadBound(this->options.slots, *maxRejections)
                   : 0.0;
    }

    void select(const AttemptPointer &attempt)
    {
        if (!this->isAlive(*attempt)) {
            return;
        }
        if (this->isFrozen(attempt->router)) {
            this->at(this->routers[attempt->router].frozenUntil - this->now,
                     [this, attempt] { this->select(attempt); });
            return;
        }
        const double bound = this->brittleBound(attempt->router);
        const auto chosen = this->choose(*attempt, bound > 0.0);
        if (!chosen) {
            return;
        }
        if (bound > 0.0) {
            this->requestGrant(attempt, *chosen, bound);
        } else {
            this->dispatch(attempt, *chosen);
        }
    }

    /// \returns the upstream with the fewest requests of this router, a random one among equals.
    std::optional<std::size_t> choose(const Attempt &attempt, bool isBrittle)
    {
        const ModelRouter &router = this->routers[attempt.router];
        std::optional<std::size_t> best;
        const std::size_t first = this->below(this->upstreams.size());
        for (std::size_t i = 0; i < this->upstreams.size(); ++i) {
            const std::size_t index = (first + i) % this->upstreams.size();
            const UpstreamView &view = router.views[index];
            const bool wasTried =
                std::find(attempt.tried.begin(), attempt.tried.end(), index) != attempt.tried.end();
            if (wasTried || (isBrittle && this->now < view.blockedUntil)) {
                continue;
            }
            if (!best || view.running < router.views[*best].running) {
                best = index;
            }
        }
        return best;
    }

    /// \returns the coordinator of an upstream in the eyes of a router.
    [[nodiscard]] std::size_t coordinatorOf(std::size_t router, std::size_t upstream) const
    {
        std::size_t best = router;
        std::pair<bool, std::uint64_t> bestHash{false, 0};
        for (std::size_t i = 0; i < this->routers.size(); ++i) {
            const ModelRouter &other = this->routers[i];
            const bool isKnownFrozen =
                this->isFrozen(i) && other.frozenUntil - this->now < Seconds{2} - failureDetection;
            const bool isNear = this->dataCentreOf(i) == this->dataCentreOf(upstream);
            const std::pair<bool, std::uint64_t> hash{isNear, mixHash(i + 1, upstream + 1)};
            if (this->isConnected(router, i) && !isKnownFrozen && hash >= bestHash) {
                best = i;
                bestHash = hash;
            }
        }
        return best;
    }

    void requestGrant(const AttemptPointer &attempt, std::size_t index, double bound)
    {
        const std::size_t coordinator = this->coordinatorOf(attempt->router, index);
        const std::uint64_t incarnation = this->upstreams[index].incarnation;
        const bool isLocal = coordinator == attempt->router;
        const bool isAnswered = isLocal || (!this->isFrozen(coordinator) && !this->isLost());
        if (!isAnswered) {
            this->at(coordinatorTimeout,
                     [this, attempt, index] { this->onSilence(attempt, index); });
            return;
        }
        if (!isLocal && this->now < this->routers[coordinator].slowUntil) {
            this->requestLateGrant(attempt, index, bound, coordinator);
            return;
        }
        this->at(isLocal ? Milliseconds{0} : this->between(1, 4),
                 [this, attempt, index, coordinator, incarnation, bound] {
                     EngineGrantRequest request;
                     request.router = std::to_string(attempt->router);
                     request.requestId = attempt->id;
                     request.incarnation = incarnation;
                     request.brittleBound = this->coordinatorBound(coordinator, bound);
                     const bool isGranted =
                         this->routers[coordinator]
                             .coordinator
                             .requestGrant(request, this->reportedAt(coordinator, index), this->now)
                             .granted;
                     attempt->grantor = coordinator;
                     this->at(this->between(1, 4), [this, attempt, index, isGranted] {
                         this->onReply(attempt, index, isGranted);
                     });
                 });
    }

    /// A slow coordinator's reply arrives after the requesting router has decided on its own.
    void requestLateGrant(const AttemptPointer &attempt, std::size_t index, double bound,
                          std::size_t coordinator)
    {
        const std::uint64_t incarnation = this->upstreams[index].incarnation;
        this->at(coordinatorTimeout, [this, attempt, index] { this->onSilence(attempt, index); });
        this->at(this->between(10, 60), [this, attempt, index, bound, coordinator, incarnation] {
            EngineGrantRequest request;
            request.router = std::to_string(attempt->router);
            request.requestId = attempt->id;
            request.incarnation = incarnation;
            request.brittleBound = this->coordinatorBound(coordinator, bound);
            EngineCoordinator &grants = this->routers[coordinator].coordinator;
            if (grants.requestGrant(request, this->reportedAt(coordinator, index), this->now)
                    .granted) {
                this->at(this->between(20, 40), [this, &grants, request] {
                    grants.releaseGrant(request.router, request.requestId, request.incarnation);
                });
            }
        });
    }

    [[nodiscard]] std::uint32_t reportedAt(std::size_t router, std::size_t upstream) const
    {
        const ModelRouter &own = this->routers[router];
        std::uint32_t running = own.views[upstream].running;
        for (const std::vector<std::uint32_t> &other : own.reported) {
            running += other.empty() ? 0 : other[upstream];
        }
        return running;
    }

    void onSilence(const AttemptPointer &attempt, std::size_t index)
    {
        UpstreamView &view = this->routers[attempt->router].views[index];
        const std::uint32_t share = brittleUncoordinatedShare(
            attempt->router + 1, static_cast<std::uint32_t>(this->routers.size()),
            this->options.slots, this->now);
        attempt->grantor = this->routers.size();
        if (this->isAlive(*attempt) && view.unpermitted.tryTake(share, this->now)) {
            this->dispatch(attempt, index);
            return;
        }
        view.blockedUntil = this->now + Milliseconds{300};
        this->select(attempt);
    }

    void onReply(const AttemptPointer &attempt, std::size_t index, bool isGranted)
    {
        if (!this->isAlive(*attempt)) {
            return;
        }
        if (isGranted) {
            this->dispatch(attempt, index);
            return;
        }
        this->routers[attempt->router].views[index].blockedUntil = this->now + brittleDenialWait;
        this->select(attempt);
    }

    void dispatch(const AttemptPointer &attempt, std::size_t index)
    {
        attempt->tried.push_back(index);
        this->routers[attempt->router].views[index].running += 1;
        const auto run = std::make_shared<Run>(
            Run{attempt, index, this->upstreams[index].incarnation, this->now});
        this->runs.push_back(run);
        this->at(this->between(1, 4), [this, run] { this->arrive(run); });
        if (this->options.abandonedShare > 0.0 && this->chance(this->options.abandonedShare)) {
            this->at(this->between(10, 150), [this, run] { this->abandon(run, false); });
        }
        if (this->options.silenceInterval.count() > 0) {
            this->at(silenceTimeout, [this, run] { this->abandon(run, true); });
        }
    }

    /// The router closes the connection of a run.
    void abandon(const RunPointer &run, bool isRetried)
    {
        if (run->isOver || run->isAbandoned || !this->isAlive(*run->attempt)) {
            return;
        }
        run->isAbandoned = true;
        const AttemptPointer attempt = run->attempt;
        this->release(run, this->options.areAbandonedKept ? GrantEnd::Abandoned : GrantEnd::Unused);
        if (isRetried && attempt->tried.size() < maxRunsOfRequest) {
            this->select(attempt);
        }
        this->at(this->between(1, 4), [this, run] { this->drop(run); });
    }

    /// The network resets all connections of some routers. Upstreams notice it like a closed one.
    void resetConnections()
    {
        std::erase_if(this->runs, [](const auto &run) { return run.expired(); });
        const auto affected = this->options.resetShare * static_cast<double>(this->routers.size());
        for (const std::weak_ptr<Run> &each : std::vector(this->runs)) {
            const RunPointer run = each.lock();
            if (run && static_cast<double>(run->attempt->router) < affected) {
                this->abandon(run, true);
            }
        }
    }

    [[nodiscard]] bool isPersistent(std::size_t upstream) const
    {
        constexpr std::uint64_t steps = 100;
        return static_cast<double>(mixHash(upstream + 1, steps) % steps)
               < this->options.persistentShare * static_cast<double>(steps);
    }

    /// The upstream notices that the connection was closed.
    void drop(const RunPointer &run)
    {
        ModelUpstream &upstream = this->upstreams[run->upstream];
        if (this->isPersistent(run->upstream) || upstream.incarnation != run->incarnation) {
            return;
        }
        if (this->now < upstream.silentUntil) {
            this->at(upstream.silentUntil - this->now, [this, run] { this->drop(run); });
            return;
        }
        const auto waiting = std::find(upstream.waiting.begin(), upstream.waiting.end(), run);
        if (waiting != upstream.waiting.end()) {
            upstream.waiting.erase(waiting);
            run->isOver = true;
        } else if (run->isExecuting && !run->isOver) {
            this->endRun(run);
        }
    }

    void arrive(const RunPointer &run)
    {
        ModelUpstream &upstream = this->upstreams[run->upstream];
        if (!upstream.isUp || upstream.incarnation != run->incarnation) {
            this->respond(run, false);
        } else if (this->now < upstream.silentUntil) {
            this->at(upstream.silentUntil - this->now, [this, run] { this->arrive(run); });
        } else if (upstream.running < this->options.slots) {
            this->execute(run);
        } else if (upstream.waiting.size() < this->waitingLimit()) {
            upstream.waiting.push_back(run);
        } else {
            this->reject(run);
        }
    }

    void execute(const RunPointer &run)
    {
        this->upstreams[run->upstream].running += 1;
        run->isExecuting = true;
        this->at(this->between(60, 200), [this, run] { this->finish(run); });
    }

    void finish(const RunPointer &run)
    {
        const ModelUpstream &upstream = this->upstreams[run->upstream];
        if (run->isOver) {
            return;
        }
        if (!upstream.isUp || upstream.incarnation != run->incarnation) {
            this->respond(run, false);
            return;
        }
        if (this->now < upstream.silentUntil) {
            this->at(upstream.silentUntil - this->now, [this, run] { this->finish(run); });
            return;
        }
        this->respond(run, true);
        this->endRun(run);
    }

    /// Frees the slot of a run.
    void endRun(const RunPointer &run)
    {
        ModelUpstream &upstream = this->upstreams[run->upstream];
        run->isOver = true;
        upstream.running -= 1;
        if (!upstream.waiting.empty()) {
            const RunPointer next = upstream.waiting.front();
            upstream.waiting.pop_front();
            this->execute(next);
        }
    }

    void reject(const RunPointer &run)
    {
        ModelUpstream &upstream = this->upstreams[run->upstream];
        run->isOver = true;
        upstream.rejections.emplace_back(this->now, this->isInContact(run->attempt->router));
        while (this->now - upstream.rejections.front().first > Seconds{1}) {
            upstream.rejections.pop_front();
        }
        const bool falls =
            this->isFragile() && upstream.rejections.size() > this->options.maxRejections;
        this->at(this->between(1, 4), [this, run] { this->onRejected(run); });
        if (falls) {
            const auto counted =
                std::count_if(upstream.rejections.begin(), upstream.rejections.end(),
                              [](const auto &entry) { return entry.second; });
            const bool mostCount =
                2 * static_cast<std::size_t>(counted) > upstream.rejections.size();
            this->fallCount += mostCount ? 1 : 0;
            this->crash(run->upstream);
        }
    }

    void onRejected(const RunPointer &run)
    {
        if (run->isAbandoned) {
            return;
        }
        const AttemptPointer attempt = run->attempt;
        if (this->isAlive(*attempt)) {
            this->recordResponse(attempt->router);
            this->routers[attempt->router].views[run->upstream].blockedUntil =
                this->now + brittleDenialWait;
            const std::size_t coordinator = this->coordinatorOf(attempt->router, run->upstream);
            if (!this->isFrozen(coordinator) && !this->isLost()) {
                this->at(this->between(1, 4), [this, coordinator, run] {
                    this->routers[coordinator].coordinator.recordRejection(run->incarnation,
                                                                           this->now);
                });
            }
        }
        this->release(run, GrantEnd::Responded);
        attempt->rejections += 1;
        if (attempt->rejections <= maxRejectedAttempts) {
            this->select(attempt);
        }
    }

    /// Sends the response of a run, or the end of its connection.
    void respond(const RunPointer &run, bool isServed)
    {
        this->at(this->between(1, 4), [this, run, isServed] {
            if (run->isAbandoned) {
                return;
            }
            run->isOver = true;
            this->release(run, isServed ? GrantEnd::Responded : GrantEnd::Unused);
            if (isServed && this->isAlive(*run->attempt)) {
                this->servedCount += this->announces() ? 1 : 0;
                this->recordResponse(run->attempt->router);
            }
        });
    }

    void recordResponse(std::size_t router)
    {
        this->routers[router].brittle.recordResponse(
            service, this->announces() ? std::optional(this->options.maxRejections) : std::nullopt,
            this->now);
    }

    /// The router no longer waits for the run.
    void release(const RunPointer &run, GrantEnd end)
    {
        const AttemptPointer &attempt = run->attempt;
        if (!this->isAlive(*attempt)) {
            return;
        }
        this->routers[attempt->router].views[run->upstream].running -= 1;
        const std::size_t grantor = std::exchange(attempt->grantor, this->routers.size());
        if (grantor < this->routers.size() && !this->isLost()) {
            this->at(this->between(1, 4), [this, attempt, grantor, run, end] {
                this->endGrant(*attempt, grantor, run->incarnation, end);
            });
        }
    }

    void endGrant(const Attempt &attempt, std::size_t grantor, std::uint64_t incarnation,
                  GrantEnd end)
    {
        constexpr Milliseconds typicalHold{130};
        this->routers[grantor].coordinator.endGrant(std::to_string(attempt.router), attempt.id,
                                                    incarnation, {end, typicalHold}, this->now);
    }

    void crash(std::size_t index)
    {
        ModelUpstream &upstream = this->upstreams[index];
        upstream.isUp = false;
        upstream.running = 0;
        upstream.waiting.clear();
        upstream.rejections.clear();
        upstream.incarnation = this->nextIncarnation++;
        this->at(upstreamRestart, [this, index, incarnation = upstream.incarnation] {
            if (this->upstreams[index].incarnation == incarnation) {
                this->upstreams[index].isUp = true;
            }
        });
    }

    void restart(std::size_t index)
    {
        ModelRouter &router = this->routers[index];
        const std::uint64_t process = router.process + 1;
        router = ModelRouter{};
        router.views.resize(this->options.upstreams);
        router.reported.resize(this->options.routers);
        router.heardAt.assign(this->options.routers, this->now);
        router.isLost.assign(this->options.routers, false);
        router.process = process;
        router.startedAt = this->now;
    }

    /// Sends the router's update to the others.
    void update(std::size_t from)
    {
        this->at(updateInterval, [this, from] { this->update(from); });
        if (this->isFrozen(from)) {
            return;
        }
        for (std::size_t to = 0; to < this->routers.size(); ++to) {
            if (to != from && this->isConnected(from, to) && this->isUpdateDue(from, to)
                && !this->isLost()) {
                this->applyUpdate(from, to);
            }
        }
        this->routers[from].coordinator.removeIdleEngines(this->now);
        this->removeLost(from);
    }

    /// \returns whether an update is sent this time: the fewer, the more routers there are.
    [[nodiscard]] bool isUpdateDue(std::size_t from, std::size_t to)
    {
        if (this->options.dataCentres == 1) {
            return true;
        }
        constexpr std::size_t maxFastRouters = 6;
        const std::size_t local = this->routers.size() / this->options.dataCentres;
        const std::size_t addressed = this->dataCentreOf(from) == this->dataCentreOf(to)
                                          ? local
                                          : this->routers.size() - local;
        return this->below(std::max(addressed, maxFastRouters)) < maxFastRouters;
    }

    void removeLost(std::size_t index)
    {
        ModelRouter &router = this->routers[index];
        for (std::size_t i = 0; i < this->routers.size(); ++i) {
            const bool isLost = i != index && this->now - router.heardAt[i] >= failureDetection;
            if (isLost && !router.isLost[i]) {
                router.coordinator.releaseRouter(std::to_string(i));
                router.reported[i].clear();
            }
            router.isLost[i] = isLost;
        }
    }

    /// \returns the bound that the coordinator applies.
    [[nodiscard]] double coordinatorBound(std::size_t router, double requested) const
    {
        const double own = this->brittleBound(router);
        const std::vector<bool> &isLost = this->routers[router].isLost;
        const auto lost = static_cast<std::size_t>(std::count(isLost.begin(), isLost.end(), true));
        return brittleCoordinatorShare(isLost.size() - lost, lost)
               * (own > 0.0 ? std::min(own, requested) : requested);
    }

    void applyUpdate(std::size_t from, std::size_t to)
    {
        this->routers[to].heardAt[from] = this->now;
        for (const BrittleNotice &notice : this->routers[from].brittle.notices(this->now)) {
            this->routers[to].brittle.applyNotice(notice, this->now);
        }
        std::vector<std::uint32_t> &reported = this->routers[to].reported[from];
        reported.resize(this->upstreams.size());
        for (std::size_t i = 0; i < this->upstreams.size(); ++i) {
            const std::uint32_t running = this->routers[from].views[i].running;
            reported[i] = running;
            this->routers[to].coordinator.reconcile(
                std::to_string(from), this->upstreams[i].incarnation, running, this->now);
        }
    }

    BrittleOptions options;
    std::vector<ModelRouter> routers;
    std::vector<ModelUpstream> upstreams;
    std::vector<std::weak_ptr<Run>> runs;
    std::uint64_t nextIncarnation = 1;
    std::uint64_t nextAttempt = 1;
    std::size_t fallCount = 0;
    std::size_t servedCount = 0;
};

} // namespace plantainswitch
