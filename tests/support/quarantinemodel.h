#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include "plantainswitch/base/hash.h"
#include "plantainswitch/routing/crashquarantine.h"
#include "plantainswitch/routing/requestsuspects.h"
#include "plantainswitch/routing/trialrecord.h"

#include "simulation.h"

namespace plantainswitch {

/// How late after the third crash an attempt counts against the bound: the time within which a
/// router that is in contact with the others has to know.
inline constexpr Milliseconds contactTime{3000};
/// Attempts that may reach upstreams later than that.
inline constexpr std::size_t maxLateAttempts = 3;
inline constexpr std::uint32_t maxAttempts = 3;
inline constexpr Milliseconds silenceLimit{60};
inline constexpr SuspectKey poison = 98;
inline constexpr std::size_t innocentKinds = 3;

/// Which requests the model has.
enum class SuspectTraffic : std::uint8_t {
    /// Copies of one crashing request, and of some innocent ones.
    Copies,
    /// Requests that are all different. Those of which the prompt has one certain part crash.
    PromptParts,
};

struct QuarantineOptions
{
    SuspectTraffic traffic = SuspectTraffic::Copies;
    /// When the first requests arrive that crash upstreams.
    Milliseconds crashingFrom{0};
    /// Parts that crash, of PromptParts.
    std::size_t crashingParts = 1;
    /// Mean time between innocent requests of PromptParts.
    Milliseconds innocentInterval{10};
    /// Parts that the prompts begin with, and those that follow.
    std::size_t firstParts = 4;
    std::size_t secondParts = 130;
    /// Routers know parts as suspects.
    bool tracksParts = true;
    std::size_t routers = 0;
    std::size_t dataCentres = 0;
    std::size_t upstreams = 0;
    double reportLoss = 0.0;
    /// Longest delay of a report to another data centre.
    Milliseconds maxReportDelay{120};
    /// Mean time between copies of the crashing request.
    Milliseconds copyInterval{0};
    /// When all routers are killed; 0: never.
    Milliseconds killAllAt{0};
    /// Interval of restarts of single routers; 0: none.
    Milliseconds restartInterval{0};
    /// When the first two data centres are cut off from each other, for ten seconds; 0: never.
    Milliseconds cutAt{0};
    /// When all upstreams of one data centre lose power; 0: never.
    Milliseconds outageAt{0};
    /// Mean time between crashes of upstreams for reasons of their own; 0: none.
    Milliseconds crashInterval{0};
    /// How long an innocent request runs.
    Milliseconds innocentRun{15};
    Seconds duration{60};
};

class QuarantineModel : private Simulation
{
public:
    QuarantineModel(std::uint64_t seed, const QuarantineOptions &options)
        : Simulation(seed)
        , options(options)
        , routers(options.routers)
        , upstreams(options.upstreams)
    {
        for (std::size_t i = 0; i < this->routers.size(); ++i) {
            this->routers[i].dataCentre = i % options.dataCentres;
        }
        for (std::size_t i = 0; i < this->upstreams.size(); ++i) {
            this->upstreams[i].dataCentre = i % options.dataCentres;
            this->upstreams[i].incarnation = this->nextIncarnation++;
        }
    }

    void run()
    {
        const bool areCopies = this->options.traffic == SuspectTraffic::Copies;
        for (std::size_t i = 0; i < (areCopies ? 1 : this->options.crashingParts); ++i) {
            const SuspectKey kind = poison + 2 * i;
            if (this->options.crashingFrom.count() == 0) {
                this->scheduleArrivals(kind, this->options.copyInterval);
                continue;
            }
            this->at(this->options.crashingFrom,
                     [this, kind] { this->scheduleArrivals(kind, this->options.copyInterval); });
        }
        for (std::size_t kind = 0; areCopies && kind < innocentKinds; ++kind) {
            this->scheduleArrivals(2 * (kind + 1), Milliseconds{100});
        }
        if (!areCopies) {
            this->scheduleArrivals(2, this->options.innocentInterval);
        }
        for (std::size_t i = 0; i < this->routers.size(); ++i) {
            this->scheduleRefresh(i);
        }
        this->scheduleFaults();
        // Innocent requests go on for as long as a quarantine that began at the end may last.
        this->runFor(this->options.duration + settleTime);
    }

