#include "plantainswitch/routing/serviceversions.h"

#include <algorithm>
#include <functional>
#include <vector>

#include "plantainswitch/base/hash.h"

namespace plantainswitch {

namespace {

/// How long a version is remembered after its last upstream has left: longer than any stream lasts.
constexpr Seconds versionRetention{900};

} // namespace

void ServiceVersions::restart(TimePoint now)
{
    this->completeSince = now;
}

void ServiceVersions::update(const std::map<std::string, Replica> &listed, TimePoint now)
{
    std::map<std::string, std::set<VersionKey>> present;
    for (const auto &[id, replica] : listed) {
        present[replica.service].insert(versionKeyOf(replica));
    }
    for (auto &[service, versions] : this->lastListed) {
        const std::set<VersionKey> &left = present[service];
        for (auto &[version, last] : versions) {
            if (last == TimePoint::max() && !left.contains(version)) {
                last = now;
            }
        }
        std::erase_if(versions, [now](const auto &entry) {
            return entry.second != TimePoint::max() && now - entry.second > versionRetention;
        });
    }
    for (const auto &[service, versions] : present) {
        for (const VersionKey version : versions) {
            this->lastListed[service][version] = TimePoint::max();
        }
    }
}

std::optional<VersionKey> ServiceVersions::onlyVersionSince(const std::string &service,
                                                            TimePoint since) const
{
    const bool isComplete = this->completeSince && *this->completeSince <= since;
    return isComplete ? this->onlySeenSince(service, since) : std::nullopt;
}

std::optional<VersionKey> ServiceVersions::onlySeenSince(const std::string &service,
                                                         TimePoint since) const
{
    const auto found = this->lastListed.find(service);
    if (found == this->lastListed.end()) {
        return std::nullopt;
    }
    std::optional<VersionKey> only;
    for (const auto &[version, last] : found->second) {
        if (last < since) {
            continue;
        }
        if (only) {
            return std::nullopt;
        }
        only = version;
    }
    return only;
}

std::optional<TimePoint> ServiceVersions::mixedAt(const std::string &service, TimePoint now) const
{
    const auto found = this->lastListed.find(service);
    if (found == this->lastListed.end() || found->second.size() < 2) {
        return std::nullopt;
    }
    std::vector<TimePoint> times;
    for (const auto &[version, last] : found->second) {
        times.push_back(std::min(last, now));
    }
    std::nth_element(times.begin(), times.begin() + 1, times.end(), std::greater<>());
    return times[1];
}

void ServiceVersions::recordMixedElsewhere(std::uint64_t service, TimePoint at)
{
    TimePoint &known = this->mixedElsewhere[service];
    known = std::max(known, at);
}

bool ServiceVersions::areMixedSince(const std::string &service, TimePoint since,
                                    TimePoint now) const
{
    const auto elsewhere = this->mixedElsewhere.find(hashOf(service));
    return this->mixedAt(service, now) >= since
           || (elsewhere != this->mixedElsewhere.end() && elsewhere->second >= since);
}

std::set<VersionKey> ServiceVersions::listedOf(const std::string &service) const
{
    std::set<VersionKey> listed;
    const auto found = this->lastListed.find(service);
    if (found == this->lastListed.end()) {
        return listed;
    }
    for (const auto &[version, last] : found->second) {
        if (last == TimePoint::max()) {
            listed.insert(version);
        }
    }
    return listed;
}

} // namespace plantainswitch
