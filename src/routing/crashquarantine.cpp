#include "plantainswitch/routing/crashquarantine.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace plantainswitch {

namespace {

/// Interval at which old runs and reports are removed.
constexpr Seconds cleanupInterval{1};

Duration confirmationWindow(RunEnd end) noexcept
{
    return end == RunEnd::GivenUp ? givenUpConfirmationWindow : crashConfirmationWindow;
}

} // namespace

std::string_view nameOf(CrashVerdict verdict) noexcept
{
    constexpr std::array<std::string_view, 4> names{"counted", "known-upstream", "answered-since",
                                                    "upstream-alive"};
    return names.at(static_cast<std::size_t>(verdict));
}

bool isReported(const ConfirmedCrash &crash, const CrashQuarantine &quarantine)
{
    return kindOf(crash.report.key) == SuspectKind::Request
           || (crash.verdict == CrashVerdict::Counted
               && quarantine.crashCount(crash.report.key) > 0);
}

void CrashQuarantine::recordUnansweredRun(const UnansweredRun &run)
{
    this->removeOldRuns(run.endedAt);
    if (run.end == RunEnd::GivenUp && this->unansweredRuns.size() >= maxUnansweredRequests) {
        return;
    }
    this->unansweredRuns[run.key].push_back(run);
}

void CrashQuarantine::removeOldRuns(TimePoint now)
{
    if (now - this->runsCheckedAt < cleanupInterval) {
        return;
    }
    this->runsCheckedAt = now;
    for (auto &[key, runs] : this->unansweredRuns) {
        std::erase_if(runs, [now](const UnansweredRun &run) {
            return now - run.endedAt > confirmationWindow(run.end);
        });
    }
    this->removeEmptyRuns();
    std::erase_if(this->answered, [now](const auto &entry) {
        const bool isPart = kindOf(entry.first) == SuspectKind::PromptPart;
        return now - entry.second > (isPart ? partAnswerRetention : crashConfirmationWindow);
    });
    std::erase_if(this->reportedCrashes,
                  [now](const auto &entry) { return now - entry.second > crashRefutationWindow; });
}

void CrashQuarantine::removeEmptyRuns()
{
    std::erase_if(this->unansweredRuns, [](const auto &entry) { return entry.second.empty(); });
}

std::vector<ConfirmedCrash> CrashQuarantine::confirmCrash(std::uint64_t incarnation, TimePoint now)
{
    std::vector<ConfirmedCrash> confirmed;
    for (auto &[key, runs] : this->unansweredRuns) {
        std::erase_if(runs, [&confirmed, incarnation, now](const UnansweredRun &run) {
            if (run.incarnation != incarnation) {
                return false;
            }
            if (now - run.endedAt <= confirmationWindow(run.end)) {
                confirmed.push_back({{run.key, incarnation, run.sentAt, run.endedAt}});
            }
            return true;
        });
    }
    this->removeEmptyRuns();
    for (ConfirmedCrash &crash : confirmed) {
        crash.verdict = this->recordCrash(crash.report, now);
    }
    return confirmed;
}

CrashVerdict CrashQuarantine::recordCrash(const CrashReport &report, TimePoint now)
{
    this->removeOldRuns(now);
    const auto success = this->answered.find(report.key);
    if (success != this->answered.end() && report.brokenAt <= success->second) {
        return CrashVerdict::AnsweredSince;
    }
    Suspect &suspect = this->suspects[report.key];
    if (!suspect.crashes.emplace(report.incarnation, report).second) {
        return CrashVerdict::KnownUpstream;
    }
    TimePoint &crashedAt = this->reportedCrashes[report.incarnation];
    crashedAt = std::max(crashedAt, report.brokenAt);
    scheduleTrial(suspect, report.brokenAt);
    if (this->suspects.size() > maxCrashSuspects) {
        this->dropOldest();
    }
    return CrashVerdict::Counted;
}

void CrashQuarantine::scheduleTrial(Suspect &suspect, TimePoint activity)
{
    const std::size_t number = std::min<std::size_t>(suspect.trials, trialDelays.size() - 1);
    suspect.lastActivity = std::max(suspect.lastActivity, activity);
    suspect.nextTrial = std::max(suspect.nextTrial, activity + trialDelays.at(number));
}

void CrashQuarantine::recordResponse(std::uint64_t incarnation, TimePoint sentAt)
{
    const auto reported = this->reportedCrashes.find(incarnation);
    if (reported == this->reportedCrashes.end() || sentAt <= reported->second
        || sentAt - reported->second > crashRefutationWindow) {
        return;
    }
    this->reportedCrashes.erase(reported);
    for (auto &[key, suspect] : this->suspects) {
        suspect.crashes.erase(incarnation);
    }
    std::erase_if(this->suspects, [](const auto &entry) {
        return entry.second.crashes.empty() && !entry.second.isRecorded;
    });
}

