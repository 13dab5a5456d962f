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
/// Longest time for which the grant of an abandoned run is kept whose deadline is not known.
inline constexpr Seconds maxAbandonedRetention{2};
/// Interval after which a brittle upstream that has rejected requests may hold one more of them
/// at once.
inline constexpr Seconds roomProbeInterval{2};
/// Longest time between a grant and the request's arrival at the upstream that is accounted for
/// when the upstream states its load.
inline constexpr Milliseconds grantArrivalTime{50};
/// Time after the last request for which an upstream without grants is kept.
inline constexpr Seconds idleBrittleRetention{60};

/// What a coordinator counts of a brittle upstream.
struct BrittleCount
{
    /// Grants, those of abandoned runs included.
    std::uint32_t granted = 0;
    std::uint32_t abandoned = 0;
    /// Requests without a grant of this coordinator, by what the upstream last stated.
    std::uint32_t unknown = 0;
    /// Requests at once that the upstream gets after its last rejection; 0 if it had none.
    double room = 0.0;
};

/// Counts what the brittle upstreams that this router coordinates hold at most.
///
/// Invariant: the count of an upstream is no less than the number of requests that it holds and
/// that were granted here, whichever of its incarnations their routers know: a grant ends when the
/// upstream has responded, or else not before the run can be expected to have ended, however its
/// router has lost it. Requests that were granted elsewhere, or not at all, are counted from when
/// the upstream states that it holds more than was granted.
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
    /// Ends the grants of a router that is lost. The upstreams may go on with its runs.
    void abandonRouter(const std::string &router, TimePoint now);
    /// Records that the upstream has responded.
    /// \param load requests that it states to hold, running or waiting
    void recordResponse(std::uint64_t incarnation, std::optional<std::uint32_t> load,
                        TimePoint now);
    /// Records that the upstream has rejected a request for want of room. From then on it gets no
    /// more at once than it had beside that one, and one more each roomProbeInterval.
    /// \param load as in recordResponse()
    /// \returns what is counted of it; nothing if it is not tracked.
    std::optional<BrittleCount> recordRejection(std::uint64_t incarnation,
                                                std::optional<std::uint32_t> load, TimePoint now);
    /// Removes upstreams without grants for which there was no request for idleBrittleRetention.
    void removeIdle(TimePoint now);

    /// \returns requests that the upstream holds at most, as far as it is known.
    [[nodiscard]] std::uint32_t runningAt(std::uint64_t upstream, TimePoint now);
    [[nodiscard]] std::size_t upstreamCount() const noexcept { return this->upstreams.size(); }
    [[nodiscard]] std::size_t abandonedCount() const noexcept;

private:
    struct Grant
    {
        TimePoint grantedAt;
        RunTimeBound runTime;
        /// When the router gave the run up.
        std::optional<TimePoint> abandonedAt;
        /// When the upstream first responded after that; nothing while it is silent.
        std::optional<TimePoint> respondedAt;
    };

    /// What an upstream has stated.
    struct Statement
    {
        TimePoint at;
        /// Requests that it held.
        std::uint32_t load = 0;
        /// Those of them that have no grant.
        std::uint32_t unknown = 0;
    };

    struct Upstream
    {
        /// By router and request id.
        std::map<std::pair<std::string, std::uint64_t>, Grant> grants;
        TimePoint lastRequest;
        TimePoint lastResponse;
        std::optional<Statement> statement;
        /// Of the last request.
        Duration usualRunTime{0};
        double room = 0.0;
        TimePoint rejectedAt;
        CoordinationSpan span;
    };

    [[nodiscard]] Upstream *find(std::uint64_t incarnation);
    static void removeEnded(Upstream &upstream, TimePoint now);
    [[nodiscard]] static bool hasEnded(const Grant &grant, TimePoint now) noexcept;
    static void abandon(Grant &grant, const Upstream &upstream, TimePoint now) noexcept;
    static void recordStatement(Upstream &upstream, std::uint32_t load, TimePoint now);
    [[nodiscard]] static std::uint32_t unknownCount(const Upstream &upstream,
                                                    TimePoint now) noexcept;
    [[nodiscard]] static std::uint32_t count(const Upstream &upstream, TimePoint now) noexcept;
    [[nodiscard]] static double roomOf(const Upstream &upstream, TimePoint now) noexcept;
    [[nodiscard]] static double boundOf(const EngineGrantRequest &request, const Upstream &upstream,
                                        bool isTakeover, TimePoint now) noexcept;

    /// By hash of the upstream's id.
    std::unordered_map<std::uint64_t, Upstream> upstreams;
    /// The upstream of each incarnation that routers have named.
    std::unordered_map<std::uint64_t, std::uint64_t> upstreamOf;
};

} // namespace plantainswitch
