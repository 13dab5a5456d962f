#include "scale.h"

#include <algorithm>
#include <functional>
#include <malloc.h>

#include "peercodec.h"
#include "platformclient.h"
#include "scaleobjects.h"

namespace plantainswitch::lab {

namespace {

/// Keeps results alive, so that the compiler can't drop the measured work.
volatile std::size_t sink = 0;

std::size_t heapInUse()
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

/// \returns the median nanoseconds of one call out of \a calls in a row.
double timeOf(const ScaleOptions &options, std::size_t calls,
              const std::function<void(std::size_t)> &operation)
{
    std::vector<double> runs;
    for (unsigned repeat = 0; repeat < options.repeats; ++repeat) {
        const auto begin = std::chrono::steady_clock::now();
        for (std::size_t call = 0; call < calls; ++call) {
            operation(call);
        }
        const std::chrono::duration<double, std::nano> spent =
            std::chrono::steady_clock::now() - begin;
        runs.push_back(spent.count() / static_cast<double>(calls));
    }
    std::nth_element(runs.begin(), runs.begin() + static_cast<std::ptrdiff_t>(runs.size() / 2),
                     runs.end());
    return runs[runs.size() / 2];
}

/// Runs each part's measurement at several sizes and gathers the points.
class Measurement
{
public:
    explicit Measurement(const ScaleOptions &options)
        : options(options)
    {}

    void members();
    void addListing(std::size_t routers);
    void keepers();
    void upstreams();
    void catalogue();
    void metrics();
    void stream();
    void datagrams();
    void platformLists();
    void claims();

    std::vector<ScaleSeries> series;

private:
    void add(const std::string &name, const std::string &size, const std::string &unit, double at,
             double value)
    {
        const auto found =
            std::find_if(this->series.begin(), this->series.end(),
                         [&name](const ScaleSeries &each) { return each.name == name; });
        if (found == this->series.end()) {
            this->series.push_back({name, size, unit, {{at, value}}});
            return;
        }
        found->points.push_back({at, value});
    }

    [[nodiscard]] std::vector<std::size_t> sizes(std::vector<std::size_t> full) const
    {
        for (std::size_t &size : full) {
            size = std::max<std::size_t>(2, size / this->options.shrink);
        }
        return full;
    }

