#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "plantainswitch/base/clock.h"
#include "plantainswitch/routing/health.h"
#include "plantainswitch/routing/prompt.h"
#include "plantainswitch/routing/replica.h"

namespace plantainswitch {

/// Figures by which upstreams are compared; all delays in milliseconds.
struct ChoicePolicy
{
    /// Prompt tokens that an engine reads in a millisecond; from the users' sheet of engines.
    double tokensPerMillisecond = 110.0;
    /// What one more running request delays a token; from the same sheet, with its share of the
    /// queue for memory rounded up.
    double delayPerRunning = 0.4;
    /// Held against an upstream of another data centre: two crossings, and the price of bytes
    /// between data centres, which a request of 20 kB makes worth some 10 ms of an engine.
    double otherPlaceDelay = 12.0;
    /// Held against an upstream whose recent requests all failed while none did elsewhere; a failed
    /// request costs its caller about one objective.
    double failureDelay = 400.0;
    /// Largest delay by which a chain prefers some upstreams to others when its home is full. All
    /// routers see much the same loads: without it they send what spills over to the same engine,
    /// which then holds far more than its share before any of them has heard. About the work of
    /// one request.
    double spillSpread = 15.0;
    /// The same for requests without prompts, which have no home: enough to spread those of one
    /// moment, too little to leave the data centre for.
    double plainSpread = 4.0;
    /// How much dearer a token read anew is than its time for this request alone: it also delays
    /// all others on that engine, and takes memory that other chains have there.
    double readWeight = 2.0;
    /// An upstream is left out from boundFactor times the mean of running requests, plus
    /// boundExtra. Below the promised multiple of two by what routers don't yet know of each other.
    double boundFactor = 1.5;
    double boundExtra = 2.0;
    /// Largest share of a service's upstreams that may be avoided at once: when more fail alike,
    /// the cause is not theirs, and avoiding them would put all load on the rest.
    double mostAvoided = 0.6;
};

/// What a router knows of one upstream when it chooses.
struct UpstreamState
{
    Replica replica;
    UpstreamHealth health;
    /// Requests that this router has there.
    std::uint32_t ownRunning = 0;
    /// Prompt tokens that this router sent there uncached and whose first token is still due.
    double ownUnread = 0.0;
    /// The same of all other routers, as they last told.
    std::uint32_t peersRunning = 0;
    double peersUnread = 0.0;
    /// When this router last got a byte of any answer from there.
    TimePoint lastHeard;
};

/// \returns requests of all routers at \a state.
[[nodiscard]] std::uint32_t runningAt(const UpstreamState &state) noexcept;

/// Where chains of prompts were read lately.
class ChainMemory
{
public:
    /// Chains remembered at once; the least recently used go first. Some 100 bytes each.
    explicit ChainMemory(std::size_t most = 20'000)
        : most(most)
    {}

    /// Notes that the upstream life \a life has read \a chain.
    void note(std::span<const std::uint64_t> chain, std::uint64_t life, TimePoint now);
    /// \returns how many parts at the start of \a chain that life has.
    [[nodiscard]] std::size_t knownParts(std::span<const std::uint64_t> chain,
                                         std::uint64_t life) const;

private:
    void trim();

    std::size_t most;
    std::unordered_map<std::uint64_t, std::unordered_map<std::uint64_t, TimePoint>> lives;
};

/// \returns the hash of an upstream's life: its id and its start.
[[nodiscard]] std::uint64_t lifeOf(const Replica &replica) noexcept;

/// A request that looks for an upstream.
struct ChoiceRequest
{
    /// Data centre of this router.
    std::string_view place;
    /// Hash of the request, by which one without a prompt spreads.
    std::uint64_t hash = 0;
    /// nullptr for a request without a prompt.
    const Prompt *prompt = nullptr;
    std::span<const std::uint64_t> chain;
    /// Ids of upstreams that already had it.
    std::span<const std::string> tried;
};

/// An upstream that was chosen, and what was expected of it.
struct Choice
{
    std::size_t index = 0;
    /// Time to the first token or answer beyond the upstream's own work, in milliseconds.
    double expectedDelay = 0.0;
    /// Prompt tokens that it will have to read.
    double uncachedTokens = 0.0;
    /// Upstreams left out as avoided, and as above the bound.
    std::uint32_t avoided = 0;
    std::uint32_t overBound = 0;
    /// Requests above which an upstream of the service holds more than its share.
    double bound = 0.0;
    /// It is the chain's own engine.
    bool isHome = false;
    /// What the chain's own engine would have cost, if another was chosen.
    double homeDelay = 0.0;
};

/// \returns the upstream with the least expected delay, or nothing when none may be used. Those
/// that leave, were tried or could not be reached twice are never used; those above the bound,
/// avoided or not reached once only when nothing else is left.
[[nodiscard]] std::optional<Choice> chooseUpstream(std::span<UpstreamState *const> candidates,
                                                   const ChoiceRequest &request,
                                                   const ChainMemory &memory,
                                                   const ChoicePolicy &policy, TimePoint now);

} // namespace plantainswitch
