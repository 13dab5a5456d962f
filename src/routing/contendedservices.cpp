#include "plantainswitch/routing/contendedservices.h"

#include <algorithm>
#include <limits>

#include "plantainswitch/routing/brittleservices.h"
#include "plantainswitch/routing/coldstart.h"

namespace plantainswitch {

bool showsContention(const UpstreamLoadSign &sign) noexcept
{
    if (sign.isRejection) {
        const bool isFull =
            !sign.isLoadStated || sign.slots == 0 || sign.running + sign.waiting >= sign.slots;
        return isFull && !sign.rejectsForOtherReasons;
    }
    return sign.isLoadStated && sign.slots > 0 && sign.waiting >= sign.slots;
}

bool isSmallService(std::span<const std::uint32_t> slots, std::uint32_t routers) noexcept
{
    std::uint64_t sum = 0;
    for (const std::uint32_t count : slots) {
        if (count == 0) {
            return false;
        }
        sum += count;
    }
    return !slots.empty() && sum < routers;
}

bool ContendedServices::recordSign(const ContentionNotice &notice, Duration retention,
                                   TimePoint now)
{
    TimePoint &last = this->ownSigns[notice.service];
    last = std::max(last, notice.observedAt);
    return this->applyNotice(notice, retention, now);
}

bool ContendedServices::applyNotice(const ContentionNotice &notice, Duration retention,
                                    TimePoint now)
{
    if (now - notice.observedAt >= retention) {
        return false;
    }
    const bool wasContended = this->isContended(notice.service, retention, now);
    TimePoint &last = this->lastSigns[notice.service];
    last = std::max(last, notice.observedAt);
    return !wasContended && this->isContended(notice.service, retention, now);
}

bool ContendedServices::isContended(std::uint64_t service, Duration retention, TimePoint now) const
{
    const auto found = this->lastSigns.find(service);
    return found != this->lastSigns.end() && now - found->second < retention;
}

std::vector<std::uint64_t> ContendedServices::removeEnded(Duration retention, TimePoint now)
{
    std::erase_if(this->ownSigns,
                  [&](const auto &entry) { return now - entry.second >= retention; });
    std::vector<std::uint64_t> ended;
    std::erase_if(this->lastSigns, [&](const auto &entry) {
        if (now - entry.second < retention) {
            return false;
        }
        ended.push_back(entry.first);
        return true;
    });
    return ended;
}

std::vector<ContentionNotice> ContendedServices::notices(Duration retention, TimePoint now) const
{
    std::vector<ContentionNotice> notices;
    for (const auto &[service, observedAt] : this->ownSigns) {
        if (now - observedAt < retention) {
            notices.push_back({service, observedAt});
        }
    }
    return notices;
}

std::uint32_t contendedUncoordinatedShare(std::uint64_t router, std::uint32_t routers,
                                          std::uint32_t slots, Duration holdTime,
                                          TimePoint now) noexcept
{
    constexpr double maxRunsPerWindow = 1000.0;
    const double held = std::chrono::duration<double>(holdTime).count();
    const double window = std::chrono::duration<double>(permitWindow).count();
    const double runsPerSlot =
        held > 0.0 ? std::clamp(window / held, 1.0, maxRunsPerWindow) : maxRunsPerWindow;
    const double runs = std::min<double>(slots * runsPerSlot, std::numeric_limits<int>::max());
    return brittleUncoordinatedShare(router, routers, static_cast<std::uint32_t>(runs), now);
}

} // namespace plantainswitch