    ScaleOptions options;
};

void Measurement::members()
{
    constexpr std::size_t rounds = 2000;
    const SwimSettings settings;
    for (const std::size_t routers : this->sizes({52, 300, 600, 900, 1200})) {
        const std::size_t before = heapInUse();
        SwimState state;
        swimUpdateSelf(state, heartbeatOf(0));
        TimePoint now{Seconds{1}};
        const auto tellAll = [&] {
            for (std::size_t number = 1; number < routers; ++number) {
                SwimMessage message;
                message.sender = heartbeatOf(number);
                sink = swimReceive(state, settings, message, message.sender.datagramEndpoint, now)
                           .sends.size();
            }
        };
        tellAll();
        const auto at = static_cast<double>(routers);
        this->add("members.memory", "routers", "bytes", at,
                  static_cast<double>(heapInUse() - before));
        SwimMessage beat;
        beat.sender = heartbeatOf(1);
        this->add("members.receive", "routers", "ns", at,
                  timeOf(this->options, rounds, [&](std::size_t) {
                      sink = swimReceive(state, settings, beat, beat.sender.datagramEndpoint, now)
                                 .sends.size();
                  }));
        constexpr std::size_t ticksOfProbe = 5;
        this->add("members.tick", "routers", "ns", at,
                  timeOf(this->options, ticksOfProbe, [&](std::size_t) {
                      now += settings.probePeriod / ticksOfProbe;
                      sink = swimTick(state, settings, {}, now).sends.size();
                  }));
        this->addListing(routers);
    }
}

void Measurement::addListing(std::size_t routers)
{
    constexpr std::size_t rounds = 200;
    MemberTable table;
    table.initialize(heartbeatOf(0), 1);
    for (std::size_t number = 1; number < routers; ++number) {
        table.receiveHeartbeat(heartbeatOf(number), TimePoint{});
    }
    const auto at = static_cast<double>(routers);
    this->add("members.list-active", "routers", "ns", at,
              timeOf(this->options, rounds, [&](std::size_t) { sink = table.active()->size(); }));
    const MemberSnapshot active = table.active();
    this->add("members.keeper-of-shard", "routers", "ns", at,
              timeOf(this->options, rounds, [&](std::size_t call) {
                  const Shard shard{modelName, numbered("place", call % placeCount), 0};
                  sink = coordinatorOf(shard, *active)->id.size();
              }));
}

void Measurement::keepers()
{
    constexpr std::uint32_t held = 20'000;
    constexpr std::uint64_t router = 7;
    for (const std::size_t engines : this->sizes({10, 50, 100, 200, 434})) {
        std::vector<UpstreamId> ready;
        for (std::size_t number = 0; number < engines; ++number) {
            ready.push_back(upstreamIdOf(numbered("engine", number)));
        }
        LoadBoundSettings bound;
        bound.capacity = held;
        // The memory of chats is bounded by its own number, not by the slots.
        bound.maxRememberedChats = 0;
        const GrantContext view{ready, bound, false};
        ShardState state;
        const Shard shard{modelName, placeName, 0};
        const std::size_t before = heapInUse();
        for (std::uint32_t id = 1; id <= held; ++id) {
            grantSlot(state, router, {id, shard, hashOf("chat", id), id, {}}, view, TimePoint{});
        }
        const auto at = static_cast<double>(engines);
        this->add("keeper.memory-a-slot", "engines", "bytes", at,
                  static_cast<double>(heapInUse() - before) / held);
        this->add("keeper.grant-and-release", "engines", "ns", at,
                  timeOf(this->options, 2000, [&](std::size_t call) {
                      const auto id = static_cast<std::uint32_t>(held + 1 + call);
                      grantSlot(state, router, {id, shard, hashOf("chat", id), id, {}}, view,
                                TimePoint{});
                      releaseSlot(state, {router, id});
                  }));
    }
}

void Measurement::upstreams()
{
    Authorization admission;
    admission.service = modelName;
    admission.dataCentres = {numbered("place", 0), numbered("place", 1)};
    admission.serviceEntry.shards = 8;
    for (const std::size_t engines : this->sizes({400, 2500, 5000, 10'000})) {
        std::vector<Vm> vms;
        for (std::size_t number = 0; number < engines; ++number) {
            vms.push_back(engineOf(number, placeCount));
        }
        const std::size_t before = heapInUse();
        UpstreamTable table;
        table.replace(vms);
        const auto at = static_cast<double>(engines);
        this->add("upstreams.memory", "engines", "bytes", at,
                  static_cast<double>(heapInUse() - before));
        this->add("upstreams.take-list", "engines", "ns", at,
                  timeOf(this->options, 3, [&](std::size_t) { table.replace(vms); }));
        Reason reason;
        this->add("placement.plan", "engines", "ns", at,
                  timeOf(this->options, 100, [&](std::size_t call) {
                      sink = planPlacement(admission, call, table, TimePoint{Seconds{1}}, reason)
                                 ->shards.size();
                  }));
        const Shard shard{modelName, admission.dataCentres.front(), 0};
        this->add("keeper.ready-engines", "engines", "ns", at,
                  timeOf(this->options, 100, [&](std::size_t) {
                      sink = readyUpstreamsOf(table, shard, admission.serviceEntry.shards,
                                              TimePoint{Seconds{1}})
                                 .size();
                  }));
    }
}

void Measurement::catalogue()
{
    for (const std::size_t workspaces : this->sizes({100, 1000, 2500, 5000, 7300})) {
        const std::vector<Entry> entries = catalogueOf(workspaces);
        const std::size_t before = heapInUse();
        CatalogueTable table;
        table.merge(entries);
        const auto at = static_cast<double>(workspaces);
        this->add("catalogue.memory", "workspaces", "bytes", at,
                  static_cast<double>(heapInUse() - before));
        std::uint64_t version = entries.size();
        this->add("catalogue.merge-one-edit", "workspaces", "ns", at,
                  timeOf(this->options, 5, [&](std::size_t call) {
                      table.merge({workspaceOf(call % workspaces, ++version)});
                  }));
        this->add("catalogue.pull-one-edit", "workspaces", "ns", at,
                  timeOf(this->options, 20,
                         [&](std::size_t) { sink = table.entriesSince(version - 1).size(); }));
        const auto view = table.view();
        Reason reason;
        const std::string token = std::get<Workspace>(*workspaceOf(workspaces / 2, 1).body).token;
        this->add("catalogue.admit", "workspaces", "ns", at,
                  timeOf(this->options, 2000, [&](std::size_t) {
                      sink = admit(*view, token, modelName, Duration{}, reason)->dataCentres.size();
                  }));
    }
}

void Measurement::metrics()
{
    for (const std::size_t workspaces : this->sizes({10, 500, 2000, 4000, 7300})) {
        const std::size_t before = heapInUse();
        Metrics metrics;
        const auto record = [&](std::size_t call) {
            metrics.record(Timing::Whole, numbered("workspace", call % workspaces), "class-0000",
                           Milliseconds{static_cast<int>(call % 1000)}, TimePoint{});
        };
        for (std::size_t call = 0; call < workspaces; ++call) {
            record(call);
        }
        const auto at = static_cast<double>(workspaces);
        this->add("metrics.memory-one-timing", "workspaces", "bytes", at,
                  static_cast<double>(heapInUse() - before));
        this->add("metrics.record", "workspaces", "ns", at, timeOf(this->options, 5000, record));
        this->add("metrics.render-one-timing", "workspaces", "ns", at,
                  timeOf(this->options, 1,
                         [&](std::size_t) { sink = metrics.render(TimePoint{}).size(); }));
        this->add("metrics.page-one-timing", "workspaces", "bytes", at,
                  static_cast<double>(metrics.render(TimePoint{}).size()));
    }
}

void Measurement::stream()
{
    for (const std::size_t tokens : this->sizes({100, 400, 1000, 2000})) {
        std::string bytes;
        for (std::size_t number = 0; number < tokens; ++number) {
            bytes += R"(data: {"id":"attempt-0001","object":"chat.completion.chunk","choices":[)"
                     R"({"index":0,"delta":{"content":" wheel"},"finish_reason":null}]})"
                     "\n\n";
        }
        this->add("relay.check-an-answer", "tokens", "ns", static_cast<double>(tokens),
                  timeOf(this->options, 5, [&](std::size_t) {
                      SseParser parser;
                      StreamProgress progress;
                      std::vector<std::string> events;
                      sink = parser.feed(bytes, events) ? 1 : 0;
                      for (const std::string &event : events) {
                          sink = acceptEvent(event, "attempt-0001", progress) ? 1 : 0;
                      }
                  }));
    }
}

void Measurement::datagrams()
{
    constexpr std::size_t rounds = 20'000;
    for (const std::size_t slots : this->sizes({2, 8, 32, 128})) {
        SlotRelease release{1, std::vector<std::uint32_t>(slots, 1'000'000)};
        this->add("codec.release-both-ways", "slots", "ns", static_cast<double>(slots),
                  timeOf(this->options, rounds / slots, [&](std::size_t call) {
                      sink = decode(encode({call, release}))->body.index();
                  }));
    }
    for (const std::size_t letters : this->sizes({8, 32, 64})) {
        SwimMessage beat;
        beat.sender = heartbeatOf(1);
        beat.sender.id.assign(letters, 'r');
        this->add("codec.heartbeat-both-ways", "letters of the id", "ns",
                  static_cast<double>(letters),
                  timeOf(this->options, rounds, [&](std::size_t call) {
                      sink = decode(encode({call, beat}))->body.index();
                  }));
    }
}

void Measurement::platformLists()
{
    for (const std::size_t vms : this->sizes({400, 2500, 5000, 11'200})) {
        nlohmann::json list = nlohmann::json::array();
        for (std::size_t number = 0; number < vms; ++number) {
            list.push_back(net::toJson(engineOf(number, placeCount)));
        }
        const std::string text = list.dump();
        const auto at = static_cast<double>(vms);
        this->add("platform.vm-list-size", "vms", "bytes", at, static_cast<double>(text.size()));
        this->add(
            "platform.read-vm-list", "vms", "ns", at,
            timeOf(this->options, 1, [&](std::size_t) { sink = net::parseVmList(text)->size(); }));
        net::VmListReader reader;
        net::HttpResponse answer{net::HttpOutcome::Complete, 200, {}, text, {}};
        sink = reader.read(answer)->size();
        this->add(
            "platform.read-vm-list-again", "vms", "ns", at,
            timeOf(this->options, 1, [&](std::size_t) { sink = reader.read(answer)->size(); }));
    }
}

/// Writes \a count claims through a log whose store answers at once. \returns the bytes written.
std::size_t writeClaims(ClaimLog &log, std::size_t count)
{
    constexpr std::size_t batch = 8;
    std::size_t bytes = 0;
    std::uint64_t version = 0;
    TimePoint now{Seconds{1}};
    for (std::size_t done = 0; done < count; now += log.limits.writeInterval) {
        for (std::size_t each = 0; each < batch && log.pending.size() < batch; ++each) {
            const std::uint64_t nonce = ++version;
            enqueueClaim(log, {{{hashOf("key", nonce), nonce}, 7, nonce, nonce}, 0});
        }
        const WallTime wall{Milliseconds{1'790'000'000'000} + Milliseconds{version}};
        const std::optional<StoreCall> call = nextStoreCall(log, now, wall);
        if (!call) {
            continue;
        }
        StoreResponse answer{StoreOutcome::NotFound, 0, nullptr};
        if (call->write) {
            bytes += call->body.dump().size();
            answer = {StoreOutcome::Ok, ++version, call->body};
        }
        done += handleStoreResponse(log, answer, now).size();
    }
    return bytes;
}

void Measurement::claims()
{
    for (const std::size_t count : this->sizes({1000, 8000, 32'000, 100'000})) {
        const auto at = static_cast<double>(count);
        const std::size_t before = heapInUse();
        ClaimLog log;
        log.writer = 7;
        const auto begin = std::chrono::steady_clock::now();
        const std::size_t bytes = writeClaims(log, count);
        const std::chrono::duration<double, std::nano> spent =
            std::chrono::steady_clock::now() - begin;
        this->add("claims.memory", "claims", "bytes", at,
                  static_cast<double>(heapInUse() - before));
        this->add("claims.written", "claims", "bytes", at, static_cast<double>(bytes));
        this->add("claims.write-in-batches-of-8", "claims", "ns", at, spent.count());
    }
}

} // namespace

std::vector<ScaleSeries> measureScale(const ScaleOptions &options)
{
    Measurement measurement(options);
    measurement.members();
    measurement.keepers();
    measurement.upstreams();
    measurement.catalogue();
    measurement.metrics();
    measurement.stream();
    measurement.datagrams();
    measurement.platformLists();
    measurement.claims();
    return measurement.series;
}

} // namespace plantainswitch::lab
