#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

#include "plantainswitch/base/clock.h"
#include "plantainswitch/routing/routercontacts.h"
#include "plantainswitch/routing/upstreamstate.h"

namespace plantainswitch {

/// Updates of another data centre's routers that must be missed before it counts as unresponsive.
/// They come at their own times, so that this many in a row are hardly ever lost by chance.
inline constexpr int missedUpdatesForUnresponsive = 7;
inline constexpr Milliseconds minUnresponsiveTimeout{300};
inline constexpr Milliseconds maxUnresponsiveTimeout{1500};
/// Routers of this data centre whose updates must have come meanwhile: without them it is this
/// router that stood still or lost its link.
inline constexpr std::size_t minLocalUpdates = 2;

/// What a router knows of its path to another data centre.
struct DataCentreEvidence
{
    /// When an update of one of its routers, or a byte of one of its upstreams, last came; the
    /// clock's beginning: never.
    TimePoint lastReceived;
    /// Expected time between two updates of its routers.
    Duration updateInterval{0};
    /// Routers of this data centre that have sent an update since lastReceived.
    std::size_t localUpdates = 0;
    /// No connection to one of its upstreams came about lately.
    bool hasConnectFailures = false;
};

/// \returns what is known of the path to a data centre.
/// \param contact what came from its routers
/// \param upstreams those of it
/// \param connectedAt when a probe last connected to one of them
[[nodiscard]] DataCentreEvidence evidenceOf(const DataCentreContact &contact,
                                            std::span<UpstreamState *const> upstreams,
                                            TimePoint connectedAt, const RouterContacts &routers,
                                            TimePoint now);

/// Whether work can be sent to another data centre.
enum class DataCentreReachability : std::uint8_t {
    Reachable,
    /// Nothing comes from there, and no connection has been tried since.
    Unresponsive,
    /// Nothing comes from there, and connections fail.
    Unreachable,
};
[[nodiscard]] std::string_view nameOf(DataCentreReachability reach) noexcept;

/// \returns how long nothing may come from a data centre whose routers send an update each
/// \a updateGap.
[[nodiscard]] Milliseconds unresponsiveTimeout(Duration updateGap) noexcept;

/// \returns whether a data centre can be reached. Found once for a whole data centre: each router
/// sends few requests to each upstream, and would time out at one after the other.
[[nodiscard]] DataCentreReachability reachabilityOf(const DataCentreEvidence &evidence,
                                                    TimePoint now) noexcept;

} // namespace plantainswitch
