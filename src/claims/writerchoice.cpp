#include "plantainswitch/claims/writerchoice.h"

#include <algorithm>

#include "plantainswitch/base/hash.h"
#include "plantainswitch/placement/rendezvous.h"

namespace plantainswitch {

namespace {

constexpr const char *rendezvousSalt = "claimlog";

bool contains(const std::vector<std::uint64_t> &ids, std::uint64_t id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

bool isSilent(const SilentWriters &silentWriters, std::uint64_t id, TimePoint now)
{
    const auto found = silentWriters.find(id);
    return found != silentWriters.end() && now < found->second;
}

/// Gives up the writer tried last after too many unacknowledged requests.
/// \returns its id, or 0 when it is not given up
std::uint64_t skipUnresponsive(ClaimRoute &route, SilentWriters &silentWriters,
                               const WriterLimits &limits, TimePoint now)
{
    if (route.writer == 0 || route.unacknowledged < limits.maxUnacknowledged) {
        return 0;
    }
    const std::uint64_t skipped = route.writer;
    silentWriters[skipped] = now + limits.silentWriterRetention;
    route.triedWriters.push_back(skipped);
    route.writer = 0;
    route.unacknowledged = 0;
    return skipped;
}

/// Selects the next writer: the current one, else the first that is neither tried nor unresponsive.
/// \returns its index, or the number of writers
std::size_t selectWriter(const ClaimRoute &route, const SilentWriters &silentWriters,
                         const std::vector<std::uint64_t> &writers, TimePoint now)
{
    const auto current = std::find(writers.begin(), writers.end(), route.writer);
    if (route.writer != 0 && current != writers.end()) {
        return static_cast<std::size_t>(current - writers.begin());
    }
    const auto next = std::find_if(writers.begin(), writers.end(), [&](std::uint64_t id) {
        return !contains(route.triedWriters, id) && !isSilent(silentWriters, id, now);
    });
    return static_cast<std::size_t>(next - writers.begin());
}

} // namespace

std::vector<std::size_t> claimWritersOf(std::uint32_t slice,
                                        const std::vector<WriterCandidate> &members,
                                        const std::string &ownDataCentre,
                                        const WriterLimits &limits)
{
    std::vector<Candidate> candidates;
    candidates.reserve(members.size());
    for (const WriterCandidate &member : members) {
        candidates.push_back({member.id, 1.0});
    }
    const auto order = rendezvousOrder(hashOf(rendezvousSalt, slice), candidates);
    std::vector<std::size_t> writers;
    const auto add = [&](auto matches) {
        const auto found = std::find_if(order.begin(), order.end(), [&](std::size_t index) {
            return std::find(writers.begin(), writers.end(), index) == writers.end()
                   && matches(members[index]);
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
    const bool hasOwnDataCentre =
        std::any_of(writers.begin(), writers.end(),
                    [&](std::size_t index) { return members[index].dataCentre == ownDataCentre; });
    if (!hasOwnDataCentre) {
        add([&ownDataCentre](const WriterCandidate &member) {
            return member.dataCentre == ownDataCentre;
        });
    }
    while (writers.size() < std::min(limits.maxWriters, members.size())) {
        add(any);
    }
    return writers;
}

ClaimRouteStep nextClaimRouteStep(ClaimRoute &route, SilentWriters &silentWriters,
                                  const std::vector<std::uint64_t> &writers, std::uint64_t self,
                                  const WriterLimits &limits, TimePoint now)
{
    if (limits.maxRefusals > 0 && route.refusals >= limits.maxRefusals) {
        return {ClaimRouteAction::Refuse, 0, Duration{0}, 0};
    }
    ClaimRouteStep step;
    step.wait = limits.resendInterval;
    step.silentWriter =
        route.writeLocally ? 0 : skipUnresponsive(route, silentWriters, limits, now);
    const std::size_t selected = selectWriter(route, silentWriters, writers, now);
    if (route.writeLocally || selected == writers.size() || writers[selected] == self) {
        route.writeLocally = true;
        return step;
    }
    if (route.writer != writers[selected]) {
        route.writer = writers[selected];
        route.unacknowledged = 0;
    }
    ++route.unacknowledged;
    step.action = ClaimRouteAction::Send;
    step.writer = selected;
    step.wait = limits.ackTimeout;
    return step;
}

void recordWriterAck(ClaimRoute &route, SilentWriters &silentWriters)
{
    route.unacknowledged = 0;
    silentWriters.erase(route.writer);
}

void recordWriterRefusal(ClaimRoute &route)
{
    ++route.refusals;
    route.triedWriters.push_back(route.writer);
    route.writer = 0;
}

} // namespace plantainswitch
