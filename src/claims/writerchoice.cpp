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

/// Gives up the writer tried last after too many unacknowledged requests.
/// \returns its id, or 0 when it is not given up
std::uint64_t passOver(ClaimRoute &route, SilentWriters &silent, const WriterLimits &limits,
                       TimePoint now)
{
    if (route.writer == 0 || route.unacknowledged < limits.maxUnacknowledged) {
        return 0;
    }
    const std::uint64_t given = route.writer;
    silent[given] = now + limits.silentWriterRetention;
    route.triedWriters.push_back(given);
    route.writer = 0;
    route.unacknowledged = 0;
    return given;
}

/// Selects the next writer: the current one, else the first that is neither tried nor unresponsive.
/// \returns its index, or the number of writers
std::size_t chooseWriter(const ClaimRoute &route, const SilentWriters &silent,
                         const std::vector<std::uint64_t> &writers, TimePoint now)
{
    const auto same = std::find(writers.begin(), writers.end(), route.writer);
    if (route.writer != 0 && same != writers.end()) {
        return static_cast<std::size_t>(same - writers.begin());
    }
    const auto next = std::find_if(writers.begin(), writers.end(), [&](std::uint64_t id) {
        return !contains(route.triedWriters, id) && !isSilent(silent, id, now);
    });
    return static_cast<std::size_t>(next - writers.begin());
}

} // namespace

std::vector<std::size_t> claimWritersOf(std::uint32_t slice,
                                        const std::vector<WriterCandidate> &members,
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
        if (found != order.end() && writers.size() < limits.maxWriters) {
            writers.push_back(*found);
        }
    };
    const auto any = [](const WriterCandidate &) { return true; };
    add(any);
    if (!writers.empty()) {
        const std::string first = members[writers.front()].dataCentre;
        add([&first](const WriterCandidate &member) { return member.dataCentre != first; });
    }
    const bool ownAsked = std::any_of(writers.begin(), writers.end(), [&](std::size_t index) {
        return members[index].dataCentre == ownPlace;
    });
    if (!ownAsked) {
        add([&ownPlace](const WriterCandidate &member) { return member.dataCentre == ownPlace; });
    }
    while (writers.size() < std::min(limits.maxWriters, members.size())) {
        add(any);
    }
    return writers;
}

ClaimRouteStep nextClaimRouteStep(ClaimRoute &route, SilentWriters &silent,
                                  const std::vector<std::uint64_t> &writers, std::uint64_t self,
                                  const WriterLimits &limits, TimePoint now)
{
    if (limits.maxRefusals > 0 && route.refusals >= limits.maxRefusals) {
        return {ClaimRouteAction::Refuse, 0, Duration{0}, 0};
    }
    ClaimRouteStep step;
    step.wait = limits.resendInterval;
    step.silentWriter = route.writeLocally ? 0 : passOver(route, silent, limits, now);
    const std::size_t chosen = chooseWriter(route, silent, writers, now);
    if (route.writeLocally || chosen == writers.size() || writers[chosen] == self) {
        route.writeLocally = true;
        return step;
    }
    if (route.writer != writers[chosen]) {
        route.writer = writers[chosen];
        route.unacknowledged = 0;
    }
    ++route.unacknowledged;
    step.action = ClaimRouteAction::Send;
    step.writer = chosen;
    step.wait = limits.ackTimeout;
    return step;
}

void recordWriterAck(ClaimRoute &route, SilentWriters &silent)
{
    route.unacknowledged = 0;
    silent.erase(route.writer);
}

void recordWriterRefusal(ClaimRoute &route)
{
    ++route.refusals;
    route.triedWriters.push_back(route.writer);
    route.writer = 0;
}

} // namespace plantainswitch
