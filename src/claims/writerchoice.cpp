#include "plantainswitch/claims/writerchoice.h"

#include <algorithm>

#include "plantainswitch/base/hash.h"
#include "plantainswitch/placement/rendezvous.h"

namespace plantainswitch {

namespace {

constexpr const char *sliceSalt = "claimlog";

bool contains(const std::vector<std::uint64_t> &ids, std::uint64_t id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

bool isSilent(const SilentWriters &silent, std::uint64_t id, TimePoint now)
{
    const auto found = silent.find(id);
    return found != silent.end() && now < found->second;
}

/// Gives up the writer asked last once it left too many asks unheard.
/// \returns its id, or 0 when it is not given up
std::uint64_t passOver(AskRoute &route, SilentWriters &silent, const WriterLimits &limits,
                       TimePoint now)
{
    if (route.asked == 0 || route.unheard < limits.unheardAsks) {
        return 0;
    }
    const std::uint64_t given = route.asked;
    silent[given] = now + limits.rememberSilent;
    route.passed.push_back(given);
    route.asked = 0;
    route.unheard = 0;
    return given;
}

/// Chooses the next writer: the one that acknowledged the ask, else the first that is neither
/// done with nor silent. \returns its index, or the number of writers
std::size_t chooseWriter(const AskRoute &route, const SilentWriters &silent,
                         const std::vector<std::uint64_t> &writers, TimePoint now)
{
    const auto same = std::find(writers.begin(), writers.end(), route.asked);
    if (route.asked != 0 && same != writers.end()) {
        return static_cast<std::size_t>(same - writers.begin());
    }
    const auto next = std::find_if(writers.begin(), writers.end(), [&](std::uint64_t id) {
        return !contains(route.passed, id) && !isSilent(silent, id, now);
    });
    return static_cast<std::size_t>(next - writers.begin());
}

} // namespace

std::vector<std::size_t> writersOf(std::uint32_t slice, const std::vector<WriterCandidate> &members,
                                   const std::string &ownPlace, const WriterLimits &limits)
{
    std::vector<Candidate> candidates;
    candidates.reserve(members.size());
    for (const WriterCandidate &member : members) {
        candidates.push_back({member.id, 1.0});
    }
    const auto order = rendezvousOrder(hashOf(sliceSalt, slice), candidates);
    std::vector<std::size_t> writers;
    const auto add = [&](auto wanted) {
        const auto found = std::find_if(order.begin(), order.end(), [&](std::size_t index) {
            return std::find(writers.begin(), writers.end(), index) == writers.end()
                   && wanted(members[index]);
        });
        if (found != order.end() && writers.size() < limits.writers) {
            writers.push_back(*found);
        }
    };
    const auto any = [](const WriterCandidate &) { return true; };
    add(any);
    if (!writers.empty()) {
        const std::string first = members[writers.front()].place;
        add([&first](const WriterCandidate &member) { return member.place != first; });
    }
    const bool ownAsked = std::any_of(writers.begin(), writers.end(), [&](std::size_t index) {
        return members[index].place == ownPlace;
    });
    if (!ownAsked) {
        add([&ownPlace](const WriterCandidate &member) { return member.place == ownPlace; });
    }
    while (writers.size() < std::min(limits.writers, members.size())) {
        add(any);
    }
    return writers;
}

AskStep nextAskStep(AskRoute &route, SilentWriters &silent,
                    const std::vector<std::uint64_t> &writers, std::uint64_t self,
                    const WriterLimits &limits, TimePoint now)
{
    if (limits.mostRefusals > 0 && route.refusals >= limits.mostRefusals) {
        return {AskAction::Refuse, 0, Duration{0}, 0};
    }
    AskStep step;
    step.wait = limits.askAgainAfter;
    step.silent = route.here ? 0 : passOver(route, silent, limits, now);
    const std::size_t chosen = chooseWriter(route, silent, writers, now);
    if (route.here || chosen == writers.size() || writers[chosen] == self) {
        route.here = true;
        return step;
    }
    if (route.asked != writers[chosen]) {
        route.asked = writers[chosen];
        route.unheard = 0;
    }
    ++route.unheard;
    step.action = AskAction::Send;
    step.writer = chosen;
    step.wait = limits.ackTimeout;
    return step;
}

void hearWriter(AskRoute &route, SilentWriters &silent)
{
    route.unheard = 0;
    silent.erase(route.asked);
}

void refuseWriter(AskRoute &route)
{
    ++route.refusals;
    route.passed.push_back(route.asked);
    route.asked = 0;
}

} // namespace plantainswitch
