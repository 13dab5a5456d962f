#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "plantainswitch/base/clock.h"
#include "plantainswitch/membership/heartbeat.h"

namespace plantainswitch {

/// What is believed of a member; a later state wins over an earlier one of the same refutation.
enum class MemberState : std::uint8_t { Alive, Suspect, Gone };
[[nodiscard]] std::string_view nameOf(MemberState state) noexcept;

/// A rumour: what is believed of one member.
struct MemberUpdate
{
    Heartbeat member;
    MemberState state = MemberState::Alive;
};

/// Kinds of membership messages. Gossip brings news that is passed on, State an answer to a
/// newcomer that is not.
enum class SwimKind : std::uint8_t { Ping, Ack, PingRequest, Gossip, JoinReply };

/// A membership message; every one carries its sender's heartbeat and a few rumours.
struct SwimMessage
{
    SwimKind kind = SwimKind::Gossip;
    /// Number by which an Ack is matched to its Ping.
    std::uint32_t probe = 0;
    /// Set in a Ping of a router that knows no members yet; it is answered by State messages.
    bool join = false;
    Heartbeat sender;
    /// Whom to ping, in a PingRequest.
    Endpoint target;
    std::vector<MemberUpdate> updates;
};

/// Times and sizes of the membership protocol.
struct SwimSettings
{
    /// Between two probes that one router sends.
    Duration probePeriod = Milliseconds{500};
    /// Wait for an Ack before others are asked to probe too.
    Duration ackTimeout = Milliseconds{200};
    /// Time a suspect has to contradict before it counts as gone.
    Duration suspicionTimeout = Milliseconds{2000};
    /// Time for which a gone member is remembered, so that late rumours don't bring it back.
    Duration goneRetention = Seconds{60};
    /// A router whose own timer was this late was paused and may not judge others by it.
    Duration maxTickDelay = Milliseconds{1000};
    std::size_t indirectProbes = 3;
    /// Members of the own place that hear of urgent news at once.
    std::size_t localFanout = 3;
    /// Members of other places that hear of urgent news at once from a watcher.
    std::size_t remoteFanout = 3;
    std::size_t maxUpdatesPerMessage = 8;
    /// A rumour is sent this often, times the binary logarithm of the number of members.
    std::size_t retransmitFactor = 3;
    /// Periods between two pings to a listed router that is not a member.
    std::uint64_t seedPingInterval = 4;
};

/// A router as this router sees it.
struct Member
{
    Heartbeat heartbeat;
    MemberState state = MemberState::Alive;
    /// When it got into its state.
    TimePoint since;
};

/// A message to be sent.
struct SwimSend
{
    Endpoint to;
    SwimMessage message;
};

/// What a step of the protocol asks for and has found out.
struct SwimOutput
{
    std::vector<SwimSend> sends;
    /// Members that are new or have restarted.
    std::vector<Heartbeat> joined;
    /// Processes that are gone, each with the incarnation that is gone.
    std::vector<Heartbeat> gone;
    /// Members that came under suspicion.
    std::vector<Heartbeat> suspected;
};

/// Everything the protocol remembers. SWIM: each router probes one member of its own place a
/// period, asks others to probe before it suspects, and passes news on by rumour. Watchers also
/// probe one member of another place a period.
struct SwimState
{
    struct Probe
    {
        std::string target;
        TimePoint ackDeadline;
        TimePoint deadline;
        bool isIndirect = false;
    };
    struct Relay
    {
        std::uint32_t probe = 0;
        Endpoint requester;
        TimePoint deadline;
    };
    struct Rumour
    {
        MemberUpdate update;
        std::size_t remainingSends = 0;
    };

    Heartbeat own;
    std::map<std::string, Member> members;
    std::map<std::uint32_t, Probe> probes;
    std::map<std::uint32_t, Relay> relays;
    std::map<std::string, Rumour> rumours;
    /// Members that this router suspects by its own probes.
    std::set<std::string> locallySuspected;
    std::vector<std::string> localProbeOrder;
    std::vector<std::string> remoteProbeOrder;
    /// Whether any member is suspect or gone, so that a quiet tick walks no list.
    bool hasSuspectOrGone = false;
    std::uint32_t nextProbeNumber = 1;
    std::uint64_t periodCount = 0;
    TimePoint nextProbeAt;
    TimePoint lastTick;
    std::mt19937_64 random;
};

/// Sets what this router says of itself; a change of `leaving` contradicts what was said before.
void swimUpdateSelf(SwimState &state, const Heartbeat &own);

/// Lets time pass; call it several times a period.
/// \param seeds addresses of routers that should be members, from settings and the VM list
[[nodiscard]] SwimOutput swimTick(SwimState &state, const SwimSettings &settings,
                                  const std::set<Endpoint> &seeds, TimePoint now);

/// Takes a message that came from the address \a from.
[[nodiscard]] SwimOutput swimReceive(SwimState &state, const SwimSettings &settings,
                                     const SwimMessage &message, const Endpoint &from,
                                     TimePoint now);

/// Tells a few members of the own place of the own heartbeat, such as of a new version.
[[nodiscard]] SwimOutput swimGossipSelf(SwimState &state, const SwimSettings &settings);

/// Tells every member of the own place, and some of others, at once of the own heartbeat.
/// \param gone whether the router is about to end, so that nobody has to suspect it first
[[nodiscard]] SwimOutput swimAnnounce(SwimState &state, const SwimSettings &settings, bool gone);

} // namespace plantainswitch
