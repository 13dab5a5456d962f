#include <vector>

#include "plantainswitch/base/hash.h"
#include "plantainswitch/observe/event.h"

#include "fleetgossip.h"
#include "gatewaystate.h"

namespace plantainswitch::gateway {

namespace {

/// Time after which a service's hold time is calculated again. The calculation merges the reports
/// of all routers, and is needed several times for each request.
constexpr Milliseconds holdTimeInterval{100};

} // namespace

bool GatewayState::isSmall(const std::string &service) const
{
    std::vector<std::uint32_t> slots;
    for (const UpstreamState *const upstream : this->upstreams.ofService(service)) {
        if (!isDraining(*upstream)) {
            slots.push_back(slotsOf(*upstream));
        }
    }
    return isSmallService(slots, this->routerCount());
}

bool GatewayState::isContended(const std::string &service) const
{
    const ContentionPolicy &policy = this->settings.contention;
    return policy.enabled
           && this->contendedServices.isContended(hashOf(service), policy.retention,
                                                  this->clock.now())
           && !this->isBrittle(service) && this->isSmall(service);
}

void GatewayState::recordContention(const std::string &service)
{
    const ContentionPolicy &policy = this->settings.contention;
    if (!policy.enabled || !this->isSmall(service)) {
        return;
    }
    const TimePoint now = this->clock.now();
    if (this->contendedServices.recordSign({hashOf(service), now}, policy.retention, now)) {
        logEvent(Event::ServiceContended, {{"service", service}, {"from", this->settings.id}});
        this->fleet->scheduleBroadcast();
    }
}

void GatewayState::applyContentionNotice(const ContentionNotice &notice, std::string_view source)
{
    const ContentionPolicy &policy = this->settings.contention;
    if (policy.enabled
        && this->contendedServices.applyNotice(notice, policy.retention, this->clock.now())) {
        logEvent(Event::ServiceContended,
                 {{"service", formatHash(notice.service)}, {"from", std::string(source)}});
    }
}

void GatewayState::endContention()
{
    for (const std::uint64_t service : this->contendedServices.removeEnded(
             this->settings.contention.retention, this->clock.now())) {
        logEvent(Event::ServiceUncontended, {{"service", formatHash(service)}});
    }
}

Duration GatewayState::slotHoldTime(const std::string &service)
{
    const TimePoint now = this->clock.now();
    const auto [found, isNew] = this->slotHoldTimes.try_emplace(service);
    SlotHoldTime &cached = found->second;
    if (isNew || now - cached.calculatedAt >= holdTimeInterval) {
        const double held = this->estimators[service].performance(now).slotHoldTime;
        cached.time =
            std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(held));
        cached.calculatedAt = now;
    }
    return cached.time;
}

} // namespace plantainswitch::gateway
