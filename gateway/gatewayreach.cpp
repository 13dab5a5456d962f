#include "gatewaystate.h"

#include "plantainswitch/base/hash.h"
#include "plantainswitch/observe/event.h"

#include "fleetgossip.h"

namespace plantainswitch::gateway {

namespace {

/// Time without contact to any upstream after which this router may be cut off from all.
constexpr Milliseconds contactTimeout{200};

} // namespace

void GatewayState::recordContact(ServiceReach &serviceReach)
{
    const TimePoint now = this->clock.now();
    this->lastUpstreamContact = now;
    plantainswitch::recordContact(serviceReach, now);
}

void GatewayState::recordContactFailure(const Replica &replica, ContactFailure kind)
{
    ServiceReach &serviceReach = this->reach[replica.service];
    plantainswitch::recordContactFailure(serviceReach, incarnationOf(replica), kind,
                                         this->clock.now());
    if (!serviceReach.wasCutOff && this->isCutOff(replica.service)) {
        this->checkReach();
    }
}

bool GatewayState::isCutOff(const std::string &service) const
{
    const auto found = this->reach.find(service);
    return found != this->reach.end()
           && plantainswitch::isCutOff(found->second, this->upstreams.ofService(service).size(),
                                       this->clock.now());
}

bool GatewayState::reachesUpstreams() const
{
    return this->clock.now() - this->lastUpstreamContact < contactTimeout
           || this->peerLoads.routerCount() == 0;
}

void GatewayState::checkReach()
{
    const TimePoint now = this->clock.now();
    for (auto &[service, serviceReach] : this->reach) {
        const bool cutOff = this->isCutOff(service);
        if (cutOff != serviceReach.wasCutOff) {
            serviceReach.wasCutOff = cutOff;
            logEvent(cutOff ? Event::ServiceCutOff : Event::ServiceReached,
                     {{"service", service},
                      {"failed", std::to_string(serviceReach.failed.size())},
                      {"upstreams", std::to_string(this->upstreams.ofService(service).size())},
                      {"contact_ms", formatMilliseconds(now - serviceReach.lastContact)}});
            this->fleet->scheduleBroadcast();
        }
        const bool isLimited = isReachLimited(this->upstreams.ofService(service), now);
        if (isLimited != serviceReach.wasLimited) {
            serviceReach.wasLimited = isLimited;
            const auto upstreams = this->upstreams.ofService(service);
            logEvent(Event::ServicePartlyReached,
                     {{"service", service},
                      {"partly", isLimited ? "yes" : "no"},
                      {"unreachable", std::to_string(unreachableCount(upstreams, now))},
                      {"upstreams", std::to_string(upstreams.size())}});
            this->fleet->scheduleBroadcast();
        }
        if (cutOff && now - serviceReach.lastProbe >= cutOffProbeInterval) {
            this->probeService(service, serviceReach);
        }
    }
}

void GatewayState::probeService(const std::string &service, ServiceReach &serviceReach)
{
    const auto candidates = this->upstreams.ofService(service);
    const TimePoint now = this->clock.now();
    serviceReach.lastProbe = now;
    // Another upstream each time, and on each router.
    const auto turn = static_cast<std::uint64_t>(now.time_since_epoch() / cutOffProbeInterval);
    const UpstreamState *const chosen =
        candidates[hashOf(this->settings.id, turn) % candidates.size()];
    this->probeUpstream(this->upstreams.find(chosen->replica.id), [] {});
}

} // namespace plantainswitch::gateway
