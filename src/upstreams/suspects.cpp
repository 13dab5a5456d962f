#include "plantainswitch/upstreams/suspects.h"

#include <algorithm>

namespace plantainswitch {

namespace {

void evictOld(Suspects &suspects, TimePoint now)
{
    std::erase_if(suspects.entries, [&](const auto &each) {
        return now - each.second.lastCrash > suspects.limits.quarantine;
    });
    while (suspects.entries.size() > suspects.limits.maxSuspects) {
        const auto oldest =
            std::min_element(suspects.entries.begin(), suspects.entries.end(),
                             [](const auto &one, const auto &other) {
                                 return one.second.lastCrash < other.second.lastCrash;
                             });
        suspects.entries.erase(oldest);
    }
}

void addCrash(Suspects &suspects, Fingerprint fingerprint, UpstreamId upstream, TimePoint now)
{
    Suspect &suspect = suspects.entries[fingerprint];
    const bool isKnown = suspect.crashes > 0 && suspect.lastUpstream == upstream
                         && now - suspect.lastCrash < suspects.limits.sameCrashWindow;
    if (!isKnown) {
        ++suspect.crashes;
    }
    suspect.lastUpstream = upstream;
    suspect.lastCrash = now;
}

} // namespace

void applySuspectUpdate(Suspects &suspects, const SuspectUpdate &update, TimePoint now)
{
    for (const Fingerprint fingerprint : update.crashed) {
        addCrash(suspects, fingerprint, update.upstream, now);
    }
    for (const Fingerprint fingerprint : update.cleared) {
        const auto found = suspects.entries.find(fingerprint);
        if (found != suspects.entries.end()
            && found->second.crashes < suspects.limits.quarantineThreshold) {
            suspects.entries.erase(found);
        }
    }
    evictOld(suspects, now);
}

SuspectStatus suspectStatusOf(const Suspects &suspects, Fingerprint fingerprint, TimePoint now)
{
    const auto found = suspects.entries.find(fingerprint);
    if (found == suspects.entries.end()
        || now - found->second.lastCrash > suspects.limits.quarantine) {
        return SuspectStatus::None;
    }
    return found->second.crashes >= suspects.limits.quarantineThreshold ? SuspectStatus::Quarantined
                                                                        : SuspectStatus::Suspected;
}

std::vector<UpstreamId>
excludedUpstreams(const Suspects &suspects, Fingerprint fingerprint,
                  const std::vector<std::pair<UpstreamId, Fingerprint>> &running, TimePoint now)
{
    std::vector<UpstreamId> result;
    if (suspectStatusOf(suspects, fingerprint, now) == SuspectStatus::None) {
        return result;
    }
    for (const auto &[upstream, other] : running) {
        if (suspectStatusOf(suspects, other, now) != SuspectStatus::None) {
            result.push_back(upstream);
        }
    }
    return result;
}

bool isBlocked(const Suspects &suspects, Fingerprint fingerprint,
               const std::vector<std::pair<UpstreamId, Fingerprint>> &running, TimePoint now)
{
    const SuspectStatus status = suspectStatusOf(suspects, fingerprint, now);
    return status == SuspectStatus::Quarantined
           || (status == SuspectStatus::Suspected
               && std::any_of(running.begin(), running.end(), [fingerprint](const auto &each) {
                      return each.second == fingerprint;
                  }));
}

void SuspectTable::applyUpdate(const SuspectUpdate &update, TimePoint now)
{
    const RankedLock lock(this->mutex);
    applySuspectUpdate(this->suspects, update, now);
}

SuspectStatus SuspectTable::statusOf(Fingerprint fingerprint, TimePoint now) const
{
    const RankedLock lock(this->mutex);
    return suspectStatusOf(this->suspects, fingerprint, now);
}

std::vector<UpstreamId>
SuspectTable::excludedFor(Fingerprint fingerprint,
                          const std::vector<std::pair<UpstreamId, Fingerprint>> &running,
                          TimePoint now) const
{
    const RankedLock lock(this->mutex);
    return excludedUpstreams(this->suspects, fingerprint, running, now);
}

bool SuspectTable::blocks(Fingerprint fingerprint,
                          const std::vector<std::pair<UpstreamId, Fingerprint>> &running,
                          TimePoint now) const
{
    const RankedLock lock(this->mutex);
    return isBlocked(this->suspects, fingerprint, running, now);
}

} // namespace plantainswitch
