#pragma once

#include <functional>
#include <memory>
#include <string>

#include "gatewaystate.h"

namespace plantainswitch::gateway {

/// The answer to a call; status 0: none came, so that a write may have been done.
struct CallReply
{
    int status = 0;
    std::string body;
};

/// How long a call may last.
struct CallTimeouts
{
    /// From its start to the end of its answer.
    Milliseconds total{0};
    /// Without a byte of the answer; 0: no limit but the whole one's. A server that was cut off a
    /// moment ago takes the call and never answers: the caller would wait for the whole limit.
    Milliseconds idle{0};
};

/// Calls the store or another router, one call at a time, over one kept connection.
class SequentialHttpClient
{
public:
    explicit SequentialHttpClient(GatewayState &gateway)
        : gateway(gateway)
        , timer(gateway.context)
    {}

    /// Calls; \a done comes once, later.
    void call(const Endpoint &server, std::string_view method, const std::string &target,
              const std::string &body, CallTimeouts limits, std::function<void(CallReply)> done);
    /// Gives the call under way up; its \a done never comes.
    void cancel();
    /// \returns whether a call is under way.
    [[nodiscard]] bool isBusy() const noexcept { return static_cast<bool>(this->done); }

private:
    /// Sets when the call is given up, unless a byte comes before.
    void armTimer();
    void finish(CallReply reply);

    GatewayState &gateway;
    asio::steady_timer timer;
    std::shared_ptr<UpstreamConnection> connection;
    std::function<void(CallReply)> done;
    CallReply reply;
    Endpoint connectedTo;
    CallTimeouts limits;
    TimePoint startedAt;
    TimePoint lastReceivedAt;
    std::uint64_t callCount = 0;
};

} // namespace plantainswitch::gateway
