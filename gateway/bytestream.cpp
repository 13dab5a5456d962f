#include "bytestream.h"

#include <array>

#include <netinet/tcp.h>

#include <asio/post.hpp>

#include "socketstate.h"

namespace plantainswitch::gateway {

namespace {

/// Bytes read per system call. All connections of an event loop are read on its one thread and
/// share this buffer.
constexpr std::size_t readSize = 64 << 10;

std::array<char, readSize> &readBuffer()
{
    thread_local std::array<char, readSize> buffer;
    return buffer;
}

/// Interval at which it is checked whether the peer has received what was written.
constexpr std::chrono::milliseconds deliveryCheckInterval{5};

using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
using KeepIdle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using KeepInterval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using KeepCount = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;

} // namespace

void prepareSocket(asio::ip::tcp::socket &socket)
{
    // Setting an option fails on a connection that was just reset. The error can be ignored: the
    // first read reports the reset.
    asio::error_code ignored;
    socket.non_blocking(true, ignored);
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(UserTimeout(static_cast<int>(unacknowledgedTimeout.count())), ignored);
    socket.set_option(KeepIdle(keepAliveSeconds), ignored);
    socket.set_option(KeepInterval(keepAliveSeconds), ignored);
    socket.set_option(KeepCount(keepAliveProbes), ignored);
}

ByteStream::ByteStream(asio::ip::tcp::socket socket, WorkQueue *work)
    : socket(std::move(socket))
    , deliveryTimer(this->socket.get_executor())
    , work(work)
{}

void ByteStream::start(Handlers newHandlers)
{
    this->handlers = std::move(newHandlers);
    this->waitToRead();
}

void ByteStream::waitToRead()
{
    if (this->waitingToRead || !this->reading || !this->socket.is_open()) {
        return;
    }
    this->waitingToRead = true;
    this->socket.async_wait(asio::socket_base::wait_read,
                            [self = this->shared_from_this()](const asio::error_code &error) {
                                if (error) {
                                    self->waitingToRead = false;
                                    if (error != asio::error::operation_aborted) {
                                        self->notifyClosed(false);
                                    }
                                    return;
                                }
                                if (self->work == nullptr) {
                                    self->readNow();
                                } else {
                                    self->work->push([self] { self->readNow(); });
                                }
                            });
}

void ByteStream::readNow()
{
    this->waitingToRead = false;
    if (!this->reading || !this->socket.is_open()) {
        return;
    }
    asio::error_code error;
    const std::size_t size = this->socket.read_some(asio::buffer(readBuffer()), error);
    if (error == asio::error::would_block || error == asio::error::try_again) {
        this->waitToRead();
        return;
    }
    if (error == asio::error::eof) {
        this->onEndOfInput();
        return;
    }
    if (error) {
        this->notifyClosed(false);
        return;
    }
    this->deliver(size);
    this->waitToRead();
}

void ByteStream::deliver(std::size_t size)
{
    if (this->handlers.onBytes) {
        // Copied because the handler may replace the handlers of this stream.
        const auto onBytes = this->handlers.onBytes;
        onBytes(std::string_view(readBuffer().data(), size));
    }
}

void ByteStream::onEndOfInput()
{
    if (!this->handlers.awaitsDelivery || !this->handlers.awaitsDelivery()) {
        this->notifyClosed(true);
        return;
    }
    this->reading = false;
    this->awaitingDelivery = true;
    this->awaitDelivery();
}

void ByteStream::awaitDelivery()
{
    const int handle = this->socket.native_handle();
    if (net::isReset(handle)) {
        this->notifyClosed(false);
        return;
    }
    if (this->queuedBytes() == 0 && net::isAcknowledged(handle)) {
        this->checksAfterDelivery += 1;
    }
    if (this->checksAfterDelivery > net::resetGrace / deliveryCheckInterval) {
        this->notifyClosed(true);
        return;
    }
    this->deliveryTimer.expires_after(deliveryCheckInterval);
    this->deliveryTimer.async_wait(
        [self = this->shared_from_this()](const asio::error_code &error) {
            if (!error && self->socket.is_open()) {
                self->awaitDelivery();
            }
        });
}

void ByteStream::readRemaining()
{
    asio::error_code error;
    while (!error && this->reading && this->socket.is_open()) {
        const std::size_t size = this->socket.read_some(asio::buffer(readBuffer()), error);
        if (!error) {
            this->deliver(size);
        }
    }
}

Duration ByteStream::readDelay() const noexcept
{
    return this->work == nullptr ? Duration{0} : this->work->currentWait();
}

bool ByteStream::isClosedByPeer()
{
    if (!this->socket.is_open()) {
        return true;
    }
    char next = 0;
    asio::error_code error;
    this->socket.receive(asio::buffer(&next, 1), asio::socket_base::message_peek, error);
    return error && error != asio::error::would_block && error != asio::error::try_again;
}

void ByteStream::resumeReading()
{
    this->reading = !this->awaitingDelivery;
    this->waitToRead();
}

void ByteStream::write(std::string_view bytes)
{
    if (!this->socket.is_open()) {
        return;
    }
    this->queued.append(bytes);
    this->scheduleWrite();
}

void ByteStream::scheduleWrite()
{
    if (this->writeScheduled || this->waitingToWrite) {
        return;
    }
    this->writeScheduled = true;
    asio::post(this->socket.get_executor(), [self = this->shared_from_this()] {
        self->writeScheduled = false;
        self->writeNow();
    });
}

void ByteStream::writeNow()
{
    while (this->socket.is_open()) {
        if (this->written == this->writing.size()) {
            this->writing.clear();
            this->written = 0;
            std::swap(this->writing, this->queued);
        }
        if (this->writing.empty()) {
            break;
        }
        asio::error_code error;
        this->written += this->socket.write_some(asio::buffer(this->writing.data() + this->written,
                                                              this->writing.size() - this->written),
                                                 error);
        if (error == asio::error::would_block || error == asio::error::try_again) {
            this->waitToWrite();
            return;
        }
        if (error) {
            // The peer may have sent a whole response before it reset the connection. An end of
            // input behind it is none: writing has consumed the error.
            this->readRemaining();
            this->notifyClosed(false);
            return;
        }
    }
    if (this->handlers.onWritten) {
        const auto onWritten = this->handlers.onWritten;
        onWritten();
    }
}

void ByteStream::waitToWrite()
{
    this->waitingToWrite = true;
    this->socket.async_wait(asio::socket_base::wait_write,
                            [self = this->shared_from_this()](const asio::error_code &error) {
                                self->waitingToWrite = false;
                                if (!error) {
                                    self->writeNow();
                                } else if (error != asio::error::operation_aborted) {
                                    self->notifyClosed(false);
                                }
                            });
}

void ByteStream::defer(std::function<void()> work)
{
    asio::post(this->socket.get_executor(), std::move(work));
}

void ByteStream::close()
{
    this->handlers = {};
    this->deliveryTimer.cancel();
    // An error on close adds nothing: the connection is gone either way.
    asio::error_code ignored;
    this->socket.close(ignored);
    this->queued.clear();
    this->writing.clear();
    this->written = 0;
}

void ByteStream::reset()
{
    asio::error_code ignored;
    this->socket.set_option(asio::socket_base::linger(true, 0), ignored);
    this->close();
}

void ByteStream::notifyClosed(bool orderly)
{
    const auto onClosed = std::move(this->handlers.onClosed);
    this->close();
    if (onClosed) {
        onClosed(orderly);
    }
}

} // namespace plantainswitch::gateway
