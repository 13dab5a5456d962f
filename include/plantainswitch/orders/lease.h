#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "plantainswitch/base/clock.h"

namespace plantainswitch {

/// How long a lease to give orders lasts and what is waited for.
struct LeaseSettings
{
    /// A lease whose version has not changed for this long, as its observer saw it, is free.
    Duration leaseDuration = Seconds{10};
    Duration renewInterval = Seconds{3};
    /// Longest pause of a process that engines without a check are guarded against. A new holder
    /// sends them nothing before this time has passed since it took the lease.
    Duration maxProcessPause = Seconds{30};
};

/// The lease object as read at the platform.
struct LeaseObject
{
    /// Identity of the holder's process; a restarted router is another holder.
    std::string holder;
    std::uint64_t version = 0;
};

/// One router's view of one lease. No clock of another machine plays a part: who wants the lease
/// measures on its own clock for how long the object's version stood still.
struct LeaseState
{
    std::optional<LeaseObject> observed;
    TimePoint observedSince;
    /// Set while this router believes that it holds the lease.
    std::optional<std::uint64_t> heldVersion;
    TimePoint heldUntil;
    TimePoint acquiredAt;
    TimePoint renewedAt;
};

enum class LeaseAction : std::uint8_t { None, Acquire, Renew };

/// What to write to the lease object, under the condition that its version is \a ifVersion.
struct LeaseDecision
{
    LeaseAction action = LeaseAction::None;
    /// 0: there must be no object yet.
    std::uint64_t ifVersion = 0;
};

/// Takes a reading of the lease object into account; nothing when there is none.
void observeLease(LeaseState &watch, const std::optional<LeaseObject> &object,
                  const std::string &self, TimePoint now);
/// \returns what this router has to write now.
[[nodiscard]] LeaseDecision decideLease(const LeaseState &watch, const std::string &self,
                                        const LeaseSettings &settings, TimePoint now);
/// Takes a write that the platform confirmed into account.
/// \param sentAt when it was sent: the lease counts from there, as others may have seen it then
void recordLeaseWrite(LeaseState &watch, const std::string &self, std::uint64_t version,
                      const LeaseSettings &settings, TimePoint sentAt);

/// \returns the fencing number under which this router may send an order now; nothing when it
/// holds no lease, or when engines don't check and a predecessor may still be sending.
[[nodiscard]] std::optional<std::uint64_t> currentFencingToken(const LeaseState &watch,
                                                               bool enginesCheck,
                                                               const LeaseSettings &settings,
                                                               TimePoint now);

} // namespace plantainswitch
