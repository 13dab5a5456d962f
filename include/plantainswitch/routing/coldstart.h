#pragma once

#include <cstdint>
#include <deque>

#include "plantainswitch/base/clock.h"

namespace plantainswitch {

/// What the upstreams of a service bear after a start, from the routing configuration.
struct ColdStart
{
    /// How long an upstream stays cold.
    Milliseconds duration{0};
    /// Requests per second that a cold upstream bears; 0 if the service does not limit them. Well
    /// above this rate the upstream crashes.
    double requestsPerSecond = 0.0;
};

/// How far the requests to a cold upstream may exceed what it bears, from the settings.
struct ColdStartTolerance
{
    double factor = 1.0;
    double margin = 0.0;
};

/// Length of the window in which permits are counted. A permit is used within one coordinator
/// timeout and one connection timeout, so that the requests of one second at the upstream were
/// permitted within one window.
inline constexpr Milliseconds permitWindow{1250};

/// Maximum numbers of permits per window for one upstream; 0 if unlimited.
struct PermitLimits
{
    /// For a cold upstream. At most half of what the upstream may get: for a short time two routers
    /// may each consider themselves its coordinator.
    std::uint32_t cold = 0;
    /// For a warm one, which may have become cold without the coordinator's knowledge.
    std::uint32_t warm = 0;
};

/// \returns the limits for an upstream, by what a cold one bears. Without \a coldStart limits, all
/// are 0.
[[nodiscard]] PermitLimits permitLimitsOf(const ColdStart &coldStart,
                                          const ColdStartTolerance &tolerance) noexcept;

/// Counts the permits of one upstream in a sliding window. Not more than the limit passed to
/// tryTake() fall into any span of permitWindow.
class PermitWindow
{
public:
    /// Takes a permit. \returns whether fewer than \a limit were taken in the last window.
    bool tryTake(std::uint32_t limit, TimePoint now);
    /// \returns the time until a permit under \a limit is available; at least 1 ms.
    [[nodiscard]] Milliseconds waitFor(std::uint32_t limit, TimePoint now) const;
    /// Records a request for a permit, whether or not it was granted.
    void recordDemand(TimePoint now);
    /// \returns the number of requests for permits in the window before the current one.
    [[nodiscard]] std::uint32_t previousDemand(TimePoint now) const noexcept;

private:
    void dropExpired(TimePoint now);

    std::deque<TimePoint> taken;
    TimePoint demandSince;
    std::uint32_t currentDemand = 0;
    std::uint32_t lastDemand = 0;
};

/// A router's belief whether an upstream is cold.
class ColdState
{
public:
    /// Applies a statement of the upstream that it stays cold for \a remaining. It replaces earlier
    /// statements, but not presumptions: it may be older than what caused them.
    void applyStatement(Milliseconds remaining, TimePoint now) noexcept;
    /// Presumes that the upstream is cold for \a duration.
    void presume(Milliseconds duration, TimePoint now) noexcept;
    /// Records that no connection to the upstream could be established. It may be restarting, and
    /// is presumed cold for \a coldDuration.
    void recordDown(Milliseconds coldDuration, TimePoint now) noexcept;
    /// Records a response. An upstream that was down before is presumed cold from now on for
    /// \a coldDuration, because it may have restarted. \returns whether it was down.
    bool recordResponse(Milliseconds coldDuration, TimePoint now) noexcept;
    /// \returns for how long the upstream is still believed to be cold; 0 if it is warm.
    [[nodiscard]] Milliseconds remaining(TimePoint now) const noexcept;

private:
    TimePoint statedUntil;
    TimePoint presumedUntil;
    bool isDown = false;
};

} // namespace plantainswitch
