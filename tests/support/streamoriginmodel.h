#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "plantainswitch/base/hash.h"
#include "plantainswitch/routing/originconfirmation.h"
#include "plantainswitch/routing/originhandover.h"
#include "plantainswitch/routing/originsearch.h"
#include "plantainswitch/routing/routercontacts.h"
#include "plantainswitch/routing/serviceversions.h"
#include "plantainswitch/routing/streamorigin.h"
#include "plantainswitch/routing/updatelog.h"
#include "plantainswitch/routing/versionrecord.h"

#include "simulation.h"

namespace plantainswitch {

inline constexpr Seconds modelDuration{24};
inline constexpr Milliseconds restartTime{1000};
/// Time for which a router must have run without a kill to count as undisturbed.
inline constexpr Milliseconds undisturbedTime{3000};
inline constexpr Milliseconds eventInterval{40};
inline constexpr int maxAttempts = 4;
inline constexpr int maxReturns = 2;
/// Time within which callers take streams up after these began, with some reserve.
inline constexpr Milliseconds streamTime{5000};
/// Time that a router looks back if the store's record is ignored.
inline constexpr Milliseconds observedTime{1000};
/// Longest time by which the list of the router that writes the store's record is behind.
inline constexpr Milliseconds recorderDelay{100};

struct StreamOriginOptions
{
    std::size_t routers = 0;
    std::size_t dataCentres = 0;
    std::size_t upstreams = 8;
    double messageLoss = 0.01;
    double messageRepetition = 0.02;
    /// Longest time by which a router's list of upstreams is behind.
    Milliseconds listDelay{500};
    /// Interval at which a share of the routers is killed.
    Milliseconds killInterval{6000};
    double killShare = 0.4;
    /// When all routers but the last one are stopped in turn; 0: never. The last one is killed
    /// after the others have been up for some time.
    Milliseconds rollAt{0};
    Milliseconds rollGap{300};
    /// Whether routers pass on origins to those that join, and when they stop.
    bool arePassedOn = true;
    /// Interval of crashes of upstreams; each is back after two seconds.
    Milliseconds crashInterval{1500};
    /// Interval at which an upstream is replaced by one of the next version.
    Milliseconds replaceInterval{700};
    /// How long a replaced upstream serves on what it runs, although it is no longer listed.
    Milliseconds lingerTime{0};
    /// Interval at which a release begins that replaces all upstreams, at replaceInterval; 0: they
    /// are replaced at random, by several versions.
    Milliseconds releaseInterval{0};
    /// When the first upstream of another version starts.
    Milliseconds releaseAt{0};
    /// When the first data centre is cut off from the others, for six seconds; 0: never.
    Milliseconds cutAt{0};
    /// When all routers of the first data centre are killed; 0: never.
    Milliseconds killDataCentreAt{0};
    /// Events of the longest stream.
    int maxEvents = 60;
    /// Time for which an origin is kept.
    Seconds originTime{10};
    /// Interval at which a router is cut off from the other routers and the store; 0: never.
    Milliseconds isolationInterval{0};
    Milliseconds isolationTime{3000};
    /// When the cut-off router is killed, after the cut began; it is back with the end of the cut.
    /// 0: it is not killed.
    Milliseconds isolationKillAfter{0};
    /// Routers that are cut off at the same time, also from each other.
    std::size_t isolatedAtOnce = 1;
    /// Whether callers get the first event of a stream only once its origin is confirmed.
    bool areOriginsConfirmed = true;
    /// Whether streams of unknown origin need the store's record, or what a router has seen within
    /// observedTime is enough.
    bool usesRecord = true;
    /// Whether callers name the attempt that began their stream.
    bool areStreamsNamed = true;
    /// Whether streams are bound to the version of their first event.
    bool isBound = true;
};

/// A model of many routers before upstreams whose software version changes while streams run.
/// Routers are killed, also in the middle of streams, whose callers return to others; messages
/// between routers are delayed, lost and repeated; lists of upstreams are seconds old; data
/// centres are cut off from each other.
class StreamOriginModel : private Simulation
{
public:
    StreamOriginModel(std::uint64_t seed, const StreamOriginOptions &options)
        : Simulation(seed)
        , options(options)
        , upstreams(options.upstreams)
    {
        for (std::size_t i = 0; i < options.upstreams; ++i) {
            this->upstreams[i].replica = this->makeReplica(i);
        }
        for (std::size_t i = 0; i < options.routers; ++i) {
            this->routers.push_back(std::make_unique<ModelRouter>(this->makeRouter(i)));
        }
    }

