#pragma once

#include <algorithm>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "plantainswitch/base/hash.h"
#include "plantainswitch/routing/brittleservices.h"
#include "plantainswitch/routing/enginecoordinator.h"
#include "plantainswitch/routing/runtimeestimate.h"

#include "brittleoptions.h"
#include "brittleupstreams.h"

namespace plantainswitch {

inline constexpr std::uint64_t service = 1;

/// Routers before brittle upstreams, which coordinate their requests by grants.
class BrittleModel : private BrittleUpstreams
{
public:
    BrittleModel(std::uint64_t seed, const BrittleOptions &options)
        : BrittleUpstreams(seed, options)
        , routers(options.routers)
    {
        for (ModelRouter &router : this->routers) {
            this->prepare(router);
        }
    }

    using BrittleUpstreams::falls;

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
        this->repeat(this->options.slownessInterval, [this] { this->slowDown(); });
        this->repeat(this->options.resetInterval, [this] { this->resetConnections(); });
        this->repeat(this->options.leaveInterval, [this] { this->letCallersLeave(); });
        if (this->options.killAllAt.count() > 0) {
            this->at(this->options.killAllAt, [this] {
                for (std::size_t i = 0; i < this->routers.size(); ++i) {
                    this->restart(i);
                }
            });
        }
        this->runFor(modelDuration);
    }

    [[nodiscard]] std::size_t served() const { return this->servedCount; }

private:
    struct UpstreamView
    {
        /// By the router's list.
        std::uint64_t incarnation = 0;
        std::uint32_t running = 0;
        std::uint32_t idleConnections = 0;
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

    using AttemptPointer = std::shared_ptr<BrittleAttempt>;

    void repeat(Milliseconds interval, const std::function<void()> &action)
    {
        if (interval.count() > 0) {
            this->at(interval, [this, interval, action] {
                action();
                this->repeat(interval, action);
            });
        }
    }

