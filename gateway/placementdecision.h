#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "plantainswitch/base/error.h"
#include "plantainswitch/routing/admission.h"
#include "plantainswitch/routing/placementconstraints.h"
#include "plantainswitch/routing/selection.h"
#include "plantainswitch/routing/streamorigin.h"

#include "gatewaystate.h"

namespace plantainswitch::gateway {

/// Retry-After of a request that no upstream could take: about the time after which an ejected
/// upstream is tried again.
inline constexpr Milliseconds defaultRetryAfter{400};

/// Retry-After of a stream that can't go on; its caller may begin it anew at once.
inline constexpr Milliseconds beginAnewRetryAfter{50};

/// What of a request decides where it is sent. Refers to data of its owner.
struct PlacementRequest
{
    const Route &route;
    const std::string &service;
    /// Empty for a request without a workspace.
    std::string_view workspace;
    /// Hash of the attempt's id.
    std::uint64_t hash = 0;
    /// nullptr for a request without a prompt.
    const Prompt *prompt = nullptr;
    std::span<const std::uint64_t> prefixHashes;
    std::uint32_t rank = 0;
    PlacementConstraints constraints;
};

/// The upstreams among which one is selected for a request. Movable only, as \a upstreams may refer
/// to \a permitted.
struct CandidateSet
{
    CandidateSet() = default;
    CandidateSet(CandidateSet &&) = default;
    CandidateSet &operator=(CandidateSet &&) = default;
    CandidateSet(const CandidateSet &) = delete;
    CandidateSet &operator=(const CandidateSet &) = delete;
    ~CandidateSet() = default;

    std::span<UpstreamState *const> upstreams;
    /// The upstreams of the service at which the request may run, if that is not all.
    std::vector<UpstreamState *> permitted;
    /// The request may not be processed in every data centre.
    bool isConstrained = false;
    /// No upstream of the service is in a permitted data centre.
    bool hasNoPermittedPlace = false;
    /// Mean load of the service relative to that of the permitted upstreams.
    double relativeLoad = 1.0;
};

/// The times that admission control takes into account.
struct AdmissionTimes
{
    Milliseconds remaining{0};
    /// Since the request arrived.
    Duration waited{0};
};

/// What is known of a request for which no upstream is left.
struct FailedPlacement
{
    /// All upstreams of the service.
    std::span<UpstreamState *const> upstreams;
    const StreamState &stream;
    bool hasNoPermittedPlace = false;
    std::uint32_t connectFailures = 0;
    /// Upstreams that rejected the request.
    std::uint32_t rejections = 0;
};

/// A refusal that the router itself sends.
struct Refusal
{
    ErrorKind kind = ErrorKind::Internal;
    std::string_view why;
    std::optional<Milliseconds> retryAfter;
};

// The functions below decide without side effects. They are called for requests and for queries
// about where a request would go.

/// \returns where requests of the route, of a workspace with these homes, may be processed.
[[nodiscard]] PlacementConstraints
placementConstraintsFor(const GatewayState &gateway, const Route &route,
                        std::span<const std::string> workspaceHomes);
/// \returns those of \a upstreams in permitted data centres at which the stream may go on, if it
/// has started.
[[nodiscard]] std::vector<UpstreamState *>
permittedCandidates(std::span<UpstreamState *const> upstreams,
                    const PlacementConstraints &constraints, const StreamState &stream);
/// \param upstreams all of the service
[[nodiscard]] CandidateSet candidatesFor(std::span<UpstreamState *const> upstreams,
                                         const PlacementConstraints &constraints,
                                         const StreamState &stream);
/// \param estimator of the service; nullptr if the settings disable estimates
[[nodiscard]] SelectionPolicy selectionPolicyFor(const GatewaySettings &settings,
                                                 const ServiceEstimator *estimator,
                                                 const CandidateSet &candidates, TimePoint now);
/// \param excluded ids of the upstreams that are not to be selected
[[nodiscard]] SelectionRequest selectionRequestFor(const GatewayState &gateway,
                                                   const PlacementRequest &request,
                                                   std::span<const std::string> excluded);
/// \returns why the request is better forwarded to a router that reaches more of the service's
/// upstreams; nothing if it is not.
[[nodiscard]] std::optional<std::string_view>
lackOfReach(std::span<UpstreamState *const> candidates,
            const std::optional<UpstreamSelection> &choice, std::uint32_t connectFailures,
            TimePoint now);
/// \returns the address of a router to which the request can be forwarded.
/// \param tried hosts of the routers that it was forwarded to
[[nodiscard]] std::optional<Endpoint> forwardTargetFor(const GatewayState &gateway,
                                                       const PlacementRequest &request,
                                                       const std::vector<std::string> &tried);
[[nodiscard]] AdmissionRequest admissionRequestFor(const GatewayState &gateway,
                                                   const PlacementRequest &request,
                                                   const UpstreamSelection &choice,
                                                   const AdmissionTimes &times);
/// \returns whether the selected upstream has less than its share of the service's load.
[[nodiscard]] bool isWithinLoadBound(const UpstreamSelection &choice,
                                     const UpstreamState &upstream) noexcept;
/// \returns the refusal of a request of which all permitted upstreams have their share of the load.
[[nodiscard]] Refusal loadBoundRefusal() noexcept;
/// \returns whether the request needs a slot of the queue of \a upstream's coordinator.
[[nodiscard]] bool usesSlotQueue(const GatewayState &gateway, const PlacementRequest &request,
                                 const UpstreamState &upstream);
/// \returns whether the request needs a grant of \a upstream's coordinator.
/// \param coordinatorRejections coordinators that rejected the request since the last attempt
[[nodiscard]] bool needsGrant(const GatewayState &gateway, const PlacementRequest &request,
                              const UpstreamState &upstream, std::uint32_t coordinatorRejections);
/// \returns the refusal of a request that was not executed and for which no upstream is left.
[[nodiscard]] Refusal refusalWithoutUpstream(const GatewayState &gateway,
                                             const PlacementRequest &request,
                                             const FailedPlacement &failed, TimePoint now);
/// \returns the Retry-After of a request with a quarantined suspect.
[[nodiscard]] Milliseconds quarantineRetryAfter(const CrashQuarantine &quarantine, SuspectKey key,
                                                TimePoint now);

} // namespace plantainswitch::gateway
