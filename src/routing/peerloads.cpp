#include "plantainswitch/routing/peerloads.h"

namespace plantainswitch {

void PeerLoads::add(const std::vector<PeerLoad> &loads, int sign)
{
    for (const PeerLoad &load : loads) {
        Total &sum = this->totals[load.incarnation];
        sum.running = sign > 0 ? sum.running + load.running : sum.running - load.running;
        sum.pendingPrefillTokens += sign * static_cast<double>(load.pendingPrefillTokens);
        if (sum.running == 0 && sum.pendingPrefillTokens < 1.0) {
            this->totals.erase(load.incarnation);
        }
    }
}

bool PeerLoads::applyUpdate(const RouterUpdate &update)
{
    Peer &peer = this->peers[update.id];
    const bool isStale =
        update.incarnation < peer.incarnation
        || (update.incarnation == peer.incarnation && update.sequence <= peer.sequence);
    if (isStale && peer.sequence != 0) {
        return false;
    }
    this->add(peer.loads, -1);
    peer.incarnation = update.incarnation;
    peer.sequence = update.sequence;
    peer.loads = update.loads;
    this->add(peer.loads, 1);
    return true;
}

void PeerLoads::removeRouter(const std::string &id)
{
    const auto peer = this->peers.find(id);
    if (peer != this->peers.end()) {
        this->add(peer->second.loads, -1);
        this->peers.erase(peer);
    }
}

bool PeerLoads::knows(const std::string &id, std::uint64_t incarnation) const
{
    const auto found = this->peers.find(id);
    return found != this->peers.end() && found->second.incarnation == incarnation;
}

PeerLoads::Total PeerLoads::totalAt(std::uint64_t incarnation) const
{
    const auto found = this->totals.find(incarnation);
    return found == this->totals.end() ? Total{} : found->second;
}

} // namespace plantainswitch
