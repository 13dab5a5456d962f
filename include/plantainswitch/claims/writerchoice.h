#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "plantainswitch/base/clock.h"

namespace plantainswitch {

/// Bounds on asking other routers to write a claim before a router writes itself.
struct WriterLimits
{
    /// Routers that are asked, one after the other.
    std::size_t maxWriters = 3;
    /// Asks without an acknowledgement after which a writer is passed over.
    int maxUnacknowledged = 2;
    /// Time until an ask that was not acknowledged is repeated.
    Duration ackTimeout = Milliseconds{100};
    /// Time until an acknowledged ask is repeated.
    Duration resendInterval = Milliseconds{250};
    /// Time for which a silent writer is not asked first.
    Duration silentWriterRetention = Milliseconds{2000};
    /// Writers that can't reach the store after which the claim is refused; 0: never.
    int maxRefusals = 2;
};

/// A router that may write a slice's log.
struct WriterCandidate
{
    /// Hash of its id.
    std::uint64_t id = 0;
    std::string dataCentre;
};

/// \returns the indexes of the routers that are asked to write \a slice, in order: the first by
/// rendezvous, the next of another place, so that one lost place never takes both, and the first
/// of \a ownPlace, which answers when the place is cut off.
[[nodiscard]] std::vector<std::size_t> claimWritersOf(std::uint32_t slice,
                                                      const std::vector<WriterCandidate> &members,
                                                      const std::string &ownPlace,
                                                      const WriterLimits &limits);

/// Writers that did not answer this router lately, and until when they are passed over.
using SilentWriters = std::map<std::uint64_t, TimePoint>;

/// How far one ask has come on its way to a writer.
struct ClaimRoute
{
    /// The writer asked last, by hash of its id; 0: none yet.
    std::uint64_t writer = 0;
    /// Asks to it that were not acknowledged.
    int unacknowledged = 0;
    /// Writers that answered that they can't reach the store.
    int refusals = 0;
    /// Writers this ask is done with.
    std::vector<std::uint64_t> triedWriters;
    /// This router writes the claim itself.
    bool writeLocally = false;
};

enum class ClaimRouteAction : std::uint8_t { Send, WriteLocally, Refuse };

/// What is done with an ask now.
struct ClaimRouteStep
{
    ClaimRouteAction action = ClaimRouteAction::WriteLocally;
    /// Index among the writers, for Send.
    std::size_t writer = 0;
    /// Time until the next step.
    Duration wait{0};
    /// The writer that was given up by this step, by hash of its id; 0: none.
    std::uint64_t silentWriter = 0;
};

/// Decides where an ask goes. A hint only: whoever writes, the store's condition decides.
/// \param writers the slice's writers in order, by hash of their ids
/// \param self hash of this router's id
[[nodiscard]] ClaimRouteStep nextClaimRouteStep(ClaimRoute &route, SilentWriters &silent,
                                                const std::vector<std::uint64_t> &writers,
                                                std::uint64_t self, const WriterLimits &limits,
                                                TimePoint now);

/// Takes an acknowledgement of the writer that was asked.
void recordWriterAck(ClaimRoute &route, SilentWriters &silent);

/// Takes the answer that the writer asked last can't reach the store.
void recordWriterRefusal(ClaimRoute &route);

} // namespace plantainswitch
