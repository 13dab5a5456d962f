#include "plantainswitch/limits/shares.h"

#include <algorithm>
#include <cmath>

namespace plantainswitch {

namespace {

constexpr int longestRetrySeconds = 60;
/// Weight of the latest period in the smoothed rate.
constexpr double smoothing = 0.5;
/// Part of its share above which a router reports at once instead of at half the lease.
constexpr double shortShare = 0.7;

double secondsOf(Duration duration) noexcept
{
    return std::chrono::duration<double>(duration).count();
}

bool hasShare(const LocalLimit &local, TimePoint now) noexcept
{
    return local.share.has_value() && now < local.shareLapses;
}

double evenPart(double limit, const FleetSize &fleet, const ShareSettings &settings) noexcept
{
    return limit * settings.reserve / static_cast<double>(std::max<std::size_t>(fleet.known, 1));
}

/// The limit of this owner's part of the fleet.
double limitInSight(double limit, const FleetSize &fleet) noexcept
{
    const auto known = static_cast<double>(std::max<std::size_t>(fleet.known, 1));
    return limit * std::min(1.0, static_cast<double>(fleet.active) / known);
}

void refill(LocalLimit &local, double rate, const ShareSettings &settings, TimePoint now)
{
    const double room = std::max(1.0, rate * settings.burstSeconds);
    if (!local.filled) {
        local.tokens = 1.0;
    } else {
        local.tokens += rate * secondsOf(now - *local.filled);
    }
    local.tokens = std::min(local.tokens, room);
    local.filled = now;
}

int retryAfter(double tokens, double rate) noexcept
{
    if (rate <= 0) {
        return longestRetrySeconds;
    }
    const double wait = std::ceil((1.0 - tokens) / rate);
    return static_cast<int>(std::clamp(wait, 1.0, double{longestRetrySeconds}));
}

void forgetLapsed(OwnedLimit &owned, TimePoint now)
{
    std::erase_if(owned.parts, [now](const auto &item) { return now >= item.second.lapses; });
}

/// One quantity of a limit as it is divided: the rate or the number in flight.
struct Division
{
    double limit = 0;
    double wanted = 0;
    double held = 0;
    double allWanted = 0;
    double othersOut = 0;
    std::size_t reporters = 1;
};

double partOf(const Division &division, const FleetSize &fleet, const ShareSettings &settings,
              bool learning)
{
    const double limit = limitInSight(division.limit, fleet);
    const double even = evenPart(division.limit, fleet, settings);
    if (learning) {
        return std::max(division.held, even);
    }
    const std::size_t silent =
        fleet.active > division.reporters ? fleet.active - division.reporters : 0;
    const double shared = limit - even * static_cast<double>(silent);
    const double floors = shared * settings.floorPart;
    const double each = floors / static_cast<double>(division.reporters);
    const double portion = division.allWanted > 0 ? division.wanted / division.allWanted : 1.0;
    const double target = each + (shared - floors) * portion;
    return std::clamp(target, 0.0, std::max(0.0, shared - division.othersOut));
}

} // namespace

double rateOf(const LocalLimit &local, const WorkspaceLimit &limit, const FleetSize &fleet,
              const ShareSettings &settings, TimePoint now)
{
    if (hasShare(local, now)) {
        return std::min(local.share->rate, static_cast<double>(limit.requestsPerSecond));
    }
    return evenPart(limit.requestsPerSecond, fleet, settings);
}

std::uint32_t inFlightOf(const LocalLimit &local, const WorkspaceLimit &limit,
                         const FleetSize &fleet, const ShareSettings &settings, TimePoint now)
{
    const double part =
        hasShare(local, now)
            ? static_cast<double>(std::min(local.share->inFlight, limit.maxInFlight))
            : evenPart(limit.maxInFlight, fleet, settings);
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(part));
}

std::optional<LimitRefusal> admitWithinLimit(LocalLimit &local, const WorkspaceLimit &limit,
                                             const FleetSize &fleet, const ShareSettings &settings,
                                             TimePoint now)
{
    ++local.arrived;
    local.used = now;
    if (limit.maxInFlight != 0
        && local.inFlight >= inFlightOf(local, limit, fleet, settings, now)) {
        ++local.refusedInFlight;
        return LimitRefusal{true, 1};
    }
    if (limit.requestsPerSecond != 0) {
        const double rate = rateOf(local, limit, fleet, settings, now);
        refill(local, rate, settings, now);
        if (local.tokens < 1.0) {
            return LimitRefusal{false, retryAfter(local.tokens, rate)};
        }
        local.tokens -= 1.0;
    }
    ++local.inFlight;
    return std::nullopt;
}

