#include "membershipservice.h"

#include <asio/post.hpp>

namespace plantainswitch {

namespace {

constexpr std::chrono::milliseconds tickPeriod{100};

} // namespace

MembershipService::MembershipService(asio::io_context & /*context*/, Node &node,
                                     std::shared_ptr<PeerTransport> link)
    : node(node)
    , link(std::move(link))
    , timer(this->link->executor())
{}

void MembershipService::start(PeerDiffersHandler handler)
{
    this->onPeerDiffers = std::move(handler);
    this->seeds.insert(this->node.settings.seeds.begin(), this->node.settings.seeds.end());
    this->node.members.initialize(this->node.heartbeat(), this->node.identity);
    this->link->setHandler<SwimMessage>(
        [self = this->shared_from_this()](std::uint64_t, const Endpoint &from, PeerBody body) {
            self->receive(std::get<SwimMessage>(body), from);
        });
    asio::post(this->link->executor(), [self = this->shared_from_this()] { self->tick(); });
}

void MembershipService::addSeed(const Endpoint &datagrams)
{
    asio::post(this->link->executor(),
               [self = this->shared_from_this(), datagrams] { self->seeds.insert(datagrams); });
}

void MembershipService::announceState()
{
    asio::post(this->link->executor(),
               [self = this->shared_from_this()] { self->announce(false); });
}

void MembershipService::announceLeave(std::function<void()> done)
{
    asio::post(this->link->executor(), [self = this->shared_from_this(), done = std::move(done)] {
        self->announce(true);
        // The link posts its sends to this strand in order, so \a done runs after all of them.
        asio::post(self->link->executor(), done);
    });
}

void MembershipService::gossipVersion()
{
    asio::post(this->link->executor(), [self = this->shared_from_this()] {
        self->applyOutput(self->node.members.gossipSelf(self->node.heartbeat()));
    });
}

void MembershipService::announce(bool gone)
{
    this->applyOutput(this->node.members.announce(this->node.heartbeat(), gone));
}

void MembershipService::tick()
{
    this->applyOutput(
        this->node.members.tick(this->node.heartbeat(), this->seeds, this->node.clock.now()));
    this->timer.expires_after(tickPeriod);
    this->timer.async_wait([self = this->shared_from_this()](const asio::error_code &error) {
        if (!error) {
            self->tick();
        }
    });
}

void MembershipService::receive(const SwimMessage &message, const Endpoint &from)
{
    const TimePoint now = this->node.clock.now();
    this->applyOutput(this->node.members.receive(message, from, now));
    const Heartbeat &peer = message.sender;
    if (peer.catalogueAgeMilliseconds != neverConfirmed) {
        this->node.catalogue.markConfirmed(peer.catalogueVersion,
                                           now - Milliseconds{peer.catalogueAgeMilliseconds});
    }
    const Heartbeat own = this->node.heartbeat();
    const bool newerVms = peer.dataCentre == own.dataCentre && peer.vmListDigest != own.vmListDigest
                          && peer.vmListVersion >= own.vmListVersion;
    if (peer.catalogueVersion > own.catalogueVersion || newerVms || own.vmListVersion == 0) {
        this->onPeerDiffers(peer);
    }
}

void MembershipService::applyOutput(const SwimOutput &output)
{
    for (const Heartbeat &gone : output.gone) {
        logEvent(Event::MemberGone, {{"member", gone.id}});
        this->node.shardCoordinator.releaseRouter(identityOf(gone.id, gone.incarnation));
    }
    for (const Heartbeat &joined : output.joined) {
        logEvent(Event::MemberJoined, {{"member", joined.id}, {"place", joined.dataCentre}});
    }
    for (const Heartbeat &suspected : output.suspected) {
        logEvent(Event::MemberSuspected, {{"member", suspected.id}});
    }
    for (const SwimSend &send : output.sends) {
        this->link->send(send.to, send.message);
    }
}

} // namespace plantainswitch
