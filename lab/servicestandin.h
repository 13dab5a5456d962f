#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "httpserver.h"
#include "plantainswitch/membership/vm.h"

namespace plantainswitch::lab {

/// A run at a replica of a plain service.
struct Run
{
    std::string key;
    /// The router's attempt id that came with it.
    std::string attempt;
};

/// How often each idempotency key ran, over all replicas of a plain service.
class RunCounts
{
public:
    /// Counts a run. \returns the number of runs of that key so far.
    std::uint64_t add(const Run &run);
    /// \returns all runs in their order.
    [[nodiscard]] std::vector<Run> all() const;
    /// \returns the highest number of runs of any key.
    [[nodiscard]] std::uint64_t highest() const;
    [[nodiscard]] std::size_t keys() const;

private:
    mutable std::mutex mutex;
    std::map<std::string, std::uint64_t> counts;
    std::vector<Run> runs;
};

/// What the replicas of a plain service are told to do wrong.
class ServiceOrders
{
public:
    /// While held, requests run but their answers wait.
    void hold() { this->held = true; }
    /// Ends the hold and sends the answers that wait.
    void letGo();
    /// Keeps \a send until letGo(). \returns whether it is held.
    bool keep(std::function<void()> send);
    /// The next \a count requests run, and their connections break without an answer.
    void dropAfterRun(int count) { this->drops = count; }
    /// The next \a count requests are refused as not run.
    void refuse(int count) { this->refusals = count; }
    /// The next \a count answers carry another request's id.
    void confuse(int count) { this->confusions = count; }
    /// The next \a count answers have a content encoding.
    void encode(int count) { this->encodings = count; }
    /// The next \a count answers have a body that ends only with its connection.
    void sendWithoutEnd(int count) { this->endless = count; }
    [[nodiscard]] bool takeDrop() { return take(this->drops); }
    [[nodiscard]] bool takeRefusal() { return take(this->refusals); }
    [[nodiscard]] bool takeConfusion() { return take(this->confusions); }
    [[nodiscard]] bool takeEncoding() { return take(this->encodings); }
    [[nodiscard]] bool takeEndless() { return take(this->endless); }

private:
    static bool take(std::atomic<int> &left);

    std::atomic<bool> held = false;
    std::atomic<int> drops = 0;
    std::atomic<int> refusals = 0;
    std::atomic<int> confusions = 0;
    std::atomic<int> encodings = 0;
    std::atomic<int> endless = 0;
    std::mutex mutex;
    std::vector<std::function<void()>> waiting;
};

/// Stand-in for a replica of a plain service: each request is a run of its idempotency key.
class ServiceStandIn
{
public:
    ServiceStandIn(asio::io_context &context, const Vm &vm, std::shared_ptr<RunCounts> counts,
                   std::shared_ptr<ServiceOrders> orders);
    void open() { this->server->open(); }

private:
    std::unique_ptr<net::HttpServer> server;
};

} // namespace plantainswitch::lab