    /// Attempts of the crashing request, or of requests with the crashing part, that reached
    /// upstreams later than contactTime after its third or fifth crash, from routers that were up
    /// for that long.
    [[nodiscard]] std::size_t lateAttempts() const
    {
        std::size_t most = 0;
        for (const auto &[key, kind] : this->crashingKinds) {
            most = std::max(most, kind.late.size());
        }
        return most;
    }
    [[nodiscard]] std::size_t crashes() const { return this->crashCount; }
    /// The longest time for which copies of an innocent request were refused as quarantined
    /// without one that was served. Times at which no upstream was up do not count.
    [[nodiscard]] Duration longestInnocentRefusal() const { return this->longestRefusal; }
    /// The share of the innocent requests that were refused as quarantined.
    [[nodiscard]] double innocentRefusalShare() const
    {
        return static_cast<double>(this->innocentRefusals)
               / static_cast<double>(std::max<std::size_t>(this->innocentArrivals, 1));
    }
    /// Records of innocent requests that are left in the store.
    [[nodiscard]] std::size_t innocentRecords() const
    {
        return this->records.size() - this->records.count(poison);
    }
    /// The share of the innocent requests that are served at the first attempt from two contact
    /// times after the last crash that bounds a crashing part, relative to that before the first
    /// one.
    [[nodiscard]] double relativeInnocentShare() const
    {
        return this->innocentsLate.all < 20
                   ? 1.0
                   : this->innocentsLate.share() / this->innocentsBefore.share();
    }

private:
    struct ModelRouter
    {
        CrashQuarantine quarantine;
        std::size_t dataCentre = 0;
        TimePoint startedAt;
        /// Counts restarts: an event of an earlier process is ignored.
        std::uint64_t process = 0;
        std::set<std::uint64_t> knownDown;
        /// Requests whose record this router has created.
        std::set<SuspectKey> created;
    };

    struct ModelUpstream
    {
        std::size_t dataCentre = 0;
        std::uint64_t incarnation = 0;
        bool isUp = true;
        SuspectKey crashingKind = 0;
        std::vector<std::function<void()>> onCrash;
    };

    struct Attempt
    {
        std::uint64_t id = 0;
        RequestSuspects suspects;
        /// The crashing request, or the kind of crashing part; 0 if it is innocent.
        SuspectKey crashingKind = 0;
        std::size_t router = 0;
        std::uint64_t process = 0;
        std::uint32_t executions = 0;
        std::vector<std::size_t> tried;
        TimePoint sentAt;
        std::uint64_t incarnation = 0;
        std::uint64_t run = 0;
        bool isDone = false;
    };
    using AttemptPointer = std::shared_ptr<Attempt>;

    static constexpr Seconds settleTime{10};

    /// \returns whether requests that crash upstreams still arrive, and upstreams crash by
    /// themselves.
    [[nodiscard]] bool isDisturbed() const { return this->elapsed() < this->options.duration; }

    void scheduleArrivals(SuspectKey request, Milliseconds interval)
    {
        const double mean = static_cast<double>(interval.count());
        const double wait = this->exponential(mean);
        this->at(Milliseconds{1 + static_cast<int>(wait)}, [this, request, interval] {
            if (request >= poison && !this->isDisturbed()) {
                return;
            }
            auto attempt = std::make_shared<Attempt>();
            attempt->id = this->nextAttempt++;
            attempt->crashingKind = request >= poison ? request : 0;
            attempt->suspects.keys = this->suspectsOf(request, attempt->id);
            attempt->router = this->below(this->routers.size());
            attempt->process = this->routers[attempt->router].process;
            this->innocentArrivals += attempt->crashingKind != 0 ? 0 : 1;
            this->admit(attempt);
            this->scheduleArrivals(request, interval);
        });
    }

