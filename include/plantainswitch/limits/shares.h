#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "plantainswitch/base/clock.h"

namespace plantainswitch {

/// Identity of a workspace on the peer link: a hash of its name.
using WorkspaceId = std::uint64_t;

/// What the catalogue allows a workspace over the whole fleet; 0: no limit.
struct WorkspaceLimit
{
    std::uint32_t requestsPerSecond = 0;
    std::uint32_t maxInFlight = 0;
};

/// How a limit is split over the routers.
struct ShareSettings
{
    /// A share that its router may use without hearing from the owner again.
    Duration leaseDuration = Seconds{5};
    /// Least time between two reports of one workspace.
    Duration reportPeriod = Seconds{1};
    /// Part of the limit that is kept for routers without a share, split evenly over all known.
    double reserveFraction = 0.1;
    /// Part of the limit that is split evenly over the routers that report.
    double evenFraction = 0.1;
    /// Seconds of its rate that a router may save up.
    double burstSeconds = 1.0;
    /// Requests that a router may save up whatever its rate. With one only, two requests at
    /// once of a workspace far below its limit would be refused before the owner has answered.
    double minBurst = 2.0;
};

/// Routers as one router counts them. What is known lags behind what is active when routers
/// vanish, so that the parts of a partitioned fleet don't hand out the whole limit each.
struct FleetSize
{
    std::size_t active = 1;
    std::size_t known = 1;
    /// When the set of active routers last changed in this router's sight, if ever.
    std::optional<TimePoint> changedAt;
};

/// The sum of what routers admit never exceeds the limit times this factor, but for the least
/// burst of each router, while routers disagree about the owner: two owners hand out one limit
/// each.
inline constexpr double maxOvershootFactor = 2.0;

/// What a router wants of a workspace's limit and what it holds.
struct LimitUse
{
    WorkspaceId workspace = 0;
    /// Requests a second that arrived, refused ones included.
    double rateWanted = 0;
    /// Requests in flight and those refused for them.
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

/// A router's part of a workspace's limit.
struct LimitShare
{
    WorkspaceId workspace = 0;
    double rate = 0;
    std::uint32_t inFlight = 0;
};

/// The owner's answer to one report.
struct LimitShares
{
    /// That of the report.
    std::uint32_t sequence = 0;
    std::vector<LimitShare> shares;
};

/// A workspace at one router.
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
    /// The rate held as of the last report, which the owner counts until the next one.
    double rateReported = 0;
    std::optional<TimePoint> reportedAt;
    std::uint32_t reportSequence = 0;
    TimePoint lastUsed;
};

/// What an owner knows of one router's part.
struct GrantedShare
{
    LimitUse use;
    double grantedRate = 0;
    std::uint32_t grantedInFlight = 0;
    std::uint32_t sequence = 0;
    TimePoint expiresAt;
};

/// A workspace at its owner.
struct OwnedLimit
{
    std::map<std::uint64_t, GrantedShare> shares;
    /// When this router first heard as the owner.
    std::optional<TimePoint> ownerSince;
    TimePoint lastReportAt;
};

/// Why a request is not admitted, and when one is.
struct LimitRefusal
{
    bool inFlight = false;
    int retryAfterSeconds = 1;
};

/// \returns the rate that the router may admit now: its share, or its even part of the reserve
/// when it has none or the share has lapsed.
[[nodiscard]] double allowedRate(const LocalLimit &local, const WorkspaceLimit &limit,
                                 const FleetSize &fleet, const ShareSettings &settings,
                                 TimePoint now);
/// \returns the requests that the router may have in flight now; at least one.
[[nodiscard]] std::uint32_t allowedInFlight(const LocalLimit &local, const WorkspaceLimit &limit,
                                            const FleetSize &fleet, const ShareSettings &settings,
                                            TimePoint now);

/// Admits one request against the router's part of the limit.
/// \returns nothing when it is admitted, else why not.
std::optional<LimitRefusal> admitWithinLimit(LocalLimit &local, const WorkspaceLimit &limit,
                                             const FleetSize &fleet, const ShareSettings &settings,
                                             TimePoint now);
/// Takes the end of an admitted request into account.
void releaseWithinLimit(LocalLimit &local) noexcept;

/// \returns the router's report of \a workspace when one is due: when its part is short, when it
/// no longer needs a part that others may want, and to renew the share in time. A router that
/// gets along with its part of the reserve sends nothing.
std::optional<LimitUse> dueReport(LocalLimit &local, WorkspaceId workspace, std::uint32_t sequence,
                                  const WorkspaceLimit &limit, const FleetSize &fleet,
                                  const ShareSettings &settings, TimePoint now);
/// Takes a share that answers the report \a sequence.
/// A delayed answer to an earlier report is dropped: the owner counts only what it granted last,
/// so an older and larger share would come on top of the limit.
/// \returns whether it was taken.
bool applyShare(LocalLimit &local, const LimitShare &share, std::uint32_t sequence,
                const ShareSettings &settings, TimePoint now);

/// Takes one router's report and decides its share.
/// What others hold, or may still hold because an answer was lost, is never handed out twice:
/// a part counts with the larger of what was granted and what its router says it holds, until
/// the router reports the smaller one or the lease has lapsed.
/// A new owner doesn't know what its predecessor granted. For one lease after the set of routers
/// changed it therefore only confirms what a router holds, or the even part; after that nothing
/// unknown can be held.
/// \param router identity hash of the reporting router
/// \returns the share, or nothing when the report is older than one already taken.
std::optional<LimitShare> allocateShare(OwnedLimit &owned, const WorkspaceLimit &limit,
                                        std::uint64_t router, const LimitUse &use,
                                        std::uint32_t sequence, const FleetSize &fleet,
                                        const ShareSettings &settings, TimePoint now);

/// How long a smaller number of routers must last before the known number follows it.
inline constexpr Duration knownRoutersRetention = std::chrono::minutes{10};

/// The number of routers that were lately active.
struct KnownRouters
{
    std::size_t count = 1;
    TimePoint lastSeen;
};

/// Takes the number of routers active at \a now into account.
/// In a partition each part elects an owner of its own. Were a limit divided by the routers in
/// sight, each part would admit the whole limit. Remembering the larger number scales each
/// part's limit down to its part of the fleet for as long as partitions usually last.
void updateKnownRouters(KnownRouters &known, std::size_t active, TimePoint now) noexcept;

} // namespace plantainswitch
