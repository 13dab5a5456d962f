#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "plantainswitch/plantainswitch.h"

namespace plantainswitch {

using PeerBody =
    std::variant<SwimMessage, LeavingNotice, SlotRequest, SlotReply, SlotRelease, ClaimRequest,
                 ClaimReply, ClaimRelease, SuspectUpdate, LimitReport, LimitShares, SlotDigest,
                 SlotListRequest, SlotList, ShardSummary, ChatHints>;

/// A datagram between routers.
struct PeerMessage
{
    /// Identity hash of the sending process.
    std::uint64_t sender = 0;
    PeerBody body;
};

/// Maximum size of a datagram, sent or received: below the usual MTU, so that none is fragmented.
inline constexpr std::size_t maxDatagramBytes = 1400;

[[nodiscard]] std::string encode(const PeerMessage &message);
/// \returns the message, or nothing if \a bytes are not a valid one.
[[nodiscard]] std::optional<PeerMessage> decode(std::string_view bytes);

} // namespace plantainswitch
