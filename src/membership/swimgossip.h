#pragma once

#include <string>
#include <vector>

#include "plantainswitch/membership/swim.h"

// What members say of each other: precedence of news, rumours, refutation. Used by swim.cpp only.

namespace plantainswitch::swim {

/// \returns whether the member is not known to be gone.
bool isLive(const Member &member) noexcept;

/// \returns the live members of \a place that are not leaving, this router first.
std::vector<Heartbeat> activeIn(const SwimState &state, const std::string &place);

/// \returns whether this router is one of the few that speak to other places.
bool speaksAcross(const SwimState &state);

/// \returns up to \a count live members chosen at random, of the own place or of the others.
std::vector<const Member *> pick(SwimState &state, bool ownPlace, std::size_t count,
                                 const std::string &except);

/// Puts \a update among the rumours that go with the next messages.
void spread(SwimState &state, const SwimSettings &settings, const MemberUpdate &update);

/// \returns a message from this router with the freshest rumours.
SwimMessage messageOf(SwimState &state, const SwimSettings &settings, SwimKind kind,
                      std::uint32_t probe);

/// News of a member. Only wide news crosses places: at 5% loss 1,200 routers suspect and
/// contradict each other more than once a second, which the other places need not hear of.
struct News
{
    MemberUpdate update;
    bool wide = false;
};

/// Sends \a news at once to a few members, and wide news to a few of other places.
void gossip(SwimState &state, const SwimSettings &settings, const std::vector<News> &news,
            SwimOutput &output);

/// \returns whether \a update was news.
bool apply(SwimState &state, const MemberUpdate &update, TimePoint now, SwimOutput &output);

/// Takes what a message says of a member, and passes on what is new.
void applyNews(SwimState &state, const SwimSettings &settings, const MemberUpdate &update,
               TimePoint now, SwimOutput &output, std::vector<News> &news);

/// Takes the heartbeat that its sender put into a message.
void hearSender(SwimState &state, const SwimSettings &settings, const Heartbeat &from,
                TimePoint now, SwimOutput &output, std::vector<News> &news);

} // namespace plantainswitch::swim
