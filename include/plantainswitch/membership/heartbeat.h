#pragma once

#include <cstdint>
#include <limits>
#include <string>

#include "plantainswitch/membership/vm.h"

namespace plantainswitch {

/// Age of a catalogue that no platform ever confirmed.
inline constexpr std::uint32_t neverConfirmed = std::numeric_limits<std::uint32_t>::max();

/// What a router tells its peers of itself.
struct Heartbeat
{
    std::string id;
    std::string dataCentre;
    /// UDP address of the peer link.
    Endpoint datagramEndpoint;
    /// gRPC address of the peer link.
    Endpoint rpcEndpoint;
    /// Start time of the process; a restarted router is another member under the same id.
    std::uint64_t incarnation = 0;
    /// Version up to which the router knows the whole catalogue.
    std::uint64_t catalogueVersion = 0;
    bool leaving = false;
    /// Rises when the router contradicts a suspicion or changes what it says of itself.
    std::uint32_t refutation = 0;
    /// Milliseconds since the platform confirmed the catalogue, maybe through other routers.
    std::uint32_t catalogueAgeMilliseconds = neverConfirmed;
    /// Stamp of the router's list of VMs.
    std::uint64_t vmListVersion = 0;
    /// Digest of that list.
    std::uint32_t vmListDigest = 0;
};

} // namespace plantainswitch
