#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

#include "plantainswitch/base/clock.h"
#include "plantainswitch/routing/routercontacts.h"
#include "plantainswitch/routing/upstreamstate.h"

namespace plantainswitch {

/// Consecutive updates of another data centre's routers that must be missed before it counts as
/// unresponsive. The updates are independent of each other, so that this many are hardly ever lost
/// by chance.
inline constexpr int missedUpdatesForUnresponsive = 7;
inline constexpr Milliseconds minUnresponsiveTimeout{300};
inline constexpr Milliseconds maxUnresponsiveTimeout{1500};
/// Routers of this data centre that must have sent an update in the meantime: otherwise this router
/// itself was paused or has lost its link.
inline constexpr std::size_t minLocalUpdates = 2;

/// Observations on the path to another data centre.
struct DataCentreEvidence
{
    /// When data last arrived from there, as an update of one of its routers or a byte from one of
    /// its upstreams; the clock's epoch if never.
    TimePoint lastReceived;
    /// Expected time between two updates of any of its routers.
    Duration updateInterval{0};
    /// Routers of this data centre that have sent an update since lastReceived.
    std::size_t localUpdates = 0;
    /// A recent connection attempt to one of its upstreams has failed.
    bool hasConnectFailures = false;
};

/// \returns the observations on the path to a data centre.
/// \param contact state of the updates from its routers
/// \param upstreams its upstreams
/// \param connectedAt when a probe last connected to one of them
[[nodiscard]] DataCentreEvidence evidenceOf(const DataCentreContact &contact,
                                            std::span<UpstreamState *const> upstreams,
                                            TimePoint connectedAt, const RouterContacts &routers,
                                            TimePoint now);

/// Whether requests can be sent to another data centre.
enum class DataCentreReachability : std::uint8_t {
    Reachable,
    /// Nothing arrives from there, and no connection was attempted since.
    Unresponsive,
    /// Nothing arrives from there, and connection attempts fail.
    Unreachable,
};
[[nodiscard]] std::string_view nameOf(DataCentreReachability reachability) noexcept;

/// \returns the time without data after which a data centre counts as unresponsive.
/// \param updateInterval expected time between two updates of any of its routers
[[nodiscard]] Milliseconds unresponsiveTimeout(Duration updateInterval) noexcept;

/// \returns whether a data centre is reachable. This is decided for the data centre as a whole:
/// each router sends few requests to each upstream and would time out on one after the other.
[[nodiscard]] DataCentreReachability reachabilityOf(const DataCentreEvidence &evidence,
                                                    TimePoint now) noexcept;

} // namespace plantainswitch
