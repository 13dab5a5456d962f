#include "connectionacceptor.h"

#include <utility>

namespace plantainswitch::gateway {

namespace {

constexpr int listenBacklog = 1024;

} // namespace

ConnectionAcceptor::ConnectionAcceptor(asio::io_context &context, WorkQueue &work)
    : acceptor(context)
    , timer(context)
    , work(work)
{}

void ConnectionAcceptor::listen(const Endpoint &endpoint)
{
    const asio::ip::tcp::endpoint local(asio::ip::make_address(endpoint.host), endpoint.port);
    this->acceptor.open(local.protocol());
    this->acceptor.set_option(asio::socket_base::reuse_address(true));
    this->acceptor.bind(local);
    this->acceptor.listen(listenBacklog);
    this->acceptor.non_blocking(true);
}

void ConnectionAcceptor::start(Handler newHandler)
{
    this->onAccepted = std::move(newHandler);
    this->waitForConnections();
}

void ConnectionAcceptor::close()
{
    asio::error_code ignored;
    this->acceptor.close(ignored);
    this->timer.cancel();
}

void ConnectionAcceptor::waitForConnections()
{
    this->acceptor.async_wait(asio::socket_base::wait_read, [this](const asio::error_code &error) {
        if (error != asio::error::operation_aborted) {
            this->work.push([this] { this->acceptWaiting(); });
        }
    });
}

void ConnectionAcceptor::acceptWaiting()
{
    asio::error_code error;
    for (int i = 0; i < maxAcceptedAtOnce && !error && this->acceptor.is_open(); ++i) {
        asio::ip::tcp::socket socket(this->acceptor.get_executor());
        this->acceptor.accept(socket, error);
        if (!error) {
            this->onAccepted(std::move(socket));
        }
    }
    if (!this->acceptor.is_open()) {
        return;
    }
    const bool isDrained = !error || error == asio::error::would_block
                           || error == asio::error::try_again
                           || error == asio::error::connection_aborted;
    if (isDrained) {
        this->waitForConnections();
        return;
    }
    this->timer.expires_after(acceptRetryDelay);
    this->timer.async_wait([this](const asio::error_code &timerError) {
        if (!timerError) {
            this->waitForConnections();
        }
    });
}

} // namespace plantainswitch::gateway
