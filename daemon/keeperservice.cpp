#include "keeperservice.h"

namespace plantainswitch {

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
}

void KeeperService::ask(std::uint64_t router, const SlotAsk &ask,
                        const std::function<void(SlotReply)> &done)
{
    const auto view = this->node.catalogue.view();
    const Service *service = nullptr;
    if (view) {
        const auto found = view->services.find(ask.shard.service);
        service = found == view->services.end() ? nullptr : &found->second;
    }
    if (service == nullptr) {
        done({ask.askId, SlotVerdict::Empty, 0});
        return;
    }
    BoundSettings bound;
    bound.capacity = service->engineCapacity;
    const TimePoint now = this->node.clock.now();
    const std::vector<UpstreamId> ready =
        readyOf(this->node.upstreams, ask.shard, service->shards, now);
    if (this->node.suspects.blame(ask.fingerprint, now) == Blame::None) {
        done(this->node.keeper.grant(router, ask, ready, bound, now));
        return;
    }
    const auto running = this->node.keeper.running(shardIdOf(ask.shard), {router, ask.askId});
    if (this->node.suspects.heldBack(ask.fingerprint, running, now)) {
        done({ask.askId, SlotVerdict::Overflow, 0});
        return;
    }
    SlotAsk apart = ask;
    const auto away = this->node.suspects.keepAway(ask.fingerprint, running, now);
    apart.avoid.insert(apart.avoid.end(), away.begin(), away.end());
    done(this->node.keeper.grant(router, apart, ready, bound, now));
}

void KeeperService::release(std::uint64_t router, const SlotRelease &release)
{
    this->node.keeper.release(router, release);
}

} // namespace plantainswitch
