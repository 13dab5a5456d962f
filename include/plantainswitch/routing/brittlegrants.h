#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

#include "plantainswitch/base/clock.h"
#include "plantainswitch/routing/enginegrant.h"
#include "plantainswitch/routing/permitcoordinator.h"

namespace plantainswitch {

/// For how long a new coordinator of a brittle upstream grants brittleTakeoverShare of its bound:
/// routers that it cannot reach may still have grants of the previous one, or get new ones.
inline constexpr Seconds brittleTakeoverPeriod{4};
inline constexpr double brittleTakeoverShare = 0.6;
/// Longest time for which the grant of an abandoned run is kept. It spans a brief pause of the
/// upstream.
inline constexpr Seconds maxAbandonedRetention{2};
/// Interval after which a brittle upstream that has rejected requests is tried with one more at
/// once.
inline constexpr Seconds roomProbeInterval{2};
/// Time after the last request for which an upstream without grants is kept.
inline constexpr Seconds idleBrittleRetention{60};

/// What a coordinator counts of a brittle upstream.
struct BrittleCount
{
    /// Grants, those of abandoned runs included.
    std::uint32_t granted = 0;
    std::uint32_t abandoned = 0;
    /// Requests at once that the upstream gets after its last rejection; 0 if it had none.
    double room = 0.0;
};

/// Counts what the brittle upstreams that this router coordinates hold at most.
///
/// Invariant: an upstream has one count, whichever of its incarnations the routers know that
/// request grants for it. A router learns of a restart late, and what it sends arrives all the
/// same.
class BrittleGrants
{
public:
    /// \param reported requests on the upstream that routers recently reported, used while another
    /// router may still coordinate it
    /// \returns whether the upstream has room for one more request.
    bool hasRoom(const EngineGrantRequest &request, std::uint32_t reported, TimePoint now);
    void grant(const EngineGrantRequest &request, TimePoint now);
    /// Ends a grant as its router states; an unknown one is ignored.
    void end(const std::string &router, std::uint64_t requestId, std::uint64_t incarnation,
             const GrantRelease &release, TimePoint now);
    /// Revokes the grants of a router that has left the fleet.
    void releaseRouter(const std::string &router);
    /// Records that the upstream has responded.
    void recordResponse(std::uint64_t incarnation, TimePoint now);
    /// Records that the upstream has rejected a request for want of room. From then on it gets no
    /// more at once than it had beside that one, and one more each roomProbeInterval.
    /// \returns what is counted of it; nothing if it is not tracked.
    std::optional<BrittleCount> recordRejection(std::uint64_t incarnation, TimePoint now);
    /// Removes upstreams without grants for which there was no request for idleBrittleRetention.
    void removeIdle(TimePoint now);

    /// \returns requests that the upstream holds at most, as far as it is known.
    [[nodiscard]] std::uint32_t runningAt(std::uint64_t upstream, TimePoint now);
    [[nodiscard]] std::size_t upstreamCount() const noexcept { return this->upstreams.size(); }
    [[nodiscard]] std::size_t abandonedCount() const noexcept;

private:
    /// A run that its router no longer waits for.
    struct Abandonment
    {
        TimePoint since;
        Duration typicalHold{0};
        /// When the upstream is known to have started the run at the latest; nothing while it is
        /// silent.
        std::optional<TimePoint> startedBy;
    };

    struct Grant
    {
        TimePoint grantedAt;
        std::optional<Abandonment> abandonment;
    };

    struct Upstream
    {
        /// By router and request id.
        std::map<std::pair<std::string, std::uint64_t>, Grant> grants;
        TimePoint lastRequest;
        TimePoint lastResponse;
        double room = 0.0;
        TimePoint rejectedAt;
        CoordinationSpan span;
    };

    [[nodiscard]] Upstream *find(std::uint64_t incarnation);
    static void removeEnded(Upstream &upstream, TimePoint now);
    [[nodiscard]] static bool hasEnded(const Grant &grant, TimePoint now) noexcept;
    [[nodiscard]] static double roomOf(const Upstream &upstream, TimePoint now) noexcept;
    [[nodiscard]] static double boundOf(const EngineGrantRequest &request, const Upstream &upstream,
                                        bool isTakeover, TimePoint now) noexcept;

    /// By hash of the upstream's id.
    std::unordered_map<std::uint64_t, Upstream> upstreams;
    /// The upstream of each incarnation that routers have named.
    std::unordered_map<std::uint64_t, std::uint64_t> upstreamOf;
};

} // namespace plantainswitch
