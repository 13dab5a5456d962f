#include <array>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <boost/program_options.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "documents.h"
#include "loopback.h"
#include "process.h"
#include "store.h"
#include "upstream.h"
#include "upstreamconnection.h"

using namespace plantainswitch;
using namespace plantainswitch::soak;
namespace options = boost::program_options;

namespace {

constexpr int exitOk = 0;
constexpr int exitFailed = 1;
constexpr std::uint16_t callersPort = 7101;
constexpr std::uint16_t readinessPort = 7102;
constexpr std::uint16_t datagramPort = 7103;
constexpr std::uint16_t callPort = 7104;
constexpr std::uint16_t storePort = 7105;
constexpr std::uint16_t upstreamPort = 7107;
/// Last octets of the loopback addresses.
constexpr std::size_t storeHost = 1;
constexpr std::size_t routerHost = 10;
constexpr std::size_t firstUpstreamHost = 100;
constexpr std::size_t upstreamCount = 3;
constexpr std::int64_t graceSeconds = 2;
constexpr Milliseconds connectTimeout{1000};
constexpr Milliseconds readinessPollInterval{5};
constexpr Milliseconds idleDuration{4000};
/// Time for all open streams to receive their first events.
constexpr Milliseconds settleTime{1500};
/// Slowdown factor of upstreams at which streams stay open for the whole measurement.
constexpr double heldOpenSlowdown = 400.0;
/// Concurrent calls in the measurements of CPU time.
constexpr std::size_t maxConcurrentCalls = 8;

/// CPU time and resident memory of a process according to /proc.
struct ResourceUsage
{
    double cpuMilliseconds = 0.0;
    double residentMegabytes = 0.0;
};

ResourceUsage resourceUsageOf(pid_t process)
{
    std::ifstream stat(fmt::format("/proc/{}/stat", process));
    std::string text;
    std::getline(stat, text);
    // The process name may contain spaces and ends at the last bracket; the state follows it.
    std::istringstream fields(text.substr(text.rfind(')') + 1));
    constexpr int fieldsBeforeTimes = 11;
    for (int i = 0; i < fieldsBeforeTimes; ++i) {
        fields >> text;
    }
    double user = 0.0;
    double system = 0.0;
    fields >> user >> system;
    std::ifstream memory(fmt::format("/proc/{}/statm", process));
    double total = 0.0;
    double resident = 0.0;
    memory >> total >> resident;
    constexpr double megabyte = 1024.0 * 1024.0;
    return {(user + system) * 1000.0 / static_cast<double>(sysconf(_SC_CLK_TCK)),
            resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / megabyte};
}

/// Measures one router process between a simulated store, upstreams and callers.
class RouterBenchmark
{
public:
    RouterBenchmark(const std::string &program, const std::filesystem::path &directory,
                    const std::string &logLevel)
        : router(program, (directory / "router.json").string(), (directory / "router.log").string())
        , store(this->context, this->clock, at(storeHost, storePort), 1)
    {
        this->store.put("config", "main", textOf(ConfigDocument{1, {}, {"key-0"}}));
        for (std::size_t i = 0; i < upstreamCount; ++i) {
            const Endpoint endpoint = at(firstUpstreamHost + i, upstreamPort);
            this->upstreams.push_back(std::make_unique<SoakUpstream>(
                this->context, this->clock, fmt::format("u-{}", i), "v1", endpoint, i,
                this->history, this->clock.now()));
            this->store.put("servers", this->upstreams.back()->name(),
                            upstreamEntry(endpoint, "hall-a", "v1", false));
        }
        RouterDocument settings;
        settings.id = "router-0";
        settings.dataCentre = "hall-a";
        settings.callers = at(routerHost, callersPort);
        settings.readinessPort = readinessPort;
        settings.datagramPort = datagramPort;
        settings.callPort = callPort;
        settings.store = at(storeHost, storePort);
        settings.graceSeconds = graceSeconds;
        settings.logLevel = logLevel;
        std::ofstream(directory / "router.json") << textOf(settings);
    }

    nlohmann::ordered_json measure(std::size_t streams, std::size_t requests)
    {
        nlohmann::ordered_json result;
        result["readyMilliseconds"] = this->startRouter().count();
        ResourceUsage before = this->resourceUsage();
        this->runFor(idleDuration);
        ResourceUsage after = this->resourceUsage();
        result["idleCoreShare"] = (after.cpuMilliseconds - before.cpuMilliseconds)
                                  / static_cast<double>(idleDuration.count());
        result["idleMegabytes"] = after.residentMegabytes;

        before = after;
        this->setSlowness(0.0);
        this->makeCalls("/safe/x", requests);
        after = this->resourceUsage();
        const double perRequest =
            (after.cpuMilliseconds - before.cpuMilliseconds) / static_cast<double>(requests);
        result["cpuMillisecondsARequest"] = perRequest;

        before = after;
        this->receivedChunks = 0;
        this->makeCalls("/stream/x", requests);
        after = this->resourceUsage();
        result["cpuMillisecondsAnEvent"] = (after.cpuMilliseconds - before.cpuMilliseconds
                                            - perRequest * static_cast<double>(requests))
                                           / static_cast<double>(this->receivedChunks);

        this->setSlowness(heldOpenSlowdown);
        for (std::size_t i = 0; i < streams; ++i) {
            this->call("/stream/x", [] {});
        }
        this->runFor(settleTime);
        result["openStreams"] = streams;
        result["megabytesWithStreams"] = this->resourceUsage().residentMegabytes;
        return result;
    }

private:
    static Endpoint at(std::size_t host, std::uint16_t port) { return {ownAddress(host), port}; }

