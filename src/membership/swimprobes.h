#pragma once

#include <set>
#include <string>
#include <vector>

#include "plantainswitch/membership/swim.h"

// Probes, suspicions and their judgement. Used by swim.cpp only.

namespace plantainswitch::swim {

/// An answer to a ping, with one member at random: what a router missed by lost datagrams is
/// mended by and by without a full exchange.
SwimMessage makeAck(SwimState &state, const SwimSettings &settings, std::uint32_t probe);

/// Ends the probe that an answer belongs to, or hands the answer on to who asked for it.
void handleAck(SwimState &state, const SwimSettings &settings, std::uint32_t probe,
               SwimOutput &output);

/// Probes a member on behalf of another router.
void handlePingRequest(SwimState &state, const SwimSettings &settings, const SwimMessage &message,
                       const Endpoint &from, TimePoint now, SwimOutput &output);

/// Tells each suspect first hand, period by period, so that it can contradict in time even when
/// datagrams are lost; in another place nobody else would tell it.
void notifySuspects(SwimState &state, const SwimSettings &settings, SwimOutput &output);

/// Asks others about members that have not answered, and suspects those that nobody reached.
void checkProbeTimeouts(SwimState &state, const SwimSettings &settings, TimePoint now,
                        SwimOutput &output);

/// Declares suspects gone that have not contradicted in time, and forgets the long gone.
void expireSuspects(SwimState &state, const SwimSettings &settings, TimePoint now,
                    SwimOutput &output);

/// \returns the next member of the round, in an order shuffled anew for each round.
std::string nextProbeTarget(SwimState &state, std::vector<std::string> &order, bool ownPlace);

/// Pings \a target, unless it is empty, and remembers to look for the answer.
void sendProbe(SwimState &state, const SwimSettings &settings, const std::string &target,
               TimePoint now, SwimOutput &output);

/// Pings a listed router that is not a member: it may be new, or on the other side of a
/// partition that has healed, where both sides hold each other for gone and none would speak.
void pingSeed(SwimState &state, const SwimSettings &settings, const std::set<Endpoint> &seeds,
              SwimOutput &output);

/// After a pause of this process every probe looks unanswered and every suspicion overdue,
/// although only this router was away; it starts its judgements anew.
void resetAfterPause(SwimState &state, const SwimSettings &settings, TimePoint now);

} // namespace plantainswitch::swim
