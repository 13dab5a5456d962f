#include "plantainswitch/routing/originhandover.h"

#include "plantainswitch/base/hash.h"
#include "plantainswitch/placement/rendezvous.h"

namespace plantainswitch {

namespace {

/// \returns whether fewer than originCopies of \a others have a higher score than \a router.
template<typename Score>
bool isAmongFirst(std::uint64_t router, const std::vector<std::uint64_t> &others, Score score)
{
    const auto own = score(router);
    std::size_t before = 0;
    for (const std::uint64_t other : others) {
        before += score(other) > own ? 1 : 0;
        if (before >= originCopies) {
            return false;
        }
    }
    return true;
}

/// \returns whether the joining router is to keep the origin of the stream.
bool isKept(StreamKey stream, const OriginPeers &peers)
{
    // As RouterContacts::originHolders() chooses them.
    return peers.joiningKeeps == OriginShare::All
           || (peers.joiningKeeps == OriginShare::Held
               && isAmongFirst(peers.joining, peers.holders, [stream](std::uint64_t router) {
                      return rendezvousScore(stream, {router, 1.0});
                  }));
}

/// \returns whether this router passes on the origin of a stream whose router has failed.
bool isSender(StreamKey stream, const OriginPeers &peers)
{
    return isAmongFirst(peers.own, peers.senders,
                        [stream](std::uint64_t router) { return mixHash(stream, router); });
}

} // namespace

std::vector<StreamOrigin> originsForJoining(const StreamOriginTable &origins,
                                            const RouterContacts &contacts, const Endpoint &joining,
                                            RouterProcess own, TimePoint now)
{
    const OriginPeers peers = contacts.originPeers(joining, now);
    if (peers.joiningKeeps == OriginShare::None) {
        return {};
    }
    std::vector<StreamOrigin> passed = origins.incompleteOf(
        [&peers, own](RouterProcess owner) { return owner == own || !peers.alive.contains(owner); },
        now);
    std::erase_if(passed, [&peers, own](const StreamOrigin &origin) {
        return (origin.owner != own && !isSender(origin.stream, peers))
               || !isKept(origin.stream, peers);
    });
    return passed;
}

std::map<Endpoint, std::vector<StreamOrigin>> originsAtStop(const StreamOriginTable &origins,
                                                            const RouterContacts &contacts,
                                                            RouterProcess own, TimePoint now)
{
    const std::vector<StreamOrigin> streams =
        origins.incompleteOf([own](RouterProcess owner) { return owner == own; }, now);
    std::map<Endpoint, std::vector<StreamOrigin>> byReceiver;
    for (const Endpoint &receiver : contacts.originReceivers(now)) {
        byReceiver[receiver] = streams;
    }
    for (const StreamOrigin &origin : streams) {
        for (const Endpoint &holder : contacts.originHolders(origin.stream, now)) {
            byReceiver[holder].push_back(origin);
        }
    }
    return byReceiver;
}

} // namespace plantainswitch
