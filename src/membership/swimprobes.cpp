#include "swimprobes.h"

#include <algorithm>

#include "swimgossip.h"

namespace plantainswitch::swim {

namespace {

void suspect(SwimState &state, const SwimSettings &settings, const std::string &id, TimePoint now,
             SwimOutput &output)
{
    const auto found = state.members.find(id);
    if (found == state.members.end() || found->second.state != MemberState::Alive) {
        return;
    }
    const MemberUpdate update{found->second.last, MemberState::Suspect};
    if (apply(state, update, now, output)) {
        if (update.member.place == state.own.place) {
            spread(state, settings, update);
        }
        state.accused.insert(id);
    }
}

void askOthers(SwimState &state, const SwimSettings &settings, SwimState::Probe &probe,
               std::uint32_t number, SwimOutput &output)
{
    probe.indirect = true;
    const auto target = state.members.find(probe.target);
    if (target == state.members.end()) {
        return;
    }
    auto helpers = pick(state, true, settings.indirectProbes, probe.target);
    if (helpers.empty()) {
        helpers = pick(state, false, settings.indirectProbes, probe.target);
    }
    for (const Member *helper : helpers) {
        SwimMessage message = messageOf(state, settings, SwimKind::PingRequest, number);
        message.target = target->second.last.datagrams;
        output.sends.push_back({helper->last.datagrams, std::move(message)});
    }
}

} // namespace

SwimMessage ackOf(SwimState &state, const SwimSettings &settings, std::uint32_t probe)
{
    SwimMessage ack = messageOf(state, settings, SwimKind::Ack, probe);
    if (ack.updates.size() >= settings.updatesInMessage || state.members.empty()) {
        return ack;
    }
    std::uniform_int_distribution<std::size_t> choice(0, state.members.size() - 1);
    const auto &[id, member] =
        *std::next(state.members.begin(), static_cast<std::ptrdiff_t>(choice(state.random)));
    if (member.state != MemberState::Suspect) {
        ack.updates.push_back({member.last, member.state});
    }
    return ack;
}

void takeAck(SwimState &state, const SwimSettings &settings, std::uint32_t probe,
             SwimOutput &output)
{
    state.probes.erase(probe);
    const auto relay = state.relays.find(probe);
    if (relay != state.relays.end()) {
        output.sends.push_back(
            {relay->second.asker, messageOf(state, settings, SwimKind::Ack, relay->second.probe)});
        state.relays.erase(relay);
    }
}

void takePingRequest(SwimState &state, const SwimSettings &settings, const SwimMessage &message,
                     const Endpoint &from, TimePoint now, SwimOutput &output)
{
    const std::uint32_t probe = state.nextProbe++;
    state.relays[probe] = {message.probe, from, now + settings.period};
    output.sends.push_back({message.target, messageOf(state, settings, SwimKind::Ping, probe)});
}

void tellAccused(SwimState &state, const SwimSettings &settings, SwimOutput &output)
{
    std::erase_if(state.accused, [&state](const std::string &id) {
        const auto found = state.members.find(id);
        return found == state.members.end() || found->second.state != MemberState::Suspect;
    });
    for (const std::string &id : state.accused) {
        const Member &member = state.members.at(id);
        SwimMessage told = messageOf(state, settings, SwimKind::Ping, 0);
        told.updates.insert(told.updates.begin(), {member.last, member.state});
        output.sends.push_back({member.last.datagrams, std::move(told)});
    }
}

void followProbes(SwimState &state, const SwimSettings &settings, TimePoint now, SwimOutput &output)
{
    for (auto each = state.probes.begin(); each != state.probes.end();) {
        SwimState::Probe &probe = each->second;
        if (now >= probe.until) {
            suspect(state, settings, probe.target, now, output);
            each = state.probes.erase(each);
            continue;
        }
        if (!probe.indirect && now >= probe.indirectAt) {
            askOthers(state, settings, probe, each->first, output);
        }
        ++each;
    }
    std::erase_if(state.relays, [now](const auto &each) { return each.second.until <= now; });
}

void judgeSuspects(SwimState &state, const SwimSettings &settings, TimePoint now,
                   SwimOutput &output)
{
    if (!state.unsettled) {
        return;
    }
    std::vector<News> news;
    for (const auto &[id, member] : state.members) {
        if (member.state == MemberState::Suspect && now - member.since >= settings.suspicion) {
            news.push_back({{member.last, MemberState::Gone}, true});
        }
    }
    for (const News &each : news) {
        apply(state, each.update, now, output);
        spread(state, settings, each.update);
    }
    gossip(state, settings, news, output);
    std::erase_if(state.members, [&](const auto &each) {
        return each.second.state == MemberState::Gone
               && now - each.second.since >= settings.remembered;
    });
    state.unsettled = std::any_of(state.members.begin(), state.members.end(), [](const auto &each) {
        return each.second.state != MemberState::Alive;
    });
}

std::string nextInRound(SwimState &state, std::vector<std::string> &order, bool ownPlace)
{
    while (true) {
        if (order.empty()) {
            for (const auto &[id, member] : state.members) {
                if (isLive(member) && (member.last.place == state.own.place) == ownPlace) {
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

void probe(SwimState &state, const SwimSettings &settings, const std::string &target, TimePoint now,
           SwimOutput &output)
{
    if (target.empty()) {
        return;
    }
    const std::uint32_t number = state.nextProbe++;
    state.probes[number] = {target, now + settings.directTimeout, now + settings.period, false};
    output.sends.push_back({state.members.at(target).last.datagrams,
                            messageOf(state, settings, SwimKind::Ping, number)});
}

void pingSeed(SwimState &state, const SwimSettings &settings, const std::set<Endpoint> &seeds,
              SwimOutput &output)
{
    std::set<Endpoint> strangers = seeds;
    strangers.erase(state.own.datagrams);
    bool alone = true;
    for (const auto &[id, member] : state.members) {
        if (isLive(member)) {
            strangers.erase(member.last.datagrams);
            alone = false;
        }
    }
    std::vector<Endpoint> chosen;
    std::sample(strangers.begin(), strangers.end(), std::back_inserter(chosen),
                alone ? settings.fanout : std::size_t{1}, state.random);
    for (const Endpoint &seed : chosen) {
        SwimMessage message = messageOf(state, settings, SwimKind::Ping, 0);
        message.join = state.periods <= 2 * settings.seedPeriods;
        for (const auto &[id, member] : state.members) {
            if (member.last.datagrams == seed) {
                message.updates.push_back({member.last, member.state});
            }
        }
        output.sends.push_back({seed, std::move(message)});
    }
}

void forgivePause(SwimState &state, const SwimSettings &settings, TimePoint now)
{
    if (state.lastTick == TimePoint{} || now - state.lastTick <= settings.pauseLimit) {
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
