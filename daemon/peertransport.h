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

/// Carries datagrams between routers. Each kind of message has one handler, which runs on the
/// link's strand; send() may be called from any thread.
class PeerTransport : public std::enable_shared_from_this<PeerTransport>
{
public:
    /// Gets the sender's identity hash, the address to answer to and the message.
    using Handler = std::function<void(std::uint64_t sender, const Endpoint &from, PeerBody body)>;

    PeerTransport(asio::io_context &context, Node &node);

    /// Sets what takes messages of type \a Body; before start() only.
    template<typename Body>
    void setHandler(Handler handler)
    {
        this->handlers[PeerBody(Body{}).index()] = std::move(handler);
    }

    /// Opens the socket and starts receiving. \throws std::system_error when it can't be had.
    void start();
    void send(const Endpoint &to, const PeerBody &body);
    /// Lets go of the handlers, which own their parts, once no worker runs any more,
    /// and closes the socket: what a crash in a test leaves behind must not hold the port.
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
