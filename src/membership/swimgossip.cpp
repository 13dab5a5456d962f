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

} // namespace

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

} // namespace plantainswitch::swim
