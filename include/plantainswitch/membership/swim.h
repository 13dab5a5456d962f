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

/// State of a member. At equal refutation numbers a later state takes precedence over an earlier
/// one.
enum class MemberState : std::uint8_t { Alive, Suspect, Gone };
[[nodiscard]] std::string_view nameOf(MemberState state) noexcept;

/// Gossiped state of one member.
struct MemberUpdate
{
    Heartbeat member;
    MemberState state = MemberState::Alive;
};

/// Kinds of membership messages. Updates in Gossip are passed on; those in JoinReply, the answer to
/// a joining router, are not.
enum class SwimKind : std::uint8_t { Ping, Ack, PingRequest, Gossip, JoinReply };

/// A membership message. Every message piggybacks its sender's heartbeat and a few updates.
struct SwimMessage
{
    SwimKind kind = SwimKind::Gossip;
    /// Matches an Ack to its Ping.
    std::uint32_t probe = 0;
    /// Set in a Ping from a router that knows no members yet. It is answered by JoinReply messages.
    bool join = false;
    Heartbeat sender;
    /// Address to ping, in a PingRequest.
    Endpoint target;
    std::vector<MemberUpdate> updates;
};

/// Timing and size parameters of the membership protocol.
struct SwimSettings
{
    /// Time between two probes from one router.
    Duration probePeriod = Milliseconds{500};
    /// Time to wait for an Ack before sending indirect probes.
    Duration ackTimeout = Milliseconds{200};
    /// Time for which a suspect can refute before it is declared gone.
    Duration suspicionTimeout = Milliseconds{2000};
    /// Time for which a gone member is remembered, so that late rumours don't revive it.
    Duration goneRetention = Seconds{60};
    /// A router whose own tick was later than this was paused, and must not declare others gone
    /// because of it.
    Duration maxTickDelay = Milliseconds{1000};
    std::size_t indirectProbes = 3;
    /// Members of the router's own data centre that receive urgent updates at once.
    std::size_t localFanout = 3;
    /// Members of other data centres that receive urgent updates at once from a watcher.
    std::size_t remoteFanout = 3;
    std::size_t maxUpdatesPerMessage = 8;
    /// A rumour is sent this many times the binary logarithm of the number of members.
    std::size_t retransmitFactor = 3;
    /// Probe periods between two pings to a seed that is not a member.
    std::uint64_t seedPingInterval = 4;
};

/// A remote router as this router sees it.
struct Member
{
    Heartbeat heartbeat;
    MemberState state = MemberState::Alive;
    /// When the member entered its state.
    TimePoint since;
};

/// A message to send.
struct SwimSend
{
    Endpoint to;
    SwimMessage message;
};

/// Result of a protocol step: messages to send and membership changes.
struct SwimOutput
{
    std::vector<SwimSend> sends;
    /// Members that are new or restarted.
    std::vector<Heartbeat> joined;
    /// Processes that are gone, with the incarnation that is gone.
    std::vector<Heartbeat> gone;
    /// Members that became suspects.
    std::vector<Heartbeat> suspected;
};

/// State of the protocol. SWIM: in each period a router probes one member of its own data centre,
/// uses indirect probes before it suspects one, and disseminates updates by gossip. Watchers also
/// probe one member of another data centre in each period.
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
    /// Members that this router's own probes found suspect.
    std::set<std::string> locallySuspected;
    std::vector<std::string> localProbeOrder;
    std::vector<std::string> remoteProbeOrder;
    /// Whether any member is suspect or gone. Lets a tick skip the walk over all members otherwise.
    bool hasSuspectOrGone = false;
    std::uint32_t nextProbeNumber = 1;
    std::uint64_t periodCount = 0;
    TimePoint nextProbeAt;
    TimePoint lastTick;
    std::mt19937_64 random;
};

/// Sets this router's own heartbeat. A change of `leaving` increments the refutation number, so
/// that it takes precedence over earlier statements.
void swimUpdateSelf(SwimState &state, const Heartbeat &own);

/// Advances the protocol to \a now. Must be called several times in a probe period.
/// \param seeds addresses of routers that should be members, from settings and the VM list
[[nodiscard]] SwimOutput swimTick(SwimState &state, const SwimSettings &settings,
                                  const std::set<Endpoint> &seeds, TimePoint now);

/// Handles a message from the address \a from.
[[nodiscard]] SwimOutput swimReceive(SwimState &state, const SwimSettings &settings,
                                     const SwimMessage &message, const Endpoint &from,
                                     TimePoint now);

/// Gossips this router's heartbeat, for instance after a version change, to a few members of its
/// own data centre.
[[nodiscard]] SwimOutput swimGossipSelf(SwimState &state, const SwimSettings &settings);

/// Sends this router's heartbeat at once to every member of its own data centre and to some of
/// other ones.
/// \param gone whether the router is about to exit, which spares the others the suspicion timeout
[[nodiscard]] SwimOutput swimAnnounce(SwimState &state, const SwimSettings &settings, bool gone);

} // namespace plantainswitch
