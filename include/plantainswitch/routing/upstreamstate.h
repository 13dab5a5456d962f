#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <vector>

#include "plantainswitch/base/clock.h"
#include "plantainswitch/routing/coldstart.h"
#include "plantainswitch/routing/crashquarantine.h"
#include "plantainswitch/routing/health.h"
#include "plantainswitch/routing/replica.h"

namespace plantainswitch {

/// State of one upstream as the router's load balancer sees it.
struct UpstreamState
{
    Replica replica;
    UpstreamHealth health;
    /// Requests of this router on the upstream.
    std::uint32_t ownRunning = 0;
    /// Uncached prompt tokens that this router sent there and whose first token is still pending.
    double ownPendingPrefill = 0.0;
    /// The same for all other routers, by their last updates.
    std::uint32_t peersRunning = 0;
    double peersPendingPrefill = 0.0;
    /// When this router last received data of any response from there.
    TimePoint lastReceived;
    /// A probe connection is being attempted, because a response was interrupted.
    bool isBeingProbed = false;
    /// A probe is to follow, because a run was given up.
    bool isProbeScheduled = false;
    /// Called when the running probe ends.
    std::vector<std::function<void()>> probeWaiters;
    ColdState cold;
    /// Until when no permit for a request to the upstream is to be had.
    TimePoint permitBlockedUntil;
    /// Requests of this router sent without a permit, because the coordinator did not respond.
    PermitWindow unpermitted;
    /// Slots by its last response that stated them; 0 if none did.
    std::uint32_t statedSlots = 0;
    /// How long a request would wait at the upstream's coordinator, by its last reply, and until
    /// when that is believed.
    Milliseconds queueWait{0};
    TimePoint queueWaitUntil;
    /// Concurrency limit that a coordinator last stated; 0 if none.
    double learnedLimit = 0.0;
    /// How much slower it is than its service's mean, by the routers' samples; 1 without evidence.
    double slowdown = 1.0;
    /// The one that was last logged.
    double loggedSlowdown = 1.0;
    /// It has announced in a response that it is draining.
    bool announcedDraining = false;
    /// Until when it wants no requests from this router.
    TimePoint backoffUntil;
};

/// \returns whether the upstream takes no new requests any more, by the list or by its own
/// announcement.
[[nodiscard]] bool isDraining(const UpstreamState &state) noexcept;

/// \returns whether the upstream wants no requests from this router for some time.
[[nodiscard]] bool isBackingOff(const UpstreamState &state, TimePoint now) noexcept;

/// \returns whether the upstream is willing to take requests of this router: it is neither draining
/// nor backing off. Every request that is sent to an upstream requires this.
[[nodiscard]] bool acceptsRequests(const UpstreamState &state, TimePoint now) noexcept;

/// \returns whether the upstream has shown itself alive since \a crash: data of a response arrived
/// later than any that was on its way at that time.
[[nodiscard]] bool refutes(const UpstreamState &state, const CrashReport &crash) noexcept;

/// \returns the time until the first of \a upstreams accepts requests again, if all that are not
/// draining back off; nothing otherwise.
[[nodiscard]] std::optional<Milliseconds>
timeToFirstBackoffEnd(std::span<UpstreamState *const> upstreams, TimePoint now);

/// \returns the slots of the upstream by its entry, or else by its responses; 0 if not known.
[[nodiscard]] std::uint32_t slotsOf(const UpstreamState &state) noexcept;

/// \returns the number of requests of all routers on \a state's upstream.
[[nodiscard]] std::uint32_t runningAt(const UpstreamState &state) noexcept;

/// \returns the hash that identifies an upstream's incarnation, of its id and start time.
[[nodiscard]] std::uint64_t incarnationOf(const Replica &replica) noexcept;

} // namespace plantainswitch
