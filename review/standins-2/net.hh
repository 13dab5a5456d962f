#pragma once

// Blocking sockets and HTTP/1.1 messages for the stand-ins of this review.

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstring>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

inline std::int64_t millisecondsBetween(Clock::time_point from, Clock::time_point to)
{
    return std::chrono::duration_cast<Milliseconds>(to - from).count();
}

inline void pauseFor(std::int64_t milliseconds)
{
    std::this_thread::sleep_for(Milliseconds{milliseconds});
}

inline std::string lowered(std::string_view text)
{
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return result;
}

struct Address
{
    std::string host;
    std::uint16_t port = 0;

    [[nodiscard]] std::string text() const { return this->host + ":" + std::to_string(this->port); }
};

inline sockaddr_in socketAddress(const Address &address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    inet_pton(AF_INET, address.host.c_str(), &result.sin_addr);
    return result;
}

/// A listening socket; a port of 0 is replaced by a free one. \returns -1 if the address is taken.
inline int listenAt(Address &address)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in local = socketAddress(address);
    if (bind(fd, reinterpret_cast<sockaddr *>(&local), sizeof local) != 0 || listen(fd, 512) != 0) {
        close(fd);
        return -1;
    }
    socklen_t size = sizeof local;
    getsockname(fd, reinterpret_cast<sockaddr *>(&local), &size);
    address.port = ntohs(local.sin_port);
    return fd;
}

/// How reading from a connection ended.
enum class ReadEnd { Data, Closed, Reset, TimedOut };

