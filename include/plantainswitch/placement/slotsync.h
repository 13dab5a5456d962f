#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "plantainswitch/placement/coordinator.h"

namespace plantainswitch {

/// Slots that one list datagram carries.
inline constexpr std::size_t maxSlotsPerList = 80;

/// \returns the digest of the held asks below \a below.
/// \param held ask ids and their upstreams
[[nodiscard]] SlotDigest digestOf(ShardId shard, const std::map<std::uint32_t, UpstreamId> &held,
                                  std::uint32_t below) noexcept;

/// \returns whether the keeper's slots of \a router differ from its digest.
[[nodiscard]] bool digestDiffers(const ShardState &state, std::uint64_t router,
                                 const SlotDigest &digest);

/// \returns the held asks below \a below in lists of at most slotsInList.
[[nodiscard]] std::vector<SlotList> splitIntoLists(const Shard &shard, std::uint64_t router,
                                                   const std::map<std::uint32_t, UpstreamId> &held,
                                                   std::uint32_t below);

/// Makes the keeper's slots of the list's router and range equal to the list: what the holder
/// doesn't have is given back, what the keeper doesn't know is counted, even above the bound,
/// because it runs already.
/// \param whole whether the holder itself says it; a leaving keeper's list only adds, as the
/// holder may have got other slots here meanwhile
void applySlotList(ShardState &state, const SlotList &list, bool whole, TimePoint now);

} // namespace plantainswitch
