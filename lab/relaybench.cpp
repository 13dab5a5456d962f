#include "relaybench.h"

#include <algorithm>
#include <atomic>
#include <fstream>
#include <future>
#include <mutex>
#include <sstream>
#include <thread>

#include <asio/executor_work_guard.hpp>
#include <unistd.h>

#include "httpclient.h"

namespace plantainswitch::lab {

namespace {

using nlohmann::json;

constexpr int workerCount = 4;
constexpr int clientCount = 4;
constexpr int statusOk = 200;
constexpr std::uint32_t latencyStreams = 40;
constexpr std::uint32_t latencyRounds = 10;
constexpr std::uint32_t latencyTokens = 40;
constexpr std::chrono::milliseconds startSpacing{4};
constexpr std::uint32_t shortInFlight = 64;
constexpr std::chrono::seconds shortDuration{5};
constexpr std::uint32_t openStreams = 1000;
constexpr std::uint32_t openTokens = 1500;
constexpr std::chrono::milliseconds settleTime{2000};
constexpr double tail = 0.99;

/// Latencies in microseconds.
struct Samples
{
    std::vector<double> first;
    std::vector<double> later;
    std::uint64_t failed = 0;
};

/// The client side of the bench: workers and a few HTTP clients.
class Callers
{
public:
    Callers()
        : guard(asio::make_work_guard(context))
    {
        for (int index = 0; index < clientCount; ++index) {
            this->clients.push_back(std::make_unique<net::HttpClient>(this->context));
        }
        for (int index = 0; index < workerCount; ++index) {
            this->workers.emplace_back([this] { this->context.run(); });
        }
    }

    ~Callers()
    {
        this->context.stop();
        for (std::thread &worker : this->workers) {
            worker.join();
        }
    }
    Callers(const Callers &) = delete;
    Callers &operator=(const Callers &) = delete;

