#include "membersbench.h"

#include <algorithm>
#include <iostream>
#include <queue>

#include <fmt/format.h>

#include "peercodec.h"

namespace plantainswitch::lab {

namespace {

constexpr Duration tickPeriod = Milliseconds{100};
constexpr Duration localLatency = Milliseconds{1};
constexpr Duration crossLatency = Milliseconds{5};
constexpr Duration firstDeath = Seconds{10};
constexpr std::uint64_t datagramOverhead = 28;
constexpr std::uint16_t firstPort = 2000;

struct Router
{
    SwimState state;
    std::size_t place = 0;
    bool alive = true;
    std::uint64_t bytes = 0;
};

struct Delivery
{
    TimePoint at;
    std::uint64_t number = 0;
    std::size_t to = 0;
    std::size_t from = 0;
    /// Empty for a tick.
    std::optional<SwimMessage> message;

    bool operator>(const Delivery &other) const noexcept
    {
        return std::tie(this->at, this->number) > std::tie(other.at, other.number);
    }
};

struct Death
{
    std::size_t router = 0;
    TimePoint at;
    /// Living routers that still hold it alive, within its place and in all.
    std::set<std::size_t> placeLeft = {};
    std::set<std::size_t> fleetLeft = {};
};

class World
{
public:
    explicit World(const MembersOptions &options);
    MembersReport run();

private:
    [[nodiscard]] Heartbeat heartbeatOf(std::size_t index) const;
    [[nodiscard]] bool isCut(std::size_t from, std::size_t to) const;
    void act(std::size_t index, const SwimOutput &output);
    void noteGone(std::size_t observer, const Heartbeat &gone);
    void killNext();
    void finish();

