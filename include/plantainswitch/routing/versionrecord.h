#pragma once

#include <cstdint>
#include <optional>
#include <set>

#include "plantainswitch/routing/streamorigin.h"

namespace plantainswitch {

/// The platform store's record of the software versions that may have written events of a service's
/// streams. It outlives the routers, so that they know it also after all of them were killed.
struct VersionRecord
{
    /// Hash of the service's name.
    std::uint64_t service = 0;
    /// The version that wrote the events of all streams that callers may still take up; nothing if
    /// there were several.
    std::optional<VersionKey> only;
    /// Revision of the store at which the record was last changed.
    std::uint64_t revision = 0;
};

/// What a router has observed of a service's versions.
struct ListedVersions
{
    /// Versions of the upstreams that are listed.
    std::set<VersionKey> listed;
    /// The only version since before the streams began that callers may still take up; nothing if
    /// there were several, or if this router may have missed one.
    std::optional<VersionKey> settled;
    /// The system starts for the first time: no stream began earlier.
    bool isFirstStart = false;
};

/// \param service hash of the service's name
/// \param stored the store's record, if there is one
/// \returns the record to write in its place, under the condition that it is unchanged; nothing if
/// it holds.
[[nodiscard]] std::optional<VersionRecord>
nextVersionRecord(std::uint64_t service, const std::optional<VersionRecord> &stored,
                  const ListedVersions &seen);

} // namespace plantainswitch
