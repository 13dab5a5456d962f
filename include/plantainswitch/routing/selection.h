#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "plantainswitch/base/clock.h"
#include "plantainswitch/routing/prefixindex.h"
#include "plantainswitch/routing/prompt.h"
#include "plantainswitch/routing/serviceperformance.h"
#include "plantainswitch/routing/upstreamstate.h"

namespace plantainswitch {

/// Weights and limits by which upstreams are compared; delays are in milliseconds.
struct SelectionPolicy
{
    /// Estimated performance of the service's upstreams.
    ServicePerformance performance;
    /// Penalty for an upstream in another data centre, for the round trips and the bytes between
    /// data centres.
    double remoteDelay = 12.0;
    /// Penalty for an upstream whose recent requests all failed or were rejected while none were
    /// elsewhere. A failed request costs its caller about one latency objective.
    double failureDelay = 400.0;
    /// Penalty for each step down in a prefix's preference list, in prefills of one average
    /// request. All routers compute the same list, so that a prefix is cached on only as many
    /// engines as its load needs, and requests that spill over from loaded engines don't all go to
    /// the same idle one.
    double preferenceStepRequests = 3.0;
    /// Steps after which the penalty no longer grows.
    double maxPreferenceSteps = 6.0;
    /// Maximum random delay by which a request without a prompt, which has no preferred engine,
    /// prefers one upstream to another: enough to spread requests that arrive together, too little
    /// to move them to another data centre.
    double promptlessJitter = 4.0;
    /// Cost of a token added to an engine's cache, in prefills of one token: it may evict tokens
    /// that have to be prefilled again.
    double cacheWeight = 2.5;
    /// Whether prefixes missing on an upstream may be transferred from another one's cache.
    bool transfers = true;
    /// Whether a prefix that no upstream is known to have cached goes to the first engine of its
    /// preference list.
    bool preferredUpstreams = true;
    /// Weight of the delay that a prefill causes to each request running beside it, relative to the
    /// delay of its own request.
    double interference = 0.6;
    /// An upstream is skipped once it runs loadBoundFactor times the mean of running requests plus
    /// loadBoundExtra (bounded-load hashing). The factor is below the promised multiple of two by
    /// the load that routers don't know of each other yet.
    double loadBoundFactor = 1.75;
    double loadBoundExtra = 2.0;
    /// Maximum share of a service's upstreams that may be ejected at once. If more of them fail,
    /// the cause is elsewhere, and ejecting them would move all load to the rest.
    double maxEjectedShare = 0.6;
};

/// \returns the number of tokens from which a transfer is faster than a prefill; infinity if it
/// never is.
[[nodiscard]] double breakEvenTransferTokens(const ServicePerformance &figures) noexcept;

/// A request for which an upstream is to be selected.
struct SelectionRequest
{
    /// Data centre of this router.
    std::string_view dataCentre;
    /// Hash of the request, which spreads requests without a prompt.
    std::uint64_t hash = 0;
    /// nullptr for a request without a prompt.
    const Prompt *prompt = nullptr;
    std::span<const std::uint64_t> prefixHashes;
    /// Ids of the upstreams on which the request was already attempted.
    std::span<const std::string> triedUpstreams;
    /// The upstreams are brittle: one whose coordinator denied a permit is not used until the wait
    /// has ended, even if no other is left.
    bool isBrittle = false;
};

/// A selected upstream and the estimates behind the selection; delays are in milliseconds.
struct UpstreamSelection
{
    std::size_t index = 0;
    /// Expected time to first token; for a request without a prompt, the expected wait before the
    /// upstream starts on it.
    double expectedDelay = 0.0;
    /// expectedDelay as it would be for an upstream of the service's mean speed, without
    /// extraDelay.
    double serviceDelay = 0.0;
    /// Part of expectedDelay by which the upstream was recently slower than estimated.
    double extraDelay = 0.0;
    /// Part of expectedDelay that is the request's own: without what runs or waits at the upstream.
    double unqueuedDelay = 0.0;
    /// expectedDelay plus all penalties; the upstream with the lowest cost is selected.
    double cost = 0.0;
    /// Prompt tokens that the engine has to prefill.
    double uncachedTokens = 0.0;
    /// Prompt tokens that the engine can transfer from the cache of \a transferSource instead.
    double transferredTokens = 0.0;
    std::optional<std::size_t> transferSource;
    /// Candidates skipped because they are ejected or can't be used, and because they are above the
    /// load bound.
    std::uint32_t ejectedCount = 0;
    std::uint32_t overBoundCount = 0;
    /// Running requests above which an upstream of the service exceeds its share.
    double loadBound = 0.0;
    /// Number of upstreams whose mean load \a loadBound is a multiple of.
    std::uint32_t boundOver = 0;
    /// No upstream below its share was left.
    bool isOverBound = false;
    /// The upstream is the prefix's home, the first one in its preference list.
    bool isHome = false;
    /// No engine is known to have the shared prefix cached, so that the home is to prefill it. It
    /// may have it cached already, from before this router learnt of it.
    bool isFirstPrefill = false;
    /// Cost of the home, if another engine was selected.
    double homeCost = 0.0;
    /// Running requests on the service's usable upstreams that do not back off, as a share of their
    /// total concurrency; 0 if none states its concurrency.
    double occupancy = 0.0;
};

/// Whether an upstream can be selected, in order of preference: a class is used only if no
/// candidate is in a better one.
enum class Eligibility : std::uint8_t { Good, OverBound, Ejected, Unreachable, Unusable };

/// How one candidate compares.
struct CandidateEvaluation
{
    Eligibility eligibility = Eligibility::Unusable;
    /// Its estimates and its load bound; the counts over all candidates are not set.
    UpstreamSelection selection;
};

/// \returns how many of \a upstreams this router cannot connect to.
[[nodiscard]] std::size_t unreachableCount(std::span<UpstreamState *const> upstreams,
                                           TimePoint now);
/// \returns whether this router reaches only a part of \a upstreams: some that it cannot connect to
/// run requests of other routers.
[[nodiscard]] bool isReachLimited(std::span<UpstreamState *const> upstreams, TimePoint now);

/// \returns the upstream with the lowest cost, or nothing if none can be used. Upstreams that are
/// draining or back off, were already tried or had two failed connection attempts in a row are
/// never used; those above the load bound, ejected or with one failed connection attempt only if
/// nothing else is left.
[[nodiscard]] std::optional<UpstreamSelection>
selectUpstream(std::span<UpstreamState *const> candidates, const SelectionRequest &request,
               const PrefixIndex &memory, const SelectionPolicy &policy, TimePoint now);

/// \returns what selectUpstream() compares, for each candidate.
[[nodiscard]] std::vector<CandidateEvaluation>
evaluateCandidates(std::span<UpstreamState *const> candidates, const SelectionRequest &request,
                   const PrefixIndex &memory, const SelectionPolicy &policy, TimePoint now);

} // namespace plantainswitch
