#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_set>

#include "plantainswitch/base/clock.h"
#include "plantainswitch/routing/replica.h"

namespace plantainswitch {

/// Number of draining incarnations that are remembered; more than a large fleet replaces in a day.
inline constexpr std::size_t maxDrainingNotices = 4096;

/// What upstreams have asked of this router in their responses.
///
/// Invariant: from the response that carries a notice on, the upstream is not to get requests from
/// this router, for the time of the back-off or, once it has announced that it is draining, for the
/// rest of its incarnation. The list of upstreams ends neither: an entry may lapse and return, move
/// or be out of date. A back-off also outlives the incarnation, because a router learns of a
/// restart late.
class UpstreamNotices
{
public:
    /// Records that \a replica has announced that it is draining. \returns whether that is new.
    bool recordDraining(const Replica &replica);
    /// Records that \a replica has rejected a request and wants none for \a backoff. A shorter one
    /// does not end a longer one. \returns the end.
    TimePoint recordBackoff(const Replica &replica, Milliseconds backoff, TimePoint now);

    [[nodiscard]] bool isDraining(const Replica &replica) const;
    /// \returns until when \a replica wants no requests; the clock's epoch if it never asked.
    [[nodiscard]] TimePoint backoffEnd(const Replica &replica) const;

private:
    /// Incarnations that are draining, and the order in which they were recorded.
    std::unordered_set<std::uint64_t> draining;
    std::deque<std::uint64_t> drainingOrder;
    /// End of the back-off by id of the upstream.
    std::map<std::string, TimePoint> backoffEnds;
};

} // namespace plantainswitch
