#pragma once

#include <string>
#include <vector>

#include "plantainswitch/membership/swim.h"

// What members say of each other: precedence of news, rumours, refutation. Used by swim.cpp only.

namespace plantainswitch::swim {

/// \returns whether the member is not known to be gone.
bool isLive(const Member &member) noexcept;

/// \returns the live members of \a place that are not leaving, this router first.
std::vector<Heartbeat> activeMembersIn(const SwimState &state, const std::string &place);

/// \returns whether this router is one of the few that speak to other places.
bool gossipsAcrossDataCentres(const SwimState &state);

/// \returns up to \a count live members chosen at random, of the own place or of the others.
std::vector<const Member *> sampleMembers(SwimState &state, bool ownPlace, std::size_t count,
                                          const std::string &except);

/// Puts \a update among the rumours that go with the next messages.
void enqueueRumour(SwimState &state, const SwimSettings &settings, const MemberUpdate &update);

/// \returns a message from this router with the freshest rumours.
SwimMessage makeMessage(SwimState &state, const SwimSettings &settings, SwimKind kind,
                        std::uint32_t probe);

/// News of a member. Only wide news crosses places: at 5% loss 1,200 routers suspect and
/// contradict each other more than once a second, which the other places need not hear of.
struct GossipUpdate
{
    MemberUpdate update;
    bool crossDataCentre = false;
};

/// Sends \a news at once to a few members, and wide news to a few of other places.
void sendGossip(SwimState &state, const SwimSettings &settings,
                const std::vector<GossipUpdate> &news, SwimOutput &output);

/// \returns whether \a update was news.
bool applyUpdate(SwimState &state, const MemberUpdate &update, TimePoint now, SwimOutput &output);

/// Takes what a message says of a member, and passes on what is new.
void handleUpdate(SwimState &state, const SwimSettings &settings, const MemberUpdate &update,
                  TimePoint now, SwimOutput &output, std::vector<GossipUpdate> &news);

/// Takes the heartbeat that its sender put into a message.
void handleSenderHeartbeat(SwimState &state, const SwimSettings &settings, const Heartbeat &from,
                           TimePoint now, SwimOutput &output, std::vector<GossipUpdate> &news);

} // namespace plantainswitch::swim
