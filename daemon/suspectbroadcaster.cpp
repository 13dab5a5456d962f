#include "suspectbroadcaster.h"

namespace plantainswitch {

void SuspectSharing::start()
{
    this->link->handle<SuspectNews>(
        [self = this->shared_from_this()](std::uint64_t, const Endpoint &, PeerBody body) {
            self->node.suspects.take(std::get<SuspectNews>(body), self->node.clock.now());
        });
}

void SuspectSharing::crashed(UpstreamId upstream, Fingerprint fingerprint)
{
    this->share({upstream, {fingerprint}, {}});
}

void SuspectSharing::cleared(Fingerprint fingerprint)
{
    this->share({0, {}, {fingerprint}});
}

void SuspectSharing::share(const SuspectNews &news)
{
    this->node.suspects.take(news, this->node.clock.now());
    for (const Heartbeat &member : this->node.members.all()) {
        if (member.id != this->node.settings.id) {
            this->link->send(member.datagrams, news);
        }
    }
}

} // namespace plantainswitch
