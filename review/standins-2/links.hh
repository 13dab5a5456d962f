#pragma once

// Links between the machines of a run, which can be cut: connections and datagrams pass proxies.

#include <map>

#include "net.hh"

namespace review {

/// Passes connections on to another address. While it is cut, nothing passes and nothing is
/// refused.
class Forwarder
{
public:
    Forwarder(Address local, Address target)
        : target(std::move(target))
        , server(std::move(local), [this](Connection &connection) { this->pass(connection); })
    {}

    bool start() { return this->server.start(); }
    void stop() { this->server.stop(); }
    void setCut(bool cut) { this->isCut = cut; }
    [[nodiscard]] const Address &address() const { return this->server.address(); }

private:
    void pass(Connection &from)
    {
        while (this->isCut && !this->server.isStopped()) {
            pauseFor(5);
        }
        const auto to = Connection::open(this->target);
        if (!to) {
            from.reset();
            return;
        }
        std::string bytes;
        bool isOpen = true;
        while (isOpen && !this->server.isStopped()) {
            pollfd waiting[2]{{from.handle(), POLLIN, 0}, {to->handle(), POLLIN, 0}};
            if (poll(waiting, 2, 20) <= 0) {
                continue;
            }
            while (this->isCut && !this->server.isStopped()) {
                pauseFor(5);
            }
            for (int i = 0; i < 2 && isOpen; ++i) {
                if (waiting[i].revents == 0) {
                    continue;
                }
                bytes.clear();
                const ReadEnd end = (i == 0 ? from : *to).read(bytes, 0);
                isOpen = end == ReadEnd::Data ? (i == 0 ? *to : from).send(bytes)
                                              : end == ReadEnd::TimedOut;
                if (end == ReadEnd::Reset) {
                    (i == 0 ? *to : from).reset();
                }
            }
        }
    }

    Address target;
    std::atomic<bool> isCut{false};
    Server server;
};

/// Passes datagrams and connections between routers. Each router is known to the others by a second
/// address, its alias, at which the mesh receives for it.
class Mesh
{
public:
    /// \param hosts the routers' own addresses
    /// \param aliases the addresses by which the others know them
    Mesh(std::vector<std::string> hosts, std::vector<std::string> aliases,
         std::uint16_t datagramPort, std::uint16_t callPort)
        : hosts(std::move(hosts))
        , aliases(std::move(aliases))
        , datagramPort(datagramPort)
        , isolated(this->hosts.size())
    {
        for (std::size_t i = 0; i < this->hosts.size(); ++i) {
            this->calls.push_back(std::make_unique<Forwarder>(Address{this->aliases[i], callPort},
                                                              Address{this->hosts[i], callPort}));
        }
    }
    ~Mesh() { this->stop(); }

    bool start()
    {
        for (std::size_t i = 0; i < this->hosts.size(); ++i) {
            const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
            const sockaddr_in local = socketAddress({this->aliases[i], this->datagramPort});
            if (bind(fd, reinterpret_cast<const sockaddr *>(&local), sizeof local) != 0
                || !this->calls[i]->start()) {
                return false;
            }
            this->sockets.push_back(fd);
        }
        this->isRunning = true;
        this->thread = std::thread([this] { this->run(); });
        return true;
    }

    void stop()
    {
        if (!this->isRunning.exchange(false)) {
            return;
        }
        this->thread.join();
        for (const int fd : this->sockets) {
            close(fd);
        }
        for (const auto &forwarder : this->calls) {
            forwarder->stop();
        }
    }

    /// Cuts the links between one router and all others, or restores them.
    void isolate(std::size_t router, bool isCut)
    {
        this->isolated[router] = isCut;
        this->calls[router]->setCut(isCut);
    }

private:
    void run()
    {
        std::vector<pollfd> waiting;
        for (const int fd : this->sockets) {
            waiting.push_back({fd, POLLIN, 0});
        }
        while (this->isRunning) {
            poll(waiting.data(), waiting.size(), 20);
            for (std::size_t i = 0; i < waiting.size(); ++i) {
                if ((waiting[i].revents & POLLIN) != 0) {
                    this->pass(i);
                }
            }
        }
    }

    void pass(std::size_t receiver)
    {
        char bytes[65536];
        sockaddr_in from{};
        socklen_t size = sizeof from;
        const ssize_t length = recvfrom(this->sockets[receiver], bytes, sizeof bytes, MSG_DONTWAIT,
                                        reinterpret_cast<sockaddr *>(&from), &size);
        if (length < 0) {
            return;
        }
        char text[INET_ADDRSTRLEN] = {};
        inet_ntop(AF_INET, &from.sin_addr, text, sizeof text);
        const auto sender = std::find(this->hosts.begin(), this->hosts.end(), text);
        const auto number = static_cast<std::size_t>(sender - this->hosts.begin());
        if (sender == this->hosts.end() || number == receiver || this->isolated[number]
            || this->isolated[receiver]) {
            return;
        }
        const sockaddr_in to = socketAddress({this->hosts[receiver], this->datagramPort});
        sendto(this->sockets[number], bytes, static_cast<std::size_t>(length), 0,
               reinterpret_cast<const sockaddr *>(&to), sizeof to);
    }

    std::vector<std::string> hosts;
    std::vector<std::string> aliases;
    std::uint16_t datagramPort;
    std::vector<std::atomic<bool>> isolated;
    std::vector<std::unique_ptr<Forwarder>> calls;
    std::vector<int> sockets;
    std::atomic<bool> isRunning{false};
    std::thread thread;
};

} // namespace review
