#include "shardsync.h"

#include <set>

#include <asio/post.hpp>

namespace plantainswitch {

namespace {

constexpr std::chrono::milliseconds summaryPeriod{1000};

} // namespace

void ShardSync::start()
{
    this->link->setHandler<SlotDigest>([self = this->shared_from_this()](std::uint64_t sender,
                                                                         const Endpoint &from,
                                                                         PeerBody body) {
        const auto &digest = std::get<SlotDigest>(body);
        if (self->node.shardCoordinator.checkDigest(sender, digest, self->node.clock.now())) {
            logEvent(Event::SlotsDiffer, {{"from", toText(from)}});
            self->link->send(from, SlotListRequest{digest.shard});
        }
    });
    this->link->setHandler<SlotList>(
        [self = this->shared_from_this()](std::uint64_t sender, const Endpoint &, PeerBody body) {
            self->node.shardCoordinator.receiveList(sender, std::get<SlotList>(body),
                                                    self->node.clock.now());
        });
    this->link->setHandler<ShardSummary>(
        [self = this->shared_from_this()](std::uint64_t, const Endpoint &, PeerBody body) {
            self->node.shardCoordinator.receiveSummary(std::get<ShardSummary>(body),
                                                       self->node.clock.now());
        });
    this->link->setHandler<ChatHints>(
        [self = this->shared_from_this()](std::uint64_t, const Endpoint &from, PeerBody body) {
            self->node.shardCoordinator.receiveHints(std::get<ChatHints>(body), from,
                                                     self->node.clock.now());
        });
    asio::post(this->link->executor(), [self = this->shared_from_this()] { self->tick(); });
}

void ShardSync::tick()
{
    this->sendSummaries();
    this->sendHints(this->node.shardCoordinator.takeHints(
        this->node.settings.peerDatagrams, *this->node.members.active(), this->node.clock.now()));
    this->timer.expires_after(summaryPeriod);
    this->timer.async_wait([self = this->shared_from_this()](const asio::error_code &error) {
        if (!error) {
            self->tick();
        }
    });
}

void ShardSync::sendSummaries()
{
    const auto catalogue = this->node.catalogue.view();
    const MemberSnapshot active = this->node.members.active();
    for (const ShardSummary &summary :
         this->node.shardCoordinator.summaries(this->node.clock.now())) {
        if (!catalogue || !catalogue->services.contains(summary.shard.service)) {
            continue;
        }
        // Send to the coordinators of all shards of the pool, including this one: if another router
        // coordinates it too, it learns so from the summary.
        std::set<Endpoint> targets;
        Shard shard = summary.shard;
        const std::uint32_t shards = catalogue->services.at(summary.shard.service).shards;
        for (shard.number = 0; shard.number < shards; ++shard.number) {
            if (const auto keeper = coordinatorOf(shard, *active)) {
                targets.insert(keeper->datagramEndpoint);
            }
        }
        targets.erase(this->node.settings.peerDatagrams);
        for (const Endpoint &target : targets) {
            this->link->send(target, summary);
        }
    }
}

void ShardSync::sendHints(const std::vector<AddressedHints> &sendings)
{
    for (const auto &[to, hints] : sendings) {
        this->link->send(to, hints);
    }
}

void ShardSync::handOver()
{
    std::vector<Heartbeat> others = *this->node.members.active();
    std::erase_if(others,
                  [this](const Heartbeat &member) { return member.id == this->node.settings.id; });
    std::size_t slots = 0;
    for (const SlotList &list : this->node.shardCoordinator.slotLists()) {
        if (const auto next = coordinatorOf(list.shard, others)) {
            slots += list.slots.size();
            this->link->send(next->datagramEndpoint, list);
        }
    }
    this->sendHints(this->node.shardCoordinator.handOverHints(others));
    logEvent(Event::ShardsHandedOver, {{"slots", std::to_string(slots)}});
}

} // namespace plantainswitch
