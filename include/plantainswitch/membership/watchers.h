#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "plantainswitch/base/clock.h"
#include "plantainswitch/membership/heartbeat.h"

namespace plantainswitch {

/// Routers of a place that hold a watch on the platform for all others of it. One would do;
/// three keep the news coming while a dead one is not yet found out, and while routers
/// disagree about who is alive one too many costs a few calls and nothing else.
inline constexpr std::size_t platformWatchersPerDataCentre = 3;

/// \returns the watchers of \a place among \a active members, the first choice first.
[[nodiscard]] std::vector<Heartbeat> watchersOf(std::string_view place,
                                                const std::vector<Heartbeat> &active,
                                                std::size_t count = platformWatchersPerDataCentre);

/// \returns whether the router \a id of \a place watches the platform itself. One that knows no
/// other router of its place always does.
[[nodiscard]] bool isWatcher(std::string_view id, std::string_view place,
                             const std::vector<Heartbeat> &active);

/// \returns the position of the router \a id among the first \a count watchers of \a place, 0 for
/// the first one; nothing if it is none of them. One that knows no other router of its place is the
/// first.
[[nodiscard]] std::optional<std::size_t>
watchRank(std::string_view id, std::string_view place, const std::vector<Heartbeat> &active,
          std::size_t count = platformWatchersPerDataCentre);

/// How long no router that the platform answers may have been heard before one that isn't chosen
/// watches too. With it an edit is in force within the promised two seconds also when all watchers
/// die at once.
inline constexpr Milliseconds watchTakeoverDelay{1200};
/// How long a router that has just started leaves a busy platform to those chosen to watch. Enough
/// for hundreds of pages, and well below the time in which a fleet that lost power must serve
/// again.
inline constexpr Milliseconds startupBackoff{6000};

/// What decides whether a router watches the platform now.
struct WatchConditions
{
    bool isChosenWatcher = false;
    /// Since a router that the platform answers was heard, or since the start.
    Duration sinceServedRouter{0};
    Duration sinceStart{0};
    bool knowsOthers = false;
    bool knowsUpstreams = false;
    /// The platform's last answer was that too many calls are made.
    bool isPlatformBusy = false;
};

/// \returns whether the router watches. A large fleet that starts at once asks for more than the
/// platform allows: were all to ask on, nobody would come to the end of a list.
[[nodiscard]] bool shouldWatch(const WatchConditions &situation) noexcept;

} // namespace plantainswitch
