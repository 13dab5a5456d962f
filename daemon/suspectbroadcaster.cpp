#include "suspectbroadcaster.h"

namespace plantainswitch {

void SuspectBroadcaster::start()
{
    this->link->setHandler<SuspectUpdate>(
        [self = this->shared_from_this()](std::uint64_t, const Endpoint &, PeerBody body) {
            self->node.suspects.applyUpdate(std::get<SuspectUpdate>(body), self->node.clock.now());
        });
}

void SuspectBroadcaster::reportCrash(UpstreamId upstream, Fingerprint fingerprint)
{
    this->broadcast({upstream, {fingerprint}, {}});
}

void SuspectBroadcaster::reportCleared(Fingerprint fingerprint)
{
    this->broadcast({0, {}, {fingerprint}});
}

void SuspectBroadcaster::broadcast(const SuspectUpdate &news)
{
    this->node.suspects.applyUpdate(news, this->node.clock.now());
    for (const Heartbeat &member : this->node.members.all()) {
        if (member.id != this->node.settings.id) {
            this->link->send(member.datagramEndpoint, news);
        }
    }
}

} // namespace plantainswitch
