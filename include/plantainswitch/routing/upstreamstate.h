#pragma once

#include <cstdint>

#include "plantainswitch/base/clock.h"
#include "plantainswitch/routing/health.h"
#include "plantainswitch/routing/replica.h"

namespace plantainswitch {

/// What a router knows of one upstream when it chooses.
struct UpstreamState
{
    Replica replica;
    UpstreamHealth health;
    /// Requests that this router has there.
    std::uint32_t ownRunning = 0;
    /// Prompt tokens that this router sent there uncached and whose first token is still due.
    double ownPendingPrefill = 0.0;
    /// The same of all other routers, as they last told.
    std::uint32_t peersRunning = 0;
    double peersPendingPrefill = 0.0;
    /// When this router last got a byte of any answer from there.
    TimePoint lastReceived;
    /// A connection is being tried, because an answer broke off there.
    bool isBeingProbed = false;
};

/// \returns requests of all routers at \a state.
[[nodiscard]] std::uint32_t runningAt(const UpstreamState &state) noexcept;

/// \returns the hash of an upstream's life: its id and its start.
[[nodiscard]] std::uint64_t incarnationOf(const Replica &replica) noexcept;

} // namespace plantainswitch
