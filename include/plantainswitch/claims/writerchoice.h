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
    std::size_t writers = 3;
    /// Asks without an acknowledgement after which a writer is passed over.
    int unheardAsks = 2;
    /// Time until an ask that was not acknowledged is repeated.
    Duration ackTimeout = Milliseconds{100};
    /// Time until an acknowledged ask is repeated.
    Duration askAgainAfter = Milliseconds{250};
    /// Time for which a silent writer is not asked first.
    Duration rememberSilent = Milliseconds{2000};
    /// Writers that can't reach the store after which the claim is refused; 0: never.
    int mostRefusals = 2;
};

/// A router that may write a slice's log.
struct WriterCandidate
{
    /// Hash of its id.
    std::uint64_t id = 0;
    std::string place;
};

/// \returns the indexes of the routers that are asked to write \a slice, in order: the first by
/// rendezvous, the next of another place, so that one lost place never takes both, and the first
/// of \a ownPlace, which answers when the place is cut off.
[[nodiscard]] std::vector<std::size_t> writersOf(std::uint32_t slice,
                                                 const std::vector<WriterCandidate> &members,
                                                 const std::string &ownPlace,
                                                 const WriterLimits &limits);

/// Writers that did not answer this router lately, and until when they are passed over.
using SilentWriters = std::map<std::uint64_t, TimePoint>;

/// How far one ask has come on its way to a writer.
struct AskRoute
{
    /// The writer asked last, by hash of its id; 0: none yet.
    std::uint64_t asked = 0;
    /// Asks to it that were not acknowledged.
    int unheard = 0;
    /// Writers that answered that they can't reach the store.
    int refusals = 0;
    /// Writers this ask is done with.
    std::vector<std::uint64_t> passed;
    /// This router writes the claim itself.
    bool here = false;
};

enum class AskAction : std::uint8_t { Send, WriteHere, Refuse };

/// What is done with an ask now.
struct AskStep
{
    AskAction action = AskAction::WriteHere;
    /// Index among the writers, for Send.
    std::size_t writer = 0;
    /// Time until the next step.
    Duration wait{0};
    /// The writer that was given up by this step, by hash of its id; 0: none.
    std::uint64_t silent = 0;
};

/// Decides where an ask goes. A hint only: whoever writes, the store's condition decides.
/// \param writers the slice's writers in order, by hash of their ids
/// \param self hash of this router's id
[[nodiscard]] AskStep nextAskStep(AskRoute &route, SilentWriters &silent,
                                  const std::vector<std::uint64_t> &writers, std::uint64_t self,
                                  const WriterLimits &limits, TimePoint now);

/// Takes an acknowledgement of the writer that was asked.
void hearWriter(AskRoute &route, SilentWriters &silent);

/// Takes the answer that the writer asked last can't reach the store.
void refuseWriter(AskRoute &route);

} // namespace plantainswitch