    void run()
    {
        for (std::size_t i = 0; i < this->routers.size(); ++i) {
            this->at(this->between(0, 100), [this, i] { this->tick(i); });
        }
        this->scheduleArrival();
        this->repeat(this->options.killInterval, [this] { this->killSome(); });
        this->repeat(this->options.crashInterval, [this] { this->crashUpstream(); });
        this->repeat(this->options.replaceInterval, [this] { this->replaceUpstream(); });
        if (this->options.killDataCentreAt.count() > 0) {
            this->at(this->options.killDataCentreAt, [this] {
                for (std::size_t i = 0; i < this->routers.size(); i += this->options.dataCentres) {
                    this->kill(i);
                }
            });
        }
        this->scheduleRoll();
        this->repeat(this->options.releaseInterval, [this] { this->release += 1; });
        this->repeat(this->options.isolationInterval, [this] { this->isolateSome(); });
        this->runFor(modelDuration);
    }

    /// Streams with events of more than one version.
    [[nodiscard]] std::size_t mixedStreams() const { return this->mixed; }
    /// Streams that callers took up again at undisturbed routers while two upstreams of their
    /// version served.
    [[nodiscard]] std::size_t takenUp() const { return this->takenUpCount; }
    /// Share of these that went on, relative to the share of new streams that began there.
    [[nodiscard]] double relativeShare() const
    {
        const double resumed = static_cast<double>(this->wentOnCount)
                               / static_cast<double>(std::max<std::size_t>(1, this->takenUpCount));
        const double began = static_cast<double>(this->beganCount)
                             / static_cast<double>(std::max<std::size_t>(1, this->newCount));
        return began > 0.0 ? resumed / began : 1.0;
    }

private:
    struct ModelUpstream
    {
        Replica replica;
        bool isRunning = true;
    };

    /// The store's record of the service's versions.
    struct ModelRecord
    {
        std::optional<VersionRecord> record;
        std::uint64_t revision = 0;
    };

    /// A new upstream in the place of another.
    struct ListChange
    {
        std::size_t index = 0;
        Replica replica;
    };

    struct ModelRequest;
    using RequestPointer = std::shared_ptr<ModelRequest>;

    struct ModelRouter
    {
        ModelRouter(std::string id, std::string dataCentre)
            : contacts(std::move(id), std::move(dataCentre))
        {}

        RouterContacts contacts;
        UpdateLog log;
        StreamOriginTable origins;
        std::vector<Replica> list;
        /// Number of changes of the list that the router knows.
        std::size_t revision = 0;
        ServiceVersions versions;
        /// Origins for routers that get updates too rarely, as in OriginExchange.
        std::map<Endpoint, std::vector<StreamOrigin>> unsent;
        std::uint64_t incarnation = 0;
        bool isUp = true;
        /// It is cut off from the other routers and the store, or was when it missed changes.
        bool isIsolated = false;
        TimePoint startedAt;
        bool isFirstStart = false;
        /// A write of the store's record is on its way.
        bool isRecording = false;
        OriginConfirmations confirmations;
        /// Requests whose callers wait for a confirmation, by its number.
        std::map<std::uint64_t, RequestPointer> unconfirmed;
    };

    /// A caller and the stream that it receives.
    struct ModelCaller
    {
        std::size_t dataCentre = 0;
        /// The router that it is connected to, if it is.
        std::optional<std::size_t> router;
        StreamKey stream = 0;
        std::set<std::string> versions;
        int events = 0;
        int length = 0;
        int returns = 0;
    };
    using CallerPointer = std::shared_ptr<ModelCaller>;

    /// A request at a router.
    struct ModelRequest
    {
        CallerPointer caller;
        std::size_t router = 0;
        std::uint64_t routerIncarnation = 0;
        StreamState stream;
        int attempts = 0;
        bool isCounted = false;
        /// Events that its caller gets once the origin is confirmed; nothing if it is.
        std::optional<int> withheld;
        std::string withheldVersion;
        /// Its origin was not confirmed in time.
        bool isGivenUp = false;
    };