    /// \returns the suspects of a request of a kind, that of an innocent one or of a crashing part.
    std::vector<SuspectKey> suspectsOf(SuspectKey kind, std::uint64_t id)
    {
        constexpr std::uint64_t modelService = 1;
        if (this->options.traffic == SuspectTraffic::Copies) {
            return {kind};
        }
        std::vector<SuspectKey> keys{requestSuspect(mixHash(id, 0))};
        if (this->options.tracksParts) {
            keys.push_back(partSuspect(modelService, this->below(this->options.firstParts)));
            const std::size_t second = 1000 + this->below(this->options.secondParts);
            keys.push_back(partSuspect(modelService, second));
            if (kind >= poison) {
                keys.push_back(partSuspect(modelService, 1'000'000 + kind));
            }
        }
        return keys;
    }

    void scheduleFaults()
    {
        if (this->options.killAllAt.count() > 0) {
            this->at(this->options.killAllAt, [this] {
                for (std::size_t i = 0; i < this->routers.size(); ++i) {
                    this->restart(i);
                }
            });
        }
        if (this->options.restartInterval.count() > 0) {
            this->scheduleRestarts();
        }
        if (this->options.crashInterval.count() > 0) {
            this->scheduleCrashes();
        }
        if (this->options.outageAt.count() > 0) {
            this->at(this->options.outageAt, [this] {
                for (std::size_t i = 0; i < this->upstreams.size(); ++i) {
                    if (this->upstreams[i].dataCentre == 0) {
                        this->crash(i, this->upstreams[i].incarnation);
                    }
                }
            });
        }
    }

    void scheduleCrashes()
    {
        const double mean = static_cast<double>(this->options.crashInterval.count());
        const double wait = this->exponential(mean);
        this->at(Milliseconds{1 + static_cast<int>(wait)}, [this] {
            if (!this->isDisturbed()) {
                return;
            }
            const std::size_t index = this->below(this->upstreams.size());
            this->crash(index, this->upstreams[index].incarnation);
            this->scheduleCrashes();
        });
    }

    void scheduleRestarts()
    {
        this->at(this->options.restartInterval, [this] {
            const std::size_t index = this->below(this->routers.size());
            this->restart(index);
            this->greet(index);
            this->scheduleRestarts();
        });
    }

    void restart(std::size_t index)
    {
        ModelRouter &router = this->routers[index];
        router.quarantine = CrashQuarantine{};
        router.knownDown.clear();
        router.created.clear();
        router.process += 1;
        router.startedAt = this->now;
        // The store's lists may be stale by seconds, so that a second one follows the first.
        for (const Milliseconds delay : {Milliseconds{50}, Milliseconds{5000}}) {
            this->at(delay, [this, index, process = router.process] {
                if (this->routers[index].process == process) {
                    this->loadRecords(index);
                }
            });
        }
    }

    void loadRecords(std::size_t router)
    {
        constexpr Milliseconds staleness{2000};
        for (const auto &[request, record] : this->records) {
            if (this->now - record.createdAt > staleness) {
                this->routers[router].quarantine.recordTrials(
                    {request, record.trials, {}, record.revision}, this->now);
            }
        }
    }

    /// The other routers send their state to one that has just started.
    void greet(std::size_t index)
    {
        for (std::size_t other = 0; other < this->routers.size(); ++other) {
            if (other == index || !this->isConnected(index, other)) {
                continue;
            }
            for (const CrashReport &report : this->routers[other].quarantine.sharedCrashes()) {
                this->at(this->between(5, 120),
                         [this, index, report] { this->onReport(index, report); });
            }
        }
    }

    [[nodiscard]] bool isConnected(std::size_t left, std::size_t right) const
    {
        const Duration since = this->elapsed();
        const bool isCut = this->options.cutAt.count() > 0 && since >= this->options.cutAt
                           && since < this->options.cutAt + Seconds{10};
        const std::size_t a = this->routers[left].dataCentre;
        const std::size_t b = this->routers[right].dataCentre;
        return !isCut || a == b || a + b != 1;
    }

