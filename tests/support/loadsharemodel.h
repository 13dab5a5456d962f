#pragma once

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "plantainswitch/base/hash.h"
#include "plantainswitch/routing/enginecoordinator.h"
#include "plantainswitch/routing/peerloads.h"
#include "plantainswitch/routing/routercontacts.h"
#include "plantainswitch/routing/selection.h"
#include "plantainswitch/routing/servicereach.h"

#include "simulation.h"

namespace plantainswitch {

/// What a router that is partitioned from the upstreams meets there.
enum class PartitionKind : std::uint8_t {
    /// Open connections live on, new ones are refused.
    NewRefused,
    /// All connections are refused.
    Refused,
    /// Connections hang until their timeout.
    Hanging,
    /// One engine of ten, at least one, can be reached as ever; connections to the others are
    /// refused.
    FewLeft,
};

struct LoadShareOptions
{
    std::size_t routers = 0;
    std::size_t dataCentres = 0;
    std::size_t upstreams = 0;
    PartitionKind kind = PartitionKind::NewRefused;
    /// Routers that are partitioned from all upstreams, by index.
    std::vector<std::size_t> partitioned;
    /// Running requests at an upstream, on average.
    double meanRunning = 5.0;
    double datagramLoss = 0.005;
};

/// A model of many routers before the engines of one service, some of which lose the way to all
/// engines for some seconds. It uses the routers' own choice of engines, bounds on their load,
/// coordinators, health, and forwarding; updates between routers are as rare as between real ones.
class LoadShareModel : private Simulation
{
public:
    LoadShareModel(std::uint64_t seed, const LoadShareOptions &options)
        : Simulation(seed)
        , options(options)
    {
        for (std::size_t i = 0; i < options.upstreams; ++i) {
            Replica replica;
            replica.id = "engine-" + std::to_string(i);
            replica.startTime = 1;
            replica.service = "model";
            replica.dataCentre = this->dataCentreOf(i);
            replica.maxConcurrency = slots;
            this->replicas.push_back(std::move(replica));
        }
        this->running.assign(options.upstreams, 0);
        for (std::size_t i = 0; i < options.routers; ++i) {
            this->routers.push_back(
                std::make_unique<ModelRouter>(nameOf(i), this->dataCentreOf(i)));
            for (const Replica &replica : this->replicas) {
                auto state = std::make_unique<UpstreamState>();
                state->replica = replica;
                this->routers.back()->candidates.push_back(state.get());
                this->routers.back()->states.push_back(std::move(state));
            }
            this->routers.back()->idle.resize(options.upstreams);
        }
        for (const std::size_t index : options.partitioned) {
            this->routers.at(index)->isPartitioned = true;
        }
    }

    void run()
    {
        for (std::size_t i = 0; i < this->routers.size(); ++i) {
            this->at(this->between(0, 100), [this, i] { this->update(i); });
            this->scheduleArrival(i);
            this->at(cutOffProbeInterval, [this, i] { this->probe(i); });
        }
        this->runFor(end);
    }

    /// \returns the largest share of the requests of any five seconds that reached an engine which
    /// held more than twice the mean of all engines, and three; 0 where they were fewer than 20.
    [[nodiscard]] double overloadedShare() const
    {
        double largest = 0.0;
        for (std::size_t first = 0, last = 0, over = 0; last < this->arrivals.size(); ++last) {
            over += this->arrivals[last].second ? 1 : 0;
            while (this->arrivals[last].first - this->arrivals[first].first > checkedSpan) {
                over -= this->arrivals[first].second ? 1 : 0;
                ++first;
            }
            const bool isSpanWhole =
                this->arrivals[last].first - this->start >= warmUp + checkedSpan;
            if (isSpanWhole && over >= minOverloaded) {
                largest = std::max(largest, static_cast<double>(over)
                                                / static_cast<double>(last - first + 1));
            }
        }
        return largest;
    }

