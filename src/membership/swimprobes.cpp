#include "swimprobes.h"

#include <algorithm>

#include "swimgossip.h"

namespace plantainswitch::swim {

namespace {

void markSuspect(SwimState &state, const SwimSettings &settings, const std::string &id,
                 TimePoint now, SwimOutput &output)
{
    const auto found = state.members.find(id);
    if (found == state.members.end() || found->second.state != MemberState::Alive) {
        return;
    }
    const MemberUpdate update{found->second.heartbeat, MemberState::Suspect};
    if (applyUpdate(state, update, now, output)) {
        if (update.member.dataCentre == state.own.dataCentre) {
            enqueueRumour(state, settings, update);
        }
        state.locallySuspected.insert(id);
    }
}

void sendIndirectProbes(SwimState &state, const SwimSettings &settings, SwimState::Probe &probe,
                        std::uint32_t number, SwimOutput &output)
{
    probe.isIndirect = true;
    const auto target = state.members.find(probe.target);
    if (target == state.members.end()) {
        return;
    }
    auto relays = sampleMembers(state, true, settings.indirectProbes, probe.target);
    if (relays.empty()) {
        relays = sampleMembers(state, false, settings.indirectProbes, probe.target);
    }
    for (const Member *relay : relays) {
        SwimMessage message = makeMessage(state, settings, SwimKind::PingRequest, number);
        message.target = target->second.heartbeat.datagramEndpoint;
        output.sends.push_back({relay->heartbeat.datagramEndpoint, std::move(message)});
    }
}

} // namespace

SwimMessage makeAck(SwimState &state, const SwimSettings &settings, std::uint32_t probe)
{
    SwimMessage ack = makeMessage(state, settings, SwimKind::Ack, probe);
    if (ack.updates.size() >= settings.maxUpdatesPerMessage || state.members.empty()) {
        return ack;
    }
    std::uniform_int_distribution<std::size_t> choice(0, state.members.size() - 1);
    const auto &[id, member] =
        *std::next(state.members.begin(), static_cast<std::ptrdiff_t>(choice(state.random)));
    if (member.state != MemberState::Suspect) {
        ack.updates.push_back({member.heartbeat, member.state});
    }
    return ack;
}

void handleAck(SwimState &state, const SwimSettings &settings, std::uint32_t probe,
               SwimOutput &output)
{
    state.probes.erase(probe);
    const auto relay = state.relays.find(probe);
    if (relay != state.relays.end()) {
        output.sends.push_back({relay->second.requester,
                                makeMessage(state, settings, SwimKind::Ack, relay->second.probe)});
        state.relays.erase(relay);
    }
}

void handlePingRequest(SwimState &state, const SwimSettings &settings, const SwimMessage &message,
                       const Endpoint &from, TimePoint now, SwimOutput &output)
{
    const std::uint32_t probe = state.nextProbeNumber++;
    state.relays[probe] = {message.probe, from, now + settings.probePeriod};
    output.sends.push_back({message.target, makeMessage(state, settings, SwimKind::Ping, probe)});
}

void notifySuspects(SwimState &state, const SwimSettings &settings, SwimOutput &output)
{
    std::erase_if(state.locallySuspected, [&state](const std::string &id) {
        const auto found = state.members.find(id);
        return found == state.members.end() || found->second.state != MemberState::Suspect;
    });
    for (const std::string &id : state.locallySuspected) {
        const Member &member = state.members.at(id);
        SwimMessage ping = makeMessage(state, settings, SwimKind::Ping, 0);
        ping.updates.insert(ping.updates.begin(), {member.heartbeat, member.state});
        output.sends.push_back({member.heartbeat.datagramEndpoint, std::move(ping)});
    }
}

void checkProbeTimeouts(SwimState &state, const SwimSettings &settings, TimePoint now,
                        SwimOutput &output)
{
    for (auto each = state.probes.begin(); each != state.probes.end();) {
        SwimState::Probe &probe = each->second;
        if (now >= probe.deadline) {
            markSuspect(state, settings, probe.target, now, output);
            each = state.probes.erase(each);
            continue;
        }
        if (!probe.isIndirect && now >= probe.ackDeadline) {
            sendIndirectProbes(state, settings, probe, each->first, output);
        }
        ++each;
    }
    std::erase_if(state.relays, [now](const auto &each) { return each.second.deadline <= now; });
}

void expireSuspects(SwimState &state, const SwimSettings &settings, TimePoint now,
                    SwimOutput &output)
{
    if (!state.hasSuspectOrGone) {
        return;
    }
    std::vector<GossipUpdate> updates;
    for (const auto &[id, member] : state.members) {
        if (member.state == MemberState::Suspect
            && now - member.since >= settings.suspicionTimeout) {
            updates.push_back({{member.heartbeat, MemberState::Gone}, true});
        }
    }
    for (const GossipUpdate &each : updates) {
        applyUpdate(state, each.update, now, output);
        enqueueRumour(state, settings, each.update);
    }
    sendGossip(state, settings, updates, output);
    std::erase_if(state.members, [&](const auto &each) {
        return each.second.state == MemberState::Gone
               && now - each.second.since >= settings.goneRetention;
    });
    state.hasSuspectOrGone =
        std::any_of(state.members.begin(), state.members.end(),
                    [](const auto &each) { return each.second.state != MemberState::Alive; });
}

std::string nextProbeTarget(SwimState &state, std::vector<std::string> &order, bool sameDataCentre)
{
    while (true) {
        if (order.empty()) {
            for (const auto &[id, member] : state.members) {
                if (isLive(member)
                    && (member.heartbeat.dataCentre == state.own.dataCentre) == sameDataCentre) {
                    order.push_back(id);
                }
            }
            std::shuffle(order.begin(), order.end(), state.random);
            if (order.empty()) {
                return {};
            }
        }
        std::string id = std::move(order.back());
        order.pop_back();
        const auto found = state.members.find(id);
        if (found != state.members.end() && isLive(found->second)) {
            return id;
        }
    }
}

void sendProbe(SwimState &state, const SwimSettings &settings, const std::string &target,
               TimePoint now, SwimOutput &output)
{
    if (target.empty()) {
        return;
    }
    const std::uint32_t number = state.nextProbeNumber++;
    state.probes[number] = {target, now + settings.ackTimeout, now + settings.probePeriod, false};
    output.sends.push_back({state.members.at(target).heartbeat.datagramEndpoint,
                            makeMessage(state, settings, SwimKind::Ping, number)});
}

void pingSeed(SwimState &state, const SwimSettings &settings, const std::set<Endpoint> &seeds,
              SwimOutput &output)
{
    std::set<Endpoint> unknownSeeds = seeds;
    unknownSeeds.erase(state.own.datagramEndpoint);
    bool isAlone = true;
    for (const auto &[id, member] : state.members) {
        if (isLive(member)) {
            unknownSeeds.erase(member.heartbeat.datagramEndpoint);
            isAlone = false;
        }
    }
    std::vector<Endpoint> chosen;
    std::sample(unknownSeeds.begin(), unknownSeeds.end(), std::back_inserter(chosen),
                isAlone ? settings.localFanout : std::size_t{1}, state.random);
    for (const Endpoint &seed : chosen) {
        SwimMessage message = makeMessage(state, settings, SwimKind::Ping, 0);
        message.join = state.periodCount <= 2 * settings.seedPingInterval;
        for (const auto &[id, member] : state.members) {
            if (member.heartbeat.datagramEndpoint == seed) {
                message.updates.push_back({member.heartbeat, member.state});
            }
        }
        output.sends.push_back({seed, std::move(message)});
    }
}

void resetAfterPause(SwimState &state, const SwimSettings &settings, TimePoint now)
{
    if (state.lastTick == TimePoint{} || now - state.lastTick <= settings.maxTickDelay) {
        return;
    }
    state.probes.clear();
    for (auto &[id, member] : state.members) {
        if (member.state == MemberState::Suspect) {
            member.since = now;
        }
    }
}

} // namespace plantainswitch::swim
