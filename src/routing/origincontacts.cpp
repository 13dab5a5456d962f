#include <algorithm>

#include "plantainswitch/base/hash.h"
#include "plantainswitch/routing/routercontacts.h"

namespace plantainswitch {

std::vector<std::pair<Endpoint, const RouterContact *>>
RouterContacts::originKeepers(StreamKey stream, const GossipIntervals &intervals,
                              TimePoint now) const
{
    std::vector<std::pair<double, std::pair<Endpoint, const RouterContact *>>> scored;
    for (const auto &[address, contact] : this->contacts) {
        if (contact.keepsOrigins && this->isAlive(contact, intervals, now)) {
            scored.push_back({scoreOf(stream, contact.id), {address, &contact}});
        }
    }
    std::sort(scored.begin(), scored.end(),
              [](const auto &left, const auto &right) { return left.first > right.first; });
    std::vector<std::pair<Endpoint, const RouterContact *>> keepers;
    keepers.reserve(scored.size());
    for (auto &[score, router] : scored) {
        keepers.push_back(std::move(router));
    }
    return keepers;
}

std::vector<Endpoint> RouterContacts::originHolders(StreamKey stream, TimePoint now) const
{
    const GossipIntervals intervals = this->gossipIntervals();
    std::vector<Endpoint> holders;
    if (intervals.remoteInterval <= maxConfirmerInterval) {
        return holders;
    }
    for (const auto &[address, contact] : this->originKeepers(stream, intervals, now)) {
        if (!this->isLocal(*contact) && !contact->stopping && holders.size() < originCopies) {
            holders.push_back(address);
        }
    }
    return holders;
}

OriginWitnesses RouterContacts::originWitnesses(StreamKey stream, TimePoint now) const
{
    const auto isWitness = [this, now](const RouterContact &contact, bool isElsewhere) {
        return contact.confirmsOrigins && !contact.stopping && this->isLocal(contact) != isElsewhere
               && now - contact.lastSeen <= majorityRetention;
    };
    OriginWitnesses witnesses;
    const auto collect = [&](bool isElsewhere) {
        witnesses.exist =
            std::any_of(this->contacts.begin(), this->contacts.end(),
                        [&](const auto &entry) { return isWitness(entry.second, isElsewhere); });
        for (const auto &[address, contact] :
             this->originKeepers(stream, this->gossipIntervals(), now)) {
            if (isWitness(*contact, isElsewhere)) {
                witnesses.alive.push_back(address);
            }
        }
    };
    collect(true);
    if (!witnesses.exist) {
        // The fleet has one data centre.
        collect(false);
    }
    return witnesses;
}

std::vector<Endpoint> RouterContacts::originSources(StreamKey stream, TimePoint now) const
{
    const GossipIntervals intervals = this->gossipIntervals();
    const bool areUpdatesRare = intervals.remoteInterval > maxConfirmerInterval;
    const auto keepers = this->originKeepers(stream, intervals, now);
    std::set<std::string> dataCentres{this->dataCentre};
    for (const auto &[address, contact] : keepers) {
        dataCentres.insert(contact->dataCentre);
    }
    // The holders of a stream that began in any of the data centres.
    std::map<std::string, std::size_t> copies;
    std::size_t local = 0;
    std::vector<Endpoint> sources;
    for (const auto &[address, contact] : keepers) {
        bool mayHold = !areUpdatesRare;
        for (const std::string &began : dataCentres) {
            mayHold |= contact->dataCentre != began && ++copies[began] <= originCopies;
        }
        mayHold |= this->isLocal(*contact) && ++local <= maxLocalOriginSources;
        if (mayHold && sources.size() < maxOriginSources) {
            sources.push_back(address);
        }
    }
    return sources;
}

OriginPeers RouterContacts::originPeers(const Endpoint &joining, TimePoint now) const
{
    const GossipIntervals intervals = this->gossipIntervals();
    OriginPeers peers;
    peers.own = hashOf(this->id);
    for (const auto &[address, contact] : this->contacts) {
        if (!this->isAlive(contact, intervals, now)) {
            continue;
        }
        peers.alive.insert(routerProcessOf(contact.id, contact.incarnation));
        const bool carriesAll = this->carriesOrigins(contact, intervals);
        const std::uint64_t router = hashOf(contact.id);
        if (address == joining) {
            peers.joining = router;
            peers.joiningKeeps = !contact.keepsOrigins ? OriginShare::None
                                 : carriesAll          ? OriginShare::All
                                                       : OriginShare::Held;
        } else if (contact.keepsOrigins && carriesAll) {
            peers.senders.push_back(router);
        } else if (contact.keepsOrigins && !contact.stopping) {
            peers.holders.push_back(router);
        }
    }
    return peers;
}

std::vector<Endpoint> RouterContacts::originReceivers(TimePoint now) const
{
    const GossipIntervals intervals = this->gossipIntervals();
    std::vector<Endpoint> receivers;
    for (const auto &[address, contact] : this->contacts) {
        if (contact.keepsOrigins && this->carriesOrigins(contact, intervals)
            && this->isAlive(contact, intervals, now)) {
            receivers.push_back(address);
        }
    }
    return receivers;
}

} // namespace plantainswitch