    void admit(const AttemptPointer &attempt)
    {
        CrashQuarantine &quarantine = this->routers[attempt->router].quarantine;
        const auto blocking = blockingSuspect(attempt->suspects, quarantine, this->now);
        if (!blocking) {
            this->dispatch(attempt);
        } else if (blocking->state == QuarantineState::Held) {
            this->onRefused(*attempt);
        } else {
            quarantine.deferTrial(blocking->key, this->now);
            this->requestTrial(attempt, blocking->key, quarantine.trialCount(blocking->key));
        }
    }

    /// Reads the store's record of the request and increments it if nobody else has done so.
    void requestTrial(const AttemptPointer &attempt, SuspectKey key, std::uint32_t known)
    {
        this->at(this->between(2, 8), [this, attempt, key, known] {
            const auto found = this->records.find(key);
            std::optional<TrialRecord> stored;
            if (found != this->records.end()) {
                stored = TrialRecord{key, found->second.trials, found->second.isQuarantined,
                                     found->second.revision};
            }
            if (nextTrialStep(stored, known) == TrialStep::Denied) {
                this->onTrialReply(attempt, {key, stored->trials, {}, stored->revision}, false);
                return;
            }
            const std::uint64_t revision = stored ? stored->revision : 0;
            if (this->isAlive(*attempt)) {
                this->routers[attempt->router].created.insert(key);
            }
            this->at(this->between(2, 8), [this, attempt, key, stored, revision] {
                StoredRecord &record = this->records[key];
                const bool isUnchanged = record.revision == revision;
                if (isUnchanged) {
                    record.trials = stored ? stored->trials + 1 : 1;
                    record.isQuarantined = true;
                    record.revision = ++this->storeRevision;
                    record.createdAt = stored ? record.createdAt : this->now;
                }
                this->onTrialReply(
                    attempt, {key, record.trials, {}, isUnchanged ? revision + 1 : record.revision},
                    isUnchanged);
            });
        });
    }

    /// Records what the store says of a quarantined request, and notifies the others if it is new.
    void onTrials(std::size_t router, const TrialCount &count)
    {
        if (!this->routers[router].quarantine.recordTrials(count, this->now)) {
            return;
        }
        this->broadcast(router, [this, count](std::size_t to) { this->onTrials(to, count); });
    }

    void onTrialReply(const AttemptPointer &attempt, TrialCount count, bool isPermitted)
    {
        count.recordedAt = this->now;
        this->at(Milliseconds{1}, [this, attempt, count, isPermitted] {
            if (!this->isAlive(*attempt)) {
                return;
            }
            this->onTrials(attempt->router, count);
            if (!isPermitted) {
                this->onRefused(*attempt);
                return;
            }
            this->routers[attempt->router].quarantine.beginTrial(count.key, count.trials,
                                                                 this->now);
            attempt->suspects.trials.push_back({count.key, true});
            // Another suspect of the request may be quarantined, too.
            this->admit(attempt);
        });
    }

    [[nodiscard]] bool isDesignated(std::size_t router) const
    {
        for (std::size_t i = 0; i < router; ++i) {
            if (this->isConnected(i, router)) {
                return false;
            }
        }
        return true;
    }

