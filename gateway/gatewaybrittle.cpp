#include "plantainswitch/base/hash.h"
#include "plantainswitch/observe/event.h"

#include "fleetgossip.h"
#include "gatewaystate.h"

namespace plantainswitch::gateway {

namespace {

/// \param service name or hash of the service
void logBrittleness(const std::string &service, std::optional<std::uint32_t> maxRejections,
                    std::string_view source)
{
    logEvent(maxRejections ? Event::ServiceBrittle : Event::ServiceSound,
             {{"service", service},
              {"max_rejections", std::to_string(maxRejections.value_or(0))},
              {"from", std::string(source)}});
}

} // namespace

std::optional<std::uint32_t> GatewayState::maxRejectionsOf(std::string_view service) const
{
    if (!this->settings.mechanisms.brittleLimits) {
        return std::nullopt;
    }
    return this->brittleServices.maxRejections(hashOf(service), this->clock.now());
}

bool GatewayState::isBrittle(std::string_view service) const
{
    return this->maxRejectionsOf(service).has_value();
}

Duration GatewayState::runTimeBound(const std::string &service)
{
    const double bound = this->estimators[service].performance(this->clock.now()).runTimeBound;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(bound));
}

double GatewayState::brittleBoundOf(const UpstreamState &upstream) const
{
    const auto maxRejections = this->maxRejectionsOf(upstream.replica.service);
    return maxRejections ? brittleLoadBound(upstream.replica.maxConcurrency, *maxRejections) : 0.0;
}

void GatewayState::recordBrittleness(const std::string &service,
                                     std::optional<std::uint32_t> maxRejections)
{
    const bool isChange =
        this->brittleServices.recordResponse(hashOf(service), maxRejections, this->clock.now());
    if (isChange && this->settings.mechanisms.brittleLimits) {
        logBrittleness(service, maxRejections, this->settings.id);
        this->fleet->scheduleBroadcast();
    }
}

void GatewayState::applyBrittleNotice(const BrittleNotice &notice, std::string_view source)
{
    if (this->brittleServices.applyNotice(notice, this->clock.now())) {
        logBrittleness(formatHash(notice.service), notice.maxRejections, source);
    }
}

} // namespace plantainswitch::gateway
