#include "plantainswitch/routing/servicereach.h"

#include <algorithm>

namespace plantainswitch {

void recordContact(ServiceReach &reach, TimePoint now)
{
    reach.lastContact = now;
    reach.failed.clear();
}

void recordConnected(ServiceReach &reach, TimePoint now)
{
    if (reach.lastFailureKind == ContactFailure::ConnectFailed) {
        recordContact(reach, now);
        return;
    }
    reach.lastConnected = now;
}

void recordContactFailure(ServiceReach &reach, std::uint64_t incarnation, ContactFailure kind,
                          TimePoint now)
{
    reach.failed.insert(incarnation);
    reach.lastFailure = now;
    reach.lastFailureKind = kind;
}

bool isCutOff(const ServiceReach &reach, std::size_t upstreams, TimePoint now)
{
    const std::size_t required = std::min(failuresForCutOff, upstreams);
    const TimePoint lastEvidence = std::max(reach.lastFailure, reach.lastConnected);
    return required > 0 && reach.failed.size() >= required
           && now - reach.lastContact >= cutOffSilence && now - lastEvidence <= cutOffRetention;
}

bool takeTrialRequest(ServiceReach &reach, bool mayRepeat, TimePoint now)
{
    const Seconds interval = mayRepeat ? trialRequestInterval : anyTrialRequestInterval;
    const bool isDue = reach.lastConnected > reach.lastFailure
                       && now - std::max(reach.lastFailure, reach.lastTrialRequest) >= interval;
    if (isDue) {
        reach.lastTrialRequest = now;
    }
    return isDue;
}

} // namespace plantainswitch
