#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "plantainswitch/base/clock.h"

namespace plantainswitch {

/// An announcement of a service's upstreams that they are brittle.
struct BrittleNotice
{
    /// Hash of the service's name.
    std::uint64_t service = 0;
    /// Rejections for want of room within a second above which an upstream crashes.
    std::uint32_t maxRejections = 0;
    /// When a response last carried the announcement.
    TimePoint announcedAt;
};

/// Responses without the announcement end it if they arrive this much later than the last one that
/// carried it. Responses of several upstreams overtake each other.
inline constexpr Milliseconds brittleOverlap{500};
/// An announcement ends without any response of the service for this long.
inline constexpr Seconds brittleRetention{30};
/// How long a router that was lost counts for brittleCoordinatorShare().
inline constexpr Seconds lostRouterRetention{30};
/// After a coordinator has denied a request to a brittle upstream, its router requests no grant for
/// it for so long.
inline constexpr Milliseconds brittleDenialWait{100};

/// The services whose upstreams have announced that they are brittle, by the responses that this
/// router and the others received.
///
/// Invariant: while upstreams are brittle, all rejections by one upstream within a second, of the
/// requests of all routers, stay below the announced number. Each request requires a grant by the
/// upstream's coordinator (EngineCoordinator), which grants no more at once than the upstream has
/// slots, and after a rejection no more than ran beside it. A router without a reply of the
/// coordinator sends at most its share of half of the slots per window. It does not hold for the
/// time that routers need to learn of an announcement, nor of a partition of the fleet.
class BrittleServices
{
public:
    /// Records whether a response of the service carries the announcement.
    /// \param maxRejections as in BrittleNotice; nothing if the response does not carry it
    /// \returns whether the service is brittle since then, or no longer is.
    bool recordResponse(std::uint64_t service, std::optional<std::uint32_t> maxRejections,
                        TimePoint now);
    /// Applies an announcement that another router received.
    /// \returns whether the service is brittle since then.
    bool applyNotice(const BrittleNotice &notice, TimePoint now);
    /// \returns the announced number of rejections while the service is brittle.
    [[nodiscard]] std::optional<std::uint32_t> maxRejections(std::uint64_t service,
                                                             TimePoint now) const;
    /// \returns the announcements in force, for other routers.
    [[nodiscard]] std::vector<BrittleNotice> notices(TimePoint now) const;

private:
    struct Service
    {
        std::uint32_t maxRejections = 0;
        TimePoint announcedAt;
        /// When a response last came without the announcement.
        TimePoint notAnnouncedAt;
    };

    [[nodiscard]] static bool isBrittle(const Service &service, TimePoint now) noexcept;

    std::unordered_map<std::uint64_t, Service> services;
};

/// \returns the number of requests up to which a brittle upstream gets any: its slots, and some of
/// those that it may reject.
[[nodiscard]] double brittleLoadBound(std::uint32_t slots, std::uint32_t maxRejections) noexcept;

/// \returns the part of a brittle upstream's bound that a coordinator grants which reaches \a alive
/// routers, itself included, and lost \a lost others not long ago: those may have a coordinator of
/// their own.
[[nodiscard]] double brittleCoordinatorShare(std::size_t alive, std::size_t lost) noexcept;

/// \returns how many requests per window a router may send to a brittle upstream while the
/// upstream's coordinator does not respond. All routers together send half of the \a slots; with
/// more routers than that they take turns.
/// \param router hash of the router's id
[[nodiscard]] std::uint32_t brittleUncoordinatedShare(std::uint64_t router, std::uint32_t routers,
                                                      std::uint32_t slots, TimePoint now) noexcept;

} // namespace plantainswitch
