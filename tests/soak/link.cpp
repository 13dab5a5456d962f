#include "link.h"

#include <array>
#include <vector>

#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

namespace plantainswitch::soak {

namespace {

constexpr std::size_t readSize = 16 << 10;

} // namespace

struct FaultyLink::Pipe
{
    explicit Pipe(asio::io_context &context, asio::ip::tcp::socket accepted)
        : client(std::move(accepted))
        , server(context)
    {}

    asio::ip::tcp::socket &source(bool towardsServer)
    {
        return towardsServer ? this->client : this->server;
    }
    asio::ip::tcp::socket &destination(bool towardsServer)
    {
        return towardsServer ? this->server : this->client;
    }
    void close(bool isReset)
    {
        for (asio::ip::tcp::socket *socket : {&this->client, &this->server}) {
            asio::error_code ignored;
            if (isReset) {
                socket->set_option(asio::socket_base::linger(true, 0), ignored);
            }
            socket->close(ignored);
        }
    }

    asio::ip::tcp::socket client;
    asio::ip::tcp::socket server;
    std::array<std::array<char, readSize>, 2> buffers{};
    /// Whether bytes were dropped; such a connection can't be used again.
    bool lostBytes = false;
};

FaultyLink::FaultyLink(asio::io_context &context, const Endpoint &source,
                       const Endpoint &destination)
    : context(context)
    , listenEndpoint(asio::ip::make_address(source.host), source.port)
    , acceptor(context, this->listenEndpoint)
    , target(asio::ip::make_address(destination.host), destination.port)
{
    this->accept();
}

bool FaultyLink::isDropping(bool towardsServer) const noexcept
{
    switch (this->mode) {
    case LinkMode::Forward:
        return false;
    case LinkMode::DropBoth:
        return true;
    case LinkMode::DropToServer:
        return towardsServer;
    case LinkMode::DropToClient:
        return !towardsServer;
    }
    return false;
}

void FaultyLink::setMode(LinkMode newMode)
{
    this->mode = newMode;
    if (newMode != LinkMode::Forward) {
        return;
    }
    // What was swallowed is gone: such a connection shows as reset, as a real one does that is
    // found out after a cut.
    for (const auto &[id, weak] : this->pipes) {
        if (const auto pipe = weak.lock(); pipe && pipe->lostBytes) {
            pipe->close(true);
        }
    }
}

void FaultyLink::resetConnections()
{
    for (const auto &[id, weak] : this->pipes) {
        if (const auto pipe = weak.lock()) {
            pipe->close(true);
        }
    }
    this->pipes.clear();
}

void FaultyLink::stopListening()
{
    asio::error_code ignored;
    this->acceptor.close(ignored);
}

void FaultyLink::resumeListening()
{
    if (!this->acceptor.is_open()) {
        this->acceptor = asio::ip::tcp::acceptor(this->context, this->listenEndpoint);
        this->accept();
    }
}

void FaultyLink::accept()
{
    this->acceptor.async_accept(
        [this](const asio::error_code &error, asio::ip::tcp::socket socket) {
            if (error) {
                return;
            }
            const auto pipe = std::make_shared<Pipe>(this->context, std::move(socket));
            std::erase_if(this->pipes, [](const auto &entry) { return entry.second.expired(); });
            this->pipes[this->nextPipe++] = pipe;
            pipe->server.async_connect(this->target, [this, pipe](const asio::error_code &failed) {
                if (failed) {
                    pipe->close(true);
                    return;
                }
                this->pump(pipe, true);
                this->pump(pipe, false);
            });
            this->accept();
        });
}

void FaultyLink::pump(const std::shared_ptr<Pipe> &pipe, bool towardsServer)
{
    auto &buffer = pipe->buffers.at(towardsServer ? 0 : 1);
    pipe->source(towardsServer)
        .async_read_some(
            asio::buffer(buffer),
            [this, pipe, towardsServer](const asio::error_code &error, std::size_t size) {
                if (error) {
                    pipe->close(error != asio::error::eof);
                    return;
                }
                const auto &read = pipe->buffers.at(towardsServer ? 0 : 1);
                if (this->isDropping(towardsServer)) {
                    pipe->lostBytes = true;
                    this->pump(pipe, towardsServer);
                    return;
                }
                this->deliver(pipe, towardsServer, std::string(read.data(), size));
            });
}

void FaultyLink::deliver(const std::shared_ptr<Pipe> &pipe, bool towardsServer, std::string bytes)
{
    const auto timer = std::make_shared<asio::steady_timer>(this->context, this->delay);
    const auto text = std::make_shared<std::string>(std::move(bytes));
    timer->async_wait([this, pipe, towardsServer, text, timer](const asio::error_code &error) {
        if (error) {
            return;
        }
        asio::async_write(
            pipe->destination(towardsServer), asio::buffer(*text),
            [this, pipe, towardsServer, text](const asio::error_code &failed, std::size_t) {
                if (failed) {
                    pipe->close(true);
                    return;
                }
                this->pump(pipe, towardsServer);
            });
    });
}

} // namespace plantainswitch::soak