void endWithinLimit(LocalLimit &local) noexcept
{
    if (local.inFlight > 0) {
        --local.inFlight;
    }
}

std::optional<LimitUse> dueUse(LocalLimit &local, WorkspaceId workspace, std::uint32_t sequence,
                               const WorkspaceLimit &limit, const FleetSize &fleet,
                               const ShareSettings &settings, TimePoint now)
{
    const Duration since = local.reported ? now - *local.reported : settings.reportPeriod;
    if (since < settings.reportPeriod) {
        return std::nullopt;
    }
    const double arrivals = local.arrived / std::max(secondsOf(since), 1e-3);
    const double wanted =
        local.reported ? smoothing * arrivals + (1 - smoothing) * local.rateWanted : arrivals;
    const std::uint32_t inFlightWanted = local.inFlight + local.refusedInFlight;
    const bool held = hasShare(local, now);
    const bool shortRate = limit.requestsPerSecond != 0
                           && arrivals > shortShare * rateOf(local, limit, fleet, settings, now);
    const bool shortInFlight =
        limit.maxInFlight != 0
        && inFlightWanted > shortShare * inFlightOf(local, limit, fleet, settings, now);
    const bool active = local.arrived > 0 || local.inFlight > 0;
    const bool renew = held && active && now + settings.lease / 2 >= local.shareLapses;
    const bool first = !held && active;
    if (!first && !renew && !shortRate && !shortInFlight) {
        return std::nullopt;
    }
    LimitUse use{workspace, wanted, inFlightWanted, 0, 0};
    if (held) {
        use.rateHeld = local.share->rate;
        use.inFlightHeld = local.share->inFlight;
    }
    local.rateWanted = wanted;
    local.arrived = 0;
    local.refusedInFlight = 0;
    local.reported = now;
    local.reportedIn = sequence;
    return use;
}

bool takeShare(LocalLimit &local, const LimitShare &share, std::uint32_t sequence,
               const ShareSettings &settings, TimePoint now)
{
    if (!local.reported || local.reportedIn != sequence
        || now >= *local.reported + settings.lease) {
        return false;
    }
    local.share = share;
    // Counted from the report: the owner counts from its later arrival and so lets go last.
    local.shareLapses = *local.reported + settings.lease;
    return true;
}

std::optional<LimitShare> divideLimit(OwnedLimit &owned, const WorkspaceLimit &limit,
                                      std::uint64_t router, const LimitUse &use,
                                      std::uint32_t sequence, const FleetSize &fleet,
                                      const ShareSettings &settings, TimePoint now)
{
    // An owner that heard nothing for a lease may have been replaced in between.
    if (!owned.since || now - owned.heard > settings.lease) {
        owned.since = now;
    }
    owned.heard = now;
    forgetLapsed(owned, now);
    OwnedPart &part = owned.parts[router];
    if (part.sequence != 0 && sequence <= part.sequence) {
        return std::nullopt;
    }
    Division rate{
        static_cast<double>(limit.requestsPerSecond), use.rateWanted, use.rateHeld, 0, 0, 0};
    Division inFlight{static_cast<double>(limit.maxInFlight),
                      static_cast<double>(use.inFlightWanted),
                      static_cast<double>(use.inFlightHeld),
                      0,
                      0,
                      0};
    part.use = use;
    for (const auto &[other, each] : owned.parts) {
        rate.allWanted += each.use.rateWanted;
        inFlight.allWanted += each.use.inFlightWanted;
        if (other != router) {
            rate.othersOut += each.rateOut;
            inFlight.othersOut += each.inFlightOut;
        }
    }
    rate.reporters = inFlight.reporters = owned.parts.size();
    const bool learning = now - *owned.since < settings.lease;
    LimitShare share{use.workspace, partOf(rate, fleet, settings, learning),
                     static_cast<std::uint32_t>(partOf(inFlight, fleet, settings, learning))};
    part.sequence = sequence;
    part.rateOut = std::max(use.rateHeld, share.rate);
    part.inFlightOut = std::max(use.inFlightHeld, share.inFlight);
    part.lapses = now + settings.lease;
    return share;
}

void countRouters(KnownRouters &known, std::size_t active, TimePoint now) noexcept
{
    if (active >= known.count || now - known.seen > knownRoutersMemory) {
        known.count = std::max<std::size_t>(active, 1);
        known.seen = now;
    }
}

} // namespace plantainswitch
