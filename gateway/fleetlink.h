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
    FleetLink(GatewayState &gateway, std::uint64_t incarnation);

    void start();
    void stop();
    /// Adds a router's address, learnt from the store or the settings.
    void addRouter(const Endpoint &datagrams);
    /// \returns the address for calls of a router that the store still answers and that knows more
    /// than this one.
    [[nodiscard]] std::optional<Endpoint> betterInformed() const;

private:
    struct Contact
    {
        Endpoint address;
        TimePoint heard;
        TimePoint told;
        bool everHeard = false;
        std::uint64_t configVersion = 0;
        std::uint64_t storeRevision = 0;
        bool storeConnected = false;
    };

    void receive();
    void onDatagram(std::size_t size);
    void tick();
    void tellAll();
    [[nodiscard]] RouterNews news();
    [[nodiscard]] std::string encode(const RouterNews &news) const;

    GatewayState &gateway;
    std::uint64_t incarnation;
    std::uint64_t sequence = 0;
    asio::ip::udp::socket socket;
    asio::steady_timer timer;
    std::array<char, 65536> buffer{};
    asio::ip::udp::endpoint sender;
    std::map<Endpoint, Contact> contacts;
    bool stopped = false;
};

} // namespace plantainswitch::gateway
