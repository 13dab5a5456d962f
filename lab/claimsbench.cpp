#include "claimsbench.h"

#include <algorithm>
#include <array>
#include <functional>
#include <queue>
#include <random>
#include <set>
#include <unordered_map>

#include "claimscounts.h"
#include "memorystore.h"

namespace plantainswitch::lab {

namespace {

constexpr std::array faultNames{"none", "silent", "cut", "store-down"};
constexpr Duration claimDeadline = Milliseconds{2000};
constexpr Duration failingLong = Milliseconds{1000};
/// Time after which members that don't answer count as gone.
constexpr Duration goneAfter = Milliseconds{3000};
constexpr Duration nearDelay = std::chrono::microseconds{500};
constexpr Duration farDelay = Milliseconds{5};
/// Bytes on the wire with their headers; see docs/CAPACITY.md.
constexpr std::uint64_t askBytes = 83;
constexpr std::uint64_t replyBytes = 51;
constexpr std::uint64_t releaseBytes = 67;

struct Slice
{
    ClaimLog log;
    std::map<std::uint64_t, std::size_t> waiting;
    std::uint64_t timer = 0;
};

struct Router
{
    std::uint64_t id = 0;
    std::uint32_t place = 0;
    std::map<std::uint32_t, Slice> slices;
    SilentWriters silent;
    std::uint64_t sentBytes = 0;
    std::uint64_t heardBytes = 0;
    std::uint64_t storeBytes = 0;
};

struct Ask
{
    ClaimRequest ask;
    std::size_t owner = 0;
    ClaimRoute route;
    TimePoint begun;
    std::uint64_t timer = 0;
};

struct Event
{
    TimePoint at;
    std::uint64_t number = 0;
    std::function<void()> act;
    bool operator<(const Event &other) const
    {
        return std::tie(other.at, other.number) < std::tie(this->at, this->number);
    }
};

class ClaimsBench
{
public:
    explicit ClaimsBench(const ClaimsOptions &options)
        : options(options)
        , random(options.seed)
        , begin(clock.now())
        , faultBegin(begin + Seconds{options.seconds / 3})
        , faultEnd(faultBegin + Seconds{options.faultSeconds})
        , seconds(options.seconds + 4)
        , routers(options.routers)
    {
        for (std::size_t index = 0; index < this->routers.size(); ++index) {
            this->routers[index].id = hashOf("router-" + std::to_string(index), options.seed);
            this->routers[index].place = static_cast<std::uint32_t>(index % options.places);
        }
        for (std::uint32_t slice = 0; slice < claimSliceCount; ++slice) {
            fillWithLongLog(this->store, slice, options.log);
            this->usual.insert(this->writersAt(0, slice).front());
        }
    }

    nlohmann::ordered_json run()
    {
        this->scheduleClaim();
        const TimePoint end = this->begin + Seconds{this->options.seconds} + claimDeadline;
        while (!this->events.empty() && this->events.top().at < end) {
            const Event event = this->events.top();
            this->events.pop();
            this->clock.advance(event.at - this->clock.now());
            event.act();
        }
        return this->report();
    }

private:
    void after(Duration wait, std::function<void()> act)
    {
        this->events.push({this->clock.now() + wait, ++this->eventNumber, std::move(act)});
    }

    ClaimCounts &counts()
    {
        const auto passed = std::chrono::duration_cast<Seconds>(this->clock.now() - this->begin);
        return this->seconds[static_cast<std::size_t>(passed.count())];
    }

    [[nodiscard]] bool inFault(ClaimFault fault, Duration late = Duration{0}) const
    {
        const TimePoint now = this->clock.now();
        return this->options.fault == fault && now >= this->faultBegin + late
               && now < this->faultEnd;
    }

    [[nodiscard]] bool paused(std::size_t router) const
    {
        return this->inFault(ClaimFault::Silent) && this->usual.contains(router);
    }

    [[nodiscard]] bool isCutOff(std::size_t router) const
    {
        return this->routers[router].place < this->options.cutPlaces;
    }