    /// Share of the requests that came to partitioned routers, or to the others, which were served,
    /// from three seconds after the partition began until its end.
    [[nodiscard]] double servedShare(bool ofPartitioned) const
    {
        const Tally &tally = ofPartitioned ? this->atPartitioned : this->atOthers;
        return tally.sent == 0.0 ? 1.0 : tally.served / tally.sent;
    }

private:
    struct ModelRouter
    {
        ModelRouter(const std::string &id, const std::string &dataCentre)
            : contacts(id, dataCentre)
        {}

        std::vector<std::unique_ptr<UpstreamState>> states;
        std::vector<UpstreamState *> candidates;
        /// When the idle connections to each engine expire.
        std::vector<std::deque<TimePoint>> idle;
        PrefixIndex prefixes;
        PeerLoads peerLoads;
        RouterContacts contacts;
        EngineCoordinator coordinator{100.0};
        ServiceReach reach;
        bool isPartitioned = false;
        std::uint64_t sequence = 0;
    };

    struct Request
    {
        std::uint64_t id = 0;
        std::size_t router = 0;
        /// The router that processes it, if it was forwarded.
        std::size_t processor = 0;
        bool isForwarded = false;
        bool counts = false;
        Prompt prompt;
        std::vector<std::uint64_t> prefixHashes;
        std::vector<std::string> tried;
        std::uint32_t coordinatorRejections = 0;
        std::uint32_t connectFailures = 0;
        std::optional<std::size_t> grantor;
        std::uint64_t grantId = 0;
    };
    using RequestPointer = std::shared_ptr<Request>;

    struct Tally
    {
        double sent = 0.0;
        double served = 0.0;
    };

    static constexpr std::uint32_t slots = 16;
    static constexpr std::uint64_t serviceKey = 77;
    static constexpr Seconds warmUp{3};
    static constexpr Seconds partitionBegin{4};
    static constexpr Seconds partitionEnd{14};
    static constexpr Seconds contactTime{3};
    static constexpr Seconds end{18};
    static constexpr Seconds checkedSpan{5};
    static constexpr std::size_t minOverloaded = 20;
    static constexpr Milliseconds meanRun{400};
    static constexpr Milliseconds idleTime{1000};
    static constexpr Milliseconds connectTimeout{250};
    static constexpr Milliseconds coordinatorTimeout{25};
    static constexpr std::uint32_t maxConnectFailures = 4;
    static constexpr std::uint64_t sharedPrefixes = 300;