/// One connection. Closed when it is destroyed.
class Connection
{
public:
    explicit Connection(int fd)
        : fd(fd)
    {
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~Connection() { this->close(); }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    /// \param receiveBuffer size of the receive buffer; 0 for the system's
    static std::unique_ptr<Connection> open(const Address &to, int receiveBuffer = 0)
    {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (receiveBuffer > 0) {
            setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
        }
        const sockaddr_in target = socketAddress(to);
        if (connect(fd, reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0) {
            ::close(fd);
            return nullptr;
        }
        return std::make_unique<Connection>(fd);
    }

    [[nodiscard]] bool send(std::string_view bytes) const
    {
        while (!bytes.empty()) {
            const ssize_t sent = ::send(this->fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sent <= 0) {
                return false;
            }
            bytes.remove_prefix(static_cast<std::size_t>(sent));
        }
        return true;
    }

    /// Appends what arrives within \a timeout to \a buffer.
    ReadEnd read(std::string &buffer, std::int64_t timeout) const
    {
        pollfd waiting{this->fd, POLLIN, 0};
        if (poll(&waiting, 1, static_cast<int>(std::max<std::int64_t>(timeout, 0))) <= 0) {
            return ReadEnd::TimedOut;
        }
        char bytes[65536];
        const ssize_t size = recv(this->fd, bytes, sizeof bytes, 0);
        if (size > 0) {
            buffer.append(bytes, static_cast<std::size_t>(size));
            return ReadEnd::Data;
        }
        return size == 0 ? ReadEnd::Closed : ReadEnd::Reset;
    }

    /// \returns whether the peer has closed or reset the connection.
    [[nodiscard]] bool isClosedByPeer() const
    {
        char next = 0;
        const ssize_t size = recv(this->fd, &next, 1, MSG_PEEK | MSG_DONTWAIT);
        return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    /// Ends the connection with a reset, as the system does for a process that is killed while
    /// bytes for it are unread.
    void reset()
    {
        const linger now{1, 0};
        setsockopt(this->fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        this->close();
    }

    void close()
    {
        const int closing = this->fd.exchange(-1);
        if (closing >= 0) {
            ::close(closing);
        }
    }

    [[nodiscard]] int handle() const { return this->fd; }

private:
    std::atomic<int> fd;
};

/// A request or a response.
struct Message
{
    std::string start;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    [[nodiscard]] std::string field(std::string_view name) const
    {
        const std::string wanted = lowered(name);
        for (const auto &[key, value] : this->fields) {
            if (lowered(key) == wanted) {
                return value;
            }
        }
        return {};
    }
    [[nodiscard]] std::string method() const
    {
        return this->start.substr(0, this->start.find(' '));
    }
    [[nodiscard]] std::string target() const
    {
        const std::size_t first = this->start.find(' ') + 1;
        return this->start.substr(first, this->start.find(' ', first) - first);
    }
    [[nodiscard]] int status() const
    {
        return this->start.size() > 12 ? std::atoi(this->start.c_str() + 9) : 0;
    }
};

/// Parses the head at the begin of \a bytes and removes it. \returns nothing if it is incomplete.
inline std::optional<Message> takeHead(std::string &bytes)
{
    const std::size_t end = bytes.find("\r\n\r\n");
    if (end == std::string::npos) {
        return std::nullopt;
    }
    Message message;
    std::size_t at = bytes.find("\r\n");
    message.start = bytes.substr(0, at);
    while (at < end) {
        const std::size_t next = bytes.find("\r\n", at + 2);
        const std::string line = bytes.substr(at + 2, next - at - 2);
        const std::size_t colon = line.find(':');
        std::size_t value = colon + 1;
        while (value < line.size() && line[value] == ' ') {
            ++value;
        }
        message.fields.push_back({line.substr(0, colon), line.substr(value)});
        at = next;
    }
    bytes.erase(0, end + 4);
    return message;
}

/// Decodes a chunked body as it arrives.
class ChunkDecoder
{
public:
    /// Takes what it can from \a bytes and appends the data to \a body. \returns whether the body
    /// is complete.
    bool decode(std::string &bytes, std::string &body)
    {
        for (;;) {
            if (this->left > 0) {
                const std::size_t size = std::min(this->left, bytes.size());
                body.append(bytes, 0, size);
                bytes.erase(0, size);
                this->left -= size;
                if (this->left > 0) {
                    return false;
                }
                this->isAfterData = true;
            }
            const std::size_t end = bytes.find("\r\n");
            if (end == std::string::npos) {
                return false;
            }
            if (this->isAfterData) {
                bytes.erase(0, 2);
                this->isAfterData = false;
                continue;
            }
            const std::string line = bytes.substr(0, end);
            if (this->isLast) {
                bytes.erase(0, end + 2);
                return true;
            }
            this->left = std::stoul(line, nullptr, 16);
            this->isLast = this->left == 0;
            bytes.erase(0, end + 2);
        }
    }

private:
    std::size_t left = 0;
    bool isAfterData = false;
    bool isLast = false;
};

/// Reads one whole message. \returns nothing if the connection ended or \a timeout passed before.
/// \param onHead called once the head has arrived; may be empty
inline std::optional<Message> readMessage(const Connection &connection, std::string &buffer,
                                          std::int64_t timeout, ReadEnd *end = nullptr,
                                          const std::function<void(const Message &)> &onHead = {})
{
    const auto until = Clock::now() + Milliseconds{timeout};
    const auto more = [&] {
        const ReadEnd outcome = connection.read(buffer, millisecondsBetween(Clock::now(), until));
        if (end != nullptr) {
            *end = outcome;
        }
        return outcome == ReadEnd::Data;
    };
    std::optional<Message> message;
    while (!(message = takeHead(buffer))) {
        if (!more()) {
            return std::nullopt;
        }
    }
    if (onHead) {
        onHead(*message);
    }
    if (lowered(message->field("Transfer-Encoding")) == "chunked") {
        ChunkDecoder decoder;
        while (!decoder.decode(buffer, message->body)) {
            if (!more()) {
                return std::nullopt;
            }
        }
        return message;
    }
    const std::string length = message->field("Content-Length");
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    while (buffer.size() < size) {
        if (!more()) {
            return std::nullopt;
        }
    }
    message->body = buffer.substr(0, size);
    buffer.erase(0, size);
    return message;
}

/// \returns a response with a length.
inline std::string response(int status, const std::string &fields, std::string_view body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields
           + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
}

/// Accepts connections and runs a handler for each in a thread of its own.
class Server
{
public:
    using Handler = std::function<void(Connection &)>;

    Server(Address address, Handler handler)
        : local(std::move(address))
        , handler(std::move(handler))
    {}
    ~Server() { this->stop(); }

    [[nodiscard]] bool start()
    {
        this->listening = listenAt(this->local);
        if (this->listening < 0) {
            return false;
        }
        this->isRunning = true;
        this->acceptor = std::thread([this] { this->accept(); });
        return true;
    }

    /// Closes the listening socket and resets all connections, like the end of the process.
    void stop()
    {
        if (!this->isRunning.exchange(false)) {
            return;
        }
        this->acceptor.join();
        close(this->listening);
        std::vector<std::thread> ending;
        {
            const std::lock_guard lock(this->mutex);
            for (Connection *connection : this->open) {
                const linger now{1, 0};
                setsockopt(connection->handle(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
                // Wakes the thread that reads; the reset is sent when it closes the socket.
                shutdown(connection->handle(), SHUT_RD);
            }
            ending.swap(this->threads);
        }
        for (std::thread &thread : ending) {
            thread.join();
        }
    }

    [[nodiscard]] const Address &address() const { return this->local; }
    [[nodiscard]] bool isStopped() const { return !this->isRunning; }

private:
    void accept()
    {
        while (this->isRunning) {
            pollfd waiting{this->listening, POLLIN, 0};
            if (poll(&waiting, 1, 20) <= 0) {
                continue;
            }
            const int fd = accept4(this->listening, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                continue;
            }
            const std::lock_guard lock(this->mutex);
            this->threads.emplace_back([this, fd] {
                Connection connection(fd);
                {
                    const std::lock_guard inner(this->mutex);
                    this->open.insert(&connection);
                }
                if (this->isRunning) {
                    this->handler(connection);
                }
                const std::lock_guard inner(this->mutex);
                this->open.erase(&connection);
                connection.close();
            });
        }
    }

    Address local;
    Handler handler;
    int listening = -1;
    std::atomic<bool> isRunning{false};
    std::thread acceptor;
    std::mutex mutex;
    std::set<Connection *> open;
    std::vector<std::thread> threads;
};

} // namespace review
