#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include "plantainswitch/base/workqueue.h"

namespace plantainswitch::gateway {

/// How long sent bytes may stay unacknowledged before the connection counts as dead
/// (TCP_USER_TIMEOUT). A VM without power or behind a network partition does not answer at all, and
/// without a bound its connections would hang for minutes. Three times a retransmission across a
/// region.
inline constexpr std::chrono::milliseconds unacknowledgedTimeout{3000};
/// Idle seconds before the first TCP keep-alive probe, and between probes. With two unanswered
/// probes a dead connection is detected within about three seconds.
inline constexpr int keepAliveSeconds = 1;
inline constexpr int keepAliveProbes = 2;

/// A connected TCP socket with a write queue. All calls must be made on the event loop's thread.
class ByteStream : public std::enable_shared_from_this<ByteStream>
{
public:
    /// Callbacks to the owner. onClosed is called at most once, and never after close() or reset().
    struct Handlers
    {
        std::function<void(std::string_view)> onBytes;
        /// \a orderly is true if the peer closed the connection without a reset.
        std::function<void(bool orderly)> onClosed;
        /// Called when the write queue is empty.
        std::function<void()> onWritten;
        /// Called when the peer has ended its side of the connection. If it returns true, onClosed
        /// waits until the peer has received everything that was written, and net::resetGrace
        /// longer, and reports a reset if it resets the connection instead. May be empty.
        std::function<bool()> awaitsDelivery = {};
    };

    /// \param work where reading waits for its turn; nullptr to read as soon as bytes have arrived,
    /// which is for what other routers or the store send
    explicit ByteStream(asio::ip::tcp::socket socket, WorkQueue *work = nullptr);

    /// Sets the handlers and starts to read.
    void start(Handlers handlers);
    /// Replaces the handlers.
    void setHandlers(Handlers handlers) { this->handlers = std::move(handlers); }
    /// Queues bytes. Writes of one turn of the event loop are sent together. Ignored once the
    /// stream is closed.
    void write(std::string_view bytes);
    /// Closes the connection with a FIN and discards queued bytes. No handler is called afterwards.
    void close();
    /// Closes the connection with a TCP reset, so that the peer does not take a truncated response
    /// for a complete one.
    void reset();
    /// Runs \a work in a later turn of the event loop.
    void defer(std::function<void()> work);
    /// Stops reading, so that TCP flow control slows down the peer.
    void pauseReading() { this->reading = false; }
    void resumeReading();

    [[nodiscard]] bool isOpen() const { return this->socket.is_open(); }
    /// \returns how long the bytes that are being handled have waited since they were noticed.
    [[nodiscard]] Duration readDelay() const noexcept;
    /// \returns whether the peer has closed the connection and everything it sent was read.
    [[nodiscard]] bool isClosedByPeer();
    /// \returns the number of queued bytes that were not written yet.
    [[nodiscard]] std::size_t queuedBytes() const noexcept
    {
        return this->queued.size() + this->writing.size() - this->written;
    }

private:
    void waitToRead();
    void readNow();
    void scheduleWrite();
    void writeNow();
    void waitToWrite();
    void onEndOfInput();
    void awaitDelivery();
    /// Reads what has arrived before the connection broke.
    void readRemaining();
    void deliver(std::size_t size);
    void notifyClosed(bool orderly);

    asio::ip::tcp::socket socket;
    asio::steady_timer deliveryTimer;
    WorkQueue *work;
    Handlers handlers;
    std::string queued;
    std::string writing;
    std::size_t written = 0;
    bool reading = true;
    bool awaitingDelivery = false;
    /// Checks since the peer has received everything.
    int checksAfterDelivery = 0;
    bool waitingToRead = false;
    bool writeScheduled = false;
    bool waitingToWrite = false;
};

/// Sets the options of every connection of the gateway: non-blocking, TCP_NODELAY, keep-alive and
/// the timeout for unacknowledged bytes. Errors are ignored.
void prepareSocket(asio::ip::tcp::socket &socket);

} // namespace plantainswitch::gateway