    /// The designated router creates the record of a request that is close to its quarantine. If
    /// there is one, routers that this one is cut off from have seen crashes, too.
    void publish(std::size_t router, SuspectKey request)
    {
        const std::size_t crashes = this->routers[router].quarantine.crashCount(request);
        if (!this->isDesignated(router)) {
            return;
        }
        if (crashes >= quarantineThreshold) {
            this->routers[router].created.insert(request);
            this->at(this->between(4, 16), [this, router, request] {
                this->markQuarantined(request);
                this->eraseIfAnswered(router, request);
            });
        }
        if (crashes != crashesForNoRetry) {
            return;
        }
        this->at(
            this->between(2, 8), [this, router, request, process = this->routers[router].process] {
                const bool isNew = !this->records.contains(request);
                StoredRecord &record = this->records[request];
                if (isNew) {
                    record = {0, false, ++this->storeRevision, this->now};
                }
                const std::uint32_t trials = record.trials;
                const std::uint64_t revision = record.revision;
                this->at(this->between(1, 3), [this, router, request, process, isNew, trials,
                                               revision] {
                    if (this->routers[router].process == process) {
                        this->onPublished(router, {request, trials, this->now, revision}, isNew);
                    }
                });
            });
    }

    void markQuarantined(SuspectKey request)
    {
        const auto [entry, isNew] = this->records.try_emplace(request);
        entry->second.isQuarantined = true;
        entry->second.revision = ++this->storeRevision;
        entry->second.createdAt = isNew ? this->now : entry->second.createdAt;
    }

    /// Designated routers read the records of requests that are close to their quarantine.
    void scheduleRefresh(std::size_t router)
    {
        this->at(Seconds{1}, [this, router] {
            for (const SuspectKey request : this->routers[router].quarantine.nearlyQuarantined()) {
                const auto found = this->records.find(request);
                const bool isHeld = found != this->records.end() && found->second.isQuarantined;
                if (isHeld && this->isDesignated(router)) {
                    this->onTrials(
                        router, {request, found->second.trials, this->now, found->second.revision});
                }
            }
            this->scheduleRefresh(router);
        });
    }

    void onPublished(std::size_t router, const TrialCount &count, bool isNew)
    {
        if (!isNew) {
            this->onTrials(router, count);
            return;
        }
        this->routers[router].created.insert(count.key);
        this->eraseIfAnswered(router, count.key);
    }

    /// Erases a record that was written while its request was answered.
    void eraseIfAnswered(std::size_t router, SuspectKey key)
    {
        if (this->routers[router].quarantine.crashCount(key) < crashesForNoRetry) {
            this->eraseRecord(key);
        }
    }

    void onRefused(const Attempt &attempt)
    {
        this->returnTrials(attempt);
        if (attempt.crashingKind != 0) {
            return;
        }
        this->innocentRefusals += 1;
        this->countInnocent(false);
        const SuspectKey key = attempt.suspects.keys.back();
        const Duration available = this->availableTime();
        const auto [entry, isNew] = this->refusedSince.try_emplace(key, available);
        this->longestRefusal = std::max(this->longestRefusal, available - entry->second);
    }

    /// \returns for how long at least one upstream has been up.
    [[nodiscard]] Duration availableTime() const
    {
        return this->availableBefore
               + (this->availableSince ? this->now - *this->availableSince : Duration{0});
    }

    /// Must be called when an upstream has crashed or returned.
    void updateAvailability()
    {
        const bool isAvailable =
            std::any_of(this->upstreams.begin(), this->upstreams.end(),
                        [](const ModelUpstream &upstream) { return upstream.isUp; });
        if (isAvailable == this->availableSince.has_value()) {
            return;
        }
        this->availableBefore = this->availableTime();
        this->availableSince = isAvailable ? std::optional(this->now) : std::nullopt;
    }

    /// Takes back the trials of a request that no upstream has run.
    void returnTrials(const Attempt &attempt)
    {
        for (const PermittedTrial &trial : attempt.suspects.trials) {
            CrashQuarantine &quarantine = this->routers[attempt.router].quarantine;
            const std::uint32_t permitted = quarantine.trialCount(trial.key);
            quarantine.returnTrial(trial.key, this->now);
            this->at(this->between(4, 16), [this, key = trial.key, permitted,
                                            router = attempt.router, process = attempt.process] {
                const auto found = this->records.find(key);
                if (found == this->records.end() || found->second.trials != permitted) {
                    return;
                }
                const std::uint64_t revision = found->second.revision;
                found->second.trials -= 1;
                found->second.revision = ++this->storeRevision;
                if (this->routers[router].process == process) {
                    this->onTrials(router, {key, permitted - 1, this->now, revision + 1});
                }
            });
        }
    }

