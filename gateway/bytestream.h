#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <asio/ip/tcp.hpp>

namespace plantainswitch::gateway {

/// How long a peer may leave sent bytes unacknowledged before the connection counts as dead. A
/// machine without power or behind a partition answers nothing: without a bound its connections
/// hang for minutes. Three times a retransmission across a region.
inline constexpr std::chrono::milliseconds unacknowledgedTimeout{3000};
/// Silence after which a connection is asked whether it lives, and the pause between questions;
/// with two of them a silent connection is known within some three seconds.
inline constexpr int keepAliveSeconds = 1;
inline constexpr int keepAliveProbes = 2;

/// A connected socket with a queue of bytes to write. All calls on the loop's thread.
class ByteStream : public std::enable_shared_from_this<ByteStream>
{
public:
    /// What the owner hears. onClosed comes at most once, and never after close() or reset().
    struct Handlers
    {
        std::function<void(std::string_view)> onBytes;
        /// \a inOrder: the other side ended the connection without a reset.
        std::function<void(bool inOrder)> onClosed;
        /// The queue has been written out.
        std::function<void()> onWritten;
    };

    explicit ByteStream(asio::ip::tcp::socket socket);

    /// Begins to read.
    void start(Handlers events);
    /// Replaces who hears of it.
    void setHandlers(Handlers events) { this->handlers = std::move(events); }
    /// Queues bytes; they leave together at the end of the loop's turn.
    void write(std::string_view bytes);
    /// Closes once all queued bytes are written.
    void closeAfterWriting();
    /// Closes now, in order; queued bytes are lost.
    void close();
    /// Closes now so that the other side sees a reset: an answer that is cut must not look whole.
    void reset();
    /// Runs \a work in a later turn of the loop.
    void defer(std::function<void()> work);
    void pauseReading() { this->reading = false; }
    void resumeReading();

    [[nodiscard]] bool isOpen() const { return this->socket.is_open(); }
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
    void notifyClosed(bool inOrder);

    asio::ip::tcp::socket socket;
    Handlers handlers;
    std::string queued;
    std::string writing;
    std::size_t written = 0;
    bool reading = true;
    bool waitingToRead = false;
    bool writeScheduled = false;
    bool waitingToWrite = false;
    bool closing = false;
};

/// Sets what every connection of the gateway has: no delay, bounds on silence.
void prepareSocket(asio::ip::tcp::socket &socket);

} // namespace plantainswitch::gateway
