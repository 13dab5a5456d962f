#pragma once

#include <string>
#include <vector>

#include "plantainswitch/membership/swim.h"

// Gossip between members: precedence of updates, rumours, refutation. Internal to swim.cpp.

namespace plantainswitch::swim {

/// \returns whether the member is not known to be gone.
bool isLive(const Member &member) noexcept;

/// \returns the live members of a data centre that are not leaving, this router first.
std::vector<Heartbeat> activeMembersIn(const SwimState &state, const std::string &dataCentre);

/// \returns whether this router is one of the few that gossip with other data centres.
bool gossipsAcrossDataCentres(const SwimState &state);

/// \returns up to \a count random live members of the router's own data centre, or of the others.
std::vector<const Member *> sampleMembers(SwimState &state, bool sameDataCentre, std::size_t count,
                                          const std::string &except);

/// Queues \a update as a rumour for the next messages.
void enqueueRumour(SwimState &state, const SwimSettings &settings, const MemberUpdate &update);

/// \returns a message from this router with the least disseminated rumours.
SwimMessage makeMessage(SwimState &state, const SwimSettings &settings, SwimKind kind,
                        std::uint32_t probe);

/// An update to gossip. Only some updates leave the data centre: at 5% loss 1,200 routers suspect
/// and refute each other more than once a second, which other data centres need not know.
struct GossipUpdate
{
    MemberUpdate update;
    bool crossDataCentre = false;
};

/// Sends \a updates at once to a few members, and what concerns other data centres to a few members
/// there.
void sendGossip(SwimState &state, const SwimSettings &settings,
                const std::vector<GossipUpdate> &updates, SwimOutput &output);

/// Applies \a update unless it is superseded. \returns whether it was applied.
bool applyUpdate(SwimState &state, const MemberUpdate &update, TimePoint now, SwimOutput &output);

/// Handles the update of a member in a message, and passes on what is new.
void handleUpdate(SwimState &state, const SwimSettings &settings, const MemberUpdate &update,
                  TimePoint now, SwimOutput &output, std::vector<GossipUpdate> &updates);

/// Handles the sender's heartbeat in a message.
void handleSenderHeartbeat(SwimState &state, const SwimSettings &settings, const Heartbeat &from,
                           TimePoint now, SwimOutput &output, std::vector<GossipUpdate> &updates);

} // namespace plantainswitch::swim
