#include "plantainswitch/routing/brittleservices.h"

#include <algorithm>

#include "plantainswitch/base/hash.h"
#include "plantainswitch/routing/coldstart.h"

namespace plantainswitch {

bool BrittleServices::isBrittle(const Service &service, TimePoint now) noexcept
{
    return service.announcedAt != TimePoint{} && now - service.announcedAt < brittleRetention
           && service.notAnnouncedAt < service.announcedAt + brittleOverlap;
}

bool BrittleServices::recordResponse(std::uint64_t service,
                                     std::optional<std::uint32_t> maxRejections, TimePoint now)
{
    if (maxRejections) {
        return this->applyNotice({service, *maxRejections, now}, now);
    }
    Service &known = this->services[service];
    const bool wasBrittle = isBrittle(known, now);
    known.notAnnouncedAt = now;
    return isBrittle(known, now) != wasBrittle;
}

bool BrittleServices::applyNotice(const BrittleNotice &notice, TimePoint now)
{
    Service &known = this->services[notice.service];
    const bool wasBrittle = isBrittle(known, now);
    if (notice.announcedAt > known.announcedAt) {
        known.announcedAt = notice.announcedAt;
        known.maxRejections = notice.maxRejections;
    }
    return isBrittle(known, now) != wasBrittle;
}

std::optional<std::uint32_t> BrittleServices::maxRejections(std::uint64_t service,
                                                            TimePoint now) const
{
    const auto found = this->services.find(service);
    if (found == this->services.end() || !isBrittle(found->second, now)) {
        return std::nullopt;
    }
    return found->second.maxRejections;
}

std::vector<BrittleNotice> BrittleServices::notices(TimePoint now) const
{
    std::vector<BrittleNotice> notices;
    for (const auto &[service, known] : this->services) {
        if (isBrittle(known, now)) {
            notices.push_back({service, known.maxRejections, known.announcedAt});
        }
    }
    return notices;
}

double brittleLoadBound(std::uint32_t slots, std::uint32_t maxRejections) noexcept
{
    constexpr std::uint32_t withstood = 4;
    const std::uint32_t bound = slots + maxRejections / withstood;
    return std::max(1.0, static_cast<double>(bound));
}

double brittleCoordinatorShare(std::size_t alive, std::size_t lost) noexcept
{
    return static_cast<double>(alive) / static_cast<double>(std::max<std::size_t>(alive + lost, 1));
}

std::uint32_t brittleUncoordinatedShare(std::uint64_t router, std::uint32_t routers,
                                        std::uint32_t slots, TimePoint now) noexcept
{
    const std::uint32_t total = std::max(1U, slots / 2);
    if (total >= routers) {
        return total / routers;
    }
    const auto window = static_cast<std::uint64_t>(now.time_since_epoch() / permitWindow);
    return mixHash(router, window) % routers < total ? 1 : 0;
}

} // namespace plantainswitch
