#include "plantainswitch/upstreams/suspects.h"

#include <algorithm>

namespace plantainswitch {

namespace {

void dropOld(Suspects &suspects, TimePoint now)
{
    std::erase_if(suspects.known, [&](const auto &each) {
        return now - each.second.lastCrash > suspects.limits.quarantine;
    });
    while (suspects.known.size() > suspects.limits.most) {
        const auto oldest = std::min_element(
            suspects.known.begin(), suspects.known.end(), [](const auto &one, const auto &other) {
                return one.second.lastCrash < other.second.lastCrash;
            });
        suspects.known.erase(oldest);
    }
}

void addCrash(Suspects &suspects, Fingerprint fingerprint, UpstreamId upstream, TimePoint now)
{
    Suspect &suspect = suspects.known[fingerprint];
    const bool told = suspect.crashes > 0 && suspect.lastUpstream == upstream
                      && now - suspect.lastCrash < suspects.limits.sameCrash;
    if (!told) {
        ++suspect.crashes;
    }
    suspect.lastUpstream = upstream;
    suspect.lastCrash = now;
}

} // namespace

void takeNews(Suspects &suspects, const SuspectNews &news, TimePoint now)
{
    for (const Fingerprint fingerprint : news.crashed) {
        addCrash(suspects, fingerprint, news.upstream, now);
    }
    for (const Fingerprint fingerprint : news.cleared) {
        const auto found = suspects.known.find(fingerprint);
        if (found != suspects.known.end() && found->second.crashes < suspects.limits.crashes) {
            suspects.known.erase(found);
        }
    }
    dropOld(suspects, now);
}

Blame blameOf(const Suspects &suspects, Fingerprint fingerprint, TimePoint now)
{
    const auto found = suspects.known.find(fingerprint);
    if (found == suspects.known.end()
        || now - found->second.lastCrash > suspects.limits.quarantine) {
        return Blame::None;
    }
    return found->second.crashes >= suspects.limits.crashes ? Blame::Quarantined : Blame::Suspect;
}

std::vector<UpstreamId> keepAwayFrom(const Suspects &suspects, Fingerprint fingerprint,
                                     const std::vector<std::pair<UpstreamId, Fingerprint>> &running,
                                     TimePoint now)
{
    std::vector<UpstreamId> result;
    if (blameOf(suspects, fingerprint, now) == Blame::None) {
        return result;
    }
    for (const auto &[upstream, other] : running) {
        if (blameOf(suspects, other, now) != Blame::None) {
            result.push_back(upstream);
        }
    }
    return result;
}

bool isHeldBack(const Suspects &suspects, Fingerprint fingerprint,
                const std::vector<std::pair<UpstreamId, Fingerprint>> &running, TimePoint now)
{
    const Blame blame = blameOf(suspects, fingerprint, now);
    return blame == Blame::Quarantined
           || (blame == Blame::Suspect
               && std::any_of(running.begin(), running.end(), [fingerprint](const auto &each) {
                      return each.second == fingerprint;
                  }));
}

void SuspectTable::take(const SuspectNews &news, TimePoint now)
{
    const RankedLock lock(this->mutex);
    takeNews(this->suspects, news, now);
}

Blame SuspectTable::blame(Fingerprint fingerprint, TimePoint now) const
{
    const RankedLock lock(this->mutex);
    return blameOf(this->suspects, fingerprint, now);
}

std::vector<UpstreamId>
SuspectTable::keepAway(Fingerprint fingerprint,
                       const std::vector<std::pair<UpstreamId, Fingerprint>> &running,
                       TimePoint now) const
{
    const RankedLock lock(this->mutex);
    return keepAwayFrom(this->suspects, fingerprint, running, now);
}

bool SuspectTable::heldBack(Fingerprint fingerprint,
                            const std::vector<std::pair<UpstreamId, Fingerprint>> &running,
                            TimePoint now) const
{
    const RankedLock lock(this->mutex);
    return isHeldBack(this->suspects, fingerprint, running, now);
}

} // namespace plantainswitch
