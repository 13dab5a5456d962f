#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "plantainswitch/base/clock.h"
#include "plantainswitch/routing/brittlegrants.h"
#include "plantainswitch/routing/enginegrant.h"
#include "plantainswitch/routing/permitcoordinator.h"
#include "plantainswitch/routing/selection.h"

namespace plantainswitch {

/// Time after which a grant is revoked that its router no longer reports: the message that released
/// it was lost. It spans a few of the routers' updates.
inline constexpr Milliseconds orphanedGrantTimeout{2000};
/// Time for which a new coordinator also counts the requests that routers report, because it
/// doesn't know the grants of its predecessor.
inline constexpr Milliseconds takeoverPeriod{2000};

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
    /// Ends a grant as its router states.
    void endGrant(const std::string &router, std::uint64_t requestId, std::uint64_t incarnation,
                  const GrantRelease &release, TimePoint now);
    /// Revokes the grants of \a router on the engine in excess of the \a reported ones, if they are
    /// older than orphanedGrantTimeout.
    void reconcile(const std::string &router, std::uint64_t incarnation, std::uint32_t reported,
                   TimePoint now);
    /// Revokes all grants of a router that has left the fleet, but for those at brittle engines,
    /// which may go on with its runs.
    void releaseRouter(const std::string &router, TimePoint now);
    /// Removes the engines without grants for which there was no request within
    /// idleEngineRetention.
    void removeIdleEngines(TimePoint now);
    /// \returns the number of engines that are tracked.
    [[nodiscard]] std::size_t engineCount() const noexcept { return this->engines.size(); }
    /// \returns the counts of the brittle engines that this router coordinates.
    [[nodiscard]] BrittleGrants &brittle() noexcept { return this->brittleGrants; }
    [[nodiscard]] const BrittleGrants &brittle() const noexcept { return this->brittleGrants; }
    /// \returns the engine incarnations on which \a router has grants.
    [[nodiscard]] std::vector<std::uint64_t> incarnationsGrantedTo(const std::string &router) const;

private:
    struct Engine
    {
        /// When each request was granted, by router and request id.
        std::map<std::pair<std::string, std::uint64_t>, TimePoint> grants;
        double pendingPrefill = 0.0;
        TimePoint unreadAt;
        TimePoint coordinatedSince;
    };

    double tokensPerMillisecond;
    std::unordered_map<std::uint64_t, Engine> engines;
    PermitCoordinator permits;
    BrittleGrants brittleGrants;
    PrefixIndex prefixIndex;
};

} // namespace plantainswitch
