#include "plantainswitch/limits/table.h"

#include "plantainswitch/base/hash.h"
#include "plantainswitch/placement/rendezvous.h"

namespace plantainswitch {

namespace {

/// A dropped workspace starts with a full minimum burst again. Dropping it late keeps the requests
/// that this admits far below any limit.
constexpr Duration idleRetention = std::chrono::hours{1};

} // namespace

WorkspaceId workspaceIdOf(std::string_view name) noexcept
{
    return hashOf(name);
}

std::optional<Heartbeat> limitOwnerOf(WorkspaceId workspace, const std::vector<Heartbeat> &active)
{
    const Heartbeat *best = nullptr;
    double bestScore = 0;
    for (const Heartbeat &member : active) {
        const double score = rendezvousScore(workspace, {hashOf(member.id), 1.0});
        if (best == nullptr || score > bestScore) {
            best = &member;
            bestScore = score;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(*best);
}

std::optional<LimitRefusal> LimitTable::admit(WorkspaceId workspace, const WorkspaceLimit &limit,
                                              const FleetSize &fleet, TimePoint now)
{
    const RankedLock lock(this->mutex);
    return admitWithinLimit(this->locals[workspace], limit, fleet, this->settings, now);
}

void LimitTable::release(WorkspaceId workspace)
{
    const RankedLock lock(this->mutex);
    const auto found = this->locals.find(workspace);
    if (found != this->locals.end()) {
        releaseWithinLimit(found->second);
    }
}

std::vector<LimitUse> LimitTable::dueReports(std::uint32_t sequence, const LimitLookup &limitOf,
                                             const FleetSize &fleet, TimePoint now)
{
    const RankedLock lock(this->mutex);
    std::vector<LimitUse> uses;
    for (auto &[workspace, local] : this->locals) {
        const auto limit = limitOf(workspace);
        if (!limit) {
            continue;
        }
        if (const auto use =
                dueReport(local, workspace, sequence, *limit, fleet, this->settings, now)) {
            uses.push_back(*use);
        }
    }
    return uses;
}

void LimitTable::applyShares(const LimitShares &shares, TimePoint now)
{
    const RankedLock lock(this->mutex);
    for (const LimitShare &share : shares.shares) {
        const auto found = this->locals.find(share.workspace);
        if (found != this->locals.end()) {
            applyShare(found->second, share, shares.sequence, this->settings, now);
        }
    }
}

LimitShares LimitTable::allocateShares(std::uint64_t router, const LimitReport &report,
                                       const LimitLookup &limitOf, const FleetSize &fleet,
                                       TimePoint now)
{
    const RankedLock lock(this->mutex);
    LimitShares reply{report.sequence, {}};
    for (const LimitUse &use : report.uses) {
        const auto limit = limitOf(use.workspace);
        if (!limit) {
            continue;
        }
        if (const auto share = allocateShare(this->owned[use.workspace], *limit, router, use,
                                             report.sequence, fleet, this->settings, now)) {
            reply.shares.push_back(*share);
        }
    }
    return reply;
}

void LimitTable::forgetIdle(TimePoint now)
{
    const RankedLock lock(this->mutex);
    std::erase_if(this->locals, [now](const auto &item) {
        return item.second.inFlight == 0 && now - item.second.lastUsed > idleRetention;
    });
    std::erase_if(this->owned, [now](const auto &item) {
        return now - item.second.lastReportAt > idleRetention;
    });
}

double LimitTable::rate(WorkspaceId workspace, const WorkspaceLimit &limit, const FleetSize &fleet,
                        TimePoint now) const
{
    const RankedLock lock(this->mutex);
    const auto found = this->locals.find(workspace);
    return allowedRate(found == this->locals.end() ? LocalLimit{} : found->second, limit, fleet,
                       this->settings, now);
}

} // namespace plantainswitch
