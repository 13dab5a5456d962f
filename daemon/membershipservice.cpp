#include "membershipservice.h"

#include <asio/post.hpp>

namespace plantainswitch {

namespace {

constexpr std::chrono::milliseconds tickPeriod{100};

} // namespace

Beats::Beats(asio::io_context & /*context*/, Node &node, std::shared_ptr<PeerLink> link)
    : node(node)
    , link(std::move(link))
    , timer(this->link->executor())
{}

void Beats::start(OnDiffering handler)
{
    this->differing = std::move(handler);
    this->seeds.insert(this->node.settings.seeds.begin(), this->node.settings.seeds.end());
    this->node.members.begin(this->node.heartbeat(), this->node.identity);
    this->link->handle<SwimMessage>(
        [self = this->shared_from_this()](std::uint64_t, const Endpoint &from, PeerBody body) {
            self->hear(std::get<SwimMessage>(body), from);
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
    asio::post(this->link->executor(),
               [self = this->shared_from_this()] { self->announce(false); });
}

void Beats::farewell(std::function<void()> done)
{
    asio::post(this->link->executor(), [self = this->shared_from_this(), done = std::move(done)] {
        self->announce(true);
        // The link sends by its own strand, in order: what is posted now runs behind the sends.
        asio::post(self->link->executor(), done);
    });
}

void Beats::tellVersion()
{
    asio::post(this->link->executor(), [self = this->shared_from_this()] {
        self->take(self->node.members.tellFew(self->node.heartbeat()));
    });
}

void Beats::announce(bool gone)
{
    this->take(this->node.members.announce(this->node.heartbeat(), gone));
}

void Beats::schedule()
{
    this->take(
        this->node.members.tick(this->node.heartbeat(), this->seeds, this->node.clock.now()));
    this->timer.expires_after(tickPeriod);
    this->timer.async_wait([self = this->shared_from_this()](const asio::error_code &error) {
        if (!error) {
            self->schedule();
        }
    });
}

void Beats::hear(const SwimMessage &message, const Endpoint &from)
{
    const TimePoint now = this->node.clock.now();
    this->take(this->node.members.receive(message, from, now));
    const Heartbeat &peer = message.from;
    if (peer.catalogueAge != neverConfirmed) {
        this->node.catalogue.confirm(peer.catalogueVersion, now - Milliseconds{peer.catalogueAge});
    }
    const Heartbeat own = this->node.heartbeat();
    const bool newerVms =
        peer.place == own.place && peer.vmDigest != own.vmDigest && peer.vmStamp >= own.vmStamp;
    if (peer.catalogueVersion > own.catalogueVersion || newerVms || own.vmStamp == 0) {
        this->differing(peer);
    }
}

void Beats::take(const SwimOutput &output)
{
    for (const Heartbeat &gone : output.gone) {
        logEvent(Event::MemberGone, {{"member", gone.id}});
        this->node.keeper.releaseRouter(identityOf(gone.id, gone.incarnation));
    }
    for (const Heartbeat &joined : output.joined) {
        logEvent(Event::MemberJoined, {{"member", joined.id}, {"place", joined.place}});
    }
    for (const Heartbeat &suspected : output.suspected) {
        logEvent(Event::MemberSuspected, {{"member", suspected.id}});
    }
    for (const SwimSend &send : output.sends) {
        this->link->send(send.to, send.message);
    }
}

} // namespace plantainswitch
