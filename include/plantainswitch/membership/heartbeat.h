#pragma once

#include <cstdint>
#include <limits>
#include <string>

#include "plantainswitch/membership/vm.h"

namespace plantainswitch {

/// Catalogue age of a router whose catalogue was never confirmed by the platform.
inline constexpr std::uint32_t neverConfirmed = std::numeric_limits<std::uint32_t>::max();

/// A router's description of itself, as gossiped to its peers.
struct Heartbeat
{
    std::string id;
    std::string dataCentre;
    /// UDP address of the peer protocol.
    Endpoint datagramEndpoint;
    /// gRPC address of the peer protocol.
    Endpoint rpcEndpoint;
    /// Start time of the process. A restarted router is a new member under the same id.
    std::uint64_t incarnation = 0;
    /// Version up to which the router's catalogue is complete.
    std::uint64_t catalogueVersion = 0;
    bool leaving = false;
    /// What SWIM calls the incarnation number: incremented when the router refutes a suspicion or
    /// changes what it states about itself.
    std::uint32_t refutation = 0;
    /// Milliseconds since the platform confirmed the catalogue, directly or through other routers.
    std::uint32_t catalogueAgeMilliseconds = neverConfirmed;
    /// Version of the router's VM list.
    std::uint64_t vmListVersion = 0;
    /// Digest of the router's VM list, see digestOf().
    std::uint32_t vmListDigest = 0;
};

} // namespace plantainswitch
