#include "plantainswitch/base/hash.h"
#include "plantainswitch/observe/event.h"

#include "fleetgossip.h"
#include "gatewaystate.h"

namespace plantainswitch::gateway {

double GatewayState::brittleBoundOf(const UpstreamState &upstream) const
{
    if (!this->settings.mechanisms.brittleLimits) {
        return 0.0;
    }
    const auto maxRejections =
        this->brittleServices.maxRejections(hashOf(upstream.replica.service), this->clock.now());
    return maxRejections ? brittleLoadBound(upstream.replica.maxConcurrency, *maxRejections) : 0.0;
}

bool GatewayState::isBrittle(std::string_view service) const
{
    return this->settings.mechanisms.brittleLimits
           && this->brittleServices.maxRejections(hashOf(service), this->clock.now()).has_value();
}

void GatewayState::recordBrittleness(const std::string &service,
                                     std::optional<std::uint32_t> maxRejections)
{
    const bool wasBrittle = this->isBrittle(service);
    this->brittleServices.recordResponse(hashOf(service), maxRejections, this->clock.now());
    const bool isBrittleNow = this->isBrittle(service);
    if (isBrittleNow == wasBrittle) {
        return;
    }
    logEvent(isBrittleNow ? Event::ServiceBrittle : Event::ServiceSound,
             {{"service", service},
              {"max_rejections", std::to_string(maxRejections.value_or(0))},
              {"from", this->settings.id}});
    this->fleet->scheduleBroadcast();
}

void GatewayState::applyBrittleNotice(const BrittleNotice &notice, std::string_view source)
{
    const TimePoint now = this->clock.now();
    const bool wasBrittle = this->brittleServices.maxRejections(notice.service, now).has_value();
    this->brittleServices.applyNotice(notice);
    if (!wasBrittle && this->brittleServices.maxRejections(notice.service, now)) {
        logEvent(Event::ServiceBrittle, {{"service", formatHash(notice.service)},
                                         {"max_rejections", std::to_string(notice.maxRejections)},
                                         {"from", std::string(source)}});
    }
}

} // namespace plantainswitch::gateway