    /// Counts whether an innocent request's first attempt was served, before the first crash and
    /// from when the crashing ones have to be kept away.
    void countInnocent(bool isServed)
    {
        const bool isLate =
            this->lastBoundingCrashAt && this->now > *this->lastBoundingCrashAt + 2 * contactTime;
        if (isLate || this->crashCount == 0) {
            InnocentCount &count = isLate ? this->innocentsLate : this->innocentsBefore;
            count.all += 1;
            count.served += isServed ? 1 : 0;
        }
    }

    [[nodiscard]] bool isAlive(const Attempt &attempt) const
    {
        return !attempt.isDone && this->routers[attempt.router].process == attempt.process;
    }

    void dispatch(const AttemptPointer &attempt)
    {
        ModelRouter &router = this->routers[attempt->router];
        std::vector<std::size_t> candidates;
        for (std::size_t i = 0; i < this->upstreams.size(); ++i) {
            const bool wasTried =
                std::find(attempt->tried.begin(), attempt->tried.end(), i) != attempt->tried.end();
            if (!wasTried && !router.knownDown.contains(this->upstreams[i].incarnation)) {
                candidates.push_back(i);
            }
        }
        if (candidates.empty()) {
            attempt->isDone = true;
            this->returnTrials(*attempt);
            return;
        }
        const std::size_t chosen = candidates[this->below(candidates.size())];
        attempt->tried.push_back(chosen);
        attempt->incarnation = this->upstreams[chosen].incarnation;
        attempt->sentAt = this->now;
        attempt->run += 1;
        this->at(Milliseconds{1}, [this, attempt, chosen] {
            if (this->isAlive(*attempt)) {
                this->arrive(attempt, chosen);
            }
        });
    }

    void arrive(const AttemptPointer &attempt, std::size_t index)
    {
        ModelUpstream &upstream = this->upstreams[index];
        if (!upstream.isUp) {
            this->onFoundDown(attempt->router, upstream.incarnation);
            this->dispatch(attempt);
            return;
        }
        const std::uint64_t incarnation = upstream.incarnation;
        const std::uint64_t run = attempt->run;
        upstream.onCrash.push_back([this, attempt, incarnation, run] {
            this->at(Milliseconds{1}, [this, attempt, incarnation, run] {
                if (this->isAlive(*attempt) && attempt->run == run) {
                    this->onBroken(attempt, incarnation);
                }
            });
        });
        if (attempt->crashingKind == 0) {
            this->at(this->options.innocentRun, [this, attempt, index, incarnation, run] {
                const ModelUpstream &server = this->upstreams[index];
                if (server.isUp && server.incarnation == incarnation && this->isAlive(*attempt)
                    && attempt->run == run) {
                    this->onAnswered(attempt);
                }
            });
            return;
        }
        this->recordReach(*attempt);
        if (upstream.crashingKind == 0) {
            upstream.crashingKind = attempt->crashingKind;
            this->at(this->between(85, 115),
                     [this, index, incarnation] { this->crash(index, incarnation); });
        }
        this->at(silenceLimit, [this, attempt, run] {
            if (this->isAlive(*attempt) && attempt->run == run) {
                this->onSilent(attempt);
            }
        });
    }

    void recordReach(const Attempt &attempt)
    {
        CrashingKind &kind = this->crashingKinds[attempt.crashingKind];
        const bool isLate =
            kind.boundingCrashAt && attempt.sentAt > *kind.boundingCrashAt + contactTime;
        if (isLate && this->now - this->routers[attempt.router].startedAt >= contactTime) {
            kind.late.insert(attempt.id);
        }
    }

