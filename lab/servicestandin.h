#pragma once

#include <map>
#include <memory>
#include <mutex>

#include "httpserver.h"
#include "plantainswitch/membership/vm.h"

namespace plantainswitch::lab {

/// How often each idempotency key ran, over all replicas of a plain service.
class RunCounts
{
public:
    /// Counts a run. \returns the number of runs of that key so far.
    std::uint64_t add(const std::string &key);
    /// \returns the highest number of runs of any key.
    [[nodiscard]] std::uint64_t highest() const;
    [[nodiscard]] std::size_t keys() const;

private:
    mutable std::mutex mutex;
    std::map<std::string, std::uint64_t> runs;
};

/// Stand-in for a replica of a plain service: each request is a run of its idempotency key.
class ServiceStandIn
{
public:
    ServiceStandIn(asio::io_context &context, const Vm &vm, std::shared_ptr<RunCounts> counts);
    void open() { this->server->open(); }

private:
    std::unique_ptr<net::HttpServer> server;
};

} // namespace plantainswitch::lab
