#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "plantainswitch/base/clock.h"
#include "plantainswitch/routing/permitcoordinator.h"
#include "plantainswitch/routing/selection.h"

namespace plantainswitch {

/// A router's request to the coordinator to admit one more request to an engine.
struct EngineGrantRequest
{
    /// The requesting router.
    std::string router;
    /// Id of the request, unique at its router.
    std::uint64_t requestId = 0;
    std::uint64_t incarnation = 0;
    std::vector<std::uint64_t> prefixHashes;
    std::uint32_t promptTokens = 0;
    /// Running requests above which the engine would exceed its share; 0 if not limited.
    double loadBound = 0.0;
    /// Running requests that the engine must not exceed because it is brittle; 0 if it is not.
    double brittleBound = 0.0;
    /// How much longer the requesting router believes the engine to be cold.
    Milliseconds coldFor{0};
    PermitRequest permit;
};

/// Why a router no longer needs a grant.
enum class GrantEnd : std::uint8_t {
    /// The request did not reach the engine.
    Unused,
    /// The engine has responded.
    Responded,
    /// The router has given the run up, or its connection was lost. The engine may still hold it:
    /// it
    /// goes on without the connection, or is silent and has not noticed.
    Abandoned,
};

/// The end of a grant, as its router states it.
struct GrantRelease
{
    GrantEnd end = GrantEnd::Unused;
    /// Time for which a request of the service usually holds its slot; only of an abandoned run.
    Duration typicalHold{0};
};

/// The coordinator's reply.
struct EngineGrantReply
{
    bool granted = false;
    /// Requests on the engine, including this one if it was granted.
    std::uint32_t running = 0;
    double pendingPrefillTokens = 0.0;
    /// Leading prompt parts that the engine is expected to have cached.
    std::uint32_t cachedParts = 0;
    /// Time until a permit is available, if the request was denied for the lack of one; 0 if it was
    /// denied by the load bound.
    Milliseconds permitWait{0};
    /// How much longer the coordinator believes the engine to be cold.
    Milliseconds coldFor{0};
};

/// What a coordinator counts of a brittle engine when it learns of a rejection.
struct RejectionRecord
{
    /// Grants, those of abandoned runs included.
    std::size_t granted = 0;
    std::size_t abandoned = 0;
    /// Requests at once that the engine gets from now on.
    double room = 0.0;
};

/// Time after which a grant is revoked that its router no longer reports: the message that released
/// it was lost. It spans a few of the routers' updates.
inline constexpr Milliseconds orphanedGrantTimeout{2000};
/// Time for which a new coordinator also counts the requests that routers report, because it
/// doesn't know the grants of its predecessor.
inline constexpr Milliseconds takeoverPeriod{2000};

/// The same for a brittle engine, which gets brittleTakeoverShare of its bound until then: routers
/// that the new coordinator cannot reach may still have grants of the previous one, or get new
/// ones.
inline constexpr Seconds brittleTakeoverPeriod{4};
inline constexpr double brittleTakeoverShare = 0.6;
/// Longest time for which the grant of an abandoned run is kept. It spans a brief pause of the
/// engine.
inline constexpr Seconds maxAbandonedRetention{2};
/// Interval after which a brittle engine that has rejected requests is tried with one more at once.
inline constexpr Seconds roomProbeInterval{2};

/// Time without a request after which an idle engine is removed. Each restart of an engine creates
/// a new incarnation: if all were kept, a year of them at 1,900 per day would exhaust the memory of
/// a small VM. It is longer than takeoverPeriod, so that no count is lost.
inline constexpr Seconds idleEngineRetention{60};

/// Number of coordinators that may reject a request for its load before it is dispatched all the
/// same, by the load that they reported.
inline constexpr std::uint32_t maxLoadRejections = 2;

/// \returns the load bound that a request states after \a rejections. Once it may be dispatched
/// without regard to the load, an upstream that requires a permit is asked for that alone:
/// otherwise a request whose only upstream is cold and loaded would be rejected without end.
[[nodiscard]] double loadBoundAfter(std::uint32_t rejections, double bound) noexcept;

/// Counts the running requests of the engines that this router coordinates. Each engine has exactly
/// one coordinator, so that many routers with a small part of the traffic each share one exact
/// count.
class EngineCoordinator
{
public:
    explicit EngineCoordinator(double tokensPerMillisecond)
        : tokensPerMillisecond(tokensPerMillisecond)
    {}