    Replica makeReplica(std::size_t index)
    {
        Replica replica;
        replica.id = "engine-" + std::to_string(this->nextReplica++);
        replica.service = "model";
        // Two or three versions serve at once, also an older one that comes back.
        const bool isMixed = this->options.releaseInterval.count() == 0
                             && this->elapsed() >= this->options.releaseAt;
        const std::size_t ahead = isMixed ? this->below(2) : 0;
        replica.version = "v" + std::to_string(this->release + ahead);
        replica.dataCentre = dataCentreName(index % this->options.dataCentres);
        return replica;
    }

    ModelRouter makeRouter(std::size_t index)
    {
        ModelRouter router("router-" + std::to_string(index),
                           dataCentreName(index % this->options.dataCentres));
        for (const ModelUpstream &upstream : this->upstreams) {
            router.list.push_back(upstream.replica);
        }
        router.revision = this->changes.size();
        router.versions.restart(this->now);
        this->updateVersions(router);
        for (std::size_t i = 0; i < this->options.routers; ++i) {
            if (i != index) {
                router.contacts.add(addressOf(i), this->now);
            }
        }
        router.incarnation = ++this->lastIncarnation;
        router.startedAt = this->now;
        router.isFirstStart = this->now == this->start;
        return router;
    }

    static std::string dataCentreName(std::size_t index) { return "hall-" + std::to_string(index); }
    static Endpoint addressOf(std::size_t index)
    {
        return {"10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250), 7000};
    }
    [[nodiscard]] std::size_t indexOf(const Endpoint &address) const
    {
        const std::size_t dot = address.host.rfind('.');
        const std::size_t high = std::stoul(address.host.substr(5, dot - 5));
        return high * 250 + std::stoul(address.host.substr(dot + 1));
    }

    void repeat(Milliseconds interval, const std::function<void()> &action)
    {
        if (interval.count() > 0) {
            this->at(interval, [this, interval, action] {
                action();
                this->repeat(interval, action);
            });
        }
    }

    [[nodiscard]] bool isCut(std::size_t from, std::size_t to) const
    {
        if (this->routers[from]->isIsolated || this->routers[to]->isIsolated) {
            return true;
        }
        const Duration cutAt = this->options.cutAt;
        const bool isDuring =
            cutAt > Duration{0} && this->elapsed() >= cutAt && this->elapsed() < cutAt + Seconds{6};
        return isDuring
               && (from % this->options.dataCentres == 0) != (to % this->options.dataCentres == 0);
    }

    /// Delivers a message once, twice or never.
    void send(std::size_t from, std::size_t to, const std::function<void(ModelRouter &)> &deliver)
    {
        const int copies = this->chance(this->options.messageRepetition) ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            const Milliseconds delay =
                this->chance(0.02) ? this->between(50, 400) : this->between(1, 10);
            if (this->isCut(from, to) || this->chance(this->options.messageLoss)) {
                continue;
            }
            this->at(delay, [this, to, deliver] {
                if (this->routers[to]->isUp) {
                    deliver(*this->routers[to]);
                }
            });
        }
    }

    /// Sends what the router has recorded, as FleetGossip does.
    void tick(std::size_t index)
    {
        this->at(gossipInterval + this->between(0, 10), [this, index] { this->tick(index); });
        ModelRouter &router = *this->routers[index];
        if (!router.isUp) {
            return;
        }
        router.origins.removeExpired(this->now);
        router.contacts.removeFailed(this->now);
        this->updateRecord(index);
        this->confirmDue(index);
        for (const UpdateGroup &group :
             router.contacts.takeDueGroups(BroadcastScope::Due, this->now)) {
            const std::vector<StreamOrigin> origins =
                group.carriesOrigins ? router.log.originsSince(group.lastSent, 512)
                                     : std::vector<StreamOrigin>{};
            for (const Endpoint &address : group.routers) {
                this->report(index, this->indexOf(address), origins, true);
            }
        }
        for (const auto &[holder, origins] : std::exchange(router.unsent, {})) {
            this->report(index, this->indexOf(holder), origins, false);
        }
        router.log.removeBefore(this->now - router.contacts.maxInterval() - gossipInterval);
    }

