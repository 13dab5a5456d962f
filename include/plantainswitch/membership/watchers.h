#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "plantainswitch/membership/heartbeat.h"

namespace plantainswitch {

/// Routers of a place that hold a watch on the platform for all others of it. One would do;
/// three keep the news coming while a dead one is not yet found out, and while routers
/// disagree about who is alive one too many costs a few calls and nothing else.
inline constexpr std::size_t watchersInPlace = 3;

/// \returns the watchers of \a place among \a active members, the first choice first.
[[nodiscard]] std::vector<Heartbeat> watchersOf(std::string_view place,
                                                const std::vector<Heartbeat> &active,
                                                std::size_t count = watchersInPlace);

/// \returns whether the router \a id of \a place watches the platform itself. One that knows no
/// other router of its place always does.
[[nodiscard]] bool isWatcher(std::string_view id, std::string_view place,
                             const std::vector<Heartbeat> &active);

} // namespace plantainswitch
