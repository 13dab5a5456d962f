#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "plantainswitch/base/clock.h"

namespace plantainswitch {

/// A sign that the slots of a service do not suffice at times.
struct ContentionNotice
{
    /// Hash of the service's name.
    std::uint64_t service = 0;
    /// When an upstream last showed it.
    TimePoint observedAt;
};

/// How far the settings let requests to contended services wait for slots.
struct ContentionPolicy
{
    bool enabled = true;
    /// Time after the last sign for which a service stays contended.
    Seconds retention{10};
    /// Requests granted beyond the slots of an upstream, as a share of these; at least 1.
    double marginShare = 1.0;
};

/// What an upstream states in a response, as far as it shows contention.
struct UpstreamLoadSign
{
    bool isRejection = false;
    /// The upstream is cold or draining, or wants no requests from one router. Its rejections say
    /// nothing about its slots.
    bool rejectsForOtherReasons = false;
    /// Whether \a running, \a waiting and \a slots are stated.
    bool isLoadStated = false;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
};

/// \returns whether the upstream has rejected a request for lack of capacity, or lets at least as
/// many requests wait as it has slots.
[[nodiscard]] bool showsContention(const UpstreamLoadSign &sign) noexcept;

/// \returns whether a service is so small that its routers cannot share its slots by their own
/// counts: the sum of its \a slots is smaller than the number of \a routers. False if one of its
/// upstreams has 0 slots, which means that they are not known.
[[nodiscard]] bool isSmallService(std::span<const std::uint32_t> slots,
                                  std::uint32_t routers) noexcept;

/// The services whose upstreams showed lately that their slots do not suffice, by the responses
/// that this router and the others received. Requests to a contended service wait in the queue of
/// the upstream's coordinator (SlotQueue).
class ContendedServices
{
public:
    /// Applies a sign that this router has seen. \returns whether the service is contended since
    /// then.
    bool recordSign(const ContentionNotice &notice, Duration retention, TimePoint now);
    /// Applies a sign that another router has seen. One older than \a retention is ignored.
    /// \returns whether the service is contended since then.
    bool applyNotice(const ContentionNotice &notice, Duration retention, TimePoint now);
    [[nodiscard]] bool isContended(std::uint64_t service, Duration retention, TimePoint now) const;
    /// Forgets the services without a sign for \a retention. \returns them.
    std::vector<std::uint64_t> removeEnded(Duration retention, TimePoint now);
    /// \returns the last sign of each contended service that this router has seen itself, for other
    /// routers. Those of others are not passed on: each hop would add the time of the transfer to
    /// the observation, so that the notices would renew themselves.
    [[nodiscard]] std::vector<ContentionNotice> notices(Duration retention, TimePoint now) const;

private:
    /// When a sign was last seen by any router, by service.
    std::unordered_map<std::uint64_t, TimePoint> lastSigns;
    /// When this router last saw one itself.
    std::unordered_map<std::uint64_t, TimePoint> ownSigns;
};

/// \returns how many requests per permitWindow a router may send to a contended upstream while the
/// upstream's coordinator does not respond. All routers together send half of the \a slots per
/// \a holdTime; with more routers than that they take turns.
/// \param router hash of the router's id
[[nodiscard]] std::uint32_t contendedUncoordinatedShare(std::uint64_t router, std::uint32_t routers,
                                                        std::uint32_t slots, Duration holdTime,
                                                        TimePoint now) noexcept;

} // namespace plantainswitch
