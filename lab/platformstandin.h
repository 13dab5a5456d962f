#pragma once

#include <memory>

#include "httpserver.h"
#include "platformclient.h"

namespace plantainswitch::lab {

/// Stand-in for the platform: objects with versions, conditional writes and watches, a VM list
/// that lags, a count of the calls, and faults on order.
///
/// GET /objects/KIND/NAME; PUT and DELETE there with if-version; GET /objects?kinds=&after=&wait=;
/// GET /vms; PUT and DELETE /vms/ID; GET and PUT /faults; GET /calls.
class PlatformStandIn
{
public:
    PlatformStandIn(asio::io_context &context, const Endpoint &endpoint);
    ~PlatformStandIn();
    PlatformStandIn(const PlatformStandIn &) = delete;
    PlatformStandIn &operator=(const PlatformStandIn &) = delete;

    void open();
    /// Writes an object without a condition.
    std::uint64_t set(const std::string &kind, const std::string &name, nlohmann::json body);
    /// Puts a VM on the list or replaces it; seen after the list's lag.
    void setVm(const Vm &vm);
    /// \returns the number of calls so far.
    [[nodiscard]] std::uint64_t calls() const;

    struct State;

private:
    std::shared_ptr<State> state;
    std::unique_ptr<net::HttpServer> server;
};

} // namespace plantainswitch::lab