    /// \returns the writers of \a slice as \a router sees the members now.
    const std::vector<std::size_t> &writersAt(std::size_t router, std::uint32_t slice)
    {
        const bool silentGone = this->inFault(ClaimFault::Silent, goneAfter);
        const bool cutGone = this->inFault(ClaimFault::Cut, goneAfter);
        const bool off = this->isCutOff(router);
        const unsigned view = silentGone ? 1 : (cutGone ? (off ? 2 : 3) : 0);
        const std::uint32_t place = this->routers[router].place;
        const auto [found, fresh] = this->chosen.try_emplace({view, place, slice});
        if (!fresh) {
            return found->second;
        }
        std::vector<WriterCandidate> candidates;
        std::vector<std::size_t> indexes;
        for (std::size_t index = 0; index < this->routers.size(); ++index) {
            const bool gone = (silentGone && this->usual.contains(index))
                              || (cutGone && this->isCutOff(index) != off);
            if (!gone) {
                candidates.push_back(
                    {this->routers[index].id, std::to_string(this->routers[index].place)});
                indexes.push_back(index);
            }
        }
        for (const std::size_t each :
             claimWritersOf(slice, candidates, std::to_string(place), this->options.writers)) {
            found->second.push_back(indexes[each]);
        }
        return found->second;
    }

    void send(std::size_t from, std::size_t to, std::uint64_t bytes, std::function<void()> arrive)
    {
        this->routers[from].sentBytes += bytes;
        const bool cut =
            this->inFault(ClaimFault::Cut) && this->isCutOff(from) != this->isCutOff(to);
        if (cut || this->paused(from) || this->paused(to)
            || std::bernoulli_distribution(this->options.loss)(this->random)) {
            return;
        }
        this->routers[to].heardBytes += bytes;
        const bool near = this->routers[from].place == this->routers[to].place;
        this->after(near ? nearDelay : farDelay, std::move(arrive));
    }

    void scheduleClaim()
    {
        std::exponential_distribution<double> gap(this->options.claimsPerSecond);
        const std::chrono::duration<double> wait{gap(this->random)};
        const auto step = std::chrono::duration_cast<Duration>(wait);
        if (this->clock.now() + step >= this->begin + Seconds{this->options.seconds}) {
            return;
        }
        this->after(step, [this] {
            this->scheduleClaim();
            const std::size_t owner = this->random() % this->routers.size();
            if (!this->paused(owner)) {
                this->claim(owner);
            }
        });
    }

    void claim(std::size_t owner)
    {
        const std::uint64_t nonce = ++this->nonces;
        const Claim claim{{this->random(), this->random()}, this->routers[owner].id, nonce, nonce};
        this->asks[nonce] = {{claim, 0}, owner, {}, this->clock.now(), 0};
        this->step(nonce);
    }

    void step(std::uint64_t nonce)
    {
        Ask &ask = this->asks.at(nonce);
        if (this->clock.now() >= ask.begun + claimDeadline) {
            this->finish(nonce, false);
            return;
        }
        const auto &writers = this->writersAt(ask.owner, sliceOf(ask.ask.claim.id));
        std::vector<std::uint64_t> ids;
        ids.reserve(writers.size());
        for (const std::size_t writer : writers) {
            ids.push_back(this->routers[writer].id);
        }
        Router &owner = this->routers[ask.owner];
        const ClaimRouteStep step = nextClaimRouteStep(ask.route, owner.silent, ids, owner.id,
                                                       this->options.writers, this->clock.now());
        if (step.action == ClaimRouteAction::Refuse) {
            this->finish(nonce, false);
            return;
        }
        this->askAgain(ask, step.wait);
        if (step.action == ClaimRouteAction::WriteLocally) {
            Slice &slice = this->sliceAt(ask.owner, ask.ask);
            if (!this->takeAsk(slice, ask.ask)) {
                this->finish(nonce, false);
                return;
            }
            this->pump(ask.owner, slice);
            return;
        }
        const std::size_t writer = writers[step.writer];
        this->send(ask.owner, writer, askBytes, [this, writer, from = ask.owner, taken = ask.ask] {
            this->hearAsk(writer, from, taken);
        });
    }

    void askAgain(Ask &ask, Duration wait)
    {
        const std::uint64_t nonce = ask.ask.claim.nonce;
        const std::uint64_t timer = ++ask.timer;
        this->after(wait, [this, nonce, timer] {
            const auto found = this->asks.find(nonce);
            if (found != this->asks.end() && found->second.timer == timer) {
                this->step(nonce);
            }
        });
    }

