#include "plantainswitch/routing/health.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace plantainswitch {

namespace {

constexpr std::array faultNames{std::string_view{"unreachable"}, std::string_view{"broken"},
                                std::string_view{"silent"},      std::string_view{"garbage"},
                                std::string_view{"failed"},      std::string_view{"full"}};

/// Doublings after which the avoidance has reached its longest.
constexpr std::uint32_t mostDoublings = 6;

double fadingSince(TimePoint then, TimePoint now) noexcept
{
    if (now <= then) {
        return 1.0;
    }
    const double halfLives =
        std::chrono::duration<double>(now - then) / std::chrono::duration<double>(blameHalfLife);
    return std::exp2(-halfLives);
}

void fade(UpstreamHealth &health, TimePoint now)
{
    const double rest = fadingSince(health.changedAt, now);
    health.failureShare *= rest;
    health.extraDelay *= rest;
    health.changedAt = now;
}

/// Takes one more silence into account. \returns whether they are enough.
bool raiseSuspicion(UpstreamHealth &health, TimePoint now)
{
    const double halfLives = std::chrono::duration<double>(now - health.suspectedAt)
                             / std::chrono::duration<double>(suspicionHalfLife);
    health.suspicion = health.suspicion * std::exp2(-std::max(0.0, halfLives)) + 1.0;
    health.suspectedAt = now;
    return health.suspicion >= silencesForDown;
}

bool saysDown(UpstreamFault fault) noexcept
{
    return fault == UpstreamFault::Unreachable || fault == UpstreamFault::Broken
           || fault == UpstreamFault::Silent;
}

} // namespace

std::string_view nameOf(UpstreamFault fault) noexcept
{
    return faultNames.at(static_cast<std::size_t>(fault));
}

Silence judgeSilence(TimePoint sentAt, TimePoint lastHeard) noexcept
{
    return lastHeard > sentAt ? Silence::Busy : Silence::Dark;
}

void recordFault(UpstreamHealth &health, UpstreamFault fault, TimePoint now)
{
    fade(health, now);
    if (fault != UpstreamFault::Full) {
        health.failureShare += outcomeWeight * (1.0 - health.failureShare);
    }
    if (!saysDown(fault)) {
        return;
    }
    if (fault == UpstreamFault::Silent) {
        health.ownSilenceAt = now;
        if (!raiseSuspicion(health, now)) {
            return;
        }
    }
    // A single broken answer may be that request's own; being out of reach is not.
    health.downInRow += 1;
    if (fault == UpstreamFault::Broken && health.downInRow < 2) {
        return;
    }
    health.unreachableInRow = fault == UpstreamFault::Unreachable ? health.unreachableInRow + 1 : 0;
    const std::uint32_t doublings = std::min(health.downInRow - 1, mostDoublings);
    const Milliseconds span =
        std::min<Milliseconds>(shortestAvoidance * (1 << doublings), longestAvoidance);
    health.avoidUntil = std::max(health.avoidUntil, now + span);
    health.ownAvoidUntil = health.avoidUntil;
    if (fault == UpstreamFault::Unreachable) {
        health.unreachableUntil = now + span;
    }
}

void recordSuccess(UpstreamHealth &health, Duration extraDelay, TimePoint now)
{
    fade(health, now);
    health.downInRow = 0;
    health.suspicion = 0.0;
    health.unreachableInRow = 0;
    health.avoidUntil = std::min(health.avoidUntil, now);
    health.ownAvoidUntil = std::min(health.ownAvoidUntil, now);
    health.failureShare -= outcomeWeight * health.failureShare;
    const double extra =
        std::max(0.0, std::chrono::duration<double, std::milli>(extraDelay).count());
    health.extraDelay += delayWeight * (extra - health.extraDelay);
}

bool isNewTimeout(const UpstreamHealth &health, TimePoint since, TimePoint now)
{
    return health.ownSilenceAt != TimePoint{} && health.ownSilenceAt >= since
           && now - health.ownSilenceAt <= 2 * suspicionHalfLife;
}

void recordPeerSilence(UpstreamHealth &health, TimePoint now)
{
    if (raiseSuspicion(health, now)) {
        health.avoidUntil = std::max(health.avoidUntil, now + shortestAvoidance);
    }
}

void recordPeerAvoidance(UpstreamHealth &health, TimePoint until, TimePoint now)
{
    health.avoidUntil = std::max(health.avoidUntil, std::min(until, now + longestAvoidance));
}

void recordCutOff(UpstreamHealth &health, TimePoint until) noexcept
{
    health.unreachableInRow = std::max(health.unreachableInRow, 1U);
    health.unreachableUntil = std::max(health.unreachableUntil, until);
}

bool isAvoided(const UpstreamHealth &health, TimePoint now) noexcept
{
    return now < health.avoidUntil;
}

std::uint32_t unreachableCount(const UpstreamHealth &health, TimePoint now) noexcept
{
    return now < health.unreachableUntil ? health.unreachableInRow : 0;
}

double failureShareOf(const UpstreamHealth &health, TimePoint now) noexcept
{
    return health.failureShare * fadingSince(health.changedAt, now);
}

double extraDelayOf(const UpstreamHealth &health, TimePoint now) noexcept
{
    return health.extraDelay * fadingSince(health.changedAt, now);
}

} // namespace plantainswitch
