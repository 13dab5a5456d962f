#include "plantainswitch/routing/crashquarantine.h"

#include <algorithm>

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

void CrashQuarantine::recordUnansweredRun(const UnansweredRun &run)
{
    this->removeOldRuns(run.endedAt);
    if (run.end == RunEnd::GivenUp && this->unansweredRuns.size() >= maxUnansweredRequests) {
        return;
    }
    this->unansweredRuns[run.request].push_back(run);
}

void CrashQuarantine::removeOldRuns(TimePoint now)
{
    if (now - this->runsCheckedAt < cleanupInterval) {
        return;
    }
    this->runsCheckedAt = now;
    for (auto &[request, runs] : this->unansweredRuns) {
        std::erase_if(runs, [now](const UnansweredRun &run) {
            return now - run.endedAt > confirmationWindow(run.end);
        });
    }
    this->removeEmptyRuns();
    std::erase_if(this->answered, [now](const auto &entry) {
        return now - entry.second > crashConfirmationWindow;
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
    for (auto &[request, runs] : this->unansweredRuns) {
        std::erase_if(runs, [&confirmed, incarnation, now](const UnansweredRun &run) {
            if (run.incarnation != incarnation) {
                return false;
            }
            if (now - run.endedAt <= confirmationWindow(run.end)) {
                confirmed.push_back({{run.request, incarnation, run.sentAt, run.endedAt}});
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
    const auto success = this->answered.find(report.request);
    if (success != this->answered.end() && report.brokenAt <= success->second) {
        return CrashVerdict::AnsweredSince;
    }
    Suspect &suspect = this->suspects[report.request];
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
    for (auto &[request, suspect] : this->suspects) {
        suspect.crashes.erase(incarnation);
    }
    std::erase_if(this->suspects, [](const auto &entry) {
        return entry.second.crashes.empty() && !entry.second.isRecorded;
    });
}

bool CrashQuarantine::clearSuspect(RequestFingerprint request, TimePoint answeredAt, TimePoint now)
{
    const auto found = this->suspects.find(request);
    const bool wasSuspected = found != this->suspects.end();
    if (wasSuspected && removeCrashes(found->second, answeredAt)) {
        this->suspects.erase(found);
    }
    this->removeRuns(request, answeredAt);
    this->removeOldRuns(now);
    TimePoint &latest = this->answered[request];
    latest = std::max(latest, answeredAt);
    return wasSuspected;
}

bool CrashQuarantine::removeCrashes(Suspect &suspect, TimePoint answeredAt)
{
    std::erase_if(suspect.crashes,
                  [answeredAt](const auto &entry) { return entry.second.brokenAt <= answeredAt; });
    suspect.isRecorded = false;
    suspect.trials = 0;
    return suspect.crashes.empty();
}

void CrashQuarantine::removeRuns(RequestFingerprint request, TimePoint answeredAt)
{
    const auto found = this->unansweredRuns.find(request);
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
    const auto success = this->answered.find(count.request);
    if (success != this->answered.end() && count.recordedAt <= success->second) {
        return false;
    }
    Suspect &suspect = this->suspects[count.request];
    if (suspect.isRecorded && count.trials <= suspect.trials) {
        return false;
    }
    this->beginTrial(count.request, std::max(count.trials, suspect.trials), now);
    suspect.recordedAt = count.recordedAt;
    return true;
}

void CrashQuarantine::beginTrial(RequestFingerprint request, std::uint32_t trials, TimePoint now)
{
    Suspect &suspect = this->suspects[request];
    suspect.isRecorded = true;
    suspect.recordedAt = now;
    suspect.trials = trials;
    scheduleTrial(suspect, now);
}

void CrashQuarantine::returnTrial(RequestFingerprint request, TimePoint now)
{
    const auto found = this->suspects.find(request);
    if (found != this->suspects.end() && found->second.trials > 0) {
        found->second.trials -= 1;
        found->second.nextTrial = now + trialRetryDelay;
    }
}

void CrashQuarantine::deferTrial(RequestFingerprint request, TimePoint now)
{
    const auto found = this->suspects.find(request);
    if (found != this->suspects.end()) {
        found->second.nextTrial = std::max(found->second.nextTrial, now + trialRetryDelay);
    }
}

bool CrashQuarantine::isHeld(const Suspect &suspect)
{
    return suspect.isRecorded || suspect.crashes.size() >= quarantineThreshold;
}

std::size_t CrashQuarantine::crashCount(RequestFingerprint request) const
{
    const auto found = this->suspects.find(request);
    if (found == this->suspects.end()) {
        return 0;
    }
    const std::size_t counted = found->second.crashes.size();
    return isHeld(found->second) ? std::max(counted, quarantineThreshold) : counted;
}

std::uint32_t CrashQuarantine::trialCount(RequestFingerprint request) const
{
    const auto found = this->suspects.find(request);
    return found == this->suspects.end() ? 0 : found->second.trials;
}

bool CrashQuarantine::isQuarantined(RequestFingerprint request) const
{
    const auto found = this->suspects.find(request);
    return found != this->suspects.end() && isHeld(found->second);
}

QuarantineState CrashQuarantine::stateOf(RequestFingerprint request, TimePoint now) const
{
    const auto found = this->suspects.find(request);
    if (found == this->suspects.end() || !isHeld(found->second)) {
        return QuarantineState::Free;
    }
    return now < found->second.nextTrial ? QuarantineState::Held : QuarantineState::TrialDue;
}

Milliseconds CrashQuarantine::timeToTrial(RequestFingerprint request, TimePoint now) const
{
    const auto found = this->suspects.find(request);
    if (found == this->suspects.end()) {
        return Milliseconds{0};
    }
    return std::chrono::ceil<Milliseconds>(std::max(found->second.nextTrial - now, Duration{0}));
}

std::vector<CrashReport> CrashQuarantine::reportsToForward(const CrashReport &newest) const
{
    std::vector<CrashReport> reports;
    const auto found = this->suspects.find(newest.request);
    if (found == this->suspects.end() || found->second.crashes.size() < crashesForNoRetry) {
        return reports;
    }
    if (found->second.crashes.size() > crashesForNoRetry) {
        return {newest};
    }
    for (const auto &[incarnation, report] : found->second.crashes) {
        reports.push_back(report);
    }
    return reports;
}

std::vector<CrashReport> CrashQuarantine::sharedCrashes() const
{
    std::vector<CrashReport> reports;
    std::size_t shared = 0;
    for (const auto &[request, suspect] : this->suspects) {
        if (suspect.crashes.size() < crashesForNoRetry || shared == maxSharedSuspects) {
            continue;
        }
        ++shared;
        std::size_t crashes = 0;
        for (const auto &[incarnation, report] : suspect.crashes) {
            if (crashes++ < quarantineThreshold) {
                reports.push_back(report);
            }
        }
    }
    return reports;
}

std::vector<RequestFingerprint> CrashQuarantine::nearlyQuarantined() const
{
    std::vector<RequestFingerprint> requests;
    for (const auto &[request, suspect] : this->suspects) {
        if (suspect.crashes.size() + 1 == quarantineThreshold && !suspect.isRecorded) {
            requests.push_back(request);
        }
    }
    return requests;
}

std::vector<TrialCount> CrashQuarantine::sharedTrials() const
{
    std::vector<TrialCount> counts;
    for (const auto &[request, suspect] : this->suspects) {
        if (suspect.isRecorded && counts.size() < maxSharedSuspects) {
            counts.push_back({request, suspect.trials, suspect.recordedAt});
        }
    }
    return counts;
}

std::vector<RequestFingerprint> CrashQuarantine::removeExpired(TimePoint now)
{
    std::vector<RequestFingerprint> expired;
    std::erase_if(this->suspects, [&expired, now](const auto &entry) {
        const bool isOld = now - entry.second.lastActivity >= maxQuarantine;
        if (isOld && (isHeld(entry.second) || entry.second.crashes.size() >= crashesForNoRetry)) {
            expired.push_back(entry.first);
        }
        return isOld;
    });
    return expired;
}

void CrashQuarantine::dropOldest()
{
    const auto oldest = std::min_element(
        this->suspects.begin(), this->suspects.end(), [](const auto &left, const auto &right) {
            return left.second.lastActivity < right.second.lastActivity;
        });
    this->suspects.erase(oldest);
}

} // namespace plantainswitch
