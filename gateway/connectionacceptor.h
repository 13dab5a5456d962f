#pragma once

#include <functional>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include "plantainswitch/base/workqueue.h"
#include "plantainswitch/membership/vm.h"

namespace plantainswitch::gateway {

/// Connections that are accepted in one piece of work.
inline constexpr int maxAcceptedAtOnce = 32;
/// Time until the next attempt after accepting has failed, as it does while the process has no
/// descriptor left.
inline constexpr std::chrono::milliseconds acceptRetryDelay{100};

/// Accepts the connections to one address.
class ConnectionAcceptor
{
public:
    using Handler = std::function<void(asio::ip::tcp::socket)>;

    ConnectionAcceptor(asio::io_context &context, WorkQueue &work);

    /// Opens the listening socket. Throws if the address is not available.
    void listen(const Endpoint &endpoint);
    /// Starts to accept. \a onAccepted is called for each connection.
    void start(Handler onAccepted);
    void close();
    [[nodiscard]] bool isOpen() const { return this->acceptor.is_open(); }
    /// \returns the port that it listens on.
    [[nodiscard]] std::uint16_t port() const { return this->acceptor.local_endpoint().port(); }

private:
    void waitForConnections();
    void acceptWaiting();

    asio::ip::tcp::acceptor acceptor;
    asio::steady_timer timer;
    WorkQueue &work;
    Handler onAccepted;
};

} // namespace plantainswitch::gateway
