#include "plantainswitch/membership/swim.h"

#include <algorithm>
#include <array>
#include <bit>
#include <tuple>

#include "plantainswitch/membership/watchers.h"

namespace plantainswitch {

namespace {

constexpr std::array stateNames{std::string_view{"alive"}, std::string_view{"suspect"},
                                std::string_view{"gone"}};

/// Members in one State message, so that it stays below the longest datagram.
constexpr std::size_t membersInState = 10;

auto precedence(const MemberUpdate &update) noexcept
{
    return std::make_tuple(update.member.incarnation, update.member.refutation, update.state);
}

bool isLive(const Member &member) noexcept
{
    return member.state != MemberState::Gone;
}

std::vector<Heartbeat> activeIn(const SwimState &state, const std::string &place)
{
    std::vector<Heartbeat> result{state.own};
    for (const auto &[id, member] : state.members) {
        if (isLive(member) && !member.last.leaving && member.last.place == place) {
            result.push_back(member.last);
        }
    }
    return result;
}

bool speaksAcross(const SwimState &state)
{
    return isWatcher(state.own.id, state.own.place, activeIn(state, state.own.place));
}

/// \returns up to \a count live members chosen at random, of the own place or of the others.
std::vector<const Member *> pick(SwimState &state, bool ownPlace, std::size_t count,
                                 const std::string &except)
{
    std::vector<const Member *> candidates;
    for (const auto &[id, member] : state.members) {
        if (isLive(member) && id != except && (member.last.place == state.own.place) == ownPlace) {
            candidates.push_back(&member);
        }
    }
    std::vector<const Member *> result;
    std::sample(candidates.begin(), candidates.end(), std::back_inserter(result), count,
                state.random);
    return result;
}

void spread(SwimState &state, const SwimSettings &settings, const MemberUpdate &update)
{
    const std::size_t rounds = std::bit_width(state.members.size() + 1);
    state.rumours[update.member.id] = {update, settings.rumourFactor * rounds};
}

std::vector<MemberUpdate> takeRumours(SwimState &state, std::size_t most)
{
    std::vector<SwimState::Rumour *> freshest;
    for (auto &[id, rumour] : state.rumours) {
        freshest.push_back(&rumour);
    }
    std::stable_sort(freshest.begin(), freshest.end(), [](const auto *first, const auto *second) {
        return first->left > second->left;
    });
    std::vector<MemberUpdate> result;
    for (std::size_t index = 0; index < std::min(most, freshest.size()); ++index) {
        result.push_back(freshest[index]->update);
        --freshest[index]->left;
    }
    std::erase_if(state.rumours, [](const auto &each) { return each.second.left == 0; });
    return result;
}

SwimMessage messageOf(SwimState &state, const SwimSettings &settings, SwimKind kind,
                      std::uint32_t probe)
{
    SwimMessage message;
    message.kind = kind;
    message.probe = probe;
    message.from = state.own;
    message.updates = takeRumours(state, settings.updatesInMessage);
    return message;
}

/// News of a member. Only wide news crosses places: at 5% loss 1,200 routers suspect and
/// contradict each other more than once a second, which the other places need not hear of.
struct News
{
    MemberUpdate update;
    bool wide = false;
};

void gossip(SwimState &state, const SwimSettings &settings, const std::vector<News> &news,
            SwimOutput &output)
{
    if (news.empty()) {
        return;
    }
    SwimMessage local;
    local.from = state.own;
    SwimMessage across = local;
    for (const News &each : news) {
        local.updates.push_back(each.update);
        if (each.wide) {
            across.updates.push_back(each.update);
        }
    }
    for (const Member *member : pick(state, true, settings.fanout, "")) {
        output.sends.push_back({member->last.datagrams, local});
    }
    if (across.updates.empty() || !speaksAcross(state)) {
        return;
    }
    for (const Member *member : pick(state, false, settings.crossFanout, "")) {
        output.sends.push_back({member->last.datagrams, across});
    }
}

/// Takes what is said of this router itself. A wrong rumour that it is gone would take its
/// keeper work away while it serves; a higher refutation wins over the rumour everywhere.
void refute(SwimState &state, const SwimSettings &settings, const MemberUpdate &update,
            std::vector<News> &news)
{
    if (update.member.incarnation != state.own.incarnation || update.state == MemberState::Alive
        || update.member.refutation < state.own.refutation) {
        return;
    }
    state.own.refutation = update.member.refutation + 1;
    const MemberUpdate denial{state.own, MemberState::Alive};
    spread(state, settings, denial);
    news.push_back({denial, update.state == MemberState::Gone});
}

void reportChange(const Member *known, const MemberUpdate &update, SwimOutput &output)
{
    const bool wasLive = known != nullptr && isLive(*known);
    const bool restarted = known != nullptr && known->last.incarnation < update.member.incarnation;
    if (wasLive && (restarted || update.state == MemberState::Gone)) {
        output.gone.push_back(known->last);
    }
    if (update.state != MemberState::Gone && (!wasLive || restarted)) {
        output.joined.push_back(update.member);
    }
    if (update.state == MemberState::Suspect) {
        output.suspected.push_back(update.member);
    }
}

/// \returns whether \a update was news.
bool apply(SwimState &state, const MemberUpdate &update, TimePoint now, SwimOutput &output)
{
    const auto found = state.members.find(update.member.id);
    Member *known = found == state.members.end() ? nullptr : &found->second;
    if (known != nullptr && precedence(update) <= precedence({known->last, known->state})) {
        return false;
    }
    reportChange(known, update, output);
    Member next{update.member, update.state, now};
    if (known != nullptr && known->last.incarnation == update.member.incarnation) {
        // Rumours are older than what the member itself said of its versions.
        next.last.catalogueVersion =
            std::max(known->last.catalogueVersion, update.member.catalogueVersion);
        next.last.vmStamp = std::max(known->last.vmStamp, update.member.vmStamp);
        next.last.vmDigest = known->last.vmDigest;
    }
    state.members[update.member.id] = std::move(next);
    state.unsettled = state.unsettled || update.state != MemberState::Alive;
    return true;
}

void applyNews(SwimState &state, const SwimSettings &settings, const MemberUpdate &update,
               TimePoint now, SwimOutput &output, std::vector<News> &news)
{
    if (update.member.id == state.own.id) {
        refute(state, settings, update, news);
        return;
    }
    const bool elsewhere = update.member.place != state.own.place;
    if (elsewhere && update.state == MemberState::Suspect) {
        // Its denial stays in its place, so that whoever took the suspicion in would find the
        // member gone although it has answered.
        return;
    }
    const auto known = state.members.find(update.member.id);
    const bool wide = known == state.members.end() || !isLive(known->second)
                      || known->second.last.incarnation != update.member.incarnation
                      || known->second.last.leaving != update.member.leaving
                      || update.state == MemberState::Gone;
    if (!apply(state, update, now, output)) {
        return;
    }
    if (!wide && elsewhere) {
        return;
    }
    spread(state, settings, update);
    if (update.state != MemberState::Suspect) {
        news.push_back({update, wide});
    }
}

/// Takes the heartbeat that its sender put into a message.
void hearSender(SwimState &state, const SwimSettings &settings, const Heartbeat &from,
                TimePoint now, SwimOutput &output, std::vector<News> &news)
{
    applyNews(state, settings, {from, MemberState::Alive}, now, output, news);
    const auto found = state.members.find(from.id);
    if (found == state.members.end() || found->second.last.incarnation != from.incarnation) {
        return;
    }
    Member &member = found->second;
    if (member.state == MemberState::Gone || member.last.refutation > from.refutation) {
        // It is alive, but the others have heard that it is gone: it has to contradict.
        SwimMessage told = messageOf(state, settings, SwimKind::Gossip, 0);
        told.updates = {{member.last, member.state}};
        output.sends.push_back({from.datagrams, std::move(told)});
        return;
    }
    member.last = from;
    if (member.state == MemberState::Suspect) {
        member.state = MemberState::Alive;
        member.since = now;
    }
}

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

/// An answer to a ping, with one member at random: what a router missed by lost datagrams is
/// mended by and by without a full exchange.
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

/// Tells each suspect first hand, period by period, so that it can contradict in time even when
/// datagrams are lost; in another place nobody else would tell it.
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

/// \returns the next member of the round, in an order shuffled anew for each round.
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

/// Pings a listed router that is not a member: it may be new, or on the other side of a
/// partition that has healed, where both sides hold each other for gone and none would speak.
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

/// After a pause of this process every probe looks unanswered and every suspicion overdue,
/// although only this router was away; it starts its judgements anew.
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