    void crash(std::size_t index, std::uint64_t incarnation)
    {
        ModelUpstream &upstream = this->upstreams[index];
        if (!upstream.isUp || upstream.incarnation != incarnation) {
            return;
        }
        upstream.isUp = false;
        this->updateAvailability();
        if (upstream.crashingKind != 0) {
            this->crashCount += 1;
            CrashingKind &kind = this->crashingKinds[upstream.crashingKind];
            const bool areCopies = this->options.traffic == SuspectTraffic::Copies;
            if (++kind.crashes == (areCopies ? 3 : 5)) {
                kind.boundingCrashAt = this->now;
                this->lastBoundingCrashAt = this->now;
            }
        }
        upstream.crashingKind = 0;
        const auto waiting = std::exchange(upstream.onCrash, {});
        for (const auto &notify : waiting) {
            notify();
        }
        this->at(this->between(3000, 5000), [this, index] {
            ModelUpstream &returned = this->upstreams[index];
            returned.isUp = true;
            this->updateAvailability();
            returned.incarnation = this->nextIncarnation++;
        });
    }

    void onAnswered(const AttemptPointer &attempt)
    {
        attempt->isDone = true;
        if (attempt->executions == 0) {
            this->countInnocent(true);
        }
        this->routers[attempt->router].quarantine.recordResponse(attempt->incarnation,
                                                                 attempt->sentAt);
        for (const SuspectKey key : attempt->suspects.keys) {
            this->refusedSince.erase(key);
            this->clear(attempt->router, key);
        }
    }

    void clear(std::size_t router, SuspectKey key)
    {
        CrashQuarantine &quarantine = this->routers[router].quarantine;
        const bool wasPublished = quarantine.crashCount(key) >= crashesForNoRetry;
        if (!quarantine.clearSuspect(key, this->now, this->now)) {
            return;
        }
        if (wasPublished) {
            this->eraseRecord(key);
        }
        this->broadcast(router, [this, key, when = this->now](std::size_t to) {
            this->routers[to].quarantine.clearSuspect(key, when, this->now);
            if (this->routers[to].created.erase(key) > 0) {
                this->eraseRecord(key);
            }
        });
    }

    void eraseRecord(SuspectKey request)
    {
        this->at(this->between(2, 8), [this, request] { this->records.erase(request); });
    }

    void onBroken(const AttemptPointer &attempt, std::uint64_t incarnation)
    {
        this->recordRun(*attempt, incarnation, RunEnd::ConnectionLost);
        // The retry waits for what the probe finds.
        this->probe(attempt->router, incarnation, this->between(1, 3), [this, attempt] {
            if (!this->retry(attempt)) {
                attempt->isDone = true;
            }
        });
    }

    void recordRun(const Attempt &attempt, std::uint64_t incarnation, RunEnd end)
    {
        for (const SuspectKey key : accountableSuspects(attempt.suspects)) {
            this->routers[attempt.router].quarantine.recordUnansweredRun(
                {key, incarnation, attempt.sentAt, this->now, end});
        }
    }

    /// Without a retry the router goes on waiting for the response.
    void onSilent(const AttemptPointer &attempt)
    {
        constexpr Milliseconds probeDelay{250};
        const Attempt before = *attempt;
        if (this->retry(attempt)) {
            this->recordRun(before, before.incarnation, RunEnd::GivenUp);
            this->probe(before.router, before.incarnation, probeDelay, [] {});
        }
    }

    bool retry(const AttemptPointer &attempt)
    {
        const CrashQuarantine &quarantine = this->routers[attempt->router].quarantine;
        if (attempt->executions == 0 && attempt->crashingKind == 0) {
            this->countInnocent(false);
        }
        if (attempt->executions + 1 >= maxAttempts
            || crashCountOf(attempt->suspects, quarantine) >= crashesForNoRetry
            || blockingSuspect(attempt->suspects, quarantine, this->now)) {
            return false;
        }
        attempt->executions += 1;
        this->dispatch(attempt);
        return true;
    }

