#include "plantainswitch/base/hash.h"

#include "fleetgossip.h"

namespace plantainswitch::gateway {

namespace {

std::uint64_t usageKeyOf(std::string_view workspace)
{
    return workspace.empty() ? allWorkspaces : hashOf(workspace);
}

} // namespace

void GatewayState::recordUse(std::string_view workspace)
{
    this->workspaceUsage.record(usageKeyOf(workspace), this->clock.now());
}

double GatewayState::surgeOf(std::string_view workspace) const
{
    if (!this->settings.fairness.enabled || workspace.empty()) {
        return 1.0;
    }
    const double surge = this->workspaceUsage.surge(usageKeyOf(workspace), this->clock.now());
    return surge >= this->settings.fairness.minSurge ? surge : 1.0;
}

double GatewayState::usualShareOf(std::string_view workspace) const
{
    if (!this->settings.fairness.enabled || workspace.empty()) {
        return 0.0;
    }
    return this->workspaceUsage.usualShare(usageKeyOf(workspace), this->clock.now());
}

void FleetGossip::applyWorkspaceUse(const wire::RouterNews &message, TimePoint now)
{
    std::vector<WorkspaceUse> uses;
    for (const wire::WorkspaceUse &entry : message.workspace_use()) {
        uses.push_back({entry.workspace(), entry.current_per_second(), entry.usual_per_second()});
    }
    this->gateway.workspaceUsage.applyReport(message.id(), uses, now);
}

void FleetGossip::appendWorkspaceUse(wire::RouterNews &message, TimePoint now)
{
    for (const WorkspaceUse &use : this->gateway.workspaceUsage.report(maxReportedUses, now)) {
        wire::WorkspaceUse *const entry = message.add_workspace_use();
        entry->set_workspace(use.workspace);
        entry->set_current_per_second(use.currentPerSecond);
        entry->set_usual_per_second(use.usualPerSecond);
    }
}

} // namespace plantainswitch::gateway