bool CrashQuarantine::clearSuspect(SuspectKey key, TimePoint answeredAt, TimePoint now)
{
    const auto found = this->suspects.find(key);
    const bool isKnown = found != this->suspects.end();
    const bool wasSuspected =
        isKnown && (found->second.isRecorded || this->countOf(key, found->second) > 0);
    if (isKnown && removeCrashes(found->second, answeredAt)) {
        this->suspects.erase(found);
    }
    this->removeRuns(key, answeredAt);
    this->removeOldRuns(now);
    if (kindOf(key) == SuspectKind::Request || this->answered.size() < maxAnsweredParts) {
        TimePoint &latest = this->answered[key];
        latest = std::max(latest, answeredAt);
    }
    return wasSuspected;
}

bool CrashQuarantine::removeCrashes(Suspect &suspect, TimePoint answeredAt)
{
    std::erase_if(suspect.crashes,
                  [answeredAt](const auto &entry) { return entry.second.brokenAt <= answeredAt; });
    suspect.isRecorded = false;
    suspect.trials = 0;
    suspect.revision = 0;
    suspect.isTrialReturned = false;
    return suspect.crashes.empty();
}

void CrashQuarantine::removeRuns(SuspectKey key, TimePoint answeredAt)
{
    const auto found = this->unansweredRuns.find(key);
    if (found == this->unansweredRuns.end()) {
        return;
    }
    std::erase_if(found->second,
                  [answeredAt](const UnansweredRun &run) { return run.endedAt <= answeredAt; });
    if (found->second.empty()) {
        this->unansweredRuns.erase(found);
    }
}

bool CrashQuarantine::recordTrials(const TrialCount &count, TimePoint now)
{
    const auto success = this->answered.find(count.key);
    if (success != this->answered.end() && count.recordedAt <= success->second) {
        return false;
    }
    Suspect &suspect = this->suspects[count.key];
    if (suspect.isRecorded && !isNewer(count, suspect)) {
        return false;
    }
    const bool isKnown = suspect.isRecorded && count.trials == suspect.trials
                         && (count.trials == 0 || suspect.isTrialReturned);
    if (suspect.isRecorded && count.trials < suspect.trials) {
        undoTrial(suspect, count.trials, now);
    } else if (!isKnown) {
        this->beginTrial(count.key, std::max(count.trials, suspect.trials), now);
    }
    suspect.recordedAt = count.recordedAt;
    suspect.revision = std::max(suspect.revision, count.revision);
    return true;
}

bool CrashQuarantine::isNewer(const TrialCount &count, const Suspect &suspect) noexcept
{
    const bool hasRevisions = count.revision > 0 && suspect.revision > 0;
    return hasRevisions ? std::pair{count.revision, count.trials}
                              > std::pair{suspect.revision, suspect.trials}
                        : count.trials > suspect.trials;
}

void CrashQuarantine::beginTrial(SuspectKey key, std::uint32_t trials, TimePoint now)
{
    Suspect &suspect = this->suspects[key];
    suspect.isRecorded = true;
    suspect.recordedAt = now;
    suspect.trials = trials;
    suspect.isTrialReturned = false;
    scheduleTrial(suspect, now);
}

void CrashQuarantine::undoTrial(Suspect &suspect, std::uint32_t trials, TimePoint now)
{
    suspect.trials = trials;
    suspect.isTrialReturned = true;
    suspect.nextTrial = now + trialRetryDelay;
}

void CrashQuarantine::returnTrial(SuspectKey key, TimePoint now)
{
    const auto found = this->suspects.find(key);
    if (found != this->suspects.end() && found->second.trials > 0) {
        undoTrial(found->second, found->second.trials - 1, now);
    }
}

void CrashQuarantine::deferTrial(SuspectKey key, TimePoint now)
{
    const auto found = this->suspects.find(key);
    if (found != this->suspects.end()) {
        found->second.nextTrial = std::max(found->second.nextTrial, now + trialRetryDelay);
    }
}

std::size_t CrashQuarantine::countOf(SuspectKey key, const Suspect &suspect) const
{
    const std::size_t crashes = suspect.crashes.size();
    const bool isAnsweredPart =
        kindOf(key) == SuspectKind::PromptPart && this->answered.contains(key);
    return isAnsweredPart ? crashes - std::min(crashes, answeredPartAllowance) : crashes;
}

bool CrashQuarantine::isHeld(SuspectKey key, const Suspect &suspect) const
{
    return suspect.isRecorded || this->countOf(key, suspect) >= quarantineThreshold;
}

