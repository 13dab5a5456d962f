#pragma once

#include <functional>
#include <memory>
#include <string>

#include "gatewaystate.h"

namespace plantainswitch::gateway {

/// The answer to a call of the store; status 0: none came, so that a write may have been done.
struct StoreReply
{
    int status = 0;
    std::string body;
};

/// Calls the platform's store, one call at a time, over one kept connection.
class StoreClient
{
public:
    explicit StoreClient(GatewayState &gateway)
        : gateway(gateway)
        , timer(gateway.context)
    {}

    /// Calls; \a done comes once, later.
    void call(std::string_view method, const std::string &target, const std::string &body,
              Milliseconds timeout, std::function<void(StoreReply)> done);

private:
    void end(StoreReply reply);

    GatewayState &gateway;
    asio::steady_timer timer;
    std::shared_ptr<UpstreamConnection> connection;
    std::function<void(StoreReply)> done;
    StoreReply reply;
    std::uint64_t calls = 0;
};

} // namespace plantainswitch::gateway
