#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "plantainswitch/placement/coordinator.h"

namespace plantainswitch {

/// Slots in one SlotList datagram.
inline constexpr std::size_t maxSlotsPerList = 80;

/// \returns the digest of the held slots with request ids below \a below.
/// \param held request ids and their upstreams
[[nodiscard]] SlotDigest digestOf(ShardId shard, const std::map<std::uint32_t, UpstreamId> &held,
                                  std::uint32_t below) noexcept;

/// \returns whether the coordinator's slots of \a router differ from the router's digest.
[[nodiscard]] bool digestDiffers(const ShardState &state, std::uint64_t router,
                                 const SlotDigest &digest);

/// \returns the held slots with request ids below \a below, in lists of at most maxSlotsPerList.
[[nodiscard]] std::vector<SlotList> splitIntoLists(const Shard &shard, std::uint64_t router,
                                                   const std::map<std::uint32_t, UpstreamId> &held,
                                                   std::uint32_t below);

/// Updates the coordinator's slots of the list's router and id range: releases slots that are not
/// listed and counts unknown ones, even above the bound, because they run already.
/// \param isComplete whether the holder itself sent the list. A leaving coordinator's list only
/// adds, because the holder may have got other slots here meanwhile.
void applySlotList(ShardState &state, const SlotList &list, bool isComplete, TimePoint now);

} // namespace plantainswitch
