#include "plantainswitch/placement/coordinator.h"

#include <algorithm>
#include <array>
#include <cmath>

#include "plantainswitch/base/hash.h"
#include "plantainswitch/placement/rendezvous.h"

namespace plantainswitch {

namespace {

constexpr std::array verdictNames{std::string_view{"granted"}, std::string_view{"overflow"},
                                  std::string_view{"empty"},   std::string_view{"queued"},
                                  std::string_view{"expired"}, std::string_view{"busy"}};

bool contains(const std::vector<UpstreamId> &list, UpstreamId id)
{
    return std::find(list.begin(), list.end(), id) != list.end();
}

std::uint32_t loadOf(const ShardState &state, UpstreamId id)
{
    const auto found = state.loads.find(id);
    return found == state.loads.end() ? 0 : found->second;
}

std::uint64_t totalLoad(const ShardState &state, const std::vector<UpstreamId> &ready)
{
    std::uint64_t total = 0;
    for (const UpstreamId id : ready) {
        total += loadOf(state, id);
    }
    return total;
}

bool isEngineEjected(const ShardState &state, UpstreamId id, TimePoint now)
{
    const auto found = state.ejections.find(id);
    return found != state.ejections.end() && found->second.ejectedUntil > now;
}

/// Ejects failed engines. An engine that failed looks idle and would attract the next requests. The
/// request's list of engines to avoid shows the failure long before the platform's list does.
void ejectFailed(ShardState &state, const std::vector<UpstreamId> &failed, TimePoint now)
{
    for (const UpstreamId id : failed) {
        state.ejections[id].ejectedUntil = now + ejectionPeriod;
    }
}

/// \returns all ready engines that are not ejected, or all ready ones if none is left.
std::vector<UpstreamId> availableEngines(const ShardState &state,
                                         const std::vector<UpstreamId> &ready, TimePoint now)
{
    std::vector<UpstreamId> result;
    for (const UpstreamId id : ready) {
        if (!isEngineEjected(state, id, now)) {
            result.push_back(id);
        }
    }
    return result.empty() ? ready : result;
}

std::vector<Candidate> candidatesOf(const SlotRequest &request,
                                    const std::vector<UpstreamId> &engines)
{
    std::vector<Candidate> result;
    result.reserve(engines.size());
    for (const UpstreamId id : engines) {
        if (!contains(request.avoid, id)) {
            result.push_back({id, 1.0});
        }
    }
    return result;
}

/// \returns the engines in the chat's order of preference: where it ran last, where it ran before,
/// then by its hash.
std::vector<UpstreamId> preferredOrder(const std::optional<ChatLocation> &location,
                                       const SlotRequest &request,
                                       const std::vector<Candidate> &candidates)
{
    std::vector<UpstreamId> result;
    result.reserve(candidates.size());
    for (const std::size_t index : rendezvousOrder(request.chat, candidates)) {
        result.push_back(candidates[index].id);
    }
    if (!location) {
        return result;
    }
    for (const UpstreamId known : {location->previous, location->latest}) {
        const auto found = std::find(result.begin(), result.end(), known);
        if (found != result.end()) {
            std::rotate(result.begin(), found, found + 1);
        }
    }
    return result;
}

/// Load limits at a grant: for a chat's first engine by hash, for an engine that has its prefix,
/// and for any.
struct LoadLimits
{
    std::uint32_t newChat = 0;
    std::uint32_t affinity = 0;
    std::uint32_t hard = 0;
};

std::optional<UpstreamId> firstBelowLimit(const ShardState &state,
                                          const std::vector<UpstreamId> &order, std::uint32_t limit)
{
    for (const UpstreamId id : order) {
        if (loadOf(state, id) < limit) {
            return id;
        }
    }
    return std::nullopt;
}

std::optional<UpstreamId> leastLoaded(const ShardState &state, const std::vector<UpstreamId> &order,
                                      std::uint32_t limit)
{
    const auto least =
        std::min_element(order.begin(), order.end(), [&state](UpstreamId first, UpstreamId second) {
            return loadOf(state, first) < loadOf(state, second);
        });
    if (least == order.end() || loadOf(state, *least) >= limit) {
        return std::nullopt;
    }
    return *least;
}

std::optional<UpstreamId> selectEngine(ShardState &state, const SlotRequest &request,
                                       const std::vector<Candidate> &candidates,
                                       EngineSelectionRule selectionRule, const LoadLimits &limits)
{
    const std::optional<ChatLocation> location = state.affinity.find(request.chat);
    const std::vector<UpstreamId> order = preferredOrder(location, request, candidates);
    if (selectionRule == EngineSelectionRule::HashOrder) {
        return firstBelowLimit(state, order, limits.hard);
    }
    // Moving a chat that no engine has cached costs nothing: new chats even out the load, so that
    // returning ones can stay. With spare capacity they go by hash, so that the next coordinator
    // finds them without hints.
    if (location) {
        for (const UpstreamId id : order) {
            const bool cached = id == location->latest || id == location->previous;
            if (cached && loadOf(state, id) < limits.affinity) {
                return id;
            }
        }
    } else if (loadOf(state, order.front()) < limits.newChat) {
        return order.front();
    }
    return leastLoaded(state, order, limits.hard);
}

LoadLimits loadLimitsOf(const ShardState &state, const std::vector<UpstreamId> &available,
                        const GrantContext &context, TimePoint now)
{
    std::uint64_t total = totalLoad(state, available);
    std::size_t engines = available.size();
    const double localMean = static_cast<double>(total) / static_cast<double>(engines);
    for (const auto &[shard, peer] : state.peerShards) {
        if (now - peer.receivedAt < summaryLifetime) {
            // The summary is up to one second old. Without the correction it would hold the bound
            // down in a surge, and every shard would overflow to the others.
            const double expectedRise =
                std::max(0.0, localMean - peer.localMeanAtReceipt) * peer.engines;
            total += peer.load + static_cast<std::uint64_t>(expectedRise);
            engines += peer.engines;
        }
    }
    const auto limit = [&](double loadFactor) {
        LoadBoundSettings settings = context.settings;
        settings.loadFactor = std::min(loadFactor, settings.loadFactor);
        return loadBound(settings, total, engines);
    };
    // Only the hard bound is a guarantee and is rounded down; the other limits are preferences.
    const std::uint32_t hard = loadBound(context.settings, total, engines, context.conservative);
    return {std::min(limit(context.settings.newChatLoadFactor), hard),
            std::min(limit(context.settings.affinityLoadFactor), hard), hard};
}

} // namespace

std::string_view nameOf(SlotVerdict verdict) noexcept
{
    return verdictNames.at(static_cast<std::size_t>(verdict));
}

ShardId shardIdOf(const Shard &shard) noexcept
{
    return mixHash(mixHash(hashOf(shard.service), hashOf(shard.dataCentre)), shard.number);
}

std::uint32_t loadBound(const LoadBoundSettings &settings, std::uint64_t total, std::size_t engines,
                        bool conservative) noexcept
{
    if (engines == 0) {
        return 0;
    }
    const double mean = static_cast<double>(total + 1) / static_cast<double>(engines);
    const double allowed = settings.loadFactor * mean;
    // The load of an even spread. Without it no engine could be granted at small loads.
    const double evenSpread =
        std::floor(static_cast<double>(total) / static_cast<double>(engines)) + 1.0;
    const double rounded =
        conservative ? std::max(evenSpread, std::floor(allowed)) : std::ceil(allowed);
    return std::min(static_cast<std::uint32_t>(rounded), settings.capacity);
}

SlotReply grantSlot(ShardState &state, std::uint64_t router, const SlotRequest &request,
                    const GrantContext &context, TimePoint now)
{
    const SlotKey key{router, request.requestId};
    const auto known = state.slots.find(key);
    if (known != state.slots.end()) {
        return {request.requestId, SlotVerdict::Granted, known->second.upstream};
    }
    ejectFailed(state, request.avoid, now);
    state.readyEngines = static_cast<std::uint32_t>(context.readyEngines.size());
    const std::vector<UpstreamId> available = availableEngines(state, context.readyEngines, now);
    const std::vector<Candidate> candidates = candidatesOf(request, available);
    if (candidates.empty()) {
        return {request.requestId, SlotVerdict::Empty, 0};
    }
    const auto upstream = selectEngine(state, request, candidates, context.settings.selectionRule,
                                       loadLimitsOf(state, available, context, now));
    if (!upstream) {
        return {request.requestId, SlotVerdict::Overflow, 0};
    }
    ++state.loads[*upstream];
    state.slots.emplace(key, Slot{*upstream, request.fingerprint, now});
    if (state.affinity.record(request.chat, *upstream, context.settings.maxRememberedChats)) {
        recordMovedChat(state.hintOutbox, request.chat);
    }
    return {request.requestId, SlotVerdict::Granted, *upstream};
}

void releaseSlot(ShardState &state, const SlotKey &key)
{
    const auto found = state.slots.find(key);
    if (found == state.slots.end()) {
        return;
    }
    const auto load = state.loads.find(found->second.upstream);
    if (load != state.loads.end() && --load->second == 0) {
        state.loads.erase(load);
    }
    state.slots.erase(found);
}

void releaseRouter(ShardState &state, std::uint64_t router)
{
    auto each = state.slots.lower_bound({router, 0});
    while (each != state.slots.end() && each->first.first == router) {
        const SlotKey key = each->first;
        ++each;
        releaseSlot(state, key);
    }
}

bool needsConservativeBound(const ShardState &state, bool isCoordinator, TimePoint now) noexcept
{
    const bool isNew = now - state.coordinatingSince < slotLearningPeriod;
    const bool hasRival = state.rivalSeenAt && now - *state.rivalSeenAt < summaryLifetime;
    return !isCoordinator || isNew || hasRival;
}

} // namespace plantainswitch
