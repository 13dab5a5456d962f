#include "slots.h"

#include <algorithm>

#include <asio/post.hpp>

namespace plantainswitch {

namespace {

constexpr std::chrono::milliseconds releasePeriod{50};
constexpr std::chrono::milliseconds askTimeout{60};
constexpr int askSends = 3;
/// Releases that fit into one datagram with room to spare.
constexpr std::size_t releasesInDatagram = 200;

std::string describe(const Shard &shard)
{
    return shard.service + "@" + shard.place + "#" + std::to_string(shard.number);
}

Reason reasonOf(const std::optional<SlotReply> &reply)
{
    if (reply && reply->verdict == SlotVerdict::Overflow) {
        return {ErrorKind::Overloaded, "every engine is at its bound", std::nullopt};
    }
    return {ErrorKind::UpstreamUnreachable, "no engine could be had", std::nullopt};
}

} // namespace

Slots::Slots(asio::io_context & /*context*/, Node &node, std::shared_ptr<PeerLink> link,
             std::shared_ptr<KeeperService> keeper)
    : node(node)
    , link(std::move(link))
    , keeper(std::move(keeper))
    , releaseTimer(this->link->executor())
{}

void Slots::start()
{
    this->link->handle<SlotReply>(
        [self = this->shared_from_this()](std::uint64_t, const Endpoint &, PeerBody body) {
            const auto &reply = std::get<SlotReply>(body);
            self->finishAsk(reply.askId, reply);
        });
    asio::post(this->link->executor(),
               [self = this->shared_from_this()] { self->scheduleReleases(); });
}

void Slots::acquire(const std::shared_ptr<const SlotNeed> &need, Note note, Done done)
{
    const Reason none{ErrorKind::UpstreamUnreachable, "no shard could be asked", std::nullopt};
    this->tryShard(need, 0, none, std::move(note), std::move(done));
}

void Slots::tryShard(const std::shared_ptr<const SlotNeed> &need, std::size_t index, Reason last,
                     Note note, Done done)
{
    if (index >= need->plan.shards.size()) {
        done(std::nullopt, std::move(last));
        return;
    }
    const Shard &shard = need->plan.shards[index];
    const auto keeper =
        keeperOf(shard, this->node.members.active()).value_or(this->node.heartbeat());
    SlotAsk ask{this->nextAsk++, shard, need->chat, need->fingerprint, need->avoid};
    const std::uint32_t askId = ask.askId;
    this->node.metrics.count(Counter::SlotAsks);
    auto onReply = [self = this->shared_from_this(), need, index, keeper, askId, note,
                    done = std::move(done)](const std::optional<SlotReply> &reply) mutable {
        const Shard &asked = need->plan.shards[index];
        note("shard " + describe(asked) + " keeper " + keeper.id + ": "
             + (reply ? std::string(nameOf(reply->verdict)) : std::string("silent")));
        if (!reply) {
            logEvent(Event::KeeperSilent, {{"keeper", keeper.id}, {"shard", describe(asked)}});
        }
        if (reply && reply->verdict == SlotVerdict::Granted) {
            HeldSlot slot{keeper, shardIdOf(asked), askId, {}};
            const auto upstream = self->node.upstreams.find(reply->upstream);
            // The keeper's list of VMs may be ahead of ours or behind: what we don't know to be
            // in the asked place is never used, or a request could leave its permitted places.
            if (upstream && upstream->vm.place == asked.place
                && upstream->vm.service == asked.service && !upstream->vm.leaving) {
                slot.upstream = *upstream;
                done(std::move(slot), {});
                return;
            }
            self->release(slot);
        }
        self->tryShard(need, index + 1, reasonOf(reply), std::move(note), std::move(done));
    };
    if (keeper.id == this->node.settings.id) {
        this->keeper->ask(this->node.identity, ask, std::move(onReply));
    } else {
        this->ask(keeper, std::move(ask), std::move(onReply));
    }
}

void Slots::ask(const Heartbeat &keeper, SlotAsk ask, ReplyHandler done)
{
    asio::post(this->link->executor(), [self = this->shared_from_this(), to = keeper.datagrams,
                                        ask = std::move(ask), done = std::move(done)]() mutable {
        const std::uint32_t askId = ask.askId;
        PendingAsk entry{to, std::move(ask), std::move(done), nullptr, 0};
        entry.timer = std::make_unique<asio::steady_timer>(self->link->executor());
        self->pending.emplace(askId, std::move(entry));
        self->sendAsk(askId);
    });
}

void Slots::sendAsk(std::uint32_t askId)
{
    const auto found = this->pending.find(askId);
    if (found == this->pending.end()) {
        return;
    }
    PendingAsk &entry = found->second;
    if (++entry.sends > askSends) {
        this->node.metrics.count(Counter::SlotAskTimeouts);
        this->finishAsk(askId, std::nullopt);
        return;
    }
    this->link->send(entry.keeper, entry.ask);
    entry.timer->expires_after(askTimeout);
    entry.timer->async_wait(
        [self = this->shared_from_this(), askId](const asio::error_code &error) {
            if (!error) {
                self->sendAsk(askId);
            }
        });
}

void Slots::finishAsk(std::uint32_t askId, const std::optional<SlotReply> &reply)
{
    const auto found = this->pending.find(askId);
    if (found == this->pending.end()) {
        return;
    }
    const PendingAsk entry = std::move(found->second);
    this->pending.erase(found);
    entry.done(reply);
}

void Slots::flush(std::function<void()> done)
{
    asio::post(this->link->executor(), [self = this->shared_from_this(), done = std::move(done)] {
        self->flushReleases();
        asio::post(self->link->executor(), done);
    });
}

void Slots::scheduleReleases()
{
    this->flushReleases();
    this->releaseTimer.expires_after(releasePeriod);
    this->releaseTimer.async_wait([self = this->shared_from_this()](const asio::error_code &error) {
        if (!error) {
            self->scheduleReleases();
        }
    });
}

void Slots::flushReleases()
{
    if (this->releases.empty()) {
        return;
    }
    this->flushedAt = this->node.clock.now();
    const auto batch = std::move(this->releases);
    this->releases.clear();
    for (const auto &[target, ids] : batch) {
        for (std::size_t first = 0; first < ids.size(); first += releasesInDatagram) {
            const std::size_t last = std::min(ids.size(), first + releasesInDatagram);
            SlotRelease release;
            release.shard = target.second;
            release.askIds.assign(ids.begin() + static_cast<std::ptrdiff_t>(first),
                                  ids.begin() + static_cast<std::ptrdiff_t>(last));
            this->link->send(target.first, release);
        }
    }
}

void Slots::release(const HeldSlot &slot)
{
    if (slot.keeper.id == this->node.settings.id) {
        this->keeper->release(this->node.identity, {slot.shard, {slot.askId}});
        return;
    }
    asio::post(this->link->executor(), [self = this->shared_from_this(), to = slot.keeper.datagrams,
                                        shard = slot.shard, askId = slot.askId] {
        self->releases[{to, shard}].push_back(askId);
        // A chat that returns right after its answer would find its own slot still counted and
        // be displaced; only the releases of a busy moment wait for a common datagram.
        if (self->node.clock.now() - self->flushedAt >= releasePeriod) {
            self->flushReleases();
        }
    });
}

} // namespace plantainswitch
