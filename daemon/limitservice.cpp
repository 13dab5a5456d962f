#include "limitservice.h"

#include <algorithm>

#include <asio/post.hpp>

namespace plantainswitch {

namespace {

/// The first use of a workspace is reported within this time. Later reports are at least a second
/// apart.
constexpr std::chrono::milliseconds tickPeriod{250};
/// Uses per datagram. This many stay well below the datagram limit.
constexpr std::size_t maxUsesPerDatagram = 40;

} // namespace

LimitService::LimitService(Node &node, std::shared_ptr<PeerTransport> link)
    : node(node)
    , link(std::move(link))
    , timer(this->link->executor())
{}

void LimitService::start()
{
    this->link->setHandler<LimitReport>([self = this->shared_from_this()](std::uint64_t sender,
                                                                          const Endpoint &from,
                                                                          PeerBody body) {
        const LimitShares answer = self->node.limits.allocateShares(
            sender, std::get<LimitReport>(body), self->limitLookup(), self->node.fleetSize(),
            self->node.clock.now());
        self->link->send(from, answer);
    });
    this->link->setHandler<LimitShares>(
        [self = this->shared_from_this()](std::uint64_t, const Endpoint &, PeerBody body) {
            self->node.limits.applyShares(std::get<LimitShares>(body), self->node.clock.now());
        });
    asio::post(this->link->executor(), [self = this->shared_from_this()] { self->tick(); });
}

void LimitService::tick()
{
    this->reportUses();
    this->timer.expires_after(tickPeriod);
    this->timer.async_wait([self = this->shared_from_this()](const asio::error_code &error) {
        if (!error) {
            self->tick();
        }
    });
}

void LimitService::reportUses()
{
    const TimePoint now = this->node.clock.now();
    const MemberSnapshot active = this->node.members.active();
    this->node.updateRouterCounts(*active);
    this->node.limits.forgetIdle(now);
    const auto uses = this->node.limits.dueReports(++this->sequence, this->limitLookup(),
                                                   this->node.fleetSize(), now);
    std::map<std::string, std::pair<Heartbeat, std::vector<LimitUse>>> batches;
    for (const LimitUse &use : uses) {
        const Heartbeat owner =
            limitOwnerOf(use.workspace, *active).value_or(this->node.heartbeat());
        auto &batch = batches[owner.id];
        batch.first = owner;
        batch.second.push_back(use);
    }
    for (auto &[id, batch] : batches) {
        this->sendReport(batch.first, std::move(batch.second));
    }
}

void LimitService::sendReport(const Heartbeat &owner, std::vector<LimitUse> uses)
{
    if (owner.id == this->node.settings.id) {
        const TimePoint now = this->node.clock.now();
        const LimitReport report{this->sequence, std::move(uses)};
        this->node.limits.applyShares(this->node.limits.allocateShares(this->node.identity, report,
                                                                       this->limitLookup(),
                                                                       this->node.fleetSize(), now),
                                      now);
        return;
    }
    for (std::size_t first = 0; first < uses.size(); first += maxUsesPerDatagram) {
        const std::size_t last = std::min(uses.size(), first + maxUsesPerDatagram);
        LimitReport report;
        report.sequence = this->sequence;
        report.uses.assign(uses.begin() + static_cast<std::ptrdiff_t>(first),
                           uses.begin() + static_cast<std::ptrdiff_t>(last));
        this->link->send(owner.datagramEndpoint, report);
    }
}

LimitLookup LimitService::limitLookup()
{
    const auto current = this->node.catalogue.view();
    if (current != this->view) {
        auto built = std::make_shared<LimitsById>();
        for (const auto &[name, workspace] : current->workspaces) {
            if (workspace.requestsPerSecond != 0 || workspace.maxInFlight != 0) {
                (*built)[workspaceIdOf(name)] = {workspace.requestsPerSecond,
                                                 workspace.maxInFlight};
            }
        }
        this->view = current;
        this->limits = std::move(built);
    }
    return [known = this->limits](WorkspaceId workspace) -> std::optional<WorkspaceLimit> {
        const auto found = known ? known->find(workspace) : LimitsById::const_iterator{};
        if (!known || found == known->end()) {
            return std::nullopt;
        }
        return found->second;
    };
}

} // namespace plantainswitch
