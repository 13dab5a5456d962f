#pragma once

#include <optional>

#include "peer.pb.h"

#include "peercodec.h"

/// Conversions between messages and their protobuf form; only peercodec uses them.
namespace plantainswitch::codec {

/// Membership and leaving upstreams.
void fill(wire::Datagram &datagram, const SwimMessage &from);
void fill(wire::Datagram &datagram, const LeavingNotice &from);
[[nodiscard]] std::optional<SwimMessage> read(const wire::Swim &from);
[[nodiscard]] LeavingNotice read(const wire::LeavingNotice &from);

/// Slots, and the state that coordinators exchange.
void fill(wire::Datagram &datagram, const SlotRequest &from);
void fill(wire::Datagram &datagram, const SlotReply &from);
void fill(wire::Datagram &datagram, const SlotRelease &from);
void fill(wire::Datagram &datagram, const SlotDigest &from);
void fill(wire::Datagram &datagram, const SlotListRequest &from);
void fill(wire::Datagram &datagram, const SlotList &from);
void fill(wire::Datagram &datagram, const ShardSummary &from);
void fill(wire::Datagram &datagram, const ChatHints &from);
[[nodiscard]] SlotRequest read(const wire::SlotAsk &from);
[[nodiscard]] std::optional<SlotReply> read(const wire::SlotReply &from);
[[nodiscard]] SlotRelease read(const wire::SlotRelease &from);
[[nodiscard]] SlotDigest read(const wire::SlotDigest &from);
[[nodiscard]] SlotListRequest read(const wire::SlotListAsk &from);
[[nodiscard]] std::optional<SlotList> read(const wire::SlotList &from);
[[nodiscard]] ShardSummary read(const wire::ShardSummary &from);
[[nodiscard]] std::optional<ChatHints> read(const wire::ChatHints &from);

/// Claims, and requests suspected of crashing upstreams.
void fill(wire::Datagram &datagram, const ClaimRequest &from);
void fill(wire::Datagram &datagram, const ClaimReply &from);
void fill(wire::Datagram &datagram, const ClaimRelease &from);
void fill(wire::Datagram &datagram, const SuspectUpdate &from);
[[nodiscard]] ClaimRequest read(const wire::ClaimAsk &from, std::uint64_t sender);
[[nodiscard]] std::optional<ClaimReply> read(const wire::ClaimReply &from);
[[nodiscard]] ClaimRelease read(const wire::ClaimRelease &from);
[[nodiscard]] SuspectUpdate read(const wire::SuspectNews &from);

/// Limits of workspaces.
void fill(wire::Datagram &datagram, const LimitReport &from);
void fill(wire::Datagram &datagram, const LimitShares &from);
[[nodiscard]] LimitReport read(const wire::LimitReport &from);
[[nodiscard]] LimitShares read(const wire::LimitShares &from);

} // namespace plantainswitch::codec