std::size_t CrashQuarantine::crashCount(SuspectKey key) const
{
    const auto found = this->suspects.find(key);
    if (found == this->suspects.end()) {
        return 0;
    }
    const std::size_t counted = this->countOf(key, found->second);
    return found->second.isRecorded ? std::max(counted, quarantineThreshold) : counted;
}

Duration CrashQuarantine::trialOverdue(SuspectKey key, TimePoint now) const
{
    const auto found = this->suspects.find(key);
    return found == this->suspects.end() ? Duration{0}
                                         : std::max(now - found->second.nextTrial, Duration{0});
}

std::uint32_t CrashQuarantine::trialCount(SuspectKey key) const
{
    const auto found = this->suspects.find(key);
    return found == this->suspects.end() ? 0 : found->second.trials;
}

bool CrashQuarantine::isQuarantined(SuspectKey key) const
{
    const auto found = this->suspects.find(key);
    return found != this->suspects.end() && this->isHeld(key, found->second);
}

QuarantineState CrashQuarantine::stateOf(SuspectKey key, TimePoint now) const
{
    const auto found = this->suspects.find(key);
    if (found == this->suspects.end() || !this->isHeld(key, found->second)) {
        return QuarantineState::Free;
    }
    return now < found->second.nextTrial ? QuarantineState::Held : QuarantineState::TrialDue;
}

Milliseconds CrashQuarantine::timeToTrial(SuspectKey key, TimePoint now) const
{
    const auto found = this->suspects.find(key);
    if (found == this->suspects.end()) {
        return Milliseconds{0};
    }
    return std::chrono::ceil<Milliseconds>(std::max(found->second.nextTrial - now, Duration{0}));
}

std::vector<CrashReport> CrashQuarantine::reportsToForward(const CrashReport &newest) const
{
    std::vector<CrashReport> reports;
    const auto found = this->suspects.find(newest.key);
    const std::size_t count =
        found == this->suspects.end() ? 0 : this->countOf(newest.key, found->second);
    if (count < crashesForNoRetry) {
        return reports;
    }
    if (count > crashesForNoRetry) {
        return {newest};
    }
    for (const auto &[incarnation, report] : found->second.crashes) {
        reports.push_back(report);
    }
    return reports;
}

std::vector<CrashReport> CrashQuarantine::sharedCrashes() const
{
    std::vector<std::pair<std::size_t, const Suspect *>> counted;
    for (const auto &[key, suspect] : this->suspects) {
        const std::size_t count = this->countOf(key, suspect);
        if (count >= crashesForNoRetry) {
            counted.emplace_back(count, &suspect);
        }
    }
    std::sort(counted.begin(), counted.end(), std::greater<>());
    std::vector<CrashReport> reports;
    for (std::size_t i = 0; i < std::min(counted.size(), maxSharedSuspects); ++i) {
        std::size_t crashes = 0;
        for (const auto &[incarnation, report] : counted[i].second->crashes) {
            if (crashes++ < quarantineThreshold) {
                reports.push_back(report);
            }
        }
    }
    return reports;
}

std::vector<SuspectKey> CrashQuarantine::nearlyQuarantined() const
{
    std::vector<SuspectKey> keys;
    for (const auto &[key, suspect] : this->suspects) {
        if (this->countOf(key, suspect) + 1 == quarantineThreshold && !suspect.isRecorded) {
            keys.push_back(key);
        }
    }
    return keys;
}

std::vector<TrialCount> CrashQuarantine::sharedTrials() const
{
    std::vector<TrialCount> counts;
    for (const auto &[key, suspect] : this->suspects) {
        if (suspect.isRecorded && counts.size() < maxSharedSuspects) {
            counts.push_back({key, suspect.trials, suspect.recordedAt, suspect.revision});
        }
    }
    return counts;
}

std::vector<SuspectKey> CrashQuarantine::removeExpired(TimePoint now)
{
    std::vector<SuspectKey> expired;
    std::erase_if(this->suspects, [this, &expired, now](const auto &entry) {
        const bool isOld = now - entry.second.lastActivity >= maxQuarantine;
        if (isOld && this->crashCount(entry.first) >= crashesForNoRetry) {
            expired.push_back(entry.first);
        }
        return isOld;
    });
    return expired;
}

void CrashQuarantine::dropOldest()
{
    // Requests with a quarantined suspect are refused, so that it looks idle.
    const auto rank = [this](const auto &entry) {
        return std::pair{this->isHeld(entry.first, entry.second), entry.second.lastActivity};
    };
    const auto oldest = std::min_element(
        this->suspects.begin(), this->suspects.end(),
        [&rank](const auto &left, const auto &right) { return rank(left) < rank(right); });
    this->suspects.erase(oldest);
}

} // namespace plantainswitch
