#include "keeperservice.h"

#include <set>

#include <asio/post.hpp>

namespace plantainswitch {

namespace {

constexpr std::chrono::milliseconds summaryPeriod{1000};

} // namespace

void KeeperService::start()
{
    this->link->handle<SlotAsk>([self = this->shared_from_this()](
                                    std::uint64_t sender, const Endpoint &from, PeerBody body) {
        self->ask(sender, std::get<SlotAsk>(body),
                  [self, from](const SlotReply &reply) { self->link->send(from, reply); });
    });
    this->link->handle<SlotRelease>(
        [self = this->shared_from_this()](std::uint64_t sender, const Endpoint &, PeerBody body) {
            self->release(sender, std::get<SlotRelease>(body));
        });
    this->link->handle<SlotDigest>([self = this->shared_from_this()](
                                       std::uint64_t sender, const Endpoint &from, PeerBody body) {
        const auto &digest = std::get<SlotDigest>(body);
        if (self->node.keeper.differs(sender, digest, self->node.clock.now())) {
            logEvent(Event::SlotsDiffer, {{"from", toText(from)}});
            self->link->send(from, SlotListAsk{digest.shard});
        }
    });
    this->link->handle<SlotList>(
        [self = this->shared_from_this()](std::uint64_t sender, const Endpoint &, PeerBody body) {
            self->node.keeper.takeList(sender, std::get<SlotList>(body), self->node.clock.now());
        });
    this->link->handle<ShardSummary>(
        [self = this->shared_from_this()](std::uint64_t, const Endpoint &, PeerBody body) {
            self->node.keeper.takeSummary(std::get<ShardSummary>(body), self->node.clock.now());
        });
    asio::post(this->link->executor(), [self = this->shared_from_this()] { self->schedule(); });
}

void KeeperService::schedule()
{
    this->sendSummaries();
    this->timer.expires_after(summaryPeriod);
    this->timer.async_wait([self = this->shared_from_this()](const asio::error_code &error) {
        if (!error) {
            self->schedule();
        }
    });
}

void KeeperService::sendSummaries()
{
    const auto catalogue = this->node.catalogue.view();
    const std::vector<Heartbeat> active = this->node.members.active();
    for (const ShardSummary &summary : this->node.keeper.summaries(this->node.clock.now())) {
        if (!catalogue || !catalogue->services.contains(summary.shard.service)) {
            continue;
        }
        // The keepers of the pool's shards, of this one too: another router that keeps it hears
        // so that it isn't alone.
        std::set<Endpoint> targets;
        Shard shard = summary.shard;
        const std::uint32_t shards = catalogue->services.at(summary.shard.service).shards;
        for (shard.number = 0; shard.number < shards; ++shard.number) {
            if (const auto keeper = keeperOf(shard, active)) {
                targets.insert(keeper->datagrams);
            }
        }
        targets.erase(this->node.settings.peerDatagrams);
        for (const Endpoint &target : targets) {
            this->link->send(target, summary);
        }
    }
}

void KeeperService::handOver()
{
    std::vector<Heartbeat> others = this->node.members.active();
    std::erase_if(others,
                  [this](const Heartbeat &member) { return member.id == this->node.settings.id; });
    std::size_t slots = 0;
    for (const SlotList &list : this->node.keeper.lists()) {
        if (const auto next = keeperOf(list.shard, others)) {
            slots += list.slots.size();
            this->link->send(next->datagrams, list);
        }
    }
    logEvent(Event::ShardsHandedOver, {{"slots", std::to_string(slots)}});
}

void KeeperService::ask(std::uint64_t router, const SlotAsk &ask,
                        const std::function<void(SlotReply)> &done)
{
    const auto catalogue = this->node.catalogue.view();
    const Service *service = nullptr;
    if (catalogue) {
        const auto found = catalogue->services.find(ask.shard.service);
        service = found == catalogue->services.end() ? nullptr : &found->second;
    }
    if (service == nullptr) {
        done({ask.askId, SlotVerdict::Empty, 0});
        return;
    }
    const TimePoint now = this->node.clock.now();
    GrantView view;
    view.settings.capacity = service->engineCapacity;
    view.ready = readyOf(this->node.upstreams, ask.shard, service->shards, now);
    done(this->node.keeper.grant(router, ask, std::move(view), this->keeps(ask.shard), now));
}

bool KeeperService::keeps(const Shard &shard) const
{
    const auto keeper = keeperOf(shard, this->node.members.active());
    return keeper && keeper->id == this->node.settings.id;
}

void KeeperService::release(std::uint64_t router, const SlotRelease &release)
{
    this->node.keeper.release(router, release);
}

} // namespace plantainswitch
