#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>

#include <asio/ip/udp.hpp>
#include <asio/strand.hpp>

#include "node.h"
#include "peercodec.h"

namespace plantainswitch {

/// Sends and receives datagrams between routers. Each message type has one handler, which runs on
/// the transport's strand. send() is thread-safe.
class PeerTransport : public std::enable_shared_from_this<PeerTransport>
{
public:
    /// Receives the sender's identity hash, the address to reply to and the message.
    using Handler = std::function<void(std::uint64_t sender, const Endpoint &from, PeerBody body)>;

    PeerTransport(asio::io_context &context, Node &node);

    /// Sets the handler for messages of type \a Body. Call before start() only.
    template<typename Body>
    void setHandler(Handler handler)
    {
        this->handlers[PeerBody(Body{}).index()] = std::move(handler);
    }

    /// Opens the socket and starts receiving.
    /// \throws std::system_error if the address can't be bound.
    void start();
    void send(const Endpoint &to, const PeerBody &body);
    /// Drops the handlers, which own their components, and closes the socket, so that a router
    /// killed in a test does not keep its port. Call only when no worker thread runs any more.
    void shutdown();

    [[nodiscard]] const asio::strand<asio::io_context::executor_type> &executor() const noexcept
    {
        return this->strand;
    }

private:
    void receive();
    void handleDatagram(std::size_t size);

    Node &node;
    asio::strand<asio::io_context::executor_type> strand;
    asio::ip::udp::socket socket;
    std::array<char, maxDatagramBytes + 1> buffer{};
    asio::ip::udp::endpoint sender;
    std::map<std::size_t, Handler> handlers;
};

} // namespace plantainswitch
