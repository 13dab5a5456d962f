#include "plantainswitch/routing/updatelog.h"

namespace plantainswitch {

namespace {

template<typename Log>
void eraseBefore(Log &log, TimePoint then)
{
    while (!log.empty() && log.front().when < then) {
        log.pop_front();
    }
}

/// Calls \a take with the items of \a log since \a since, newest first, until it returns false.
template<typename Log, typename Take>
void visitSince(const Log &log, TimePoint since, Take take)
{
    for (auto entry = log.rbegin(); entry != log.rend() && entry->when >= since; ++entry) {
        if (!take(entry->item)) {
            return;
        }
    }
}

/// \returns up to \a limit items of \a log since \a since, newest first.
template<typename Log>
auto newestSince(const Log &log, TimePoint since, std::size_t limit)
{
    std::vector<decltype(log.front().item)> found;
    visitSince(log, since, [&found, limit](const auto &item) {
        found.push_back(item);
        return found.size() < limit;
    });
    return found;
}

} // namespace

void UpdateLog::recordPrefix(const PrefixReport &chain, TimePoint now)
{
    this->prefixes.push_back({chain, now});
}

void UpdateLog::recordCrash(const CrashReport &crash, TimePoint now)
{
    this->crashes.push_back({crash, now});
}

void UpdateLog::recordCleared(const ClearedSuspect &suspect, TimePoint now)
{
    this->cleared.push_back({suspect, now});
}

void UpdateLog::recordTrials(const TrialCount &count, TimePoint now)
{
    this->trials.push_back({count, now});
}

void UpdateLog::recordOrigin(const StreamOrigin &origin, TimePoint now)
{
    this->origins.push_back({origin, now});
}

void UpdateLog::removeBefore(TimePoint then)
{
    eraseBefore(this->prefixes, then);
    eraseBefore(this->crashes, then);
    eraseBefore(this->cleared, then);
    eraseBefore(this->trials, then);
    eraseBefore(this->origins, then);
}

std::vector<PrefixReport> UpdateLog::prefixesSince(TimePoint since, std::size_t limit) const
{
    return newestSince(this->prefixes, since, limit);
}

std::vector<StreamOrigin> UpdateLog::originsSince(TimePoint since, std::size_t limit) const
{
    return newestSince(this->origins, since, limit);
}

CrashUpdate UpdateLog::crashesSince(TimePoint since) const
{
    CrashUpdate found;
    found.crashes = newestSince(this->crashes, since, maxReportedCrashes);
    found.cleared = newestSince(this->cleared, since, maxReportedCrashes);
    visitSince(this->trials, since, [&found](const TrialCount &count) {
        found.trials.push_back(count);
        return true;
    });
    return found;
}

} // namespace plantainswitch
