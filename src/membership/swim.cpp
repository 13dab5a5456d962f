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

/// Members in one State message, so that it stays below the longest datagram.
constexpr std::size_t membersInState = 10;

void answerNewcomer(SwimState &state, const Endpoint &to, SwimOutput &output)
{
    SwimMessage message;
    message.kind = SwimKind::State;
    message.from = state.own;
    for (const auto &[id, member] : state.members) {
        if (!isLive(member)) {
            continue;
        }
        message.updates.push_back({member.last, MemberState::Alive});
        if (message.updates.size() == membersInState) {
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

void describeSelf(SwimState &state, const Heartbeat &own)
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
    forgivePause(state, settings, now);
    state.lastTick = now;
    followProbes(state, settings, now, output);
    judgeSuspects(state, settings, now, output);
    if (now < state.probeAt) {
        return output;
    }
    state.probeAt = now + settings.period;
    tellAccused(state, settings, output);
    probe(state, settings, nextInRound(state, state.order, true), now, output);
    if (speaksAcross(state)) {
        probe(state, settings, nextInRound(state, state.crossOrder, false), now, output);
    }
    const bool alone = std::none_of(state.members.begin(), state.members.end(),
                                    [](const auto &each) { return isLive(each.second); });
    if (alone || state.periods % settings.seedPeriods == 0) {
        pingSeed(state, settings, seeds, output);
    }
    ++state.periods;
    return output;
}

SwimOutput swimReceive(SwimState &state, const SwimSettings &settings, const SwimMessage &message,
                       const Endpoint &from, TimePoint now)
{
    SwimOutput output;
    if (message.from.id == state.own.id) {
        return output;
    }
    std::vector<News> news;
    hearSender(state, settings, message.from, now, output, news);
    for (const MemberUpdate &update : message.updates) {
        if (message.kind == SwimKind::State && update.member.id != state.own.id) {
            apply(state, update, now, output);
        } else {
            applyNews(state, settings, update, now, output, news);
        }
    }
    gossip(state, settings, news, output);
    switch (message.kind) {
    case SwimKind::Ping:
        output.sends.push_back({from, ackOf(state, settings, message.probe)});
        if (message.join) {
            answerNewcomer(state, from, output);
        }
        break;
    case SwimKind::Ack:
        takeAck(state, settings, message.probe, output);
        break;
    case SwimKind::PingRequest:
        takePingRequest(state, settings, message, from, now, output);
        break;
    case SwimKind::Gossip:
    case SwimKind::State:
        break;
    }
    return output;
}

SwimOutput swimTellFew(SwimState &state, const SwimSettings &settings)
{
    SwimOutput output;
    std::set<Endpoint> targets;
    for (const Member *member : pick(state, true, settings.fanout, "")) {
        targets.insert(member->last.datagrams);
    }
    // The first watcher writes down who has what in force.
    for (const Heartbeat &first :
         watchersOf(state.own.place, activeIn(state, state.own.place), 1)) {
        targets.insert(first.datagrams);
    }
    targets.erase(state.own.datagrams);
    for (const Endpoint &target : targets) {
        output.sends.push_back({target, messageOf(state, settings, SwimKind::Gossip, 0)});
    }
    return output;
}

SwimOutput swimAnnounce(SwimState &state, const SwimSettings &settings, bool gone)
{
    SwimOutput output;
    SwimMessage message;
    message.from = state.own;
    const MemberUpdate update{state.own, gone ? MemberState::Gone : MemberState::Alive};
    message.updates = {update};
    if (!gone) {
        spread(state, settings, update);
    }
    for (const auto &[id, member] : state.members) {
        if (isLive(member) && member.last.place == state.own.place) {
            output.sends.push_back({member.last.datagrams, message});
        }
    }
    for (const Member *member : pick(state, false, settings.crossFanout, "")) {
        output.sends.push_back({member->last.datagrams, message});
    }
    return output;
}

} // namespace plantainswitch
