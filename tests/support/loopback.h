#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include <unistd.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <fmt/format.h>

namespace plantainswitch {

/// \returns the loopback address of host \a number, counted from 1, in a subnet that only this
/// process uses. A port that is free there is not taken by processes that run in parallel.
inline std::string ownAddress(std::size_t number)
{
    constexpr std::uint32_t subnetsPerOctet = 250;
    const auto process = static_cast<std::uint32_t>(getpid());
    return fmt::format("127.{}.{}.{}", 1 + process / subnetsPerOctet % subnetsPerOctet,
                       1 + process % subnetsPerOctet, number);
}

/// \returns a port that is free at the first \a hosts addresses of this process.
inline std::uint16_t freePort(std::size_t hosts)
{
    using asio::ip::tcp;
    asio::io_context context;
    const tcp::acceptor first(context, {asio::ip::make_address(ownAddress(1)), 0});
    const std::uint16_t port = first.local_endpoint().port();
    for (std::size_t host = 2; host <= hosts; ++host) {
        const tcp::acceptor other(context, {asio::ip::make_address(ownAddress(host)), port});
    }
    return port;
}

} // namespace plantainswitch
