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

/// Longest datagram that is sent or taken: below the usual MTU, so that none is fragmented.
inline constexpr std::size_t maxDatagramBytes = 1400;

[[nodiscard]] std::string encode(const PeerMessage &message);
/// \returns the message, or nothing when \a bytes are not one.
[[nodiscard]] std::optional<PeerMessage> decode(std::string_view bytes);

} // namespace plantainswitch
