#include "demo.h"

#include <algorithm>
#include <future>
#include <iostream>
#include <map>
#include <mutex>
#include <sstream>
#include <thread>

#include <asio/executor_work_guard.hpp>
#include <fmt/format.h>

#include "httpclient.h"
#include "load.h"
#include "standins.h"

namespace plantainswitch::lab {

namespace {

using nlohmann::json;

constexpr int workers = 4;
constexpr std::chrono::milliseconds samplePeriod{50};
constexpr std::chrono::milliseconds pollPeriod{20};
constexpr std::chrono::seconds readyPatience{20};
constexpr std::chrono::seconds inForcePatience{16};
constexpr double tail = 0.99;

/// Control bytes that the routers of a deployment have sent, by kind of message.
using ControlBytes = std::map<std::string, std::uint64_t>;

/// One deployment while the demo runs.
struct Stage
{
    Stage(asio::io_context &context, const Deployment &deployment, const LoadOptions &load)
        : deployment(deployment)
        , standIns(context, deployment)
        , load(context, deployment, load)
    {}

    Deployment deployment;
    StandIns standIns;
    Load load;
    std::vector<double> skews;
    std::vector<double> inForceSeconds;
    ControlBytes controlBefore;
    ControlBytes controlAfter;
};

/// Fetches a page and waits for it; for the demo's own thread only.
std::string fetchNow(net::HttpClient &http, const std::string &url)
{
    auto promise = std::make_shared<std::promise<std::string>>();
    net::HttpCall call;
    call.url = url;
    call.totalTimeout = std::chrono::seconds(2);
    http.fetch(call, [promise](const net::HttpResponse &answer) {
        constexpr int statusOk = 200;
        promise->set_value(answer.status == statusOk ? answer.body : std::string{});
    });
    return promise->get_future().get();
}

/// Adds what the router has sent to \a into.
void addControl(net::HttpClient &http, const RouterLayout &router, ControlBytes &into)
{
    constexpr std::string_view name = "plantainswitch_control_sent_kind_bytes_total{kind=\"";
    constexpr std::string_view afterKind = "\"} ";
    std::istringstream page(fetchNow(http, "http://" + toText(router.operators) + "/metrics"));
    for (std::string line; std::getline(page, line);) {
        const std::size_t end = line.find(afterKind);
        if (line.starts_with(name) && end != std::string::npos) {
            into[line.substr(name.size(), end - name.size())] +=
                std::stoull(line.substr(end + afterKind.size()));
        }
    }
}

bool awaitReady(net::HttpClient &http, const Deployment &deployment)
{
    const auto until = std::chrono::steady_clock::now() + readyPatience;
    for (const RouterLayout &router : routersOf(deployment)) {
        const std::string url = "http://" + toText(router.operators) + "/readyz";
        while (fetchNow(http, url).empty()) {
            if (std::chrono::steady_clock::now() > until) {
                std::cout << router.id << " did not get ready\n";
                return false;
            }
            std::this_thread::sleep_for(pollPeriod);
        }
    }
    return true;
}

/// Samples max over mean of the engines' load within each place that has load enough to tell.
void sampleSkew(Stage &stage)
{
    std::map<std::string, std::vector<double>> pools;
    for (const auto &engine : stage.standIns.engines) {
        pools[engine->vm().dataCentre].push_back(static_cast<double>(engine->load()));
    }
    for (const auto &[place, loads] : pools) {
        double sum = 0;
        for (const double load : loads) {
            sum += load;
        }
        const double mean = sum / static_cast<double>(loads.size());
        if (mean >= 1) {
            stage.skews.push_back(*std::max_element(loads.begin(), loads.end()) / mean);
        }
    }
}

/// Narrows the restricted data class by one place and measures when each router has it in force.
bool editAndMeasure(net::HttpClient &http, Stage &stage)
{
    DataClass narrowed{stage.deployment.name, {stage.deployment.places.front()}, 0};
    const auto began = std::chrono::steady_clock::now();
    const std::uint64_t version =
        stage.standIns.platform.set("dataclass", "restricted", toJson(EntryBody(narrowed)));
    for (const RouterLayout &router : routersOf(stage.deployment)) {
        const std::string url = "http://" + toText(router.operators) + "/status";
        while (true) {
            const json status = json::parse(fetchNow(http, url), nullptr, false);
            const auto elapsed = std::chrono::steady_clock::now() - began;
            if (status.is_object() && status.value("catalogueVersion", 0U) >= version) {
                stage.inForceSeconds.push_back(std::chrono::duration<double>(elapsed).count());
                break;
            }
            if (elapsed > inForcePatience) {
                std::cout << router.id << " does not have the edit in force\n";
                return false;
            }
            std::this_thread::sleep_for(pollPeriod);
        }
    }
    return true;
}

void readControl(net::HttpClient &http, const Stage &stage, ControlBytes &into)
{
    for (const RouterLayout &router : routersOf(stage.deployment)) {
        addControl(http, router, into);
    }
}

double quantileOf(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
    return values[index];
}

void printRow(const std::string &name, const std::string &value)
{
    std::cout << fmt::format("  {:<44} {}\n", name, value);
}

void printControl(const Stage &stage, std::chrono::seconds duration)
{
    const auto shares = static_cast<double>(routersOf(stage.deployment).size())
                        * static_cast<double>(duration.count());
    double sum = 0;
    std::string kinds;
    for (const auto &[kind, bytes] : stage.controlAfter) {
        const auto before = stage.controlBefore.find(kind);
        const std::uint64_t known = before == stage.controlBefore.end() ? 0 : before->second;
        const double rate = static_cast<double>(bytes - known) / shares;
        sum += rate;
        kinds += fmt::format("{}{} {:.0f}", kinds.empty() ? "" : ", ", kind, rate);
    }
    printRow("control bytes a second and router", fmt::format("{:.0f}", sum));
    printRow("  of these by kind of message", kinds);
}

bool printStage(const Stage &stage, std::chrono::seconds duration)
{
    std::uint64_t cached = 0;
    std::uint64_t prompt = 0;
    for (const auto &engine : stage.standIns.engines) {
        const auto [reused, all] = engine->reuse();
        cached += reused;
        prompt += all;
    }
    const auto report = stage.load.report();
    std::cout << "\n" << stage.deployment.name << "\n";
    printRow("requests sent", report["sent"].dump());
    printRow("answers whole, orders whole",
             report["whole"].dump() + ", " + report["ordersWhole"].dump());
    printRow("cut, refused", report["cut"].dump() + ", " + report["refused"].dump());
    printRow("answers that broke a promise", report["broken"].dump());
    printRow("runs of the most often run order", std::to_string(stage.standIns.runs->highest()));
    printRow(
        "prompt tokens reused",
        fmt::format("{:.3f}",
                    prompt == 0 ? 0.0 : static_cast<double>(cached) / static_cast<double>(prompt)));
    printRow(
        "skew within a place, p50 and p99",
        fmt::format("{:.2f}, {:.2f}", quantileOf(stage.skews, 0.5), quantileOf(stage.skews, tail)));
    printControl(stage, duration);
    printRow("edit in force, slowest router, seconds",
             fmt::format("{:.2f}", quantileOf(stage.inForceSeconds, 1.0)));
    printRow("first event p50, p99, seconds",
             fmt::format("{:.4f}, {:.4f}", report["firstEventSecondsP50"].get<double>(),
                         report["firstEventSecondsP99"].get<double>()));
    return stage.load.broken() == 0 && stage.load.whole() > 0
           && stage.standIns.runs->highest() <= 1;
}

using Stages = std::vector<std::unique_ptr<Stage>>;

bool play(net::HttpClient &http, Stages &stages, const DemoOptions &options)
{
    bool good = true;
    for (const auto &stage : stages) {
        good = awaitReady(http, stage->deployment) && good;
    }
    if (!good) {
        return false;
    }
    std::cout << "the routers are ready; load for " << options.duration.count() << " s\n";
    std::vector<std::future<void>> ends;
    for (const auto &stage : stages) {
        readControl(http, *stage, stage->controlBefore);
        auto end = std::make_shared<std::promise<void>>();
        ends.push_back(end->get_future());
        stage->load.start([end] { end->set_value(); });
    }
    const auto began = std::chrono::steady_clock::now();
    bool edited = false;
    while (std::chrono::steady_clock::now() - began < options.duration) {
        std::this_thread::sleep_for(samplePeriod);
        for (const auto &stage : stages) {
            sampleSkew(*stage);
        }
        if (!edited && std::chrono::steady_clock::now() - began > options.duration / 2) {
            edited = true;
            std::cout << "an entry is edited\n";
            for (const auto &stage : stages) {
                good = editAndMeasure(http, *stage) && good;
            }
        }
    }
    for (std::future<void> &end : ends) {
        end.wait();
    }
    for (const auto &stage : stages) {
        readControl(http, *stage, stage->controlAfter);
        good = printStage(*stage, options.duration) && good;
    }
    return good;
}

} // namespace

bool runDemo(const std::vector<Deployment> &deployments, const DemoOptions &options)
{
    asio::io_context context;
    auto guard = asio::make_work_guard(context);
    Stages stages;
    for (const Deployment &deployment : deployments) {
        LoadOptions load;
        load.duration = options.duration;
        load.requestsPerSecond = options.requestsPerSecond;
        load.seed = options.seed;
        stages.push_back(std::make_unique<Stage>(context, deployment, load));
        stages.back()->standIns.open();
    }
    net::HttpClient http(context);
    std::vector<std::thread> threads;
    threads.reserve(workers);
    for (int index = 0; index < workers; ++index) {
        threads.emplace_back([&context] { context.run(); });
    }
    const bool good = play(http, stages, options);
    std::cout << (good ? "\nthe promises held\n" : "\na promise was broken\n");
    context.stop();
    for (std::thread &thread : threads) {
        thread.join();
    }
    return good;
}

} // namespace plantainswitch::lab
