#pragma once

#include <map>
#include <memory>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include "plantainswitch/base/clock.h"
#include "plantainswitch/membership/vm.h"

namespace plantainswitch::soak {

/// In which directions a link forwards bytes; it drops them in the others.
enum class LinkMode : std::uint8_t { Forward, DropBoth, DropToServer, DropToClient };

/// A TCP proxy on loopback between a router and a server that can delay or drop bytes, in one
/// direction or both, and reset connections.
class FaultyLink
{
public:
    FaultyLink(asio::io_context &context, const Endpoint &from, const Endpoint &to);

    void setMode(LinkMode newMode);
    void setDelay(Milliseconds newDelay) { this->delay = newDelay; }
    /// Resets all open connections.
    void resetConnections();
    /// Refuses connections, as the address of a dead process does.
    void stopListening();
    /// Accepts connections again after stopListening().
    void resumeListening();

private:
    struct Pipe;

    void accept();
    void pump(const std::shared_ptr<Pipe> &pipe, bool towardsServer);
    void deliver(const std::shared_ptr<Pipe> &pipe, bool towardsServer, std::string bytes);
    [[nodiscard]] bool isDropping(bool towardsServer) const noexcept;

    asio::io_context &context;
    asio::ip::tcp::endpoint listenEndpoint;
    asio::ip::tcp::acceptor acceptor;
    asio::ip::tcp::endpoint target;
    std::map<std::uint64_t, std::weak_ptr<Pipe>> pipes;
    std::uint64_t nextPipe = 1;
    LinkMode mode = LinkMode::Forward;
    Milliseconds delay{0};
};

} // namespace plantainswitch::soak
