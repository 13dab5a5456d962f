#pragma once

#include <functional>
#include <memory>
#include <string>

#include "gatewaystate.h"

namespace plantainswitch::gateway {

/// The answer to a call; status 0: none came, so that a write may have been done.
struct PlainReply
{
    int status = 0;
    std::string body;
};

/// How long a call may last.
struct CallLimits
{
    /// From its start to the end of its answer.
    Milliseconds whole{0};
    /// Without a byte of the answer; 0: no limit but the whole one's. A server that was cut off a
    /// moment ago takes the call and never answers: the caller would wait for the whole limit.
    Milliseconds silence{0};
};

/// Calls the store or another router, one call at a time, over one kept connection.
class PlainClient
{
public:
    explicit PlainClient(GatewayState &gateway)
        : gateway(gateway)
        , timer(gateway.context)
    {}

    /// Calls; \a done comes once, later.
    void call(const Endpoint &server, std::string_view method, const std::string &target,
              const std::string &body, CallLimits limits, std::function<void(PlainReply)> done);
    /// Gives the call under way up; its \a done never comes.
    void abandon();
    /// \returns whether a call is under way.
    [[nodiscard]] bool isBusy() const noexcept { return static_cast<bool>(this->done); }

private:
    /// Sets when the call is given up, unless a byte comes before.
    void armTimer();
    void end(PlainReply reply);

    GatewayState &gateway;
    asio::steady_timer timer;
    std::shared_ptr<UpstreamConnection> connection;
    std::function<void(PlainReply)> done;
    PlainReply reply;
    Endpoint connectedTo;
    CallLimits limits;
    TimePoint begun;
    TimePoint heard;
    std::uint64_t calls = 0;
};

} // namespace plantainswitch::gateway
