#include "plantainswitch/routing/crashquarantine.h"

#include <algorithm>
#include <array>

namespace plantainswitch {

namespace {

/// \returns whether two crashes may have one cause: the request was running on both upstreams when
/// they went down.
bool haveOneCause(const CrashReport &left, const CrashReport &right)
{
    const bool overlap = left.sentAt < right.brokenAt && right.sentAt < left.brokenAt;
    const Duration apart = left.brokenAt > right.brokenAt ? left.brokenAt - right.brokenAt
                                                          : right.brokenAt - left.brokenAt;
    return overlap && apart < concurrentCrashWindow;
}

} // namespace

std::string_view nameOf(CrashVerdict verdict) noexcept
{
    constexpr std::array<std::string_view, 4> names{"counted", "known-upstream", "concurrent",
                                                    "answered-since"};
    return names.at(static_cast<std::size_t>(verdict));
}

void CrashQuarantine::recordBrokenAnswer(RequestFingerprint request, std::uint64_t incarnation,
                                         TimePoint sentAt, TimePoint now)
{
    std::erase_if(this->brokenAnswers, [now](const auto &entry) {
        return now - entry.second.back().when > crashConfirmationWindow;
    });
    this->brokenAnswers[incarnation].push_back({request, sentAt, now});
}

std::vector<ConfirmedCrash> CrashQuarantine::confirmCrash(std::uint64_t incarnation, TimePoint now)
{
    std::vector<ConfirmedCrash> confirmed;
    const auto found = this->brokenAnswers.find(incarnation);
    if (found == this->brokenAnswers.end()) {
        return confirmed;
    }
    for (const BrokenAnswer &each : found->second) {
        if (now - each.when <= crashConfirmationWindow) {
            confirmed.push_back({{each.request, incarnation, each.sentAt, each.when}});
        }
    }
    this->brokenAnswers.erase(found);
    for (ConfirmedCrash &crash : confirmed) {
        crash.verdict = this->recordCrash(crash.report, now);
    }
    return confirmed;
}

CrashVerdict CrashQuarantine::recordCrash(const CrashReport &report, TimePoint now)
{
    const auto success = this->answered.find(report.request);
    if (success != this->answered.end() && report.brokenAt <= success->second) {
        return CrashVerdict::AnsweredSince;
    }
    Suspect &suspect = this->suspects[report.request];
    if (suspect.crashes.contains(report.incarnation)) {
        return CrashVerdict::KnownUpstream;
    }
    const bool isConcurrent =
        std::any_of(suspect.crashes.begin(), suspect.crashes.end(),
                    [&report](const auto &entry) { return haveOneCause(entry.second, report); });
    if (isConcurrent) {
        return CrashVerdict::Concurrent;
    }
    suspect.crashes.emplace(report.incarnation, report);
    suspect.lastCrash = std::max(suspect.lastCrash, report.brokenAt);
    // During a quarantine, reports of earlier crashes may still arrive; only a trial after it is
    // new evidence.
    if (suspect.crashes.size() >= quarantineThreshold
        && report.brokenAt >= suspect.quarantinedUntil) {
        suspect.quarantine = suspect.quarantine.count() == 0
                                 ? initialQuarantine
                                 : std::min(suspect.quarantine * quarantineGrowth, maxQuarantine);
        suspect.quarantinedUntil = now + suspect.quarantine;
    }
    if (this->suspects.size() > maxCrashSuspects) {
        this->dropOldest();
    }
    return CrashVerdict::Counted;
}

std::size_t CrashQuarantine::crashCount(RequestFingerprint request) const
{
    const auto found = this->suspects.find(request);
    return found == this->suspects.end() ? 0 : found->second.crashes.size();
}

bool CrashQuarantine::clearSuspect(RequestFingerprint request, TimePoint now)
{
    const bool wasSuspected = this->suspects.erase(request) > 0;
    const bool wasBroken = this->removeBrokenAnswers(request);
    if (wasSuspected || wasBroken) {
        std::erase_if(this->answered, [now](const auto &entry) {
            return now - entry.second > crashConfirmationWindow;
        });
        this->answered[request] = now;
    }
    return wasSuspected;
}

bool CrashQuarantine::removeBrokenAnswers(RequestFingerprint request)
{
    std::size_t forgotten = 0;
    for (auto &[incarnation, broken] : this->brokenAnswers) {
        forgotten += std::erase_if(
            broken, [request](const BrokenAnswer &each) { return each.request == request; });
    }
    std::erase_if(this->brokenAnswers, [](const auto &entry) { return entry.second.empty(); });
    return forgotten > 0;
}

bool CrashQuarantine::isQuarantined(RequestFingerprint request, TimePoint now) const
{
    const auto found = this->suspects.find(request);
    return found != this->suspects.end() && isInQuarantine(found->second, now);
}

bool CrashQuarantine::isInQuarantine(const Suspect &suspect, TimePoint now)
{
    return suspect.crashes.size() >= quarantineThreshold && now - suspect.lastCrash < maxQuarantine;
}

std::vector<CrashReport> CrashQuarantine::quarantinedCrashes(TimePoint now) const
{
    std::vector<CrashReport> reports;
    std::size_t shared = 0;
    for (const auto &[request, suspect] : this->suspects) {
        if (!isInQuarantine(suspect, now) || shared == maxSharedQuarantines) {
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

bool CrashQuarantine::allowTrial(RequestFingerprint request, bool isDesignated, TimePoint now)
{
    const auto found = this->suspects.find(request);
    if (found == this->suspects.end()) {
        return true;
    }
    Suspect &suspect = found->second;
    // A router that missed the report of the success must not quarantine the request indefinitely.
    constexpr int extraQuarantines = 2;
    const TimePoint due = suspect.quarantinedUntil
                          + (isDesignated ? Seconds{0} : extraQuarantines * suspect.quarantine);
    if (now < std::max(due, suspect.nextTrial)) {
        return false;
    }
    suspect.nextTrial = now + suspect.quarantine;
    return true;
}

void CrashQuarantine::dropOldest()
{
    const auto oldest = std::min_element(this->suspects.begin(), this->suspects.end(),
                                         [](const auto &left, const auto &right) {
                                             return left.second.lastCrash < right.second.lastCrash;
                                         });
    this->suspects.erase(oldest);
}

} // namespace plantainswitch