    /// Connects to the upstream, which refuses if it is down.
    void probe(std::size_t router, std::uint64_t incarnation, Milliseconds delay,
               std::function<void()> done)
    {
        this->at(delay, [this, router, incarnation, done = std::move(done),
                         process = this->routers[router].process] {
            if (this->routers[router].process != process) {
                return;
            }
            if (this->isDown(incarnation)) {
                this->onFoundDown(router, incarnation);
            }
            done();
        });
    }

    [[nodiscard]] bool isDown(std::uint64_t incarnation) const
    {
        return std::none_of(this->upstreams.begin(), this->upstreams.end(),
                            [incarnation](const ModelUpstream &upstream) {
                                return upstream.isUp && upstream.incarnation == incarnation;
                            });
    }

    void onFoundDown(std::size_t router, std::uint64_t incarnation)
    {
        this->routers[router].knownDown.insert(incarnation);
        for (const ConfirmedCrash &crash :
             this->routers[router].quarantine.confirmCrash(incarnation, this->now)) {
            if (isReported(crash, this->routers[router].quarantine)) {
                this->publish(router, crash.report.key);
                this->notify(router, crash.report);
            }
        }
    }

    void notify(std::size_t router, const CrashReport &report)
    {
        this->broadcast(router, [this, report](std::size_t to) { this->onReport(to, report); });
    }

    void onReport(std::size_t router, const CrashReport &report)
    {
        CrashQuarantine &quarantine = this->routers[router].quarantine;
        const CrashVerdict verdict = quarantine.recordCrash(report, this->now);
        this->onFoundDown(router, report.incarnation);
        if (verdict != CrashVerdict::Counted) {
            return;
        }
        this->publish(router, report.key);
        for (const CrashReport &each : quarantine.reportsToForward(report)) {
            this->notify(router, each);
        }
    }

    /// Routers of the same data centre are notified sooner than others.
    void broadcast(std::size_t from, const std::function<void(std::size_t)> &deliver)
    {
        for (std::size_t to = 0; to < this->routers.size(); ++to) {
            if (to == from || !this->isConnected(from, to)
                || this->chance(this->options.reportLoss)) {
                continue;
            }
            const int maxDelay = static_cast<int>(this->options.maxReportDelay.count());
            const bool isLocal = this->routers[to].dataCentre == this->routers[from].dataCentre;
            this->at(isLocal ? Milliseconds{20} : this->between(20, maxDelay),
                     [deliver, to] { deliver(to); });
        }
    }

    QuarantineOptions options;
    std::vector<ModelRouter> routers;
    std::vector<ModelUpstream> upstreams;
    struct StoredRecord
    {
        std::uint32_t trials = 0;
        bool isQuarantined = false;
        std::uint64_t revision = 0;
        TimePoint createdAt;
    };
    std::map<SuspectKey, StoredRecord> records;
    std::uint64_t storeRevision = 0;
    std::uint64_t nextAttempt = 1;
    std::uint64_t nextIncarnation = 1;
    std::size_t crashCount = 0;
    /// A crashing request, or a crashing part.
    struct CrashingKind
    {
        std::size_t crashes = 0;
        /// The crash from which late attempts are counted.
        std::optional<TimePoint> boundingCrashAt;
        /// Ids of the late attempts.
        std::set<std::uint64_t> late;
    };
    std::map<SuspectKey, CrashingKind> crashingKinds;
    std::optional<TimePoint> lastBoundingCrashAt;
    struct InnocentCount
    {
        std::size_t served = 0;
        std::size_t all = 0;
        [[nodiscard]] double share() const
        {
            return static_cast<double>(this->served)
                   / static_cast<double>(std::max<std::size_t>(this->all, 1));
        }
    };
    InnocentCount innocentsBefore;
    InnocentCount innocentsLate;
    /// Since when the copies of an innocent request are refused, as availableTime().
    std::map<SuspectKey, Duration> refusedSince;
    std::optional<TimePoint> availableSince = this->now;
    Duration availableBefore{0};
    Duration longestRefusal{0};
    std::size_t innocentArrivals = 0;
    std::size_t innocentRefusals = 0;
};

} // namespace plantainswitch
