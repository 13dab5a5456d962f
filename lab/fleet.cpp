#include "fleet.h"

#include <future>
#include <stdexcept>

namespace plantainswitch::lab {

namespace {

constexpr int workerCount = 3;
constexpr std::chrono::seconds patience{30};
constexpr std::chrono::milliseconds pollPeriod{10};
constexpr int statusOk = 200;
constexpr std::uint16_t portsOfFleet = 400;
constexpr std::uint16_t firstPort = 10'000;
/// Above it the system hands out ports to outgoing connections.
constexpr std::uint16_t lastPort = 32'400;

/// Takes the last port of the first block that no other fleet of this machine has taken.
asio::ip::tcp::acceptor takeBlock(asio::io_context &context, std::uint16_t &basePort)
{
    using asio::ip::tcp;
    // All fleets take blocks of one grid. Of blocks that overlap each would have its own last port
    // free, and a router or stand-in of one would find its port taken by the other.
    basePort = static_cast<std::uint16_t>(basePort - (basePort - firstPort) % portsOfFleet);
    for (int tries = 0; tries < (lastPort - firstPort) / portsOfFleet; ++tries) {
        tcp::acceptor guard(context);
        guard.open(tcp::v4());
        asio::error_code error;
        const auto last = static_cast<std::uint16_t>(basePort + portsOfFleet - 1);
        guard.bind({asio::ip::address_v4::loopback(), last}, error);
        if (!error) {
            return guard;
        }
        basePort = static_cast<std::uint16_t>(basePort + portsOfFleet);
        if (basePort > lastPort) {
            basePort = firstPort;
        }
    }
    throw std::runtime_error("every block of ports is taken");
}

} // namespace

Fleet::Fleet(Deployment wanted)
    : deployment(std::move(wanted))
    , block(takeBlock(this->context, this->deployment.basePort))
    , layout(routersOf(this->deployment))
    , cuts(layout)
    , guard(asio::make_work_guard(context))
    , standIns(context, this->deployment)
    , http(context)
{
    this->standIns.open();
    this->workers.reserve(workerCount);
    for (int index = 0; index < workerCount; ++index) {
        this->workers.emplace_back([this] { this->context.run(); });
    }
}

Fleet::~Fleet()
{
    for (auto &[index, running] : this->routers) {
        running.router->kill();
        running.thread.join();
    }
    this->routers.clear();
    this->context.stop();
    for (std::thread &worker : this->workers) {
        worker.join();
    }
}

bool Fleet::start()
{
    for (std::size_t index = 0; index < this->layout.size(); ++index) {
        this->startRouter(index);
    }
    for (std::size_t index = 0; index < this->layout.size(); ++index) {
        if (!this->awaitReady(index)) {
            return false;
        }
    }
    return true;
}

bool Fleet::startAndConverge()
{
    return this->start() && eventually([this] { return this->hasConverged(); });
}

std::size_t Fleet::memberCount(std::size_t router)
{
    const nlohmann::json page = this->status(router);
    return page.is_object() ? page.at("members").size() : 0;
}

bool Fleet::hasConverged()
{
    for (std::size_t router = 0; router < this->layout.size(); ++router) {
        if (this->memberCount(router) != this->layout.size()) {
            return false;
        }
    }
    return true;
}

void Fleet::startRouter(std::size_t index)
{
    std::vector<Fault> faults;
    const std::string text = settingsOf(this->deployment, this->layout[index]).dump();
    Running &running = this->routers[index];
    running.router = std::make_unique<Router>(
        *parseSettings(text, faults), this->clock,
        [this, index](const Endpoint &to) { return this->cuts.loses(index, to); });
    running.thread = std::thread([router = running.router.get()] { router->run(); });
}

void Fleet::stopRouter(std::size_t index)
{
    this->routers.at(index).router->stop();
}

void Fleet::killRouter(std::size_t index)
{
    this->routers.at(index).router->kill();
    this->awaitStopped(index);
}

void Fleet::awaitStopped(std::size_t index)
{
    this->routers.at(index).thread.join();
    this->routers.erase(index);
}

void Fleet::freezeRouter(std::size_t index)
{
    this->cuts.silence(index, true);
    this->routers.at(index).router->pauseWorkers();
}

void Fleet::thawRouter(std::size_t index)
{
    this->routers.at(index).router->resumeWorkers();
    this->cuts.silence(index, false);
}

void Fleet::cut(const std::vector<std::size_t> &one, const std::vector<std::size_t> &other)
{
    this->cuts.cut(one, other);
}

void Fleet::heal()
{
    this->cuts.heal();
}

bool Fleet::awaitReady(std::size_t index)
{
    return eventually(
        [this, index] { return this->operatorPage(index, "/readyz").status == statusOk; });
}

net::HttpResponse Fleet::fetch(net::HttpCall call)
{
    auto answer = std::make_shared<std::promise<net::HttpResponse>>();
    call.totalTimeout = patience;
    this->http.fetch(std::move(call),
                     [answer](net::HttpResponse got) { answer->set_value(std::move(got)); });
    return answer->get_future().get();
}

net::HttpResponse Fleet::call(std::size_t router, net::HttpCall call)
{
    call.url = "http://" + toText(this->layout[router].callers) + call.url;
    return this->fetch(std::move(call));
}

net::HttpResponse Fleet::chat(std::size_t router, const std::string &token,
                              const std::string &chatId, const nlohmann::json &body)
{
    net::HttpCall call;
    call.method = "POST";
    call.url = "/v1/chat/completions";
    call.headers = {{"authorization", "Bearer " + token}, {"x-chat-id", chatId}};
    call.body = body.dump();
    return this->call(router, std::move(call));
}

net::HttpResponse Fleet::operatorPage(std::size_t router, const std::string &path)
{
    net::HttpCall call;
    call.url = "http://" + toText(this->layout[router].operators) + path;
    return this->fetch(std::move(call));
}

bool Fleet::eventuallyInForce(std::uint64_t version)
{
    return eventually([&] {
        for (std::size_t router = 0; router < this->layout.size(); ++router) {
            const nlohmann::json page = this->status(router);
            if (!page.is_object() || page.value("catalogueVersion", std::uint64_t{0}) < version) {
                return false;
            }
        }
        return true;
    });
}

nlohmann::json Fleet::status(std::size_t router)
{
    auto page = nlohmann::json::parse(this->operatorPage(router, "/status").body, nullptr, false);
    return page.is_object() ? page : nlohmann::json();
}

net::HttpResponse Fleet::platformPage(const std::string &path)
{
    net::HttpCall call;
    call.url = "http://" + toText(platformOf(this->deployment)) + path;
    return this->fetch(std::move(call));
}

void Fleet::setFaults(const nlohmann::json &faults)
{
    net::HttpCall call;
    call.method = "PUT";
    call.url = "http://" + toText(platformOf(this->deployment)) + "/faults";
    call.body = faults.dump();
    this->fetch(std::move(call));
}

bool Fleet::eventually(const std::function<bool()> &condition)
{
    const auto until = std::chrono::steady_clock::now() + patience;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > until) {
            return false;
        }
        std::this_thread::sleep_for(pollPeriod);
    }
    return true;
}

} // namespace plantainswitch::lab