    net::HttpClient &client() { return *this->clients[this->next++ % this->clients.size()]; }

private:
    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> guard;
    std::vector<std::unique_ptr<net::HttpClient>> clients;
    std::vector<std::thread> workers;
    std::atomic<std::size_t> next = 0;
};

/// Where requests go: the router or an upstream directly.
struct Target
{
    std::string url;
    std::string token;
    std::string model;
};

double quantileOf(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

double microsecondsSince(std::int64_t nanoseconds)
{
    constexpr double perMicrosecond = 1000;
    const auto now = Duration(std::chrono::steady_clock::now().time_since_epoch()).count();
    return static_cast<double>(now - nanoseconds) / perMicrosecond;
}

net::HttpCall streamCall(const Target &target, const std::string &chat, std::uint32_t tokens)
{
    net::HttpCall call;
    call.method = "POST";
    call.url = target.url + "/v1/chat/completions";
    call.headers = {
        {"authorization", "Bearer " + target.token}, {"x-chat-id", chat}, {"x-request-id", chat}};
    call.body = json{{"model", target.model},
                     {"stream", true},
                     {"max_tokens", tokens},
                     {"messages", {{{"role", "user"}, {"content", chat}}}}}
                    .dump();
    return call;
}

/// One stream's timing; the engine stamps when it took the request and sent each event.
struct TimedStream
{
    std::int64_t sentAt = 0;
    SseParser parser;
    std::vector<double> first;
    std::vector<double> later;
    int status = 0;
};

void takeEvents(TimedStream &stream, std::string_view bytes)
{
    std::vector<std::string> events;
    if (stream.status != statusOk || !stream.parser.feed(bytes, events)) {
        return;
    }
    for (const std::string &event : events) {
        const json parsed = json::parse(event, nullptr, false);
        if (!parsed.is_object() || !parsed.contains("sent_ns")) {
            continue;
        }
        const double delivery = microsecondsSince(parsed["sent_ns"].get<std::int64_t>());
        if (stream.first.empty()) {
            constexpr double perMicrosecond = 1000;
            const auto taken = parsed["taken_ns"].get<std::int64_t>();
            stream.first.push_back(static_cast<double>(taken - stream.sentAt) / perMicrosecond
                                   + delivery);
        } else {
            stream.later.push_back(delivery);
        }
    }
}

void runRound(Callers &callers, const Target &target, std::uint32_t round, Samples &samples)
{
    std::mutex mutex;
    std::promise<void> end;
    std::uint32_t left = latencyStreams;
    for (std::uint32_t index = 0; index < latencyStreams; ++index) {
        auto stream = std::make_shared<TimedStream>();
        stream->sentAt = Duration(std::chrono::steady_clock::now().time_since_epoch()).count();
        net::HttpEvents events;
        events.onHeaders = [stream](int status, const net::Headers &) { stream->status = status; };
        events.onData = [stream](std::string_view bytes) {
            takeEvents(*stream, bytes);
            return true;
        };
        events.onEnd = [&, stream](net::HttpOutcome, const std::string &) {
            const std::lock_guard lock(mutex);
            samples.failed += stream->later.size() + 1 == latencyTokens ? 0 : 1;
            samples.first.insert(samples.first.end(), stream->first.begin(), stream->first.end());
            samples.later.insert(samples.later.end(), stream->later.begin(), stream->later.end());
            if (--left == 0) {
                end.set_value();
            }
        };
        const std::string chat = "latency-" + std::to_string(round) + "-" + std::to_string(index);
        callers.client().start(streamCall(target, chat, latencyTokens), std::move(events));
        // A burst would measure the queue in front of the engine, not what the router adds.
        std::this_thread::sleep_for(startSpacing);
    }
    end.get_future().wait();
}

nlohmann::ordered_json describe(const Samples &direct, const Samples &routed)
{
    const auto added = [](const std::vector<double> &with, const std::vector<double> &without,
                          double share) {
        return quantileOf(with, share) - quantileOf(without, share);
    };
    constexpr double median = 0.5;
    return {{"streams", direct.first.size()},
            {"failed", direct.failed + routed.failed},
            {"firstEventDirectP50", quantileOf(direct.first, median)},
            {"firstEventDirectP99", quantileOf(direct.first, tail)},
            {"firstEventAddedP50", added(routed.first, direct.first, median)},
            {"firstEventAddedP99", added(routed.first, direct.first, tail)},
            {"laterEventDirectP50", quantileOf(direct.later, median)},
            {"laterEventDirectP99", quantileOf(direct.later, tail)},
            {"laterEventAddedP50", added(routed.later, direct.later, median)},
            {"laterEventAddedP99", added(routed.later, direct.later, tail)}};
}

double processorSeconds(int pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
    std::string text;
    std::getline(file, text);
    std::istringstream fields(text.substr(text.rfind(')') + 1));
    constexpr int fieldsBeforeTimes = 11;
    std::string skipped;
    for (int index = 0; index < fieldsBeforeTimes; ++index) {
        fields >> skipped;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double residentMegabytes(int pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/status");
    std::string line;
    constexpr double kilobytes = 1024;
    while (std::getline(file, line)) {
        if (line.starts_with("VmRSS:")) {
            return std::stod(line.substr(line.find_first_of("0123456789"))) / kilobytes;
        }
    }
    return 0;
}

/// Keeps a number of short requests in flight for a while.
class ShortLoad
{
public:
    ShortLoad(Callers &callers, const Target &target, std::string service)
        : callers(callers)
        , target(target)
        , service(std::move(service))
    {}

    void run()
    {
        this->until = std::chrono::steady_clock::now() + shortDuration;
        this->open = shortInFlight;
        for (std::uint32_t index = 0; index < shortInFlight; ++index) {
            this->sendOne();
        }
        this->end.get_future().wait();
    }

    [[nodiscard]] std::uint64_t good() const { return this->done; }
    [[nodiscard]] std::uint64_t bad() const { return this->failed; }

private:
    void sendOne()
    {
        net::HttpCall call;
        call.method = "POST";
        call.url = this->target.url + "/services/" + this->service + "/ping";
        call.headers = {{"authorization", "Bearer " + this->target.token}};
        call.body = "ping";
        this->callers.client().fetch(std::move(call), [this](const net::HttpResponse &answer) {
            ++(answer.status == statusOk ? this->done : this->failed);
            if (std::chrono::steady_clock::now() < this->until) {
                this->sendOne();
            } else if (--this->open == 0) {
                this->end.set_value();
            }
        });
    }

    Callers &callers;
    const Target &target;
    std::string service;
    TimePoint until;
    std::atomic<std::uint64_t> done = 0;
    std::atomic<std::uint64_t> failed = 0;
    std::atomic<std::uint32_t> open = 0;
    std::promise<void> end;
};

nlohmann::ordered_json measureShort(Callers &callers, const Target &target,
                                    const std::string &service, int pid)
{
    const double before = processorSeconds(pid);
    ShortLoad load(callers, target, service);
    load.run();
    const double used = processorSeconds(pid) - before;
    const auto good = static_cast<double>(load.good());
    return {{"requests", load.good()},
            {"failed", load.bad()},
            {"perSecond", good / static_cast<double>(shortDuration.count())},
            {"routerCores", used / static_cast<double>(shortDuration.count())},
            {"perSecondAndCore", used > 0 ? good / used : 0.0}};
}

nlohmann::ordered_json measureMemory(Callers &callers, const Target &target, int pid)
{
    const double before = residentMegabytes(pid);
    std::promise<void> end;
    std::atomic<std::uint32_t> left = openStreams;
    std::atomic<std::uint32_t> failed = 0;
    for (std::uint32_t index = 0; index < openStreams; ++index) {
        auto status = std::make_shared<int>(0);
        net::HttpEvents events;
        events.onHeaders = [status](int code, const net::Headers &) { *status = code; };
        events.onData = [](std::string_view) { return true; };
        events.onEnd = [&, status](net::HttpOutcome how, const std::string &) {
            failed += *status == statusOk && how == net::HttpOutcome::Complete ? 0 : 1;
            if (--left == 0) {
                end.set_value();
            }
        };
        callers.client().start(streamCall(target, "open-" + std::to_string(index), openTokens),
                               std::move(events));
    }
    std::this_thread::sleep_for(settleTime);
    const std::uint32_t open = left;
    const double during = residentMegabytes(pid);
    end.get_future().wait();
    return {{"streams", openStreams},
            {"openWhenMeasured", open},
            {"failed", failed.load()},
            {"megabytesBefore", before},
            {"megabytesOpen", during}};
}

} // namespace

nlohmann::ordered_json measureRelay(const Deployment &deployment, int routerPid)
{
    Callers callers;
    const RouterLayout router = routersOf(deployment).front();
    const Vm engine = upstreamsOf(deployment).front();
    const Target routed{"http://" + toText(router.callers), "token-" + deployment.name + "-0",
                        deployment.modelService};
    const Target direct{"http://" + toText(engine.endpoint), "", deployment.modelService};
    Samples directSamples;
    Samples routedSamples;
    for (std::uint32_t round = 0; round < latencyRounds; ++round) {
        runRound(callers, direct, 2 * round, directSamples);
        runRound(callers, routed, 2 * round + 1, routedSamples);
    }
    nlohmann::ordered_json result;
    result["latencyMicroseconds"] = describe(directSamples, routedSamples);
    result["short"] = measureShort(callers, routed, deployment.plainService, routerPid);
    result["memory"] = measureMemory(callers, routed, routerPid);
    return result;
}

} // namespace plantainswitch::lab