    MembersOptions options;
    std::mt19937_64 random;
    std::vector<Router> routers;
    std::map<std::string, std::size_t> byId;
    std::priority_queue<Delivery, std::vector<Delivery>, std::greater<>> queue;
    std::vector<Death> deaths;
    std::set<Endpoint> seeds;
    ManualClock clock;
    TimePoint began;
    std::uint64_t number = 0;
    MembersReport report;
};

World::World(const MembersOptions &wanted)
    : options(wanted)
    , random(wanted.seed)
    , routers(wanted.routers)
    , began(clock.now())
{
    std::uniform_int_distribution<std::int64_t> phase(0, tickPeriod.count());
    for (std::size_t index = 0; index < this->routers.size(); ++index) {
        this->routers[index].place = index % this->options.places;
        this->routers[index].state.own = this->heartbeatOf(index);
        this->routers[index].state.random.seed(this->random());
        this->byId[this->routers[index].state.own.id] = index;
        this->seeds.insert(this->routers[index].state.own.datagramEndpoint);
        this->queue.push({this->began + Duration{phase(this->random)}, ++this->number, index, index,
                          std::nullopt});
    }
    for (Router &router : this->routers) {
        for (const Router &other : this->routers) {
            if (&router != &other) {
                router.state.members[other.state.own.id] = {other.state.own, MemberState::Alive,
                                                            this->began};
            }
        }
    }
}

Heartbeat World::heartbeatOf(std::size_t index) const
{
    Heartbeat heartbeat;
    heartbeat.dataCentre = fmt::format("place-{}", index % this->options.places);
    heartbeat.id = fmt::format("{}-router-{}", heartbeat.dataCentre, index);
    const auto port = static_cast<std::uint16_t>(firstPort + 2 * index);
    heartbeat.datagramEndpoint = {"10.11.12.13", port};
    heartbeat.rpcEndpoint = {"10.11.12.13", static_cast<std::uint16_t>(port + 1)};
    heartbeat.incarnation = this->options.seed + index + 1;
    heartbeat.catalogueVersion = 1'000'000;
    heartbeat.catalogueAgeMilliseconds = 0;
    heartbeat.vmListVersion = 1'700'000'000'000;
    heartbeat.vmListDigest = 1;
    return heartbeat;
}

bool World::isCut(std::size_t from, std::size_t to) const
{
    const Duration middle = Seconds{this->options.seconds / 2};
    const Duration passed = this->clock.now() - this->began;
    const bool during = passed >= middle && passed < middle + Seconds{this->options.cutSeconds};
    return during && (this->routers[from].place == 0) != (this->routers[to].place == 0);
}

void World::noteGone(std::size_t observer, const Heartbeat &gone)
{
    const std::size_t index = this->byId.at(gone.id);
    if (this->routers[index].alive) {
        ++this->report.falseGone;
        return;
    }
    for (Death &death : this->deaths) {
        if (death.router != index) {
            continue;
        }
        const double seconds = std::chrono::duration<double>(this->clock.now() - death.at).count();
        if (death.placeLeft.erase(observer) > 0 && death.placeLeft.empty()) {
            this->report.placeSeconds.push_back(seconds);
        }
        if (death.fleetLeft.erase(observer) > 0 && death.fleetLeft.empty()) {
            this->report.fleetSeconds.push_back(seconds);
        }
    }
}

void World::act(std::size_t index, const SwimOutput &output)
{
    for (const Heartbeat &suspected : output.suspected) {
        this->report.falseSuspicions += this->routers[this->byId.at(suspected.id)].alive ? 1 : 0;
    }
    for (const Heartbeat &gone : output.gone) {
        this->noteGone(index, gone);
    }
    std::uniform_real_distribution<double> chance;
    for (const SwimSend &send : output.sends) {
        const std::size_t to = static_cast<std::size_t>(send.to.port - firstPort) / 2;
        this->routers[index].bytes += encode({index, send.message}).size() + datagramOverhead;
        const bool lost = chance(this->random) < this->options.loss;
        if (lost || this->isCut(index, to)) {
            continue;
        }
        const bool samePlace = this->routers[index].place == this->routers[to].place;
        const Duration latency = samePlace ? localLatency : crossLatency;
        this->queue.push({this->clock.now() + latency, ++this->number, to, index, send.message});
    }
}

void World::killNext()
{
    std::uniform_int_distribution<std::size_t> choice(0, this->routers.size() - 1);
    std::size_t index = choice(this->random);
    while (!this->routers[index].alive) {
        index = choice(this->random);
    }
    this->routers[index].alive = false;
    Death death{index, this->clock.now()};
    for (std::size_t other = 0; other < this->routers.size(); ++other) {
        if (!this->routers[other].alive) {
            continue;
        }
        death.fleetLeft.insert(other);
        if (this->routers[other].place == this->routers[index].place) {
            death.placeLeft.insert(other);
        }
    }
    for (Death &earlier : this->deaths) {
        earlier.placeLeft.erase(index);
        earlier.fleetLeft.erase(index);
    }
    this->deaths.push_back(death);
}

void World::finish()
{
    std::uint64_t sum = 0;
    std::uint64_t highest = 0;
    for (const Router &router : this->routers) {
        sum += router.bytes;
        highest = std::max(highest, router.bytes);
        if (!router.alive) {
            continue;
        }
        for (const auto &[id, member] : router.state.members) {
            const bool alive = this->routers[this->byId.at(id)].alive;
            this->report.missingAtEnd += alive && member.state == MemberState::Gone ? 1U : 0U;
        }
    }
    const auto seconds = static_cast<double>(this->options.seconds);
    this->report.meanBytesPerSecond =
        static_cast<double>(sum) / seconds / static_cast<double>(this->routers.size());
    this->report.highestBytesPerSecond = static_cast<double>(highest) / seconds;
    this->report.undetected = this->deaths.size() - this->report.fleetSeconds.size();
}

MembersReport World::run()
{
    const Duration whole = Seconds{this->options.seconds};
    const Duration deathPeriod = (whole / 2 - firstDeath) / std::max(1U, this->options.deaths);
    TimePoint nextDeath = this->began + firstDeath;
    while (!this->queue.empty() && this->queue.top().at - this->began < whole) {
        const Delivery delivery = this->queue.top();
        this->queue.pop();
        this->clock.advance(delivery.at - this->clock.now());
        const TimePoint now = this->clock.now();
        if (this->deaths.size() < this->options.deaths && now >= nextDeath) {
            this->killNext();
            nextDeath += deathPeriod;
        }
        Router &router = this->routers[delivery.to];
        if (!router.alive) {
            continue;
        }
        if (delivery.message) {
            const Endpoint from = this->routers[delivery.from].state.own.datagramEndpoint;
            this->act(delivery.to, swimReceive(router.state, this->options.settings,
                                               *delivery.message, from, now));
            continue;
        }
        this->act(delivery.to, swimTick(router.state, this->options.settings, this->seeds, now));
        this->queue.push(
            {now + tickPeriod, ++this->number, delivery.to, delivery.to, std::nullopt});
    }
    this->finish();
    return this->report;
}

std::string spanOf(std::vector<double> values)
{
    if (values.empty()) {
        return "none";
    }
    std::sort(values.begin(), values.end());
    return fmt::format("median {:.2f}, slowest {:.2f}", values[values.size() / 2], values.back());
}

} // namespace

MembersReport runMembers(const MembersOptions &options)
{
    return World(options).run();
}

void printMembers(const MembersOptions &options, const MembersReport &report)
{
    std::cout << fmt::format("routers {}, places {}, loss {}, seed {}, {} s, deaths {}, cut {} s\n",
                             options.routers, options.places, options.loss, options.seed,
                             options.seconds, options.deaths, options.cutSeconds)
              << "death known in its place, seconds: " << spanOf(report.placeSeconds) << "\n"
              << "death known everywhere, seconds: " << spanOf(report.fleetSeconds) << "\n"
              << fmt::format("deaths not known everywhere {}\n", report.undetected)
              << fmt::format("suspicions of living routers {}, held for gone {}\n",
                             report.falseSuspicions, report.falseGone)
              << fmt::format("living routers held for gone at the end {}\n", report.missingAtEnd)
              << fmt::format("bytes sent a second and router, mean {:.0f}, highest {:.0f}\n",
                             report.meanBytesPerSecond, report.highestBytesPerSecond);
}

} // namespace plantainswitch::lab
