#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace plantainswitch {

/// Role of a VM in the platform's list.
enum class VmRole : std::uint8_t { Router, Engine, Plain };
[[nodiscard]] std::string_view nameOf(VmRole role) noexcept;
[[nodiscard]] std::optional<VmRole> vmRoleOf(std::string_view name) noexcept;

/// An IP address and a port.
struct Endpoint
{
    std::string host;
    std::uint16_t port = 0;
    auto operator<=>(const Endpoint &) const = default;
};

/// \returns "host:port".
[[nodiscard]] std::string toText(const Endpoint &endpoint);
/// \returns the endpoint given as "host:port", or nothing unless host is an IP address and the port
/// is not 0.
[[nodiscard]] std::optional<Endpoint> endpointOf(std::string_view text);

/// One entry of the platform's VM list, which lags behind reality.
struct Vm
{
    std::string id;
    VmRole role = VmRole::Engine;
    /// Service of the upstream; empty for routers.
    std::string service;
    std::string dataCentre;
    /// The peer protocol's address of a router, the HTTP address of an upstream.
    Endpoint endpoint;
    bool leaving = false;
    /// Start stamp if the platform gives one, else 0. A higher stamp is a new incarnation of the
    /// VM.
    std::uint64_t startStamp = 0;
    auto operator<=>(const Vm &) const = default;
};

} // namespace plantainswitch