    /// Prepares a router whose process has just started.
    void prepare(ModelRouter &router) const
    {
        router.views.resize(this->options.upstreams);
        for (std::size_t i = 0; i < this->options.upstreams; ++i) {
            router.views[i].incarnation = this->upstreams[i].incarnation;
        }
        router.reported.resize(this->options.routers);
        router.heardAt.assign(this->options.routers, this->now);
        router.isLost.assign(this->options.routers, false);
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
    [[nodiscard]] bool isInContact(std::size_t router) const override
    {
        const ModelRouter &own = this->routers[router];
        return this->now - own.startedAt >= noticeTime && this->now - own.frozenUntil >= noticeTime;
    }

    void scheduleArrival()
    {
        const auto meanRun = static_cast<double>(this->options.meanRun.count());
        const double capacity =
            static_cast<double>(this->options.slots) * static_cast<double>(this->options.upstreams);
        const double wait = this->exponential(meanRun / (this->options.load * capacity));
        this->at(std::chrono::microseconds{static_cast<int>(wait * 1000.0) + 1}, [this] {
            auto attempt = std::make_shared<BrittleAttempt>();
            attempt->id = this->nextAttempt++;
            attempt->router = this->anyRouter();
            attempt->process = this->routers[attempt->router].process;
            this->select(attempt);
            this->scheduleArrival();
        });
    }

    [[nodiscard]] bool isAlive(const BrittleAttempt &attempt) const
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
    std::optional<std::size_t> choose(const BrittleAttempt &attempt, bool isBrittle)
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

    /// \returns the coordinator of an upstream as a router knows it: another one takes over once
    /// the router has received no update of the previous one for some time.
    [[nodiscard]] std::size_t coordinatorOf(std::size_t router, std::size_t upstream) const
    {
        std::size_t best = router;
        std::pair<bool, std::uint64_t> bestHash{false, 0};
        for (std::size_t i = 0; i < this->routers.size(); ++i) {
            const bool isNear = this->dataCentreOf(i) == this->dataCentreOf(upstream);
            const std::pair<bool, std::uint64_t> hash{isNear, mixHash(i + 1, upstream + 1)};
            if (!this->routers[router].isLost[i] && hash >= bestHash) {
                best = i;
                bestHash = hash;
            }
        }
        return best;
    }

    [[nodiscard]] bool isReached(std::size_t from, std::size_t to)
    {
        return from == to
               || (!this->isFrozen(to) && this->isConnected(from, to) && !this->isLost());
    }

    void requestGrant(const AttemptPointer &attempt, std::size_t index, double bound)
    {
        const std::size_t coordinator = this->coordinatorOf(attempt->router, index);
        const std::uint64_t incarnation = this->routers[attempt->router].views[index].incarnation;
        const bool isLocal = coordinator == attempt->router;
        if (!this->isReached(attempt->router, coordinator)) {
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
                     request.permit.upstream = index + 1;
                     request.runTime = {this->usualRunTime(), callerDeadline};
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
        const std::uint64_t incarnation = this->routers[attempt->router].views[index].incarnation;
        this->at(coordinatorTimeout, [this, attempt, index] { this->onSilence(attempt, index); });
        this->at(this->between(10, 60), [this, attempt, index, bound, coordinator, incarnation] {
            EngineGrantRequest request;
            request.router = std::to_string(attempt->router);
            request.requestId = attempt->id;
            request.incarnation = incarnation;
            request.permit.upstream = index + 1;
            request.runTime = {this->usualRunTime(), callerDeadline};
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
        UpstreamView &view = this->routers[attempt->router].views[index];
        view.running += 1;
        const auto run = std::make_shared<BrittleRun>();
        run->attempt = attempt;
        run->upstream = index;
        run->incarnation = this->upstreams[index].incarnation;
        run->knownIncarnation = view.incarnation;
        run->sentAt = this->now;
        this->runs.push_back(run);
        this->send(run, view);
        if (this->options.abandonedShare > 0.0 && this->chance(this->options.abandonedShare)) {
            this->at(this->between(10, 150), [this, run] { this->abandon(run, false); });
        }
        if (this->options.silenceInterval.count() > 0) {
            this->at(silenceTimeout, [this, run] { this->abandon(run, true); });
        }
        if (this->options.shortenedTimeout.count() > 0 && this->elapsed() >= modelDuration / 2) {
            this->at(this->options.shortenedTimeout, [this, run] { this->abandon(run, false); });
        }
    }

    /// Sends a request on an idle connection, or a new one.
    void send(const RunPointer &run, UpstreamView &view)
    {
        const bool opensConnection =
            this->options.connectionHold.count() > 0 && view.idleConnections == 0;
        if (!opensConnection) {
            view.idleConnections -= std::min(view.idleConnections, 1U);
            this->at(this->between(1, 4), [this, run] { this->arrive(run); });
            return;
        }
        this->at(this->between(1, 4), [this, run] {
            const ModelUpstream &upstream = this->upstreams[run->upstream];
            if (upstream.isUp && upstream.incarnation == run->incarnation) {
                this->openConnection(run->upstream);
            }
            this->at(this->between(2, 8), [this, run] { this->arrive(run); });
        });
    }

    /// The connection of \a run, which is over, is idle.
    void keepConnection(const BrittleRun &run)
    {
        if (this->isAlive(*run.attempt)) {
            this->routers[run.attempt->router].views[run.upstream].idleConnections += 1;
        }
    }

    /// The router closes the connection of a run.
    void abandon(const RunPointer &run, bool isRetried)
    {
        if (run->isOver || run->isAbandoned || !this->isAlive(*run->attempt)) {
            return;
        }
        run->isAbandoned = true;
        this->runTimes.recordGivenUp(this->ranFor(*run));
        const AttemptPointer attempt = run->attempt;
        this->release(run, this->options.areAbandonedKept ? GrantEnd::Abandoned : GrantEnd::Unused);
        if (isRetried && attempt->tried.size() < maxRunsOfRequest) {
            this->select(attempt);
        }
        this->at(this->between(1, 4), [this, run] { this->drop(run); });
    }

    /// \returns the runs that are not over.
    std::vector<RunPointer> currentRuns()
    {
        std::erase_if(this->runs, [](const auto &run) { return run.expired(); });
        std::vector<RunPointer> current;
        for (const std::weak_ptr<BrittleRun> &each : this->runs) {
            if (const RunPointer run = each.lock()) {
                current.push_back(run);
            }
        }
        return current;
    }

    /// The network resets all connections of some routers. Upstreams notice it like a closed one.
    void resetConnections()
    {
        const auto affected = this->options.resetShare * static_cast<double>(this->routers.size());
        for (std::size_t i = 0; static_cast<double>(i) < affected; ++i) {
            for (UpstreamView &view : this->routers[i].views) {
                view.idleConnections = 0;
            }
        }
        for (const RunPointer &run : this->currentRuns()) {
            if (static_cast<double>(run->attempt->router) < affected) {
                this->abandon(run, true);
            }
        }
    }

    void letCallersLeave()
    {
        constexpr double share = 0.5;
        for (const RunPointer &run : this->currentRuns()) {
            if (this->chance(share)) {
                this->abandon(run, false);
            }
        }
    }

    void slowDown()
    {
        const auto share = this->options.slowShare * static_cast<double>(this->routers.size());
        const auto count = std::max<std::size_t>(1, static_cast<std::size_t>(share));
        for (std::size_t i = 0; i < count; ++i) {
            this->routers[this->anyRouter()].slowUntil = this->now + Seconds{2};
        }
    }

    void onResponse(const RunPointer &run, const Response &response) override
    {
        const std::size_t router = run->attempt->router;
        if (run->isAbandoned) {
            return;
        }
        if (this->isFrozen(router)) {
            this->at(this->routers[router].frozenUntil - this->now,
                     [this, run, response] { this->onResponse(run, response); });
            return;
        }
        if (response.load && this->isAlive(*run->attempt) && this->brittleBound(router) > 0.0) {
            this->reportLoad(run, response);
        }
        switch (response.outcome) {
        case Outcome::Served:
            this->onServed(run);
            break;
        case Outcome::Rejected:
            this->onRejected(run);
            break;
        case Outcome::ConnectionLost:
            run->isOver = true;
            this->release(run, GrantEnd::Abandoned);
            break;
        }
    }

    void onServed(const RunPointer &run)
    {
        run->isOver = true;
        this->runTimes.recordEnded(this->ranFor(*run));
        this->keepConnection(*run);
        this->release(run, GrantEnd::Responded);
        if (this->isAlive(*run->attempt)) {
            this->servedCount += this->announces() ? 1 : 0;
            this->recordResponse(run->attempt->router);
        }
    }

    void onRejected(const RunPointer &run)
    {
        const AttemptPointer attempt = run->attempt;
        this->keepConnection(*run);
        if (this->isAlive(*attempt)) {
            this->recordResponse(attempt->router);
            this->routers[attempt->router].views[run->upstream].blockedUntil =
                this->now + brittleDenialWait;
        }
        this->release(run, GrantEnd::Responded);
        attempt->rejections += 1;
        if (attempt->rejections <= maxRejectedAttempts) {
            this->select(attempt);
        }
    }

    void reportLoad(const RunPointer &run, const Response &response)
    {
        const std::size_t coordinator = this->coordinatorOf(run->attempt->router, run->upstream);
        if (!this->isReached(run->attempt->router, coordinator)) {
            return;
        }
        this->at(this->between(1, 4), [this, coordinator, run, response] {
            BrittleGrants &grants = this->routers[coordinator].coordinator.brittle();
            const auto load = this->options.statesLoad ? response.load : std::nullopt;
            if (response.outcome == Outcome::Rejected) {
                grants.recordRejection(run->knownIncarnation, load, this->now);
            } else {
                grants.recordResponse(run->knownIncarnation, load, this->now);
            }
        });
    }

    [[nodiscard]] Duration usualRunTime() const
    {
        return std::chrono::duration_cast<Duration>(
            std::chrono::duration<double, std::milli>(this->runTimes.upperBound()));
    }

    [[nodiscard]] double ranFor(const BrittleRun &run) const
    {
        return std::chrono::duration<double, std::milli>(this->now - run.sentAt).count();
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
        if (grantor < this->routers.size() && this->isReached(attempt->router, grantor)) {
            this->at(this->between(1, 4), [this, attempt, grantor, run, end] {
                this->endGrant(*attempt, grantor, run->knownIncarnation, end);
            });
        }
    }

    void endGrant(const BrittleAttempt &attempt, std::size_t grantor, std::uint64_t incarnation,
                  GrantEnd end)
    {
        this->routers[grantor].coordinator.endGrant(std::to_string(attempt.router), attempt.id,
                                                    incarnation, {end, this->usualRunTime()},
                                                    this->now);
    }

    /// Routers learn of the upstream's new incarnation at different times.
    void onReturn(std::size_t upstream) override
    {
        const std::uint64_t incarnation = this->upstreams[upstream].incarnation;
        for (std::size_t i = 0; i < this->routers.size(); ++i) {
            const auto longest = static_cast<int>(this->options.entryLag.count());
            const Duration lag = longest > 0 ? this->between(0, longest) : Milliseconds{0};
            this->at(lag, [this, i, upstream, incarnation] {
                std::uint64_t &known = this->routers[i].views[upstream].incarnation;
                known = std::max(known, incarnation);
            });
        }
    }

    void restart(std::size_t index)
    {
        ModelRouter &router = this->routers[index];
        const std::uint64_t process = router.process + 1;
        router = ModelRouter{};
        this->prepare(router);
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

    /// \returns updates of one router after each of which it sends one to a certain other router:
    /// the more, the more routers there are.
    [[nodiscard]] std::size_t updatePeriod(std::size_t from, std::size_t to) const
    {
        if (this->options.dataCentres == 1) {
            return 1;
        }
        constexpr std::size_t maxFastRouters = 6;
        const std::size_t local = this->routers.size() / this->options.dataCentres;
        const std::size_t addressed = this->dataCentreOf(from) == this->dataCentreOf(to)
                                          ? local
                                          : this->routers.size() - local;
        return (addressed + maxFastRouters - 1) / maxFastRouters;
    }

    /// \returns whether an update is sent this time.
    [[nodiscard]] bool isUpdateDue(std::size_t from, std::size_t to) const
    {
        const auto turn = static_cast<std::uint64_t>(this->elapsed() / updateInterval);
        return (turn + mixHash(from + 1, to + 1)) % this->updatePeriod(from, to) == 0;
    }

    /// \returns time without updates after which a router takes another one for lost.
    [[nodiscard]] Milliseconds failureDetection(std::size_t router, std::size_t other) const
    {
        constexpr int maxMissedUpdates = 3;
        const auto period = static_cast<Milliseconds::rep>(this->updatePeriod(router, other));
        return std::max(minFailureDetection, maxMissedUpdates * period * updateInterval);
    }

    void removeLost(std::size_t index)
    {
        ModelRouter &router = this->routers[index];
        for (std::size_t i = 0; i < this->routers.size(); ++i) {
            const bool isLost =
                i != index && this->now - router.heardAt[i] >= this->failureDetection(index, i);
            if (isLost && !router.isLost[i]) {
                router.coordinator.releaseRouter(std::to_string(i), this->now);
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
                std::to_string(from), this->routers[from].views[i].incarnation, running, this->now);
        }
    }

    std::vector<ModelRouter> routers;
    std::vector<std::weak_ptr<BrittleRun>> runs;
    std::uint64_t nextAttempt = 1;
    std::size_t servedCount = 0;
    /// As the routers' reports to each other make it known to all.
    RunTimeEstimate runTimes;
};

} // namespace plantainswitch