    void report(std::size_t from, std::size_t to, const std::vector<StreamOrigin> &origins,
                bool isUpdate)
    {
        const std::uint64_t incarnation = this->routers[from]->incarnation;
        const auto mixedAt = this->routers[from]->versions.mixedAt("model", this->now);
        this->send(
            from, to,
            [this, from, to, origins, isUpdate, incarnation, mixedAt](ModelRouter &receiver) {
                if (isUpdate) {
                    const RouterContact *const before = receiver.contacts.find(addressOf(from));
                    const bool isNew = before == nullptr || !before->isMember
                                       || before->incarnation != incarnation;
                    RouterContact &contact =
                        receiver.contacts.recordReceived(addressOf(from), this->now);
                    contact.incarnation = incarnation;
                    contact.id = "router-" + std::to_string(from);
                    contact.dataCentre = dataCentreName(from % this->options.dataCentres);
                    contact.keepsOrigins = true;
                    contact.confirmsOrigins = this->options.areOriginsConfirmed;
                    if (mixedAt) {
                        receiver.versions.recordMixedElsewhere(hashOf("model"), *mixedAt);
                    }
                    if (isNew) {
                        this->onJoined(to, from);
                    }
                }
                for (const StreamOrigin &origin : origins) {
                    receiver.origins.record(origin, this->now);
                }
            });
    }

    void scheduleArrival()
    {
        const double mean = 1000.0 / (6.0 * static_cast<double>(this->options.routers));
        this->at(std::chrono::duration_cast<Duration>(
                     std::chrono::duration<double, std::milli>(this->exponential(mean))),
                 [this] {
                     const auto caller = std::make_shared<ModelCaller>();
                     caller->dataCentre = this->below(this->options.dataCentres);
                     caller->length = static_cast<int>(this->below(this->maxEvents())) + 2;
                     this->connect(caller);
                     this->scheduleArrival();
                 });
    }

    /// Sends the caller's request to a router of its data centre, or of any if none is up.
    void connect(const CallerPointer &caller)
    {
        std::vector<std::size_t> local;
        std::vector<std::size_t> any;
        for (std::size_t i = 0; i < this->routers.size(); ++i) {
            if (this->routers[i]->isUp) {
                any.push_back(i);
                if (i % this->options.dataCentres == caller->dataCentre) {
                    local.push_back(i);
                }
            }
        }
        const std::vector<std::size_t> &candidates = local.empty() ? any : local;
        if (candidates.empty()) {
            return;
        }
        const auto request = std::make_shared<ModelRequest>();
        request->caller = caller;
        request->router = candidates[this->below(candidates.size())];
        caller->router = request->router;
        this->callers[request->router].push_back(caller);
        const ModelRouter &router = *this->routers[request->router];
        request->routerIncarnation = router.incarnation;
        const bool isUndisturbed =
            this->now - router.startedAt >= undisturbedTime || router.startedAt == this->start;
        if (caller->events == 0) {
            caller->stream = ++this->lastStream;
            request->stream.key = caller->stream;
            if (this->needsConfirmation(router) && !this->mayBegin(router)) {
                this->returnLater(caller);
                return;
            }
            request->isCounted = isUndisturbed;
            this->newCount += request->isCounted ? 1 : 0;
            this->dispatch(request);
            return;
        }
        request->stream.key = caller->stream;
        request->isCounted = isUndisturbed && this->servingOf(*caller->versions.begin()) >= 2;
        this->takenUpCount += request->isCounted ? 1 : 0;
        this->takeUp(request);
    }

    /// \returns whether streams of several versions may be taken up, as far as the router knows.
    [[nodiscard]] bool needsConfirmation(const ModelRouter &router) const
    {
        return this->options.isBound && this->options.areOriginsConfirmed
               && router.versions.areMixedSince("model", this->now - this->takeUpTime(), this->now);
    }

    /// \returns whether witnesses confirm the origins of the router, as OriginExchange finds it.
    [[nodiscard]] bool mayBegin(const ModelRouter &router) const
    {
        const OriginWitnesses witnesses = router.contacts.originWitnesses({}, this->now);
        return !witnesses.exist
               || (!witnesses.alive.empty() && router.confirmations.areConfirmed(this->now));
    }

    /// Asks witnesses for what is to be confirmed, as OriginExchange does.
    void confirmDue(std::size_t index)
    {
        ModelRouter &router = *this->routers[index];
        std::vector<ConfirmationRequest> due = router.confirmations.takeDue(this->now);
        if (!router.confirmations.areConfirmed(this->now)) {
            // A probe.
            due.push_back({0, {}, this->below(maxAttempts)});
        }
        for (const ConfirmationRequest &request : due) {
            const OriginWitnesses witnesses =
                router.contacts.originWitnesses(request.origin.stream, this->now);
            for (const Endpoint &witness : witnessesOfRound(witnesses, request.round)) {
                this->askWitness(index, this->indexOf(witness), request);
            }
        }
        for (const std::uint64_t number : router.confirmations.takeExpired(this->now)) {
            const auto expired = router.unconfirmed.extract(number);
            expired.mapped()->isGivenUp = true;
            this->returnLater(expired.mapped()->caller);
        }
    }

