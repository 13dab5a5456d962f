#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "plantainswitch/base/clock.h"

namespace plantainswitch {

/// Timing of the lease that permits a router to send orders.
struct LeaseSettings
{
    /// A lease whose version has not changed for this long, as observed by a router, is free.
    Duration leaseDuration = Seconds{10};
    Duration renewInterval = Seconds{3};
    /// Longest process pause against which engines without a fencing check are protected. A new
    /// holder sends them nothing until this time has passed since it acquired the lease.
    Duration maxProcessPause = Seconds{30};
};

/// The lease object as read from the platform.
struct LeaseObject
{
    /// Identity of the holder's process; a restarted router is a different holder.
    std::string holder;
    std::uint64_t version = 0;
};

/// One router's view of one lease. No other VM's clock is involved: a router that wants the lease
/// measures with its own clock for how long the object's version stayed unchanged.
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

/// What to write to the lease object, conditional on its version being \a ifVersion.
struct LeaseDecision
{
    LeaseAction action = LeaseAction::None;
    /// 0: the object must not exist yet.
    std::uint64_t ifVersion = 0;
};

/// Handles a read of the lease object; nothing if it does not exist.
void observeLease(LeaseState &state, const std::optional<LeaseObject> &object,
                  const std::string &self, TimePoint now);
/// \returns what this router has to write now.
[[nodiscard]] LeaseDecision decideLease(const LeaseState &state, const std::string &self,
                                        const LeaseSettings &settings, TimePoint now);
/// Handles a write that the platform confirmed.
/// \param sentAt when the write was sent. The lease counts from then, because others may have seen
/// it then.
void recordLeaseWrite(LeaseState &state, const std::string &self, std::uint64_t version,
                      const LeaseSettings &settings, TimePoint sentAt);

/// \returns the fencing token with which this router may send an order now; nothing when it holds
/// no lease, or when engines don't check and a predecessor may still be sending.
[[nodiscard]] std::optional<std::uint64_t> currentFencingToken(const LeaseState &state,
                                                               bool enginesCheck,
                                                               const LeaseSettings &settings,
                                                               TimePoint now);

} // namespace plantainswitch
