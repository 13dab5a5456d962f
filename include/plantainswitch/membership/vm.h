#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace plantainswitch {

/// What a VM of the platform's list does.
enum class VmRole : std::uint8_t { Router, Engine, Plain };
[[nodiscard]] std::string_view nameOf(VmRole role) noexcept;
[[nodiscard]] std::optional<VmRole> vmRoleOf(std::string_view name) noexcept;

/// An IP number and a port.
struct Endpoint
{
    std::string host;
    std::uint16_t port = 0;
    auto operator<=>(const Endpoint &) const = default;
};

/// \returns "host:port".
[[nodiscard]] std::string toText(const Endpoint &endpoint);
/// \returns the endpoint that "host:port" names, or nothing unless host is an IP number.
[[nodiscard]] std::optional<Endpoint> endpointOf(std::string_view text);

/// One line of the platform's lagging list of VMs.
struct Vm
{
    std::string id;
    VmRole role = VmRole::Engine;
    /// Service whose upstream it is; empty for routers.
    std::string service;
    std::string dataCentre;
    /// For routers the peer link, for upstreams their HTTP address.
    Endpoint endpoint;
    bool leaving = false;
    /// Start stamp where the platform gives one; 0: none. A higher one is a new life of the VM.
    std::uint64_t startStamp = 0;
    auto operator<=>(const Vm &) const = default;
};

} // namespace plantainswitch
