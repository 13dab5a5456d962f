#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "plantainswitch/base/clock.h"

namespace plantainswitch {

/// Identity of a workspace in the peer protocol: a hash of its name.
using WorkspaceId = std::uint64_t;

/// Limits of a workspace over the whole fleet, from the catalogue; 0: no limit.
struct WorkspaceLimit
{
    std::uint32_t requestsPerSecond = 0;
    std::uint32_t maxInFlight = 0;
};

/// Parameters of the division of a limit among the routers.
struct ShareSettings
{
    /// Time for which a router may use a share without a renewal by the owner.
    Duration leaseDuration = Seconds{5};
    /// Minimum time between two reports on one workspace.
    Duration reportPeriod = Seconds{1};
    /// Fraction of the limit that is reserved for routers without a share, split evenly over all
    /// known routers.
    double reserveFraction = 0.1;
    /// Fraction of the limit that is split evenly over the reporting routers.
    double evenFraction = 0.1;
    /// Size of a router's token bucket, in seconds of its rate.
    double burstSeconds = 1.0;
    /// Minimum size of a router's token bucket. With one token only, two concurrent requests of a
    /// workspace far below its limit would be refused before the owner has replied.
    double minBurst = 2.0;
};

/// Numbers of routers in one router's view. The known number lags behind the active one when
/// routers vanish, so that the parts of a partitioned fleet don't hand out the whole limit each.
struct FleetSize
{
    std::size_t active = 1;
    std::size_t known = 1;
    /// When the set of active routers last changed in this router's view, if ever.
    std::optional<TimePoint> changedAt;
};

/// Upper bound, as a multiple of the limit, on the sum of what routers admit while they disagree
/// about the owner, because two owners then hand out one limit each. Excludes the minimum burst of
/// each router.
inline constexpr double maxOvershootFactor = 2.0;

/// What a router wants of a workspace's limit and what it holds.
struct LimitUse
{
    WorkspaceId workspace = 0;
    /// Requests a second that arrived, refused ones included.
    double rateWanted = 0;
    /// Requests in flight, and those refused because of the in-flight limit.
    std::uint32_t inFlightWanted = 0;
    double rateHeld = 0;
    std::uint32_t inFlightHeld = 0;
};

/// A router's report to the owner of the workspaces in it.
struct LimitReport
{
    std::uint32_t sequence = 0;
    std::vector<LimitUse> uses;
};

/// A router's share of a workspace's limit.
struct LimitShare
{
    WorkspaceId workspace = 0;
    double rate = 0;
    std::uint32_t inFlight = 0;
};

/// The owner's reply to one report.
struct LimitShares
{
    /// Sequence number of the report.
    std::uint32_t sequence = 0;
    std::vector<LimitShare> shares;
};

/// State of a workspace's limit at one router.
struct LocalLimit
{
    double tokens = 0;
    std::optional<TimePoint> refilledAt;
    std::optional<LimitShare> share;
    TimePoint shareExpiresAt;
    std::uint32_t inFlight = 0;
    /// Since the last report.
    std::uint32_t arrivals = 0;
    std::uint32_t refusedInFlight = 0;
    double rateWanted = 0;
    /// Rate held as of the last report, which the owner counts until the next one.
    double rateReported = 0;
    std::optional<TimePoint> reportedAt;
    std::uint32_t reportSequence = 0;
    TimePoint lastUsed;
};

/// An owner's record of one router's share.
struct GrantedShare
{
    LimitUse use;
    double grantedRate = 0;
    std::uint32_t grantedInFlight = 0;
    std::uint32_t sequence = 0;
    TimePoint expiresAt;
};

/// State of a workspace's limit at its owner.
struct OwnedLimit
{
    std::map<std::uint64_t, GrantedShare> shares;
    /// When this router got its first report as the owner.
    std::optional<TimePoint> ownerSince;
    TimePoint lastReportAt;
};

/// Why a request is refused, and when to retry.
struct LimitRefusal
{
    bool inFlight = false;
    int retryAfterSeconds = 1;
};

/// \returns the rate that the router may admit now: its share, or an even part of the reserve when
/// it has none or the share has expired.
[[nodiscard]] double allowedRate(const LocalLimit &local, const WorkspaceLimit &limit,
                                 const FleetSize &fleet, const ShareSettings &settings,
                                 TimePoint now);
/// \returns the number of requests that the router may have in flight now; at least one.
[[nodiscard]] std::uint32_t allowedInFlight(const LocalLimit &local, const WorkspaceLimit &limit,
                                            const FleetSize &fleet, const ShareSettings &settings,
                                            TimePoint now);

/// Admits one request against the router's share of the limit.
/// \returns nothing when it is admitted, else why not.
std::optional<LimitRefusal> admitWithinLimit(LocalLimit &local, const WorkspaceLimit &limit,
                                             const FleetSize &fleet, const ShareSettings &settings,
                                             TimePoint now);
/// Records the end of an admitted request.
void releaseWithinLimit(LocalLimit &local) noexcept;

/// \returns the router's report on \a workspace if one is due: when its share is short, when it no
/// longer needs a share that others may want, or to renew the share in time. A router for which its
/// part of the reserve is enough reports nothing.
std::optional<LimitUse> dueReport(LocalLimit &local, WorkspaceId workspace, std::uint32_t sequence,
                                  const WorkspaceLimit &limit, const FleetSize &fleet,
                                  const ShareSettings &settings, TimePoint now);
/// Applies the share that replies to the report \a sequence. A delayed reply to an earlier report
/// is dropped: the owner counts only its last grant, so an older and larger share would exceed the
/// limit.
/// \returns whether it was applied.
bool applyShare(LocalLimit &local, const LimitShare &share, std::uint32_t sequence,
                const ShareSettings &settings, TimePoint now);

/// Handles one router's report and allocates its share.
/// What others hold, or may still hold because a reply was lost, is never handed out twice: a share
/// counts with the larger of what was granted and what its router reports to hold, until the router
/// reports the smaller one or the lease has expired.
/// A new owner doesn't know what its predecessor granted. For one lease after the set of routers
/// changed, it therefore only confirms what a router holds, or the even part; after that nothing
/// unknown can be held.
/// \param router identity hash of the reporting router
/// \returns the share, or nothing when the report is older than one already handled.
std::optional<LimitShare> allocateShare(OwnedLimit &owned, const WorkspaceLimit &limit,
                                        std::uint64_t router, const LimitUse &use,
                                        std::uint32_t sequence, const FleetSize &fleet,
                                        const ShareSettings &settings, TimePoint now);

/// How long a smaller number of routers must last before the known number follows it.
inline constexpr Duration knownRoutersRetention = std::chrono::minutes{10};

/// The number of routers that were recently active.
struct KnownRouters
{
    std::size_t count = 1;
    TimePoint lastSeen;
};

/// Updates \a known with the number of routers active at \a now. In a partition each part elects
/// its own owner. If limits were divided by the visible routers, each part would admit the whole
/// limit. Remembering the larger number scales each part's limit to its part of the fleet for as
/// long as partitions usually last.
void updateKnownRouters(KnownRouters &known, std::size_t active, TimePoint now) noexcept;

} // namespace plantainswitch
