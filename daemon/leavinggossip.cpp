#include "leavinggossip.h"

#include <algorithm>

#include <asio/post.hpp>

namespace plantainswitch {

namespace {

constexpr std::chrono::milliseconds gossipPeriod{100};
constexpr std::size_t targetsInDataCentre = 3;
constexpr std::size_t targetsElsewhere = 2;
/// VMs per datagram, few enough that it stays below maxDatagramBytes.
constexpr std::size_t maxVmsPerNotice = 12;

} // namespace

LeavingGossip::LeavingGossip(Node &node, std::shared_ptr<PeerTransport> link)
    : node(node)
    , link(std::move(link))
    , timer(this->link->executor())
    , random(node.identity)
{}

void LeavingGossip::start()
{
    this->link->setHandler<LeavingNotice>(
        [self = this->shared_from_this()](std::uint64_t, const Endpoint &, PeerBody body) {
            for (const std::string &vm : std::get<LeavingNotice>(body).vms) {
                self->node.upstreams.markDraining(vm, self->node.clock.now());
            }
        });
    asio::post(this->link->executor(), [self = this->shared_from_this()] { self->tick(); });
}

void LeavingGossip::tick()
{
    const LeavingNotice fresh{this->node.upstreams.takeNewlyDraining()};
    for (const std::string &vm : fresh.vms) {
        logEvent(Event::LeavingHeard, {{"upstream", vm}});
    }
    this->gossip(this->previousNotice);
    this->gossip(fresh);
    this->previousNotice = fresh;
    this->timer.expires_after(gossipPeriod);
    this->timer.async_wait([self = this->shared_from_this()](const asio::error_code &error) {
        if (!error) {
            self->tick();
        }
    });
}

void LeavingGossip::gossip(const LeavingNotice &notice)
{
    if (notice.vms.empty()) {
        return;
    }
    std::vector<Heartbeat> local;
    std::vector<Heartbeat> others;
    for (const Heartbeat &member : this->node.members.all()) {
        if (member.id != this->node.settings.id) {
            (member.dataCentre == this->node.settings.dataCentre ? local : others)
                .push_back(member);
        }
    }
    std::vector<Heartbeat> targets;
    std::sample(local.begin(), local.end(), std::back_inserter(targets), targetsInDataCentre,
                this->random);
    std::sample(others.begin(), others.end(), std::back_inserter(targets), targetsElsewhere,
                this->random);
    for (std::size_t first = 0; first < notice.vms.size(); first += maxVmsPerNotice) {
        const std::size_t last = std::min(notice.vms.size(), first + maxVmsPerNotice);
        const LeavingNotice part{{notice.vms.begin() + static_cast<std::ptrdiff_t>(first),
                                  notice.vms.begin() + static_cast<std::ptrdiff_t>(last)}};
        for (const Heartbeat &target : targets) {
            this->link->send(target.datagramEndpoint, part);
        }
    }
}

} // namespace plantainswitch
