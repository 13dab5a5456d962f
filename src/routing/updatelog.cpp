#include "plantainswitch/routing/updatelog.h"

namespace plantainswitch {

namespace {

template<typename Log>
void dropBefore(Log &log, TimePoint then)
{
    while (!log.empty() && log.front().when < then) {
        log.pop_front();
    }
}

/// Hands the items of \a log since \a since to \a take, the newest first, until it wants no more.
template<typename Log, typename Take>
void walkSince(const Log &log, TimePoint since, Take take)
{
    for (auto noted = log.rbegin(); noted != log.rend() && noted->when >= since; ++noted) {
        if (!take(noted->item)) {
            return;
        }
    }
}

} // namespace

void UpdateLog::noteChain(const PrefixReport &chain, TimePoint now)
{
    this->chains.push_back({chain, now});
}

void UpdateLog::noteCrash(const CrashReport &crash, TimePoint now)
{
    this->crashes.push_back({crash, now});
}

void UpdateLog::noteCleared(RequestFingerprint request, TimePoint now)
{
    this->cleared.push_back({request, now});
}

void UpdateLog::forgetBefore(TimePoint then)
{
    dropBefore(this->chains, then);
    dropBefore(this->crashes, then);
    dropBefore(this->cleared, then);
}

std::vector<PrefixReport> UpdateLog::chainsSince(TimePoint since, std::size_t most) const
{
    std::vector<PrefixReport> found;
    walkSince(this->chains, since, [&found, most](const PrefixReport &chain) {
        found.push_back(chain);
        return found.size() < most;
    });
    return found;
}

CrashUpdate UpdateLog::suspectsSince(TimePoint since) const
{
    CrashUpdate found;
    walkSince(this->crashes, since, [&found](const CrashReport &crash) {
        found.crashes.push_back(crash);
        return true;
    });
    walkSince(this->cleared, since, [&found](RequestFingerprint request) {
        found.cleared.push_back(request);
        return true;
    });
    return found;
}

} // namespace plantainswitch