    /// Grants or denies one more request on an engine.
    /// \param reported requests on the engine that routers recently reported, used during
    /// takeoverPeriod
    EngineGrantReply requestGrant(const EngineGrantRequest &request, std::uint32_t reported,
                                  TimePoint now);
    /// Releases a grant; an unknown one is ignored.
    void releaseGrant(const std::string &router, std::uint64_t requestId,
                      std::uint64_t incarnation);
    /// Ends a grant as its router states. That of an abandoned run is kept until the run would
    /// usually have ended, counted from when the engine was seen to respond; without a response for
    /// maxAbandonedRetention.
    void endGrant(const std::string &router, std::uint64_t requestId, std::uint64_t incarnation,
                  const GrantRelease &release, TimePoint now);
    /// Records that a brittle engine rejected a request for want of room. From then on it gets no
    /// more at once than it had beside that one, and one more each roomProbeInterval.
    /// \returns what is counted of the engine; nothing if it is not tracked.
    std::optional<RejectionRecord> recordRejection(std::uint64_t incarnation, TimePoint now);
    /// Revokes the grants of \a router on the engine in excess of the \a reported ones, if they are
    /// older than orphanedGrantTimeout.
    void reconcile(const std::string &router, std::uint64_t incarnation, std::uint32_t reported,
                   TimePoint now);
    /// Revokes all grants of a router that has left the fleet.
    void releaseRouter(const std::string &router);
    /// Removes the engines without grants for which there was no request within
    /// idleEngineRetention.
    void removeIdleEngines(TimePoint now);
    /// \returns the number of engines that are tracked.
    [[nodiscard]] std::size_t engineCount() const noexcept { return this->engines.size(); }
    /// \returns the number of grants that are kept for abandoned runs.
    [[nodiscard]] std::size_t abandonedCount() const noexcept;
    /// \returns the engine incarnations on which \a router has grants.
    [[nodiscard]] std::vector<std::uint64_t> incarnationsGrantedTo(const std::string &router) const;

private:
    /// A run that its router no longer waits for.
    struct Abandonment
    {
        TimePoint since;
        Duration typicalHold{0};
        /// When the engine is known to have started the run at the latest; nothing while it is
        /// silent.
        std::optional<TimePoint> startedBy;
    };

    struct Grant
    {
        TimePoint grantedAt;
        std::optional<Abandonment> abandonment;
    };

    struct Engine
    {
        /// By router and request id.
        std::map<std::pair<std::string, std::uint64_t>, Grant> grants;
        TimePoint lastResponse;
        double pendingPrefill = 0.0;
        TimePoint unreadAt;
        TimePoint coordinatedSince;
        /// Requests at once that it had room for when it last rejected one; 0 if it never did.
        double room = 0.0;
        TimePoint rejectedAt;
        /// Counts requests while it is brittle.
        CoordinationSpan brittleSpan;
    };

    /// \returns the number of requests above which none is granted; 0 if not limited.
    /// \param isTakeover another router may still be the engine's coordinator
    [[nodiscard]] static double boundOf(const EngineGrantRequest &request, const Engine &engine,
                                        bool isTakeover, TimePoint now) noexcept;
    void abandonGrant(const std::string &router, std::uint64_t requestId, std::uint64_t incarnation,
                      Duration typicalHold, TimePoint now);
    void recordResponse(std::uint64_t incarnation, TimePoint now);
    /// Releases the grants of abandoned runs that have ended by now.
    static void releaseAbandoned(Engine &engine, TimePoint now);
    [[nodiscard]] static std::size_t abandonedCountOf(const Engine &engine) noexcept;
    [[nodiscard]] static double roomOf(const Engine &engine, TimePoint now) noexcept;

    double tokensPerMillisecond;
    std::unordered_map<std::uint64_t, Engine> engines;
    PermitCoordinator permits;
    PrefixIndex prefixIndex;
};

} // namespace plantainswitch