    bool takeAsk(Slice &slice, const ClaimRequest &ask)
    {
        const TimePoint now = this->clock.now();
        const bool failing = slice.log.failingSince && now - *slice.log.failingSince > failingLong;
        return !(failing && (slice.log.callOutstanding || now < slice.log.nextWriteAt))
               && enqueueClaim(slice.log, ask);
    }

    Slice &sliceAt(std::size_t router, const ClaimRequest &ask)
    {
        const std::uint32_t number = sliceOf(ask.claim.id);
        const auto [found, fresh] = this->routers[router].slices.try_emplace(number);
        if (fresh) {
            found->second.log.slice = number;
            found->second.log.writer = this->routers[router].id;
            found->second.log.limits = this->options.log;
        }
        return found->second;
    }

    void hearAsk(std::size_t router, std::size_t from, const ClaimRequest &ask)
    {
        Slice &slice = this->sliceAt(router, ask);
        const bool taken = this->takeAsk(slice, ask);
        if (taken) {
            slice.waiting[ask.claim.nonce] = from;
        }
        const auto verdict = taken ? ClaimVerdict::Queued : ClaimVerdict::Unavailable;
        this->reply(router, from, {ask.claim.nonce, verdict, {}});
        this->pump(router, slice);
    }

    void reply(std::size_t from, std::size_t to, const ClaimReply &reply)
    {
        this->send(from, to, replyBytes, [this, reply] { this->hearReply(reply); });
    }

    void hearReply(const ClaimReply &reply)
    {
        const auto found = this->asks.find(reply.nonce);
        if (found == this->asks.end()) {
            return;
        }
        Ask &ask = found->second;
        recordWriterAck(ask.route, this->routers[ask.owner].silent);
        if (reply.verdict == ClaimVerdict::Queued) {
            this->askAgain(ask, this->options.writers.resendInterval);
        } else if (reply.verdict == ClaimVerdict::Unavailable) {
            recordWriterRefusal(ask.route);
            this->step(reply.nonce);
        } else {
            this->finish(reply.nonce, reply.verdict == ClaimVerdict::Granted);
        }
    }

    void finish(std::uint64_t nonce, bool granted)
    {
        const auto found = this->asks.find(nonce);
        if (found == this->asks.end()) {
            return;
        }
        const Ask ask = std::move(found->second);
        this->asks.erase(found);
        if (granted) {
            const std::chrono::duration<double, std::milli> took = this->clock.now() - ask.begun;
            ++this->counts().granted;
            this->counts().milliseconds.push_back(took.count());
            return;
        }
        ++this->counts().refused;
        this->release(ask);
    }

    void release(const Ask &ask)
    {
        const Claim claim = ask.ask.claim;
        const std::size_t writer = this->writersAt(ask.owner, sliceOf(claim.id)).front();
        if (writer != ask.owner) {
            this->send(ask.owner, writer, releaseBytes, [this, writer, claim] {
                Slice &slice = this->sliceAt(writer, {claim, 0});
                releaseClaim(slice.log, claim);
                this->pump(writer, slice);
            });
        }
        const auto own = this->routers[ask.owner].slices.find(sliceOf(claim.id));
        if (own != this->routers[ask.owner].slices.end()) {
            releaseClaim(own->second.log, claim);
            this->pump(ask.owner, own->second);
        }
    }

    void pump(std::size_t router, Slice &slice)
    {
        const TimePoint now = this->clock.now();
        this->deliver(router, slice, decideClaims(slice.log, now));
        const WallTime wall{std::chrono::duration_cast<Milliseconds>(now.time_since_epoch())};
        if (const auto call = nextStoreCall(slice.log, now, wall)) {
            this->runCall(router, slice, *call);
            return;
        }
        if (const auto wake = wakeTime(slice.log, now)) {
            const std::uint64_t timer = ++slice.timer;
            this->after(std::max<Duration>(*wake - now, Milliseconds{1}),
                        [this, router, &slice, timer] {
                            if (slice.timer == timer) {
                                this->pump(router, slice);
                            }
                        });
        }
    }

