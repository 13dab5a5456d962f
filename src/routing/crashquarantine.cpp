#include "plantainswitch/routing/crashquarantine.h"

#include <algorithm>

namespace plantainswitch {

namespace {

/// \returns whether two crashes may be one: the request ran on both upstreams when they went down.
bool isOneMoment(const CrashReport &left, const CrashReport &right)
{
    const bool overlap = left.begunAt < right.brokenAt && right.begunAt < left.brokenAt;
    const Duration apart = left.brokenAt > right.brokenAt ? left.brokenAt - right.brokenAt
                                                          : right.brokenAt - left.brokenAt;
    return overlap && apart < sameMoment;
}

} // namespace

void CrashSuspects::noteBroken(RequestFingerprint request, std::uint64_t life, TimePoint begunAt,
                               TimePoint now)
{
    std::erase_if(this->broken, [now](const auto &entry) {
        return now - entry.second.back().when > crashConfirmation;
    });
    this->broken[life].push_back({request, begunAt, now});
}

std::vector<CrashReport> CrashSuspects::confirm(std::uint64_t life, TimePoint now)
{
    std::vector<CrashReport> reports;
    const auto found = this->broken.find(life);
    if (found == this->broken.end()) {
        return reports;
    }
    for (const Broken &each : found->second) {
        if (now - each.when <= crashConfirmation) {
            reports.push_back({each.request, life, each.begunAt, each.when});
        }
    }
    this->broken.erase(found);
    for (const CrashReport &report : reports) {
        this->take(report, now);
    }
    return reports;
}

void CrashSuspects::take(const CrashReport &report, TimePoint now)
{
    const auto success = this->answered.find(report.request);
    if (success != this->answered.end() && report.brokenAt <= success->second) {
        return;
    }
    Suspect &suspect = this->suspects[report.request];
    const bool isKnown =
        std::any_of(suspect.crashes.begin(), suspect.crashes.end(), [&report](const auto &entry) {
            return entry.first == report.life || isOneMoment(entry.second, report);
        });
    if (isKnown) {
        return;
    }
    suspect.crashes.emplace(report.life, report);
    suspect.lastCrash = std::max(suspect.lastCrash, report.brokenAt);
    // Within a hold more may be heard of crashes before it; only a try after it says anything new.
    if (suspect.crashes.size() >= crashesToHold && report.brokenAt >= suspect.heldUntil) {
        suspect.hold = suspect.hold.count() == 0 ? firstHold
                                                 : std::min(suspect.hold * holdGrowth, longestHold);
        suspect.heldUntil = now + suspect.hold;
    }
    if (this->suspects.size() > mostSuspects) {
        this->dropOldest();
    }
}

bool CrashSuspects::clear(RequestFingerprint request, TimePoint now)
{
    const bool wasSuspected = this->suspects.erase(request) > 0;
    const bool hadBroken = this->forgetBroken(request);
    if (wasSuspected || hadBroken) {
        std::erase_if(this->answered,
                      [now](const auto &entry) { return now - entry.second > crashConfirmation; });
        this->answered[request] = now;
    }
    return wasSuspected;
}

bool CrashSuspects::forgetBroken(RequestFingerprint request)
{
    std::size_t forgotten = 0;
    for (auto &[life, broken] : this->broken) {
        forgotten += std::erase_if(
            broken, [request](const Broken &each) { return each.request == request; });
    }
    std::erase_if(this->broken, [](const auto &entry) { return entry.second.empty(); });
    return forgotten > 0;
}

bool CrashSuspects::isHeld(RequestFingerprint request, TimePoint now) const
{
    const auto found = this->suspects.find(request);
    return found != this->suspects.end() && isHeldBack(found->second, now);
}

bool CrashSuspects::isHeldBack(const Suspect &suspect, TimePoint now)
{
    return suspect.crashes.size() >= crashesToHold && now - suspect.lastCrash < longestHold;
}

std::vector<CrashReport> CrashSuspects::heldCrashes(TimePoint now) const
{
    std::vector<CrashReport> reports;
    std::size_t retold = 0;
    for (const auto &[request, suspect] : this->suspects) {
        if (!isHeldBack(suspect, now) || retold == mostRetold) {
            continue;
        }
        ++retold;
        std::size_t crashes = 0;
        for (const auto &[life, report] : suspect.crashes) {
            if (crashes++ < crashesToHold) {
                reports.push_back(report);
            }
        }
    }
    return reports;
}

bool CrashSuspects::letThrough(RequestFingerprint request, bool isFirst, TimePoint now)
{
    const auto found = this->suspects.find(request);
    if (found == this->suspects.end()) {
        return true;
    }
    Suspect &suspect = found->second;
    // A router that missed the word of its being cleared must not hold it back for ever.
    constexpr int laterByHolds = 2;
    const TimePoint own = suspect.heldUntil + (isFirst ? Seconds{0} : laterByHolds * suspect.hold);
    if (now < std::max(own, suspect.nextTry)) {
        return false;
    }
    suspect.nextTry = now + suspect.hold;
    return true;
}

void CrashSuspects::dropOldest()
{
    const auto oldest = std::min_element(this->suspects.begin(), this->suspects.end(),
                                         [](const auto &left, const auto &right) {
                                             return left.second.lastCrash < right.second.lastCrash;
                                         });
    this->suspects.erase(oldest);
}

} // namespace plantainswitch