    void askWitness(std::size_t from, std::size_t to, const ConfirmationRequest &request)
    {
        const std::uint64_t incarnation = this->routers[from]->incarnation;
        this->send(from, to, [this, from, to, request, incarnation](ModelRouter &witness) {
            if (request.number > 0) {
                witness.origins.record(request.origin, this->now);
            }
            this->send(to, from, [this, request, incarnation](ModelRouter &asking) {
                if (asking.incarnation != incarnation) {
                    return;
                }
                asking.confirmations.confirm(request.number, this->now);
                const auto confirmed = asking.unconfirmed.extract(request.number);
                if (!confirmed.empty()) {
                    this->giveWithheld(*confirmed.mapped());
                }
            });
        });
    }

    void giveWithheld(ModelRequest &request)
    {
        const int events = std::exchange(request.withheld, std::nullopt).value_or(0);
        request.caller->events += events;
        if (events > 0) {
            request.caller->versions.insert(request.withheldVersion);
        }
    }

    [[nodiscard]] std::ptrdiff_t servingOf(const std::string &version) const
    {
        return std::count_if(this->upstreams.begin(), this->upstreams.end(),
                             [&version](const ModelUpstream &upstream) {
                                 return upstream.isRunning && upstream.replica.version == version;
                             });
    }

    /// Finds the origin of a stream, as OriginExchange does.
    void takeUp(const RequestPointer &request)
    {
        ModelRouter &router = *this->routers[request->router];
        if (!this->options.isBound) {
            this->dispatch(request);
            return;
        }
        if (!this->options.areStreamsNamed) {
            this->confirmOnlyVersion(request);
            return;
        }
        if (const auto known = router.origins.find(request->stream.key, this->now)) {
            bindTo(request->stream, known->version);
            this->dispatch(request);
            return;
        }
        this->ask(request, std::make_shared<OriginSearch>());
    }

    void ask(const RequestPointer &request, const std::shared_ptr<OriginSearch> &search)
    {
        if (!this->isRunning(*request) || request->stream.binding != BindingState::Free) {
            return;
        }
        const ModelRouter &router = *this->routers[request->router];
        const auto asked =
            nextRound(*search, router.contacts.originSources(request->stream.key, this->now));
        if (!asked) {
            this->confirmOnlyVersion(request);
            return;
        }
        for (const Endpoint &address : *asked) {
            this->askRouter(request, search, this->indexOf(address));
        }
        this->at(originAskInterval, [this, request, search] { this->ask(request, search); });
    }

    void askRouter(const RequestPointer &request, const std::shared_ptr<OriginSearch> &search,
                   std::size_t to)
    {
        const std::size_t from = request->router;
        this->send(from, to, [this, request, search, from, to](ModelRouter &asked) {
            const auto known = asked.origins.find(request->stream.key, this->now);
            this->send(to, from, [this, request, search, to, known](ModelRouter &asking) {
                this->onReply(request, *search, asking, to, known);
            });
        });
    }

    void onReply(const RequestPointer &request, OriginSearch &search, ModelRouter &asking,
                 std::size_t from, const std::optional<StreamOrigin> &reply)
    {
        if (!this->isRunning(*request) || request->stream.binding != BindingState::Free) {
            return;
        }
        if (!reply) {
            if (recordIgnorance(search, addressOf(from), asking.contacts.aliveCount(this->now))) {
                this->confirmOnlyVersion(request);
            }
            return;
        }
        asking.origins.record(*reply, this->now);
        const auto known = asking.origins.find(request->stream.key, this->now);
        bindTo(request->stream, known ? std::optional(known->version) : std::nullopt);
        if (known) {
            this->dispatch(request);
        }
    }

