#include "plantainswitch/membership/swim.h"

#include <algorithm>
#include <array>

#include "plantainswitch/membership/watchers.h"

#include "swimgossip.h"
#include "swimprobes.h"

namespace plantainswitch {

using namespace swim;

namespace {

constexpr std::array stateNames{std::string_view{"alive"}, std::string_view{"suspect"},
                                std::string_view{"gone"}};

/// Members in one JoinReply message, which keeps it below the longest datagram.
constexpr std::size_t maxMembersPerJoinReply = 10;

void sendJoinReply(SwimState &state, const Endpoint &to, SwimOutput &output)
{
    SwimMessage message;
    message.kind = SwimKind::JoinReply;
    message.sender = state.own;
    for (const auto &[id, member] : state.members) {
        if (!isLive(member)) {
            continue;
        }
        message.updates.push_back({member.heartbeat, MemberState::Alive});
        if (message.updates.size() == maxMembersPerJoinReply) {
            output.sends.push_back({to, message});
            message.updates.clear();
        }
    }
    if (!message.updates.empty()) {
        output.sends.push_back({to, message});
    }
}

} // namespace

std::string_view nameOf(MemberState state) noexcept
{
    return stateNames.at(static_cast<std::size_t>(state));
}

void swimUpdateSelf(SwimState &state, const Heartbeat &own)
{
    const std::uint32_t refutation =
        state.own.refutation + (state.own.leaving != own.leaving ? 1U : 0U);
    state.own = own;
    state.own.refutation = refutation;
}

SwimOutput swimTick(SwimState &state, const SwimSettings &settings, const std::set<Endpoint> &seeds,
                    TimePoint now)
{
    SwimOutput output;
    resetAfterPause(state, settings, now);
    state.lastTick = now;
    checkProbeTimeouts(state, settings, now, output);
    expireSuspects(state, settings, now, output);
    if (now < state.nextProbeAt) {
        return output;
    }
    state.nextProbeAt = now + settings.probePeriod;
    notifySuspects(state, settings, output);
    sendProbe(state, settings, nextProbeTarget(state, state.localProbeOrder, true), now, output);
    if (gossipsAcrossDataCentres(state)) {
        sendProbe(state, settings, nextProbeTarget(state, state.remoteProbeOrder, false), now,
                  output);
    }
    const bool isAlone = std::none_of(state.members.begin(), state.members.end(),
                                      [](const auto &each) { return isLive(each.second); });
    if (isAlone || state.periodCount % settings.seedPingInterval == 0) {
        pingSeed(state, settings, seeds, output);
    }
    ++state.periodCount;
    return output;
}

SwimOutput swimReceive(SwimState &state, const SwimSettings &settings, const SwimMessage &message,
                       const Endpoint &from, TimePoint now)
{
    SwimOutput output;
    if (message.sender.id == state.own.id) {
        return output;
    }
    std::vector<GossipUpdate> updates;
    handleSenderHeartbeat(state, settings, message.sender, now, output, updates);
    for (const MemberUpdate &update : message.updates) {
        if (message.kind == SwimKind::JoinReply && update.member.id != state.own.id) {
            applyUpdate(state, update, now, output);
        } else {
            handleUpdate(state, settings, update, now, output, updates);
        }
    }
    sendGossip(state, settings, updates, output);
    switch (message.kind) {
    case SwimKind::Ping:
        output.sends.push_back({from, makeAck(state, settings, message.probe)});
        if (message.join) {
            sendJoinReply(state, from, output);
        }
        break;
    case SwimKind::Ack:
        handleAck(state, settings, message.probe, output);
        break;
    case SwimKind::PingRequest:
        handlePingRequest(state, settings, message, from, now, output);
        break;
    case SwimKind::Gossip:
    case SwimKind::JoinReply:
        break;
    }
    return output;
}

SwimOutput swimGossipSelf(SwimState &state, const SwimSettings &settings)
{
    SwimOutput output;
    std::set<Endpoint> targets;
    for (const Member *member : sampleMembers(state, true, settings.localFanout, "")) {
        targets.insert(member->heartbeat.datagramEndpoint);
    }
    // The first watcher records which version is in force on which router.
    for (const Heartbeat &first :
         watchersOf(state.own.dataCentre, activeMembersIn(state, state.own.dataCentre), 1)) {
        targets.insert(first.datagramEndpoint);
    }
    targets.erase(state.own.datagramEndpoint);
    for (const Endpoint &target : targets) {
        output.sends.push_back({target, makeMessage(state, settings, SwimKind::Gossip, 0)});
    }
    return output;
}

SwimOutput swimAnnounce(SwimState &state, const SwimSettings &settings, bool gone)
{
    SwimOutput output;
    SwimMessage message;
    message.sender = state.own;
    const MemberUpdate update{state.own, gone ? MemberState::Gone : MemberState::Alive};
    message.updates = {update};
    if (!gone) {
        enqueueRumour(state, settings, update);
    }
    for (const auto &[id, member] : state.members) {
        if (isLive(member) && member.heartbeat.dataCentre == state.own.dataCentre) {
            output.sends.push_back({member.heartbeat.datagramEndpoint, message});
        }
    }
    for (const Member *member : sampleMembers(state, false, settings.remoteFanout, "")) {
        output.sends.push_back({member->heartbeat.datagramEndpoint, message});
    }
    return output;
}

} // namespace plantainswitch
