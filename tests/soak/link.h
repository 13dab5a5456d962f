#pragma once

#include <map>
#include <memory>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include "plantainswitch/base/clock.h"
#include "plantainswitch/membership/vm.h"

namespace plantainswitch::soak {

/// Which bytes a link lets through.
enum class LinkMode : std::uint8_t { Forward, DropBoth, DropToServer, DropToClient };

/// A proxy on loopback between a router and a server, which delays, silences, cuts one way or
/// resets what goes through it.
class FaultyLink
{
public:
    FaultyLink(asio::io_context &context, const Endpoint &from, const Endpoint &to);

    void setMode(LinkMode newMood);
    void setDelay(Milliseconds newDelay) { this->delay = newDelay; }
    /// Resets all connections that are open.
    void resetConnections();
    /// Takes no connections, as the address of a process that has ended.
    void stopListening();
    /// Takes connections again after refuse().
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