    /// Binds the stream to the only version of the service, as VersionConfirmer does.
    void confirmOnlyVersion(const RequestPointer &request)
    {
        // Ends the search for the origin.
        bindTo(request->stream, std::nullopt);
        this->at(this->between(2, 20), [this, request] {
            const ModelRouter &router = *this->routers[request->router];
            if (!this->isRunning(*request)) {
                return;
            }
            if (this->hasNoStore(request->router)) {
                request->caller->router.reset();
                return;
            }
            const auto only =
                this->options.usesRecord
                    ? router.versions.onlySeenSince("model", this->now - this->takeUpTime())
                    : router.versions.onlySeenSince("model", this->now - observedTime);
            const bool agrees =
                std::all_of(this->changes.begin() + static_cast<std::ptrdiff_t>(router.revision),
                            this->changes.end(), [&only](const ListChange &change) {
                                return only && versionKeyOf(change.replica) == *only;
                            });
            const bool isRecorded = !this->options.usesRecord
                                    || (this->stored.record && this->stored.record->only == only);
            if (only && agrees && isRecorded) {
                bindTo(request->stream, only);
                this->dispatch(request);
            } else {
                // Refused: the caller is no longer connected.
                request->caller->router.reset();
            }
        });
    }

    [[nodiscard]] std::uint64_t maxEvents() const
    {
        return static_cast<std::uint64_t>(this->options.maxEvents);
    }

    void scheduleRoll()
    {
        if (this->options.rollAt.count() == 0) {
            return;
        }
        const std::size_t last = this->routers.size() - 1;
        for (std::size_t i = 0; i < last; ++i) {
            this->at(this->options.rollAt + static_cast<int>(i) * this->options.rollGap,
                     [this, i] { this->stop(i); });
        }
        this->at(this->options.rollAt + static_cast<int>(last) * this->options.rollGap
                     + undisturbedTime + restartTime,
                 [this, last] { this->kill(last); });
    }

    /// Stops a router, which passes on where its streams began.
    void stop(std::size_t index)
    {
        const ModelRouter &router = *this->routers[index];
        if (this->options.arePassedOn && router.isUp) {
            for (const auto &[receiver, origins] : originsAtStop(
                     router.origins, router.contacts, this->processOf(index), this->now)) {
                this->report(index, this->indexOf(receiver), origins, false);
            }
        }
        this->kill(index);
    }

    [[nodiscard]] RouterProcess processOf(std::size_t index) const
    {
        return routerProcessOf("router-" + std::to_string(index),
                               this->routers[index]->incarnation);
    }

    /// Handles the first update of a router that has started, as FleetGossip does.
    void onJoined(std::size_t at, std::size_t joining)
    {
        const ModelRouter &router = *this->routers[at];
        if (this->options.arePassedOn) {
            this->report(at, joining,
                         originsForJoining(router.origins, router.contacts, addressOf(joining),
                                           this->processOf(at), this->now),
                         false);
        }
    }

    [[nodiscard]] Milliseconds takeUpTime() const { return streamTime + this->options.listDelay; }

    [[nodiscard]] bool isRecorder(std::size_t index) const
    {
        for (std::size_t i = 0; i < this->routers.size(); ++i) {
            if (this->routers[i]->isUp && !this->hasNoStore(i)) {
                return i == index;
            }
        }
        return false;
    }

    /// \returns whether the router does not reach the store. In a partition the first data centre
    /// has none.
    [[nodiscard]] bool hasNoStore(std::size_t index) const
    {
        const Duration cutAt = this->options.cutAt;
        const bool isDuring =
            cutAt > Duration{0} && this->elapsed() >= cutAt && this->elapsed() < cutAt + Seconds{6};
        return this->routers[index]->isIsolated
               || (isDuring && index % this->options.dataCentres == 0);
    }

    void isolateSome()
    {
        for (std::size_t i = 0; i < this->options.isolatedAtOnce; ++i) {
            this->isolateRouter(this->below(this->routers.size()));
        }
    }

    void isolateRouter(std::size_t index)
    {
        if (this->routers[index]->isIsolated) {
            return;
        }
        if (this->options.isolationKillAfter.count() > 0) {
            this->at(this->options.isolationKillAfter, [this, index] {
                this->kill(index, this->options.isolationTime - this->options.isolationKillAfter);
            });
        }
        const std::uint64_t incarnation = this->routers[index]->incarnation;
        this->routers[index]->isIsolated = true;
        this->at(this->options.isolationTime, [this, index, incarnation] {
            ModelRouter &router = *this->routers[index];
            if (router.incarnation != incarnation) {
                return;
            }
            // Versions that joined and left during the cut are not in the list.
            router.isIsolated = false;
            for (; router.revision < this->changes.size(); ++router.revision) {
                const ListChange &change = this->changes[router.revision];
                router.list[change.index] = change.replica;
            }
            router.versions.restart(this->now);
            this->updateVersions(router);
        });
    }

