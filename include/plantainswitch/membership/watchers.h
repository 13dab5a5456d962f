#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "plantainswitch/base/clock.h"
#include "plantainswitch/membership/heartbeat.h"

namespace plantainswitch {

/// Number of routers in a data centre that watch the platform on behalf of all others there. One
/// would be enough; with three, updates continue until a dead watcher is detected. While routers
/// disagree about the live members, a surplus watcher costs only a few calls.
inline constexpr std::size_t platformWatchersPerDataCentre = 3;

/// \returns the watchers of a data centre among the \a active members, in order of preference.
[[nodiscard]] std::vector<Heartbeat> watchersOf(std::string_view dataCentre,
                                                const std::vector<Heartbeat> &active,
                                                std::size_t count = platformWatchersPerDataCentre);

/// \returns whether the router \a id watches the platform itself. A router that knows no other
/// router of its data centre always does.
[[nodiscard]] bool isWatcher(std::string_view id, std::string_view dataCentre,
                             const std::vector<Heartbeat> &active);

/// \returns the rank of the router \a id among the first \a count watchers of its data centre,
/// starting at 0, or nothing if it is none of them. A router that knows no other router of its data
/// centre has rank 0.
[[nodiscard]] std::optional<std::size_t>
watchRank(std::string_view id, std::string_view dataCentre, const std::vector<Heartbeat> &active,
          std::size_t count = platformWatchersPerDataCentre);

/// Time without news from any router that the platform serves, after which a router that isn't a
/// watcher watches too. It keeps the promise that an edit is in force within two seconds even if
/// all watchers die at once.
inline constexpr Milliseconds watchTakeoverDelay{1200};
/// Time for which a starting router leaves a busy platform to the chosen watchers. Enough for
/// hundreds of pages, and well below the time within which a fleet must serve again after a power
/// loss.
inline constexpr Milliseconds startupBackoff{6000};

/// Input of the decision whether a router watches the platform.
struct WatchConditions
{
    bool isChosenWatcher = false;
    /// Time since news from a router that the platform serves, or since the start.
    Duration sinceServedRouter{0};
    Duration sinceStart{0};
    bool knowsOthers = false;
    bool knowsUpstreams = false;
    /// The platform's last response was that it gets too many calls.
    bool isPlatformBusy = false;
};

/// \returns whether the router watches the platform. When a large fleet starts at once, its calls
/// exceed the platform's rate limit; if all routers kept calling, none would finish reading a list.
[[nodiscard]] bool shouldWatch(const WatchConditions &conditions) noexcept;

} // namespace plantainswitch
