#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "plantainswitch/base/lockorder.h"
#include "plantainswitch/limits/shares.h"
#include "plantainswitch/membership/members.h"

namespace plantainswitch {

/// \returns the identity of the workspace named \a name.
[[nodiscard]] WorkspaceId workspaceIdOf(std::string_view name) noexcept;

/// \returns the router that divides the limit of \a workspace: by rendezvous hashing over \a
/// active.
[[nodiscard]] std::optional<Heartbeat> limitOwnerOf(WorkspaceId workspace,
                                                    const std::vector<Heartbeat> &active);

/// Looks up the limit of a workspace; nothing when it is unknown or has none.
using LimitLookup = std::function<std::optional<WorkspaceLimit>(WorkspaceId)>;

/// Thread-safe workspace limits at this router: its own shares, and those it divides as an owner.
class LimitTable
{
public:
    explicit LimitTable(ShareSettings settings = {})
        : settings(settings)
    {}

    /// See admitWithinLimit().
    std::optional<LimitRefusal> admit(WorkspaceId workspace, const WorkspaceLimit &limit,
                                      const FleetSize &fleet, TimePoint now);
    /// See releaseWithinLimit().
    void release(WorkspaceId workspace);

    /// \returns the reports that are due, with the number \a sequence.
    std::vector<LimitUse> dueReports(std::uint32_t sequence, const LimitLookup &limitOf,
                                     const FleetSize &fleet, TimePoint now);
    /// Handles the reply of an owner.
    void applyShares(const LimitShares &shares, TimePoint now);
    /// Handles a report as the owner. \returns the shares of its router.
    [[nodiscard]] LimitShares allocateShares(std::uint64_t router, const LimitReport &report,
                                             const LimitLookup &limitOf, const FleetSize &fleet,
                                             TimePoint now);
    /// Drops workspaces that were idle for long.
    void forgetIdle(TimePoint now);

    /// \returns the rate that this router may admit now.
    [[nodiscard]] double rate(WorkspaceId workspace, const WorkspaceLimit &limit,
                              const FleetSize &fleet, TimePoint now) const;

private:
    ShareSettings settings;
    mutable RankedMutex mutex{LockRank::Limits};
    std::map<WorkspaceId, LocalLimit> locals;
    std::map<WorkspaceId, OwnedLimit> owned;
};

} // namespace plantainswitch
