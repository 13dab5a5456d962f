#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "plantainswitch/base/clock.h"
#include "plantainswitch/routing/prefixindex.h"
#include "plantainswitch/routing/prompt.h"
#include "plantainswitch/routing/serviceperformance.h"
#include "plantainswitch/routing/upstreamstate.h"

namespace plantainswitch {

/// How upstreams are compared; all delays in milliseconds.
struct SelectionPolicy
{
    /// Estimated figures of the service's upstreams.
    ServicePerformance performance;
    /// Held against an upstream of another data centre, for the crossings and the bytes.
    double remoteDelay = 12.0;
    /// Held against an upstream whose recent requests all failed while none did elsewhere; a failed
    /// request costs its caller about one objective.
    double failureDelay = 400.0;
    /// What each step down in a prefix's preference list costs, in prefills of one average request.
    /// All routers have the same list: a prefix is read by as few engines as its load needs, and
    /// what spills over from full engines doesn't all go to the one that happens to be idle.
    double preferenceStepRequests = 3.0;
    /// Steps after which the preference list costs no more.
    double maxPreferenceSteps = 6.0;
    /// Largest delay by which a request without a prompt, which has no home, prefers some upstreams
    /// to others: enough to spread those of one moment, too little to leave the data centre for.
    double promptlessJitter = 4.0;
    /// What a token costs that is added to an engine's cache, in prefills of one token: others may
    /// have to be read again for it.
    double cacheWeight = 2.5;
    /// Prefixes that an upstream lacks may be transferred from the cache of another one.
    bool transfers = true;
    /// A prefix that no upstream is known to have goes to the first of its preference list.
    bool preferredUpstreams = true;
    /// Weight of the delay that a prefill causes to each request that runs beside it, against that
    /// of its own request.
    double interference = 0.6;
    /// An upstream is left out from boundFactor times the mean of running requests, plus
    /// boundExtra. Below the promised multiple of two by what routers don't yet know of each other.
    double loadBoundFactor = 1.75;
    double loadBoundExtra = 2.0;
    /// Largest share of a service's upstreams that may be avoided at once: when more fail alike,
    /// the cause is not theirs, and avoiding them would put all load on the rest.
    double maxEjectedShare = 0.6;
};

/// \returns the fewest tokens that are transferred sooner than prefilled; infinite if none are.
[[nodiscard]] double breakEvenTransferTokens(const ServicePerformance &figures) noexcept;

/// A request that looks for an upstream.
struct SelectionRequest
{
    /// Data centre of this router.
    std::string_view dataCentre;
    /// Hash of the request, by which one without a prompt spreads.
    std::uint64_t hash = 0;
    /// nullptr for a request without a prompt.
    const Prompt *prompt = nullptr;
    std::span<const std::uint64_t> prefixHashes;
    /// Ids of upstreams that already had it.
    std::span<const std::string> triedUpstreams;
};

/// An upstream that was chosen, and what was expected of it.
struct UpstreamSelection
{
    std::size_t index = 0;
    /// Time to the first token, or that a plain request waits before its upstream's own work.
    double expectedDelay = 0.0;
    /// Part of it by which the upstream was slower than expected lately.
    double extraDelay = 0.0;
    /// expectedDelay with the preferences that decide between upstreams.
    double cost = 0.0;
    /// Prompt tokens that it will have to read.
    double uncachedTokens = 0.0;
    /// Prompt tokens that it can copy from the engine \a copyFrom instead of reading them.
    double transferredTokens = 0.0;
    std::optional<std::size_t> transferSource;
    /// Upstreams left out as avoided, and as above the bound.
    std::uint32_t ejectedCount = 0;
    std::uint32_t overBoundCount = 0;
    /// Requests above which an upstream of the service holds more than its share.
    double loadBound = 0.0;
    /// It is the chain's own engine.
    bool isHome = false;
    /// No engine is known to have the shared parts, so that the chain's own one is to read them,
    /// unless it did before this router came to know of it.
    bool isFirstPrefill = false;
    /// What the chain's own engine would have cost, if another was chosen.
    double homeCost = 0.0;
    /// Requests running on the usable upstreams of the service, as a share of their slots; 0 where
    /// no slots are stated.
    double occupancy = 0.0;
};

/// \returns the upstream with the least cost, or nothing when none may be used. Those
/// that leave, were tried or could not be reached twice are never used; those above the bound,
/// avoided or not reached once only when nothing else is left.
[[nodiscard]] std::optional<UpstreamSelection>
selectUpstream(std::span<UpstreamState *const> candidates, const SelectionRequest &request,
               const PrefixIndex &memory, const SelectionPolicy &policy, TimePoint now);

} // namespace plantainswitch
