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

/// \returns the identity of the workspace of that \a name.
[[nodiscard]] WorkspaceId workspaceIdOf(std::string_view name) noexcept;

/// \returns the router that divides the limit of \a workspace: by rendezvous over \a active.
[[nodiscard]] std::optional<Heartbeat> limitOwnerOf(WorkspaceId workspace,
                                                    const std::vector<Heartbeat> &active);

/// \returns the limit of a workspace, or nothing when it is unknown or has none.
using LimitLookup = std::function<std::optional<WorkspaceLimit>(WorkspaceId)>;

/// Limits of the workspaces at this router: its own parts, and those it divides as their owner.
class LimitTable
{
public:
    explicit LimitTable(ShareSettings settings = {})
        : settings(settings)
    {}

    /// Admits one request of \a workspace, or says why not.
    std::optional<LimitRefusal> admit(WorkspaceId workspace, const WorkspaceLimit &limit,
                                      const FleetSize &fleet, TimePoint now);
    /// Takes the end of an admitted request into account.
    void release(WorkspaceId workspace);

    /// \returns what is due to be reported to the owners, under the number \a sequence.
    std::vector<LimitUse> dueReports(std::uint32_t sequence, const LimitLookup &limitOf,
                                     const FleetSize &fleet, TimePoint now);
    /// Takes the answer of an owner.
    void applyShares(const LimitShares &shares, TimePoint now);
    /// Divides as the owner.
    [[nodiscard]] LimitShares allocateShares(std::uint64_t router, const LimitReport &report,
                                             const LimitLookup &limitOf, const FleetSize &fleet,
                                             TimePoint now);
    /// Forgets workspaces that were not used for long.
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
