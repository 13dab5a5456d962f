#include "placementdecision.h"

#include <algorithm>

#include "plantainswitch/base/hash.h"

#include "fleetgossip.h"

namespace plantainswitch::gateway {

namespace {

/// Retry-After of a request for which all permitted upstreams have their share of the load: about
/// the time that a request takes.
constexpr Milliseconds shareRetryAfter{400};
/// Retry-After of a request that no permitted data centre can process. Evacuations and changes of
/// homes last seconds at least.
constexpr Milliseconds noPlaceRetryAfter{1000};
/// Shortest Retry-After of a quarantined request.
constexpr Milliseconds minQuarantineRetryAfter{200};

/// \returns whether every upstream at which the stream may go on is draining, or removed.
bool isVersionGone(const PlacementRequest &request, const FailedPlacement &failed)
{
    if (failed.stream.binding != BindingState::Bound) {
        return false;
    }
    const auto candidates =
        permittedCandidates(failed.upstreams, request.constraints, failed.stream);
    return std::all_of(candidates.begin(), candidates.end(),
                       [](const UpstreamState *upstream) { return isDraining(*upstream); });
}

/// \returns the time until an upstream of the service may get a permit, if it has none now.
std::optional<Milliseconds> shortestPermitWait(std::span<UpstreamState *const> upstreams,
                                               TimePoint now)
{
    std::optional<Milliseconds> shortest;
    for (const UpstreamState *const upstream : upstreams) {
        const Duration wait = upstream->permitBlockedUntil - now;
        if (wait > Duration{0}) {
            const auto rounded = std::chrono::ceil<Milliseconds>(wait);
            shortest = std::min(rounded, shortest.value_or(rounded));
        }
    }
    return shortest;
}

} // namespace

PlacementConstraints placementConstraintsFor(const GatewayState &gateway, const Route &route,
                                             std::span<const std::string> workspaceHomes)
{
    return {gateway.settings.areas, gateway.evacuations.dataCentres, route.homes, workspaceHomes};
}

std::vector<UpstreamState *> permittedCandidates(std::span<UpstreamState *const> upstreams,
                                                 const PlacementConstraints &constraints,
                                                 const StreamState &stream)
{
    std::vector<UpstreamState *> candidates = permittedUpstreams(upstreams, constraints);
    std::erase_if(candidates, [&stream](const UpstreamState *upstream) {
        return !isPermitted(stream, upstream->replica);
    });
    return candidates;
}

CandidateSet candidatesFor(std::span<UpstreamState *const> upstreams,
                           const PlacementConstraints &constraints, const StreamState &stream)
{
    CandidateSet set;
    set.upstreams = upstreams;
    set.isConstrained = !isUnconstrained(constraints);
    if (set.isConstrained || stream.binding != BindingState::Free) {
        set.permitted = permittedCandidates(upstreams, constraints, stream);
        set.hasNoPermittedPlace = set.permitted.empty() && !upstreams.empty()
                                  && permittedUpstreams(upstreams, constraints).empty();
        set.relativeLoad = relativeMeanLoad(upstreams, set.permitted);
        set.upstreams = set.permitted;
    }
    return set;
}

SelectionPolicy selectionPolicyFor(const GatewaySettings &settings,
                                   const ServiceEstimator *estimator,
                                   const CandidateSet &candidates, TimePoint now)
{
    SelectionPolicy policy = settings.choice;
    policy.loadBoundFactor *= candidates.relativeLoad;
    if (estimator != nullptr) {
        policy.performance = estimator->performance(now);
    }
    return policy;
}

SelectionRequest selectionRequestFor(const GatewayState &gateway, const PlacementRequest &request,
                                     std::span<const std::string> excluded)
{
    return {gateway.settings.dataCentre, request.hash, request.prompt,
            request.prefixHashes,        excluded,     gateway.isBrittle(request.service)};
}

std::optional<std::string_view> lackOfReach(std::span<UpstreamState *const> candidates,
                                            const std::optional<UpstreamSelection> &choice,
                                            std::uint32_t connectFailures, TimePoint now)
{
    if (!choice) {
        const bool isUnreachable = connectFailures > 0 || unreachableCount(candidates, now) > 0;
        return isUnreachable ? std::optional<std::string_view>("unreachable") : std::nullopt;
    }
    return choice->isOverBound && isReachLimited(candidates, now)
               ? std::optional<std::string_view>("limited reach")
               : std::nullopt;
}

std::optional<Endpoint> forwardTargetFor(const GatewayState &gateway,
                                         const PlacementRequest &request,
                                         const std::vector<std::string> &tried)
{
    const ForwardQuery query{hashOf(request.service), request.hash,
                             [&request](const std::string &dataCentre) {
                                 return isPermitted(dataCentre, request.constraints);
                             },
                             tried};
    return gateway.fleet->forwardTarget(query);
}

AdmissionRequest admissionRequestFor(const GatewayState &gateway, const PlacementRequest &request,
                                     const UpstreamSelection &choice, const AdmissionTimes &times)
{
    AdmissionRequest admission;
    admission.expectedDelay = Milliseconds{static_cast<std::int64_t>(choice.expectedDelay)};
    admission.remainingTimeout = times.remaining;
    if (request.route.firstEventTimeout.count() > 0) {
        admission.remainingTimeout = std::min(admission.remainingTimeout,
                                              std::chrono::duration_cast<Milliseconds>(
                                                  request.route.firstEventTimeout - times.waited));
    }
    admission.objective = request.route.objective;
    admission.priority = request.rank;
    admission.occupancy = choice.occupancy;
    admission.jitterSeed = request.hash;
    const AdmissionPolicy &policy = gateway.settings.admission;
    // Below this occupancy every request is admitted, and the surge costs sums over all routers.
    if (policy.enabled && choice.occupancy >= policy.minOccupancy) {
        admission.surge = gateway.surgeOf(request.workspace);
    }
    admission.unqueuedDelay = Milliseconds{static_cast<std::int64_t>(choice.unqueuedDelay)};
    return admission;
}

bool isWithinLoadBound(const UpstreamSelection &choice, const UpstreamState &upstream) noexcept
{
    return runningAt(upstream) + 1.0 <= choice.loadBound;
}

Refusal loadBoundRefusal() noexcept
{
    return {ErrorKind::Overloaded, "the permitted upstreams have their share of the load",
            shareRetryAfter};
}

bool usesSlotQueue(const GatewayState &gateway, const PlacementRequest &request,
                   const UpstreamState &upstream)
{
    return request.prompt == nullptr && gateway.isContended(request.service)
           && !gateway.isLimitedAsCold(upstream);
}

bool needsGrant(const GatewayState &gateway, const PlacementRequest &request,
                const UpstreamState &upstream, std::uint32_t coordinatorRejections)
{
    return gateway.isLimitedAsCold(upstream) || gateway.isBrittle(request.service)
           || (gateway.settings.mechanisms.exactCounts && !request.prefixHashes.empty()
               && coordinatorRejections < maxLoadRejections);
}

Refusal refusalWithoutUpstream(const GatewayState &gateway, const PlacementRequest &request,
                               const FailedPlacement &failed, TimePoint now)
{
    if (failed.hasNoPermittedPlace) {
        return {ErrorKind::NoPermittedPlace, "no permitted data centre", noPlaceRetryAfter};
    }
    if (isVersionGone(request, failed)) {
        return {ErrorKind::VersionUnavailable, "no upstream of the stream's version is left",
                beginAnewRetryAfter};
    }
    if (const auto backoff = timeToFirstBackoffEnd(
            permittedCandidates(failed.upstreams, request.constraints, failed.stream), now)) {
        return {ErrorKind::Overloaded, "all upstreams back off", backoff};
    }
    if (gateway.isBrittle(request.service) && failed.connectFailures == 0) {
        return {ErrorKind::Overloaded, "the brittle upstreams have no room", defaultRetryAfter};
    }
    if (failed.rejections > 0) {
        return {ErrorKind::Overloaded, "upstreams turned it away", defaultRetryAfter};
    }
    if (const auto wait = shortestPermitWait(failed.upstreams, now)) {
        return {ErrorKind::Overloaded, "the upstreams left are cold", wait};
    }
    return {ErrorKind::UpstreamUnreachable, "no upstream could be reached", defaultRetryAfter};
}

Milliseconds quarantineRetryAfter(const CrashQuarantine &quarantine, SuspectKey key, TimePoint now)
{
    return std::max(quarantine.timeToTrial(key, now), minQuarantineRetryAfter);
}

} // namespace plantainswitch::gateway