    void runUntil(const std::function<bool()> &isDone)
    {
        while (!isDone()) {
            this->context.run_one();
        }
    }

    void runFor(Milliseconds span)
    {
        bool isFinished = false;
        asio::steady_timer timer(this->context, span);
        timer.async_wait([&isFinished](const asio::error_code &) { isFinished = true; });
        this->runUntil([&isFinished] { return isFinished; });
    }

    [[nodiscard]] ResourceUsage resourceUsage() const
    {
        return resourceUsageOf(this->router.processId());
    }

    void setSlowness(double slowness)
    {
        UpstreamFaults faults;
        faults.slowdownFactor = slowness;
        for (const auto &upstream : this->upstreams) {
            upstream->setFaults(faults);
        }
    }

    Milliseconds startRouter()
    {
        const TimePoint startTime = this->clock.now();
        this->router.start();
        int status = 0;
        constexpr int statusOk = 200;
        while (status != statusOk) {
            this->runFor(readinessPollInterval);
            bool isFinished = false;
            const auto connection =
                std::make_shared<gateway::UpstreamConnection>(this->context, this->clock);
            connection->connectAndSend(
                at(routerHost, readinessPort), connectTimeout,
                "GET /readiness HTTP/1.1\r\nHost: h\r\n\r\n",
                {[&status](const gateway::MessageHead &head) {
                     status = head.status;
                     return true;
                 },
                 [](std::string_view) {},
                 [&isFinished](gateway::ResponseOutcome) { isFinished = true; }});
            this->runUntil([&isFinished] { return isFinished; });
            connection->abort();
        }
        return std::chrono::duration_cast<Milliseconds>(this->clock.now() - startTime);
    }

    void call(const std::string &path, std::function<void()> done)
    {
        constexpr int timeBudgetMilliseconds = 60'000;
        const std::string bytes =
            fmt::format("POST {} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a{}\r\n"
                        "X-Time-Budget: {}\r\nAuthorization: Bearer key-0\r\n"
                        "Content-Length: 4\r\n\r\nbody",
                        path, ++this->lastAttempt, timeBudgetMilliseconds);
        std::shared_ptr<gateway::UpstreamConnection> connection;
        if (!this->idle.empty()) {
            connection = std::move(this->idle.back());
            this->idle.pop_back();
        }
        const bool isNew = !connection;
        if (isNew) {
            connection = std::make_shared<gateway::UpstreamConnection>(this->context, this->clock);
        }
        gateway::ResponseHandlers events{
            [](const gateway::MessageHead &) { return true; },
            [this](std::string_view) { ++this->receivedChunks; },
            [this, connection, done = std::move(done)](gateway::ResponseOutcome) {
                if (connection->isReusable()) {
                    this->idle.push_back(connection);
                }
                done();
            }};
        if (isNew) {
            connection->connectAndSend(at(routerHost, callersPort), connectTimeout, bytes,
                                       std::move(events));
        } else {
            connection->send(bytes, std::move(events));
        }
    }

    /// Makes \a count calls, at most maxConcurrentCalls at a time.
    void makeCalls(const std::string &path, std::size_t count)
    {
        std::size_t started = 0;
        std::size_t ended = 0;
        std::function<void()> next = [&] {
            if (started < count) {
                ++started;
                this->call(path, [&] {
                    ++ended;
                    next();
                });
            }
        };
        for (std::size_t i = 0; i < maxConcurrentCalls; ++i) {
            next();
        }
        this->runUntil([&] { return ended == count; });
    }

    asio::io_context context;
    SystemClock clock;
    SoakHistory history;
    RouterProcess router;
    SoakStore store;
    std::vector<std::unique_ptr<SoakUpstream>> upstreams;
    std::vector<std::shared_ptr<gateway::UpstreamConnection>> idle;
    std::uint64_t lastAttempt = 0;
    std::size_t receivedChunks = 0;
};

int run(int argc, char **argv)
{
    std::string program;
    std::string directory;
    std::string logLevel = "info";
    std::size_t streams = 300;
    std::size_t requests = 4000;
    options::options_description description(
        "plantain-weight: measures start time, CPU time and memory of a router; prints JSON");
    description.add_options()("help", "show this text")(
        "program", options::value(&program)->required(),
        "path of plantaind")("directory", options::value(&directory)->required(),
                             "existing directory for the router's settings and log")(
        "log-level", options::value(&logLevel)->default_value(logLevel),
        "log level of the router, as in its settings")(
        "streams", options::value(&streams)->default_value(streams),
        "concurrently open streams in the memory measurement")(
        "requests", options::value(&requests)->default_value(requests),
        "requests, and as many streams, in the CPU time measurement");
    options::variables_map variables;
    options::store(options::parse_command_line(argc, argv, description), variables);
    if (variables.count("help") > 0) {
        std::cout << description << "\n";
        return exitOk;
    }
    options::notify(variables);
    std::signal(SIGPIPE, SIG_IGN);
    RouterBenchmark bench(program, directory, logLevel);
    std::cout << bench.measure(streams, requests).dump(2) << std::endl;
    return exitOk;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return run(argc, argv);
    } catch (const std::exception &error) {
        std::cerr << "plantain-weight: " << error.what() << "\n";
        return exitFailed;
    }
}
