#include "peertransport.h"

#include <asio/buffer.hpp>
#include <asio/post.hpp>

namespace plantainswitch {

namespace {

using asio::ip::udp;

/// Bytes of the IP and UDP headers, counted as control traffic like the payload.
constexpr std::size_t datagramOverhead = 28;

static_assert(std::variant_size_v<PeerBody> == static_cast<std::size_t>(ControlKind::Pull),
              "ControlKind lists the bodies in their order, then the call");

udp::endpoint addressOf(const Endpoint &endpoint)
{
    return {asio::ip::make_address(endpoint.host), endpoint.port};
}

} // namespace

PeerTransport::PeerTransport(asio::io_context &context, Node &node)
    : node(node)
    , strand(asio::make_strand(context))
    , socket(strand)
{}

void PeerTransport::start()
{
    const udp::endpoint local = addressOf(this->node.settings.peerDatagrams);
    this->socket.open(local.protocol());
    this->socket.bind(local);
    asio::post(this->strand, [self = this->shared_from_this()] { self->receive(); });
}

void PeerTransport::shutdown()
{
    this->handlers.clear();
    asio::error_code ignored;
    this->socket.close(ignored);
}

void PeerTransport::receive()
{
    this->socket.async_receive_from(
        asio::buffer(this->buffer), this->sender,
        [self = this->shared_from_this()](const asio::error_code &error, std::size_t size) {
            if (error == asio::error::operation_aborted) {
                return;
            }
            if (!error) {
                self->handleDatagram(size);
            }
            self->receive();
        });
}

void PeerTransport::handleDatagram(std::size_t size)
{
    this->node.metrics.count(Counter::ControlBytesReceived, size + datagramOverhead);
    const Endpoint from{this->sender.address().to_string(), this->sender.port()};
    auto message = decode({this->buffer.data(), size});
    if (!message) {
        logEvent(Event::DatagramInvalid, {{"from", toText(from)}});
        return;
    }
    const auto handler = this->handlers.find(message->body.index());
    if (handler != this->handlers.end()) {
        handler->second(message->sender, from, std::move(message->body));
    }
}

void PeerTransport::send(const Endpoint &to, const PeerBody &body)
{
    auto bytes = std::make_shared<std::string>(encode({this->node.identity, body}));
    this->node.metrics.countSent(static_cast<ControlKind>(body.index()),
                                 bytes->size() + datagramOverhead);
    if (this->node.dropsTrafficTo(to)) {
        return;
    }
    asio::post(this->strand, [self = this->shared_from_this(), bytes, to = addressOf(to)] {
        self->socket.async_send_to(asio::buffer(*bytes), to,
                                   [bytes](const asio::error_code &, std::size_t) {});
    });
}

} // namespace plantainswitch
