#pragma once

#include <functional>
#include <memory>
#include <string>

#include "gatewaystate.h"

namespace plantainswitch::gateway {

/// The response to a call. Status 0: no complete response arrived, and a write may or may not have
/// been executed.
struct CallReply
{
    int status = 0;
    std::string body;
    /// Time since the start of the call.
    Milliseconds elapsed{0};
};

/// Timeouts of a call.
struct CallTimeouts
{
    /// From the start of the call to the end of the response.
    Milliseconds total{0};
    /// Without receiving a byte; 0: only the total applies. A server behind a new partition seems
    /// to accept the call and never responds, and the caller would wait for the total timeout.
    Milliseconds idle{0};
};

/// HTTP client for the store and other routers: one call at a time over one persistent connection.
class SequentialHttpClient
{
public:
    explicit SequentialHttpClient(GatewayState &gateway)
        : gateway(gateway)
        , timer(gateway.context)
    {}

    /// Starts a call. \a done is called once, later.
    void call(const Endpoint &server, std::string_view method, const std::string &target,
              const std::string &body, CallTimeouts timeouts, std::function<void(CallReply)> done);
    /// Cancels the running call; its \a done is not called.
    void cancel();
    /// \returns whether a call is running.
    [[nodiscard]] bool isBusy() const noexcept { return static_cast<bool>(this->done); }

private:
    /// Schedules the end of the call by timeout. The idle timeout restarts with each received byte.
    void armTimer();
    void finish(CallReply reply);

    GatewayState &gateway;
    asio::steady_timer timer;
    std::shared_ptr<UpstreamConnection> connection;
    std::function<void(CallReply)> done;
    CallReply reply;
    Endpoint connectedTo;
    CallTimeouts timeouts;
    TimePoint startedAt;
    TimePoint lastReceivedAt;
    std::uint64_t callCount = 0;
};

} // namespace plantainswitch::gateway
