#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include <asio/post.hpp>
#include <asio/signal_set.hpp>
#include <boost/program_options.hpp>

#include "operators.h"
#include "peercalls.h"
#include "peerlink.h"
#include "requestpath.h"
#include "slots.h"
#include "sync.h"

namespace {

using namespace plantainswitch;
namespace options = boost::program_options;

constexpr int exitOk = 0;
constexpr int exitFailed = 1;
constexpr int exitBadInput = 2;
constexpr std::chrono::milliseconds drainPoll{50};

std::optional<Settings> loadSettings(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        std::cerr << path << ": can't be read\n";
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    std::vector<Fault> faults;
    auto settings = parseSettings(text.str(), faults);
    for (const Fault &fault : faults) {
        std::cerr << path << ": " << toText(fault) << "\n";
    }
    return settings;
}

/// The running router: its parts in the order in which they depend on each other.
class Router
{
public:
    Router(Settings settings, const Clock &clock)
        : node(
            std::move(settings), clock,
            static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch().count()))
        , signals(context, SIGTERM, SIGINT)
        , drainTimer(context)
        , platformHttp(context)
        , link(std::make_shared<PeerLink>(context, node))
        , calls(node)
        , sync(std::make_shared<Sync>(context, node, platformHttp, link, calls))
        , slots(std::make_shared<Slots>(node, link))
    {
        std::vector<net::HttpClient *> clients;
        for (std::uint32_t index = 0; index < this->node.settings.workers; ++index) {
            this->upstreamHttp.push_back(std::make_unique<net::HttpClient>(this->context));
            clients.push_back(this->upstreamHttp.back().get());
        }
        this->path = std::make_unique<RequestPath>(this->node, this->slots, clients);
    }

    int run()
    {
        if (!this->calls.start()) {
            std::cerr << "can't serve peers at " << toText(this->node.settings.peerCalls) << "\n";
            return exitFailed;
        }
        this->link->start();
        this->sync->start();
        this->openServers();
        this->awaitSignal();
        logEvent(Event::Started, {{"callers", toText(this->node.settings.callers)}});
        std::vector<std::thread> workers;
        for (std::uint32_t index = 0; index < this->node.settings.workers; ++index) {
            workers.emplace_back([this] { this->context.run(); });
        }
        for (std::thread &worker : workers) {
            worker.join();
        }
        this->calls.stop();
        logEvent(Event::Stopped, {});
        return exitOk;
    }

private:
    void openServers()
    {
        const Settings &settings = this->node.settings;
        // Twice the allowed body, so that a body above it is refused with a reason and only an
        // absurd one is cut off.
        this->callers = std::make_unique<net::HttpServer>(
            this->context,
            net::HttpServerOptions{settings.callers.host, settings.callers.port,
                                   2 * std::size_t{settings.largestBody}},
            [this](net::HttpRequest request, std::shared_ptr<net::HttpReply> reply) {
                this->path->serve(std::move(request), std::move(reply));
            });
        this->operators = std::make_unique<net::HttpServer>(
            this->context, net::HttpServerOptions{settings.operators.host, settings.operators.port},
            [this](const net::HttpRequest &request, const std::shared_ptr<net::HttpReply> &reply) {
                serveOperator(this->node, request, *reply);
            });
        this->callers->open();
        this->operators->open();
    }

    void awaitSignal()
    {
        this->signals.async_wait([this](const asio::error_code &error, int) {
            if (error) {
                return;
            }
            this->awaitSignal();
            this->beginStop();
        });
    }

    void beginStop()
    {
        if (this->node.stopping.exchange(true)) {
            logEvent(Event::StopRepeated, {});
            return;
        }
        logEvent(Event::Stopping, {{"inFlight", std::to_string(this->node.inFlight)}});
        this->link->beat();
        this->drainTimer.expires_after(
            std::chrono::milliseconds(this->node.settings.lingerMilliseconds));
        this->drainTimer.async_wait([this](const asio::error_code &) { this->drain(); });
    }

    void drain()
    {
        if (this->node.inFlight == 0) {
            this->context.stop();
            return;
        }
        this->drainTimer.expires_after(drainPoll);
        this->drainTimer.async_wait([this](const asio::error_code &) { this->drain(); });
    }

    asio::io_context context;
    Node node;
    asio::signal_set signals;
    asio::steady_timer drainTimer;
    net::HttpClient platformHttp;
    std::vector<std::unique_ptr<net::HttpClient>> upstreamHttp;
    std::shared_ptr<PeerLink> link;
    PeerCalls calls;
    std::shared_ptr<Sync> sync;
    std::shared_ptr<Slots> slots;
    std::unique_ptr<RequestPath> path;
    std::unique_ptr<net::HttpServer> callers;
    std::unique_ptr<net::HttpServer> operators;
};

int runDaemon(int argc, char **argv)
{
    options::options_description described("plantaind, the router daemon");
    described.add_options()("help", "show this text")("version", "show the version")(
        "config", options::value<std::string>(),
        "the settings file")("check-config", "check the settings and leave");
    options::variables_map given;
    try {
        options::store(options::parse_command_line(argc, argv, described), given);
    } catch (const options::error &error) {
        std::cerr << error.what() << "\n";
        return exitBadInput;
    }
    if (given.count("help") > 0) {
        std::cout << described << "\n";
        return exitOk;
    }
    if (given.count("version") > 0) {
        std::cout << "plantaind " << PLANTAINSWITCH_VERSION << "\n";
        return exitOk;
    }
    if (given.count("config") == 0) {
        std::cerr << "--config FILE is needed\n";
        return exitBadInput;
    }
    auto settings = loadSettings(given["config"].as<std::string>());
    if (!settings) {
        return exitBadInput;
    }
    if (given.count("check-config") > 0) {
        std::cout << "the settings are good\n";
        return exitOk;
    }
    startLogging(settings->logFormat, settings->logLevel, settings->id);
    const SystemClock clock;
    Router router(std::move(*settings), clock);
    return router.run();
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return runDaemon(argc, argv);
    } catch (const std::exception &error) {
        std::cerr << "plantaind: " << error.what() << "\n";
        return exitFailed;
    }
}
