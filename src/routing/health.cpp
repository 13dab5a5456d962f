#include "plantainswitch/routing/health.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace plantainswitch {

namespace {

constexpr std::array faultNames{std::string_view{"unreachable"}, std::string_view{"broken"},
                                std::string_view{"silent"},      std::string_view{"garbage"},
                                std::string_view{"failed"},      std::string_view{"full"}};

/// Doublings after which the ejection time has reached its maximum.
constexpr std::uint32_t maxDoublings = 6;

double decayFactor(TimePoint then, TimePoint now) noexcept
{
    if (now <= then) {
        return 1.0;
    }
    const double halfLives =
        std::chrono::duration<double>(now - then) / std::chrono::duration<double>(penaltyHalfLife);
    return std::exp2(-halfLives);
}

void decay(UpstreamHealth &health, TimePoint now)
{
    const double factor = decayFactor(health.updatedAt, now);
    health.failureRate *= factor;
    health.rejectionRate *= factor;
    health.extraDelay *= factor;
    health.updatedAt = now;
}

/// Adds an outcome to the moving averages; \a failed and \a rejected are 1 for what it was, or 0.
void addOutcome(UpstreamHealth &health, double failed, double rejected)
{
    health.failureRate += outcomeWeight * (failed - health.failureRate);
    health.rejectionRate += outcomeWeight * (rejected - health.rejectionRate);
}

/// Adds a timeout to the score. \returns whether the score suffices for an ejection.
bool addTimeout(UpstreamHealth &health, TimePoint now)
{
    const double halfLives = std::chrono::duration<double>(now - health.timeoutScoreAt)
                             / std::chrono::duration<double>(timeoutScoreHalfLife);
    health.timeoutScore = health.timeoutScore * std::exp2(-std::max(0.0, halfLives)) + 1.0;
    health.timeoutScoreAt = now;
    return health.timeoutScore >= timeoutsForEjection;
}

bool indicatesDown(UpstreamFault fault) noexcept
{
    return fault == UpstreamFault::Unreachable || fault == UpstreamFault::ConnectionLost
           || fault == UpstreamFault::TimedOut;
}

} // namespace

std::string_view nameOf(UpstreamFault fault) noexcept
{
    return faultNames.at(static_cast<std::size_t>(fault));
}

TimeoutCause classifyTimeout(TimePoint sentAt, TimePoint lastReceived) noexcept
{
    return lastReceived > sentAt ? TimeoutCause::Busy : TimeoutCause::Unresponsive;
}

void recordFault(UpstreamHealth &health, UpstreamFault fault, TimePoint now)
{
    decay(health, now);
    const bool isRejection = fault == UpstreamFault::Rejected;
    addOutcome(health, isRejection ? 0.0 : 1.0, isRejection ? 1.0 : 0.0);
    if (!indicatesDown(fault)) {
        return;
    }
    if (fault == UpstreamFault::TimedOut) {
        health.ownTimeoutAt = now;
        if (!addTimeout(health, now)) {
            return;
        }
    }
    // A single lost connection may be due to the request itself; an unreachable upstream isn't.
    health.consecutiveDownFaults += 1;
    if (fault == UpstreamFault::ConnectionLost && health.consecutiveDownFaults < 2) {
        return;
    }
    health.consecutiveConnectFailures =
        fault == UpstreamFault::Unreachable ? health.consecutiveConnectFailures + 1 : 0;
    const std::uint32_t doublings = std::min(health.consecutiveDownFaults - 1, maxDoublings);
    const Milliseconds span =
        std::min<Milliseconds>(minEjectionTime * (1 << doublings), maxEjectionTime);
    health.ejectedUntil = std::max(health.ejectedUntil, now + span);
    health.ownEjectedUntil = health.ejectedUntil;
    if (fault == UpstreamFault::Unreachable) {
        health.unreachableUntil = now + span;
    }
}

void recordSuccess(UpstreamHealth &health, Duration extraDelay, TimePoint now)
{
    decay(health, now);
    health.consecutiveDownFaults = 0;
    health.timeoutScore = 0.0;
    health.consecutiveConnectFailures = 0;
    health.ejectedUntil = std::min(health.ejectedUntil, now);
    health.ownEjectedUntil = std::min(health.ownEjectedUntil, now);
    addOutcome(health, 0.0, 0.0);
    const double extra =
        std::max(0.0, std::chrono::duration<double, std::milli>(extraDelay).count());
    health.extraDelay += delayWeight * (extra - health.extraDelay);
}

bool isNewTimeout(const UpstreamHealth &health, TimePoint since, TimePoint now)
{
    return health.ownTimeoutAt != TimePoint{} && health.ownTimeoutAt >= since
           && now - health.ownTimeoutAt <= 2 * timeoutScoreHalfLife;
}

void recordPeerTimeout(UpstreamHealth &health, TimePoint now)
{
    if (addTimeout(health, now)) {
        health.ejectedUntil = std::max(health.ejectedUntil, now + minEjectionTime);
    }
}

void recordPeerEjection(UpstreamHealth &health, TimePoint until, TimePoint now)
{
    health.ejectedUntil = std::max(health.ejectedUntil, std::min(until, now + maxEjectionTime));
}

void recordDataCentreUnreachable(UpstreamHealth &health, TimePoint until) noexcept
{
    health.consecutiveConnectFailures = std::max(health.consecutiveConnectFailures, 1U);
    health.unreachableUntil = std::max(health.unreachableUntil, until);
}

bool isEjected(const UpstreamHealth &health, TimePoint now) noexcept
{
    return now < health.ejectedUntil;
}

std::uint32_t connectFailureCount(const UpstreamHealth &health, TimePoint now) noexcept
{
    return now < health.unreachableUntil ? health.consecutiveConnectFailures : 0;
}

double failureRateOf(const UpstreamHealth &health, TimePoint now) noexcept
{
    return health.failureRate * decayFactor(health.updatedAt, now);
}

double unservedRateOf(const UpstreamHealth &health, TimePoint now) noexcept
{
    return (health.failureRate + health.rejectionRate) * decayFactor(health.updatedAt, now);
}

double extraDelayOf(const UpstreamHealth &health, TimePoint now) noexcept
{
    return health.extraDelay * decayFactor(health.updatedAt, now);
}

} // namespace plantainswitch
