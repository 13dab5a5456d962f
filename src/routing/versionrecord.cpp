#include "plantainswitch/routing/versionrecord.h"

namespace plantainswitch {

std::optional<VersionRecord> nextVersionRecord(std::uint64_t service,
                                               const std::optional<VersionRecord> &stored,
                                               const ListedVersions &seen)
{
    if (seen.listed.empty()) {
        return std::nullopt;
    }
    VersionRecord next{service, std::nullopt, stored ? stored->revision : 0};
    if (stored && stored->only) {
        const bool holds = seen.listed == std::set<VersionKey>{*stored->only};
        return holds ? std::nullopt : std::optional(next);
    }
    next.only = seen.settled;
    if (!stored && seen.isFirstStart) {
        // Several versions are recorded, too: one of them may leave while its streams last.
        next.only = seen.listed.size() == 1 ? std::optional(*seen.listed.begin()) : std::nullopt;
        return next;
    }
    // Without a record every version is possible, so that one which states that is not needed.
    return next.only ? std::optional(next) : std::nullopt;
}

} // namespace plantainswitch