    void runCall(std::size_t router, Slice &slice, const StoreCall &call)
    {
        ClaimCounts &now = this->counts();
        ++(call.write ? now.writes : now.reads);
        const bool first = call.name == std::to_string(slice.log.slice) + "-g0";
        now.loads += !call.write && first ? 1 : 0;
        this->after(this->options.storeTime / 2, [this, router, &slice, call] {
            const StoreResponse answer = this->apply(call);
            Router &caller = this->routers[router];
            caller.storeBytes += call.write ? call.body.dump().size() : answer.body.dump().size();
            this->after(this->options.storeTime / 2, [this, router, &slice, answer] {
                this->takeAnswer(router, slice, answer);
            });
        });
    }

    void takeAnswer(std::size_t router, Slice &slice, const StoreResponse &answer)
    {
        if (this->paused(router)) {
            this->after(this->faultEnd - this->clock.now(), [this, router, &slice, answer] {
                this->takeAnswer(router, slice, answer);
            });
            return;
        }
        this->deliver(router, slice, handleStoreResponse(slice.log, answer, this->clock.now()));
        this->pump(router, slice);
    }

    StoreResponse apply(const StoreCall &call)
    {
        if (this->inFault(ClaimFault::StoreDown)) {
            return {StoreOutcome::Rejected, 0, {}};
        }
        StoreResponse answer = carryOut(this->store, call);
        this->counts().lostRaces += answer.outcome == StoreOutcome::Conflict ? 1 : 0;
        return answer;
    }

    void deliver(std::size_t router, Slice &slice, const std::vector<ClaimReply> &replies)
    {
        for (const ClaimReply &reply : replies) {
            const auto remote = slice.waiting.find(reply.nonce);
            if (remote != slice.waiting.end()) {
                this->reply(router, remote->second, reply);
                slice.waiting.erase(remote);
            }
            const auto own = this->asks.find(reply.nonce);
            if (own != this->asks.end() && own->second.owner == router) {
                this->finish(reply.nonce, reply.verdict == ClaimVerdict::Granted);
            }
        }
    }

    nlohmann::ordered_json report()
    {
        const std::size_t end = this->options.seconds;
        const std::size_t first = end / 3;
        const std::size_t last = std::min<std::size_t>(first + this->options.faultSeconds, end);
        double sent = 0;
        double heard = 0;
        double stored = 0;
        for (const std::size_t writer : this->usual) {
            const Router &router = this->routers[writer];
            sent += static_cast<double>(router.sentBytes);
            heard += static_cast<double>(router.heardBytes);
            stored += static_cast<double>(router.storeBytes);
        }
        const double share = this->options.seconds * static_cast<double>(this->usual.size());
        return {{"routers", this->options.routers},
                {"fault", faultNames.at(static_cast<std::size_t>(this->options.fault))},
                {"before", sumOf(this->seconds, 0, first)},
                {"during", sumOf(this->seconds, first, last)},
                {"after", sumOf(this->seconds, last, end)},
                {"usualWriters", this->usual.size()},
                {"writerSentBytesPerSecond", sent / share},
                {"writerHeardBytesPerSecond", heard / share},
                {"writerStoreBytesPerSecond", stored / share}};
    }

    ClaimsOptions options;
    std::mt19937_64 random;
    ManualClock clock;
    TimePoint begin;
    TimePoint faultBegin;
    TimePoint faultEnd;
    std::vector<ClaimCounts> seconds;
    std::vector<Router> routers;
    std::set<std::size_t> usual;
    std::map<std::tuple<unsigned, std::uint32_t, std::uint32_t>, std::vector<std::size_t>> chosen;
    MemoryStore store;
    std::unordered_map<std::uint64_t, Ask> asks;
    std::priority_queue<Event> events;
    std::uint64_t eventNumber = 0;
    std::uint64_t nonces = 0;
};

} // namespace

std::optional<ClaimFault> claimFaultOf(const std::string &name)
{
    const auto *const found = std::find(faultNames.begin(), faultNames.end(), name);
    if (found == faultNames.end()) {
        return std::nullopt;
    }
    return static_cast<ClaimFault>(found - faultNames.begin());
}

nlohmann::ordered_json measureClaims(const ClaimsOptions &options)
{
    return ClaimsBench(options).run();
}

} // namespace plantainswitch::lab
