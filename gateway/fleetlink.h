#pragma once

#include <array>
#include <functional>
#include <map>

#include <asio/ip/udp.hpp>
#include <asio/steady_timer.hpp>

#include "gatewaystate.h"

namespace plantainswitch::gateway {

/// Tells the other routers what this one has at the upstreams, and hears the same of them.
class FleetLink
{
public:
    /// \param onNews runs after each news taken
    FleetLink(GatewayState &gateway, std::uint64_t incarnation, std::function<void()> onNews);

    void start();
    void stop();
    /// Adds a router's address, learnt from the store or the settings.
    void addRouter(const Endpoint &datagrams);
    /// \returns whether a router that the store answers was heard lately.
    [[nodiscard]] bool hearsWatcher() const;
    /// \returns whether this router is one of those that watch the store for its data centre.
    [[nodiscard]] bool isChosenToWatch() const;
    /// Tells the others soon, because something changed that they wait for.
    void tellSoon();
    /// \returns the address for calls of a router that the store still answers and that knows more
    /// than this one.
    [[nodiscard]] std::optional<Endpoint> betterInformed() const;

private:
    struct Contact
    {
        std::string id;
        std::string place;
        Endpoint address;
        TimePoint heard;
        TimePoint told;
        bool everHeard = false;
        std::uint64_t configVersion = 0;
        std::uint64_t storeRevision = 0;
        bool storeConnected = false;
        bool stopping = false;
    };

    void receive();
    void onDatagram(std::size_t size);
    [[nodiscard]] bool isHeard(const Contact &contact) const;
    [[nodiscard]] Milliseconds pause() const;
    void tick();
    void tellAll();
    [[nodiscard]] RouterNews news();
    [[nodiscard]] std::vector<Endpoint> someOthers(std::uint64_t turn) const;
    [[nodiscard]] std::string encode(const RouterNews &news) const;

    GatewayState &gateway;
    std::uint64_t incarnation;
    std::function<void()> onNews;
    std::uint64_t sequence = 0;
    asio::ip::udp::socket socket;
    asio::steady_timer timer;
    std::array<char, 65536> buffer{};
    asio::ip::udp::endpoint sender;
    std::map<Endpoint, Contact> contacts;
    TimePoint lastJoin;
    bool stopped = false;
};

} // namespace plantainswitch::gateway
