#include "beats.h"

#include <asio/post.hpp>

namespace plantainswitch {

namespace {

constexpr std::chrono::milliseconds beatPeriod{1000};

} // namespace

Beats::Beats(asio::io_context & /*context*/, Node &node, std::shared_ptr<PeerLink> link)
    : node(node)
    , link(std::move(link))
    , timer(this->link->executor())
{}

void Beats::start()
{
    this->link->handle<Heartbeat>(
        [self = this->shared_from_this()](std::uint64_t, const Endpoint &, PeerBody body) {
            self->hear(std::get<Heartbeat>(body));
        });
    asio::post(this->link->executor(), [self = this->shared_from_this()] { self->schedule(); });
}

void Beats::addSeed(const Endpoint &datagrams)
{
    asio::post(this->link->executor(),
               [self = this->shared_from_this(), datagrams] { self->seeds.insert(datagrams); });
}

void Beats::beat()
{
    asio::post(this->link->executor(), [self = this->shared_from_this()] { self->beatHere(); });
}

void Beats::beatHere()
{
    const Heartbeat own = this->node.heartbeat();
    std::set<Endpoint> targets = this->seeds;
    for (const Heartbeat &member : this->node.members.all()) {
        targets.insert(member.datagrams);
    }
    targets.erase(own.datagrams);
    for (const Endpoint &target : targets) {
        this->link->send(target, own);
    }
}

void Beats::schedule()
{
    const TimePoint now = this->node.clock.now();
    this->node.members.hear(this->node.heartbeat(), now);
    for (const Heartbeat &gone : this->node.members.expire(now)) {
        logEvent(Event::MemberGone, {{"member", gone.id}});
        this->node.keeper.releaseRouter(identityOf(gone.id, gone.incarnation));
    }
    this->beatHere();
    this->timer.expires_after(beatPeriod);
    this->timer.async_wait([self = this->shared_from_this()](const asio::error_code &error) {
        if (!error) {
            self->schedule();
        }
    });
}

void Beats::hear(const Heartbeat &heartbeat)
{
    const auto known = this->node.members.find(heartbeat.id);
    if (known && known->incarnation < heartbeat.incarnation) {
        this->node.keeper.releaseRouter(identityOf(known->id, known->incarnation));
    }
    if (this->node.members.hear(heartbeat, this->node.clock.now())) {
        logEvent(Event::MemberJoined, {{"member", heartbeat.id}, {"place", heartbeat.place}});
    }
}

} // namespace plantainswitch
