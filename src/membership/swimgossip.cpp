#include "swimgossip.h"

#include <algorithm>
#include <bit>
#include <tuple>

#include "plantainswitch/membership/watchers.h"

namespace plantainswitch::swim {

namespace {

auto precedence(const MemberUpdate &update) noexcept
{
    return std::make_tuple(update.member.incarnation, update.member.refutation, update.state);
}

std::vector<MemberUpdate> takeRumoursToSend(SwimState &state, std::size_t maxCount)
{
    std::vector<SwimState::Rumour *> byRemainingSends;
    for (auto &[id, rumour] : state.rumours) {
        byRemainingSends.push_back(&rumour);
    }
    std::stable_sort(byRemainingSends.begin(), byRemainingSends.end(),
                     [](const auto *first, const auto *second) {
                         return first->remainingSends > second->remainingSends;
                     });
    std::vector<MemberUpdate> result;
    for (std::size_t index = 0; index < std::min(maxCount, byRemainingSends.size()); ++index) {
        result.push_back(byRemainingSends[index]->update);
        --byRemainingSends[index]->remainingSends;
    }
    std::erase_if(state.rumours, [](const auto &each) { return each.second.remainingSends == 0; });
    return result;
}

/// Handles an update about this router itself. A false rumour that it is gone would take its
/// coordinator role away while it serves; a higher refutation number overrides the rumour
/// everywhere.
void refute(SwimState &state, const SwimSettings &settings, const MemberUpdate &update,
            std::vector<GossipUpdate> &updates)
{
    if (update.member.incarnation != state.own.incarnation || update.state == MemberState::Alive
        || update.member.refutation < state.own.refutation) {
        return;
    }
    state.own.refutation = update.member.refutation + 1;
    const MemberUpdate refutation{state.own, MemberState::Alive};
    enqueueRumour(state, settings, refutation);
    updates.push_back({refutation, update.state == MemberState::Gone});
}

void reportChange(const Member *known, const MemberUpdate &update, SwimOutput &output)
{
    const bool wasLive = known != nullptr && isLive(*known);
    const bool restarted =
        known != nullptr && known->heartbeat.incarnation < update.member.incarnation;
    if (wasLive && (restarted || update.state == MemberState::Gone)) {
        output.gone.push_back(known->heartbeat);
    }
    if (update.state != MemberState::Gone && (!wasLive || restarted)) {
        output.joined.push_back(update.member);
    }
    if (update.state == MemberState::Suspect) {
        output.suspected.push_back(update.member);
    }
}

} // namespace

bool isLive(const Member &member) noexcept
{
    return member.state != MemberState::Gone;
}

std::vector<Heartbeat> activeMembersIn(const SwimState &state, const std::string &dataCentre)
{
    std::vector<Heartbeat> result{state.own};
    for (const auto &[id, member] : state.members) {
        if (isLive(member) && !member.heartbeat.leaving
            && member.heartbeat.dataCentre == dataCentre) {
            result.push_back(member.heartbeat);
        }
    }
    return result;
}

bool gossipsAcrossDataCentres(const SwimState &state)
{
    return isWatcher(state.own.id, state.own.dataCentre,
                     activeMembersIn(state, state.own.dataCentre));
}

std::vector<const Member *> sampleMembers(SwimState &state, bool sameDataCentre, std::size_t count,
                                          const std::string &except)
{
    std::vector<const Member *> candidates;
    for (const auto &[id, member] : state.members) {
        if (isLive(member) && id != except
            && (member.heartbeat.dataCentre == state.own.dataCentre) == sameDataCentre) {
            candidates.push_back(&member);
        }
    }
    std::vector<const Member *> result;
    std::sample(candidates.begin(), candidates.end(), std::back_inserter(result), count,
                state.random);
    return result;
}

void enqueueRumour(SwimState &state, const SwimSettings &settings, const MemberUpdate &update)
{
    const std::size_t rounds = std::bit_width(state.members.size() + 1);
    state.rumours[update.member.id] = {update, settings.retransmitFactor * rounds};
}

SwimMessage makeMessage(SwimState &state, const SwimSettings &settings, SwimKind kind,
                        std::uint32_t probe)
{
    SwimMessage message;
    message.kind = kind;
    message.probe = probe;
    message.sender = state.own;
    message.updates = takeRumoursToSend(state, settings.maxUpdatesPerMessage);
    return message;
}

void sendGossip(SwimState &state, const SwimSettings &settings,
                const std::vector<GossipUpdate> &updates, SwimOutput &output)
{
    if (updates.empty()) {
        return;
    }
    SwimMessage local;
    local.sender = state.own;
    SwimMessage remote = local;
    for (const GossipUpdate &each : updates) {
        local.updates.push_back(each.update);
        if (each.crossDataCentre) {
            remote.updates.push_back(each.update);
        }
    }
    for (const Member *member : sampleMembers(state, true, settings.localFanout, "")) {
        output.sends.push_back({member->heartbeat.datagramEndpoint, local});
    }
    if (remote.updates.empty() || !gossipsAcrossDataCentres(state)) {
        return;
    }
    for (const Member *member : sampleMembers(state, false, settings.remoteFanout, "")) {
        output.sends.push_back({member->heartbeat.datagramEndpoint, remote});
    }
}

bool applyUpdate(SwimState &state, const MemberUpdate &update, TimePoint now, SwimOutput &output)
{
    const auto found = state.members.find(update.member.id);
    Member *known = found == state.members.end() ? nullptr : &found->second;
    if (known != nullptr && precedence(update) <= precedence({known->heartbeat, known->state})) {
        return false;
    }
    reportChange(known, update, output);
    Member next{update.member, update.state, now};
    if (known != nullptr && known->heartbeat.incarnation == update.member.incarnation) {
        // Gossiped versions may be older than those the member sent itself.
        next.heartbeat.catalogueVersion =
            std::max(known->heartbeat.catalogueVersion, update.member.catalogueVersion);
        next.heartbeat.vmListVersion =
            std::max(known->heartbeat.vmListVersion, update.member.vmListVersion);
        next.heartbeat.vmListDigest = known->heartbeat.vmListDigest;
    }
    state.members[update.member.id] = std::move(next);
    state.hasSuspectOrGone = state.hasSuspectOrGone || update.state != MemberState::Alive;
    return true;
}

void handleUpdate(SwimState &state, const SwimSettings &settings, const MemberUpdate &update,
                  TimePoint now, SwimOutput &output, std::vector<GossipUpdate> &updates)
{
    if (update.member.id == state.own.id) {
        refute(state, settings, update, updates);
        return;
    }
    const bool isRemote = update.member.dataCentre != state.own.dataCentre;
    if (isRemote && update.state == MemberState::Suspect) {
        // Refutations don't leave their data centre. A router elsewhere that accepted the suspicion
        // would declare the member gone although it has refuted.
        return;
    }
    const auto known = state.members.find(update.member.id);
    const bool crossDataCentre = known == state.members.end() || !isLive(known->second)
                                 || known->second.heartbeat.incarnation != update.member.incarnation
                                 || known->second.heartbeat.leaving != update.member.leaving
                                 || update.state == MemberState::Gone;
    if (!applyUpdate(state, update, now, output)) {
        return;
    }
    if (!crossDataCentre && isRemote) {
        return;
    }
    enqueueRumour(state, settings, update);
    if (update.state != MemberState::Suspect) {
        updates.push_back({update, crossDataCentre});
    }
}

void handleSenderHeartbeat(SwimState &state, const SwimSettings &settings, const Heartbeat &from,
                           TimePoint now, SwimOutput &output, std::vector<GossipUpdate> &updates)
{
    handleUpdate(state, settings, {from, MemberState::Alive}, now, output, updates);
    const auto found = state.members.find(from.id);
    if (found == state.members.end() || found->second.heartbeat.incarnation != from.incarnation) {
        return;
    }
    Member &member = found->second;
    if (member.state == MemberState::Gone || member.heartbeat.refutation > from.refutation) {
        // The sender is alive, but others have been told that it is gone: it has to refute.
        SwimMessage reply = makeMessage(state, settings, SwimKind::Gossip, 0);
        reply.updates = {{member.heartbeat, member.state}};
        output.sends.push_back({from.datagramEndpoint, std::move(reply)});
        return;
    }
    member.heartbeat = from;
    if (member.state == MemberState::Suspect) {
        member.state = MemberState::Alive;
        member.since = now;
    }
}

} // namespace plantainswitch::swim
