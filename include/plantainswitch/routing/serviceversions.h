#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "plantainswitch/base/clock.h"
#include "plantainswitch/routing/streamorigin.h"

namespace plantainswitch {

/// The software versions of each service's upstreams over time, as this router's list showed them.
///
/// They show whether all streams that callers may still take up began at one version
/// (VersionRecord). Upstreams serve on after their entry was removed, so that a version counts for
/// as long as its streams may last, not only while it is listed.
class ServiceVersions
{
public:
    /// The list is complete from \a now on; changes before that may have been missed.
    void restart(TimePoint now);
    /// Records the list as it is at \a now.
    void update(const std::map<std::string, Replica> &listed, TimePoint now);
    /// \returns the version of all upstreams of \a service that were listed since \a since, if
    /// there was one only and no change was missed.
    [[nodiscard]] std::optional<VersionKey> onlyVersionSince(const std::string &service,
                                                             TimePoint since) const;
    /// \returns the only version of \a service that this router saw listed since \a since. Others
    /// may have been listed at times in which it did not follow the list.
    [[nodiscard]] std::optional<VersionKey> onlySeenSince(const std::string &service,
                                                          TimePoint since) const;
    /// \returns when the last but one version of \a service was last listed, by this router's list;
    /// nothing if there was one version only.
    [[nodiscard]] std::optional<TimePoint> mixedAt(const std::string &service, TimePoint now) const;
    /// Records the same by another router's list. \param service hash of its name
    void recordMixedElsewhere(std::uint64_t service, TimePoint at);
    /// \returns whether upstreams of two versions of \a service were listed since \a since.
    [[nodiscard]] bool areMixedSince(const std::string &service, TimePoint since,
                                     TimePoint now) const;
    /// \returns the versions of the upstreams of \a service that are listed.
    [[nodiscard]] std::set<VersionKey> listedOf(const std::string &service) const;

private:
    std::optional<TimePoint> completeSince;
    /// When an upstream of each version was last listed, by service; TimePoint::max() if one is.
    std::map<std::string, std::map<VersionKey, TimePoint>> lastListed;
    /// When other routers last saw two versions, by the hash of the service's name.
    std::map<std::uint64_t, TimePoint> mixedElsewhere;
};

} // namespace plantainswitch