    static std::string nameOf(std::size_t index) { return "router-" + std::to_string(index); }
    [[nodiscard]] std::string dataCentreOf(std::size_t index) const
    {
        return "hall-" + std::to_string(index % this->options.dataCentres);
    }
    static Endpoint addressOf(std::size_t index)
    {
        return {"10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250), 7000};
    }
    [[nodiscard]] std::size_t routerAt(const Endpoint &address) const
    {
        std::size_t index = 0;
        while (addressOf(index) != address) {
            ++index;
        }
        return index;
    }

    [[nodiscard]] bool isPartitionedNow(std::size_t router) const
    {
        const Duration since = this->elapsed();
        return this->routers[router]->isPartitioned && since >= partitionBegin
               && since < partitionEnd;
    }

    void scheduleArrival(std::size_t router)
    {
        const double perMillisecond =
            this->options.meanRunning * static_cast<double>(this->options.upstreams)
            / static_cast<double>(meanRun.count()) / static_cast<double>(this->options.routers);
        const double wait = this->exponential(1.0 / perMillisecond);
        this->at(std::chrono::microseconds{1 + static_cast<int>(wait * 1000.0)}, [this, router] {
            auto request = std::make_shared<Request>();
            request->id = ++this->lastId;
            request->router = router;
            request->processor = router;
            const Duration since = this->elapsed();
            request->counts = since >= partitionBegin + contactTime && since < partitionEnd;
            // Popular prefixes are asked for more often than others.
            const double position = std::uniform_real_distribution<double>(0.0, 1.0)(this->random);
            const auto subject = static_cast<std::uint64_t>(position * position
                                                            * static_cast<double>(sharedPrefixes));
            request->prompt = {
                "m", {{1, 2500}, {2 + subject, 2000}, {(1U << 20U) + request->id, 400}}, 30};
            request->prefixHashes = prefixHashesOf(request->prompt);
            this->select(request);
            this->scheduleArrival(router);
        });
    }

    void select(const RequestPointer &request)
    {
        ModelRouter &router = *this->routers[request->processor];
        if (isCutOff(router.reach, this->options.upstreams, this->now) && this->forward(request)) {
            return;
        }
        const std::string dataCentre = this->dataCentreOf(request->processor);
        const SelectionRequest query{dataCentre,       mixHash(request->id, 1),
                                     &request->prompt, request->prefixHashes,
                                     request->tried,   false};
        const auto choice =
            selectUpstream(router.candidates, query, router.prefixes, SelectionPolicy{}, this->now);
        if (!choice) {
            const bool isUnreachable =
                request->connectFailures > 0 || unreachableCount(router.candidates, this->now) > 0;
            if (!isUnreachable || !this->forward(request)) {
                this->finish(request, false);
            }
            return;
        }
        if (choice->isOverBound && isReachLimited(router.candidates, this->now)
            && this->forward(request)) {
            return;
        }
        if (request->coordinatorRejections >= maxLoadRejections) {
            this->connect(request, choice->index);
            return;
        }
        this->requestGrant(request, choice->index, choice->loadBound);
    }

    bool forward(const RequestPointer &request)
    {
        if (request->isForwarded) {
            return false;
        }
        const ForwardQuery query{serviceKey, request->id, {}, {}};
        const auto target =
            this->routers[request->router]->contacts.forwardTarget(query, this->now);
        if (!target) {
            return false;
        }
        request->isForwarded = true;
        request->processor = this->routerAt(*target);
        request->tried.clear();
        request->connectFailures = 0;
        request->coordinatorRejections = 0;
        this->at(this->between(1, 4), [this, request] { this->select(request); });
        return true;
    }

    void requestGrant(const RequestPointer &request, std::size_t index, double bound)
    {
        const Replica &replica = this->replicas[index];
        const auto address = this->routers[request->processor]->contacts.coordinatorOf(
            hashOf(replica.id), replica.dataCentre, false, this->now);
        const std::size_t coordinator = address ? this->routerAt(*address) : request->processor;
        request->grantor = coordinator;
        request->grantId = ++this->lastId;
        EngineGrantRequest grant;
        grant.router = nameOf(request->processor);
        grant.requestId = request->grantId;
        grant.incarnation = incarnationOf(replica);
        grant.prefixHashes = request->prefixHashes;
        grant.promptTokens = tokensOf(request->prompt);
        grant.loadBound = bound;
        const bool isLocal = coordinator == request->processor;
        if (!isLocal && this->chance(this->options.datagramLoss)) {
            this->at(coordinatorTimeout, [this, request, index] { this->connect(request, index); });
            return;
        }
        this->at(isLocal ? Milliseconds{0} : this->between(1, 3), [this, request, index,
                                                                   coordinator, grant] {
            ModelRouter &own = *this->routers[coordinator];
            const std::uint32_t reported =
                own.states[index]->ownRunning + own.peerLoads.totalAt(grant.incarnation).running;
            const EngineGrantReply reply = own.coordinator.requestGrant(grant, reported, this->now);
            this->at(this->between(0, 3),
                     [this, request, index, reply] { this->onReply(request, index, reply); });
        });
    }

    void onReply(const RequestPointer &request, std::size_t index, const EngineGrantReply &reply)
    {
        UpstreamState &state = *this->routers[request->processor]->states[index];
        state.peersRunning = reply.running - std::min(reply.running, state.ownRunning);
        if (reply.granted) {
            this->connect(request, index);
            return;
        }
        request->grantor.reset();
        request->coordinatorRejections += 1;
        this->select(request);
    }

    void connect(const RequestPointer &request, std::size_t index)
    {
        ModelRouter &router = *this->routers[request->processor];
        router.states[index]->ownRunning += 1;
        request->tried.push_back(this->replicas[index].id);
        router.prefixes.recordUse(request->prefixHashes, incarnationOf(this->replicas[index]),
                                  this->now);
        const bool isReused = this->takeIdle(router, index);
        const bool isCut = this->isPartitionedNow(request->processor) && !this->isLeft(index);
        if (!isCut || (isReused && this->options.kind == PartitionKind::NewRefused)) {
            if (!isReused) {
                recordConnected(router.reach, this->now);
            }
            this->at(this->between(1, 2), [this, request, index] { this->arrive(request, index); });
            return;
        }
        const bool hangs = this->options.kind == PartitionKind::Hanging;
        this->at(hangs ? connectTimeout : this->between(1, 3),
                 [this, request, index] { this->onConnectFailed(request, index); });
    }

    /// \returns whether partitioned routers still reach the engine.
    [[nodiscard]] bool isLeft(std::size_t index) const
    {
        constexpr std::size_t oneOf = 10;
        return this->options.kind == PartitionKind::FewLeft && index % oneOf == 0;
    }

    bool takeIdle(ModelRouter &router, std::size_t index)
    {
        std::deque<TimePoint> &idle = router.idle[index];
        while (!idle.empty() && idle.front() <= this->now) {
            idle.pop_front();
        }
        if (idle.empty()) {
            return false;
        }
        idle.pop_back();
        return true;
    }

    void onConnectFailed(const RequestPointer &request, std::size_t index)
    {
        ModelRouter &router = *this->routers[request->processor];
        UpstreamState &state = *router.states[index];
        recordFault(state.health, UpstreamFault::Unreachable, this->now);
        recordContactFailure(router.reach, incarnationOf(state.replica),
                             ContactFailure::ConnectFailed, this->now);
        this->release(request, index);
        request->connectFailures += 1;
        if (request->connectFailures < maxConnectFailures) {
            this->select(request);
        } else if (!this->forward(request)) {
            this->finish(request, false);
        }
    }

    void arrive(const RequestPointer &request, std::size_t index)
    {
        double total = 0.0;
        for (const std::uint32_t each : this->running) {
            total += each;
        }
        const double mean = total / static_cast<double>(this->running.size());
        this->running[index] += 1;
        this->arrivals.emplace_back(this->now, this->running[index] > 2.0 * mean + 3.0);
        const double hold = this->exponential(static_cast<double>(meanRun.count()));
        this->at(Milliseconds{1 + static_cast<int>(hold)}, [this, request, index] {
            this->running[index] -= 1;
            this->onResponse(request, index);
        });
    }

    void onResponse(const RequestPointer &request, std::size_t index)
    {
        ModelRouter &router = *this->routers[request->processor];
        if (!this->isPartitionedNow(request->processor) || this->isLeft(index)
            || this->options.kind == PartitionKind::NewRefused) {
            recordContact(router.reach, this->now);
            recordSuccess(router.states[index]->health, Duration{0}, this->now);
            router.idle[index].push_back(this->now + idleTime);
        }
        this->release(request, index);
        this->finish(request, true);
    }

    /// The processing router no longer runs the request at the engine.
    void release(const RequestPointer &request, std::size_t index)
    {
        this->routers[request->processor]->states[index]->ownRunning -= 1;
        if (!request->grantor || this->chance(this->options.datagramLoss)) {
            return;
        }
        const std::size_t coordinator = *std::exchange(request->grantor, std::nullopt);
        this->at(this->between(1, 3), [this, coordinator, request, index, id = request->grantId,
                                       router = nameOf(request->processor)] {
            this->routers[coordinator]->coordinator.releaseGrant(
                router, id, incarnationOf(this->replicas[index]));
        });
    }

    void finish(const RequestPointer &request, bool isServed)
    {
        if (request->counts) {
            Tally &tally = this->routers[request->router]->isPartitioned ? this->atPartitioned
                                                                         : this->atOthers;
            tally.sent += 1.0;
            tally.served += isServed ? 1.0 : 0.0;
        }
    }

    /// A router that is cut off looks for an engine that it reaches again.
    void probe(std::size_t index)
    {
        this->at(cutOffProbeInterval, [this, index] { this->probe(index); });
        ModelRouter &router = *this->routers[index];
        if (!isCutOff(router.reach, this->options.upstreams, this->now)) {
            return;
        }
        if (this->isPartitionedNow(index)) {
            recordContactFailure(router.reach, this->below(this->options.upstreams),
                                 ContactFailure::ConnectFailed, this->now);
        } else {
            recordConnected(router.reach, this->now);
        }
    }

    /// Sends the router's update to those to which one is due.
    void update(std::size_t from)
    {
        this->at(gossipInterval, [this, from] { this->update(from); });
        ModelRouter &sender = *this->routers[from];
        RouterUpdate update;
        update.id = nameOf(from);
        update.incarnation = 1;
        update.sequence = ++sender.sequence;
        for (const auto &state : sender.states) {
            if (state->ownRunning > 0) {
                update.loads.push_back(
                    {incarnationOf(state->replica), state->ownRunning, 0, Milliseconds{0}, false});
            }
        }
        const bool isUnreachable = isCutOff(sender.reach, this->options.upstreams, this->now)
                                   || isReachLimited(sender.candidates, this->now);
        for (std::size_t to = 0; to < this->routers.size(); ++to) {
            if (to != from && this->isUpdateDue(from, to)
                && !this->chance(this->options.datagramLoss)) {
                this->at(this->between(1, 3), [this, from, to, update, isUnreachable] {
                    this->applyUpdate(from, to, update, isUnreachable);
                });
            }
        }
    }

    [[nodiscard]] bool isUpdateDue(std::size_t from, std::size_t to)
    {
        const std::size_t local = this->routers.size() / this->options.dataCentres;
        const bool isLocal = this->dataCentreOf(from) == this->dataCentreOf(to);
        const std::size_t addressed = isLocal ? local : this->routers.size() - local;
        const std::size_t fast = isLocal ? maxFastLocalRouters : maxFastRemoteRouters;
        return this->below(std::max(addressed, fast)) < fast;
    }

    void applyUpdate(std::size_t from, std::size_t to, const RouterUpdate &update,
                     bool isUnreachable)
    {
        ModelRouter &router = *this->routers[to];
        RouterContact &contact = router.contacts.recordReceived(addressOf(from), this->now);
        contact.id = update.id;
        contact.dataCentre = this->dataCentreOf(from);
        contact.acceptsForwards = true;
        contact.unreachableServices.clear();
        if (isUnreachable) {
            contact.unreachableServices.insert(serviceKey);
        }
        if (!router.peerLoads.applyUpdate(update)) {
            return;
        }
        for (const auto &state : router.states) {
            const std::uint64_t incarnation = incarnationOf(state->replica);
            state->peersRunning = router.peerLoads.totalAt(incarnation).running;
            std::uint32_t reported = 0;
            for (const PeerLoad &load : update.loads) {
                reported += load.incarnation == incarnation ? load.running : 0;
            }
            router.coordinator.reconcile(update.id, incarnation, reported, this->now);
        }
    }

    LoadShareOptions options;
    std::vector<Replica> replicas;
    std::vector<std::uint32_t> running;
    std::vector<std::unique_ptr<ModelRouter>> routers;
    /// When each request reached an engine, and whether that held more than its share.
    std::deque<std::pair<TimePoint, bool>> arrivals;
    Tally atPartitioned;
    Tally atOthers;
    std::uint64_t lastId = 0;
};

} // namespace plantainswitch