    /// Writes the store's record, as VersionRecorder does.
    void updateRecord(std::size_t index)
    {
        ModelRouter &router = *this->routers[index];
        if (!this->isRecorder(index) || router.isRecording) {
            return;
        }
        const ListedVersions seen{
            router.versions.listedOf("model"),
            router.versions.onlyVersionSince("model", this->now - this->takeUpTime()),
            router.isFirstStart};
        const auto next = nextVersionRecord(1, this->stored.record, seen);
        if (!next) {
            return;
        }
        router.isRecording = true;
        const std::uint64_t incarnation = router.incarnation;
        this->at(this->between(2, 20),
                 [this, index, next, incarnation, revision = this->stored.revision] {
                     if (this->stored.revision == revision) {
                         this->stored = {next, revision + 1};
                     }
                     if (this->routers[index]->incarnation == incarnation) {
                         this->routers[index]->isRecording = false;
                     }
                 });
    }

    [[nodiscard]] bool isRunning(const ModelRequest &request) const
    {
        const ModelRouter &router = *this->routers[request.router];
        return router.isUp && router.incarnation == request.routerIncarnation && !request.isGivenUp;
    }

    /// Chooses an upstream by the router's list.
    void dispatch(const RequestPointer &request)
    {
        const ModelRouter &router = *this->routers[request->router];
        std::vector<std::size_t> candidates;
        for (std::size_t i = 0; i < router.list.size(); ++i) {
            if (!this->options.isBound || isPermitted(request->stream, router.list[i])) {
                candidates.push_back(i);
            }
        }
        while (!candidates.empty() && request->attempts < maxAttempts) {
            request->attempts += 1;
            const std::size_t at = this->below(candidates.size());
            const std::size_t index = candidates[at];
            candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(at));
            const ModelUpstream &upstream = this->upstreams[index];
            // Another upstream at the address refuses what is meant for the listed one.
            if (upstream.isRunning && upstream.replica.id == router.list[index].id) {
                request->stream.currentVersion = versionKeyOf(router.list[index]);
                this->count(*request);
                this->scheduleEvent(request, index, upstream.replica.id);
                return;
            }
        }
        this->returnLater(request->caller);
    }

    void count(ModelRequest &request)
    {
        if (std::exchange(request.isCounted, false)) {
            (request.caller->events == 0 ? this->beganCount : this->wentOnCount) += 1;
        }
    }

    void scheduleEvent(const RequestPointer &request, std::size_t index, const std::string &id)
    {
        this->at(eventInterval, [this, request, index, id] {
            if (!this->isRunning(*request)) {
                return;
            }
            const ModelUpstream &upstream = this->upstreams[index];
            const auto lingering = this->lingering.find(id);
            if (upstream.replica.id == id ? !upstream.isRunning
                                          : lingering == this->lingering.end()) {
                this->dispatch(request);
                return;
            }
            this->relay(request,
                        upstream.replica.id == id ? upstream.replica.version : lingering->second);
            if (request->caller->events + request->withheld.value_or(0) < request->caller->length) {
                this->scheduleEvent(request, index, id);
            } else {
                this->routers[request->router]->origins.complete(request->stream.key);
            }
        });
    }

    /// Gives the caller one event. The router records the origin first.
    void relay(const RequestPointer &pointer, const std::string &version)
    {
        ModelRequest &request = *pointer;
        ModelRouter &router = *this->routers[request.router];
        if (recordEvents(request.stream)) {
            const StreamOrigin origin{request.stream.key, request.stream.version,
                                      this->now + this->options.originTime,
                                      this->processOf(request.router)};
            router.origins.record(origin, this->now);
            router.log.recordOrigin(origin, this->now);
            for (const Endpoint &holder : router.contacts.originHolders(origin.stream, this->now)) {
                router.unsent[holder].push_back(origin);
            }
            if (this->needsConfirmation(router)
                && router.contacts.originWitnesses({}, this->now).exist) {
                request.withheld = 0;
                request.withheldVersion = version;
                router.unconfirmed.emplace(router.confirmations.add(origin, this->now), pointer);
                this->confirmDue(request.router);
            }
        }
        if (request.withheld) {
            *request.withheld += 1;
            return;
        }
        ModelCaller &caller = *request.caller;
        caller.events += 1;
        const bool wasMixed = caller.versions.size() > 1;
        caller.versions.insert(version);
        this->mixed += !wasMixed && caller.versions.size() > 1 ? 1 : 0;
    }

