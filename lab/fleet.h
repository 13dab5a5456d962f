#pragma once

#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <asio/executor_work_guard.hpp>
#include <asio/ip/tcp.hpp>

#include "router.h"

#include "cuts.h"
#include "deployment.h"
#include "standins.h"

namespace plantainswitch::lab {

/// A deployment's stand-ins and real routers in one process over loopback, for failure tests.
class Fleet
{
public:
    /// \param deployment to build; its ports move up while another fleet has them
    explicit Fleet(Deployment deployment);
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    /// Starts all routers and waits until each is ready. \returns whether all are.
    [[nodiscard]] bool start();
    /// Starts all routers and waits until each is ready and knows all others.
    [[nodiscard]] bool startAndConverge();
    /// \returns how many routers a router counts as members, itself included.
    [[nodiscard]] std::size_t memberCount(std::size_t router);
    /// \returns whether each router counts all routers of the layout as members.
    [[nodiscard]] bool hasConverged();
    void startRouter(std::size_t index);
    /// Asks for a graceful stop; awaitStopped() waits for its end.
    void stopRouter(std::size_t index);
    /// Ends a router at once, as a crash does.
    void killRouter(std::size_t index);
    void awaitStopped(std::size_t index);
    /// Pauses a router as the pause of its VM does: it neither answers nor sends, its sockets
    /// stay open. Returns once it is paused.
    void freezeRouter(std::size_t index);
    void thawRouter(std::size_t index);
    /// Cuts the routers of \a one and those of \a other from each other, until heal().
    void cut(const std::vector<std::size_t> &one, const std::vector<std::size_t> &other);
    void heal();
    [[nodiscard]] bool awaitReady(std::size_t index);

    /// Calls a router's callers' address and waits for the answer.
    net::HttpResponse call(std::size_t router, net::HttpCall call);
    /// Posts to /v1/chat/completions; \a path of the call is filled in.
    net::HttpResponse chat(std::size_t router, const std::string &token, const std::string &chatId,
                           const nlohmann::json &body);
    /// Fetches a page of a router's operators' address.
    net::HttpResponse operatorPage(std::size_t router, const std::string &path);
    /// \returns a router's /status page, or null when it has none to show.
    nlohmann::json status(std::size_t router);
    /// Waits until each router of the layout has at least catalogue \a version in force.
    [[nodiscard]] bool eventuallyInForce(std::uint64_t version);
    /// Fetches a page of the platform.
    net::HttpResponse platformPage(const std::string &path);
    /// Puts the platform's faults.
    void setFaults(const nlohmann::json &faults);
    /// Waits until \a condition holds, for at most a generous time. \returns whether it did.
    [[nodiscard]] static bool eventually(const std::function<bool()> &condition);

private:
    asio::io_context context;

public:
    Deployment deployment;

private:
    asio::ip::tcp::acceptor block;

public:
    std::vector<RouterLayout> layout;

private:
    struct Running
    {
        std::unique_ptr<Router> router;
        std::thread thread;
    };

    net::HttpResponse fetch(net::HttpCall call);

    Cuts cuts;
    SystemClock clock;
    asio::executor_work_guard<asio::io_context::executor_type> guard;

public:
    StandIns standIns;

private:
    net::HttpClient http;
    std::vector<std::thread> workers;
    std::map<std::size_t, Running> routers;
};

} // namespace plantainswitch::lab
