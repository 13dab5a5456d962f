#include "plantainswitch/membership/watchers.h"

#include <algorithm>

#include "plantainswitch/base/hash.h"
#include "plantainswitch/placement/rendezvous.h"

namespace plantainswitch {

namespace {

/// Makes the choice of watchers independent of the choice of coordinators.
constexpr std::uint64_t watchSeed = 0x7761746368657273;

} // namespace

std::vector<Heartbeat> watchersOf(std::string_view dataCentre, const std::vector<Heartbeat> &active,
                                  std::size_t count)
{
    std::vector<const Heartbeat *> local;
    std::vector<Candidate> candidates;
    for (const Heartbeat &member : active) {
        if (member.dataCentre == dataCentre && !member.leaving) {
            local.push_back(&member);
            candidates.push_back({hashOf(member.id), 1.0});
        }
    }
    std::vector<Heartbeat> result;
    for (const std::size_t index : rendezvousOrder(hashOf(dataCentre, watchSeed), candidates)) {
        if (result.size() == count) {
            break;
        }
        result.push_back(*local[index]);
    }
    return result;
}

bool isWatcher(std::string_view id, std::string_view dataCentre,
               const std::vector<Heartbeat> &active)
{
    return watchRank(id, dataCentre, active).has_value();
}

std::optional<std::size_t> watchRank(std::string_view id, std::string_view dataCentre,
                                     const std::vector<Heartbeat> &active, std::size_t count)
{
    const std::vector<Heartbeat> watchers = watchersOf(dataCentre, active, count);
    const bool isAlone = std::none_of(watchers.begin(), watchers.end(),
                                      [id](const Heartbeat &each) { return each.id != id; });
    if (isAlone) {
        return 0;
    }
    const auto found = std::find_if(watchers.begin(), watchers.end(),
                                    [id](const Heartbeat &each) { return each.id == id; });
    if (found == watchers.end()) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(found - watchers.begin());
}

bool shouldWatch(const WatchConditions &conditions) noexcept
{
    if (conditions.isChosenWatcher) {
        return true;
    }
    const bool backsOff = conditions.isPlatformBusy && !conditions.knowsUpstreams
                          && conditions.knowsOthers && conditions.sinceStart < startupBackoff;
    return conditions.sinceServedRouter >= watchTakeoverDelay && !backsOff;
}

} // namespace plantainswitch
