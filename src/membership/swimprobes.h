#pragma once

#include <set>
#include <string>
#include <vector>

#include "plantainswitch/membership/swim.h"

// Probes, suspicions and their timeouts. Internal to swim.cpp.

namespace plantainswitch::swim {

/// \returns an Ack with one random member. It repairs what a router missed through lost datagrams
/// over time, without a full state exchange.
SwimMessage makeAck(SwimState &state, const SwimSettings &settings, std::uint32_t probe);

/// Ends the probe that an Ack belongs to, or relays the Ack to the router that requested the probe.
void handleAck(SwimState &state, const SwimSettings &settings, std::uint32_t probe,
               SwimOutput &output);

/// Pings a member on behalf of another router.
void handlePingRequest(SwimState &state, const SwimSettings &settings, const SwimMessage &message,
                       const Endpoint &from, TimePoint now, SwimOutput &output);

/// Notifies each suspect directly in every period, so that it can refute in time even when
/// datagrams are lost. In another data centre nobody else would notify it.
void notifySuspects(SwimState &state, const SwimSettings &settings, SwimOutput &output);

/// Sends indirect probes for members that have not answered, and suspects those that did not answer
/// these either.
void checkProbeTimeouts(SwimState &state, const SwimSettings &settings, TimePoint now,
                        SwimOutput &output);

/// Declares suspects gone that have not refuted in time, and forgets members that were gone long
/// ago.
void expireSuspects(SwimState &state, const SwimSettings &settings, TimePoint now,
                    SwimOutput &output);

/// \returns the next member to probe, round-robin in an order that is shuffled for each round.
std::string nextProbeTarget(SwimState &state, std::vector<std::string> &order, bool sameDataCentre);

/// Pings \a target, unless it is empty, and awaits its Ack.
void sendProbe(SwimState &state, const SwimSettings &settings, const std::string &target,
               TimePoint now, SwimOutput &output);

/// Pings a seed that is not a member: it may be new, or on the other side of a healed partition,
/// where each side considers the other gone and neither would start to talk.
void pingSeed(SwimState &state, const SwimSettings &settings, const std::set<Endpoint> &seeds,
              SwimOutput &output);

/// Clears probes and restarts the timeouts of suspicions after a pause of this process. Otherwise
/// every probe would look unanswered and every suspicion expired, although only this router was
/// paused.
void resetAfterPause(SwimState &state, const SwimSettings &settings, TimePoint now);

} // namespace plantainswitch::swim