    /// The response has ended early.
    void returnLater(const CallerPointer &caller)
    {
        caller->router.reset();
        if (caller->events >= caller->length || caller->returns >= maxReturns) {
            return;
        }
        caller->returns += 1;
        this->at(this->between(5, 300), [this, caller] { this->connect(caller); });
    }

    void kill(std::size_t index, Milliseconds downTime = restartTime)
    {
        ModelRouter &router = *this->routers[index];
        if (!router.isUp) {
            return;
        }
        router.isUp = false;
        for (const CallerPointer &caller : std::exchange(this->callers[index], {})) {
            if (caller->router == index) {
                this->returnLater(caller);
            }
        }
        this->at(downTime, [this, index] { *this->routers[index] = this->makeRouter(index); });
    }

    void killSome()
    {
        for (std::size_t i = 0; i < this->routers.size(); ++i) {
            if (this->chance(this->options.killShare)) {
                this->kill(i);
            }
        }
    }

    void crashUpstream()
    {
        ModelUpstream &upstream = this->upstreams[this->below(this->upstreams.size())];
        upstream.isRunning = false;
        this->at(Seconds{2}, [&upstream] { upstream.isRunning = true; });
    }

    void replaceUpstream()
    {
        if (this->elapsed() < this->options.releaseAt) {
            return;
        }
        std::size_t index = 0;
        if (this->options.releaseInterval.count() > 0) {
            const std::string version = "v" + std::to_string(this->release);
            const auto older = std::find_if(this->upstreams.begin(), this->upstreams.end(),
                                            [&version](const ModelUpstream &upstream) {
                                                return upstream.replica.version != version;
                                            });
            if (older == this->upstreams.end()) {
                return;
            }
            index = static_cast<std::size_t>(older - this->upstreams.begin());
        } else {
            this->release += this->chance(0.15) ? 1 : 0;
            index = this->below(this->upstreams.size());
        }
        const Replica replaced = this->upstreams[index].replica;
        if (this->options.lingerTime.count() > 0 && this->upstreams[index].isRunning) {
            this->lingering[replaced.id] = replaced.version;
            this->at(this->options.lingerTime,
                     [this, id = replaced.id] { this->lingering.erase(id); });
        }
        this->upstreams[index].replica = this->makeReplica(index);
        this->changes.push_back({index, this->upstreams[index].replica});
        for (std::size_t i = 0; i < this->routers.size(); ++i) {
            const Milliseconds longest =
                this->isRecorder(i) ? recorderDelay : this->options.listDelay;
            const auto delay = this->between(20, static_cast<int>(longest.count()));
            this->at(delay, [this, i] { this->catchUp(*this->routers[i]); });
        }
    }

    /// Applies all changes of the list that the router does not know.
    void catchUp(ModelRouter &router)
    {
        if (router.isIsolated) {
            return;
        }
        for (; router.revision < this->changes.size(); ++router.revision) {
            const ListChange &change = this->changes[router.revision];
            router.list[change.index] = change.replica;
            this->updateVersions(router);
        }
    }

    void updateVersions(ModelRouter &router)
    {
        std::map<std::string, Replica> listed;
        for (const Replica &replica : router.list) {
            listed.emplace(replica.id, replica);
        }
        router.versions.update(listed, this->now);
    }

    StreamOriginOptions options;
    std::vector<ListChange> changes;
    ModelRecord stored;
    /// Versions of replaced upstreams that serve on, by id.
    std::map<std::string, std::string> lingering;
    std::vector<ModelUpstream> upstreams;
    std::vector<std::unique_ptr<ModelRouter>> routers;
    /// Callers that connected to each router since it was last killed.
    std::map<std::size_t, std::vector<CallerPointer>> callers;
    std::uint64_t nextReplica = 1;
    std::uint64_t release = 1;
    std::uint64_t lastIncarnation = 0;
    StreamKey lastStream = 0;
    std::size_t mixed = 0;
    std::size_t takenUpCount = 0;
    std::size_t wentOnCount = 0;
    std::size_t newCount = 0;
    std::size_t beganCount = 0;
};

} // namespace plantainswitch
