#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "plantainswitch/base/clock.h"

namespace plantainswitch {

/// Bounds on requests to other routers to write a claim, before a router writes it itself.
struct WriterLimits
{
    /// Number of routers that are tried one after the other.
    std::size_t maxWriters = 3;
    /// Requests without an acknowledgement after which a writer is skipped.
    int maxUnacknowledged = 2;
    /// Time until a request that was not acknowledged is repeated.
    Duration ackTimeout = Milliseconds{100};
    /// Time until an acknowledged request is repeated.
    Duration resendInterval = Milliseconds{250};
    /// Time for which an unresponsive writer is not tried first.
    Duration silentWriterRetention = Milliseconds{2000};
    /// Number of writers without access to the store after which the claim is refused; 0: never.
    int maxRefusals = 2;
};

/// A router that may write a slice's log.
struct WriterCandidate
{
    /// Hash of the router's id.
    std::uint64_t id = 0;
    std::string dataCentre;
};

/// \returns the indexes of the routers that may be requested to write \a slice, in order: the first
/// by rendezvous hashing, then one of another data centre, so that the loss of one data centre
/// never takes both, then the first of the caller's own data centre, which responds even when that
/// data centre is cut off.
[[nodiscard]] std::vector<std::size_t> claimWritersOf(std::uint32_t slice,
                                                      const std::vector<WriterCandidate> &members,
                                                      const std::string &ownDataCentre,
                                                      const WriterLimits &limits);

/// Writers that recently did not respond to this router, with the time until which they are
/// skipped.
using SilentWriters = std::map<std::uint64_t, TimePoint>;

/// Routing state of one claim request.
struct ClaimRoute
{
    /// Id hash of the writer tried last; 0: none yet.
    std::uint64_t writer = 0;
    /// Requests to it that were not acknowledged.
    int unacknowledged = 0;
    /// Writers that replied that they can't reach the store.
    int refusals = 0;
    /// Writers that are not tried again for this request.
    std::vector<std::uint64_t> triedWriters;
    /// This router writes the claim itself.
    bool writeLocally = false;
};

enum class ClaimRouteAction : std::uint8_t { Send, WriteLocally, Refuse };

/// Next step of a claim request.
struct ClaimRouteStep
{
    ClaimRouteAction action = ClaimRouteAction::WriteLocally;
    /// Index among the writers, for Send.
    std::size_t writer = 0;
    /// Time until the next step.
    Duration wait{0};
    /// Id hash of the writer that this step gave up; 0: none.
    std::uint64_t silentWriter = 0;
};

/// Decides the next step of a request. Correctness does not depend on it: whoever writes, the
/// store's condition decides.
/// \param writers the slice's writers in order, by id hash
/// \param self id hash of this router
[[nodiscard]] ClaimRouteStep nextClaimRouteStep(ClaimRoute &route, SilentWriters &silentWriters,
                                                const std::vector<std::uint64_t> &writers,
                                                std::uint64_t self, const WriterLimits &limits,
                                                TimePoint now);

/// Handles an acknowledgement of the writer tried last.
void recordWriterAck(ClaimRoute &route, SilentWriters &silentWriters);

/// Handles the reply that the writer tried last can't reach the store.
void recordWriterRefusal(ClaimRoute &route);

} // namespace plantainswitch
