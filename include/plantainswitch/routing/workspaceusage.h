#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "plantainswitch/base/clock.h"

namespace plantainswitch {

/// Requests per second of one workspace at one router.
struct WorkspaceUse
{
    /// Hash of the workspace's name; allWorkspaces for all requests of the router.
    std::uint64_t workspace = 0;
    float currentPerSecond = 0.0F;
    float usualPerSecond = 0.0F;
};

/// A workspace that surges.
struct WorkspaceSurge
{
    std::uint64_t workspace = 0;
    double surge = 1.0;
};

/// Stands for all requests of a router in its reports. Requests that belong to no workspace count
/// only there.
inline constexpr std::uint64_t allWorkspaces = 0;
/// Entries in one report, that of allWorkspaces included.
inline constexpr std::size_t maxReportedUses = 8;
/// Interval between two reports to one router, and between the choices of what they contain.
inline constexpr Milliseconds usageReportInterval{500};
/// Surge from which the rates of a workspace count as unusual.
inline constexpr double unusualSurge = 1.5;
/// Upper bound of every surge.
inline constexpr double maxSurge = 100.0;

/// Rates of the workspaces' requests over the fleet, from this router's own requests and the
/// reports of the others.
///
/// Only rates of the same router are compared: its current rate with its usual rate of the same
/// workspace. A router that reports nothing of a workspace, or not lately, is left out of both
/// sums, so that missing reports change the precision of a surge but not its size.
class WorkspaceUsage
{
public:
    /// Records that a request of the workspace arrived at this router.
    void record(std::uint64_t workspace, TimePoint now);
    /// Applies the report of another router, which replaces its earlier entries of the same
    /// workspaces. Entries that are not finite or out of range are ignored.
    void applyReport(const std::string &router, std::span<const WorkspaceUse> uses, TimePoint now);
    /// \returns up to \a most of this router's own rates: that of all requests, then surging and
    /// large workspaces, then the others in rotation. The workspaces change once per
    /// usageReportInterval. Empty while this router does not know its usual rates.
    std::vector<WorkspaceUse> report(std::size_t most, TimePoint now);
    /// \returns the current rate of the workspace in multiples of its usual rate, divided by the
    /// increase of the fleet's other requests; 1 unless it is significantly above 1.
    [[nodiscard]] double surge(std::uint64_t workspace, TimePoint now) const;
    /// \returns the usual share of the workspace in all requests of the fleet; an equal share among
    /// the known workspaces while nothing is known of it.
    [[nodiscard]] double usualShare(std::uint64_t workspace, TimePoint now) const;
    /// \returns up to \a most workspaces with a surge of at least unusualSurge, the largest first.
    [[nodiscard]] std::vector<WorkspaceSurge> surges(std::size_t most, TimePoint now) const;

    /// \returns the number of workspaces of which anything is known.
    [[nodiscard]] std::size_t size() const noexcept { return this->workspaces.size(); }

private:
    /// Buckets of the current rate, of which the newest is still being filled.
    static constexpr std::size_t bucketCount = 6;

    /// Own requests of one workspace.
    struct OwnRate
    {
        /// \param first bucket of the first request
        explicit OwnRate(std::int64_t first)
            : bucket(first)
            , firstBucket(first)
        {}

        std::array<std::uint32_t, bucketCount> counts{};
        /// Number of the newest bucket since the clock's epoch, and of the one of the first
        /// request.
        std::int64_t bucket;
        std::int64_t firstBucket;
        TimePoint lastRequest;
        /// Weighted mean of the requests per second in buckets older than the current ones, not
        /// divided by the sum of its weights, which approaches 1.
        double weightedRate = 0.0;
        double weight = 0.0;
        /// The workspace surged at the last refresh, so that its usual rate changes slowly.
        bool isSurging = false;
    };

    /// Rates that another router reported.
    struct PeerUse
    {
        std::uint64_t router = 0;
        TimePoint receivedAt;
        WorkspaceUse use;
    };

    struct Workspace
    {
        std::optional<OwnRate> own;
        std::vector<PeerUse> peers;
        TimePoint lastReport;
    };

    /// Requests expected and observed within one current window, at routers that know both.
    struct Comparison
    {
        double current = 0.0;
        double usual = 0.0;
        double allCurrent = 0.0;
        double allUsual = 0.0;
    };

    /// \returns the number of requests that are expected without a surge.
    [[nodiscard]] static double expectedIn(const Comparison &sums);
    static void advance(OwnRate &rate, TimePoint now);
    static void count(std::optional<OwnRate> &rate, TimePoint now);
    /// \returns the rates of an own workspace; nothing until its usual rate is known.
    [[nodiscard]] static std::optional<WorkspaceUse>
    useOf(std::uint64_t workspace, const std::optional<OwnRate> &rate, TimePoint now);
    void refresh(TimePoint now);
    void removeExpired(TimePoint now);
    /// Makes room for one more workspace.
    void evictOldest();
    void chooseReported(TimePoint now);
    /// Which routers' rates are summed, and whether the recent ones weigh more.
    enum class Scope : std::uint8_t { FleetNow, PeersNow, FleetUsual };
    [[nodiscard]] Comparison compare(const Workspace &workspace, std::uint64_t key, Scope scope,
                                     TimePoint now) const;
    /// \returns whether the other routers' reports hint at a surge, though not significantly.
    [[nodiscard]] bool isSuspected(const Workspace &workspace, std::uint64_t key,
                                   TimePoint now) const;

    std::unordered_map<std::uint64_t, Workspace> workspaces;
    std::optional<OwnRate> ownTotal;
    /// All requests of other routers, by hash of the router.
    std::unordered_map<std::uint64_t, PeerUse> peerTotals;
    /// Number of the last refresh's interval since the clock's epoch.
    std::int64_t refreshedInterval = -1;
    /// Workspaces in reports of this interval, in order of importance.
    std::vector<std::uint64_t> reported;
    /// Workspace after which the rotation goes on.
    std::uint64_t rotationCursor = 0;
};

} // namespace plantainswitch
