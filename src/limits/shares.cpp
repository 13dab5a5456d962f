#include "plantainswitch/limits/shares.h"

#include <algorithm>
#include <cmath>

namespace plantainswitch {

namespace {

constexpr int longestRetrySeconds = 60;
/// Weight of the latest period in the smoothed rate.
constexpr double smoothing = 0.5;
/// Fraction of its share above which a router reports at once instead of at half the lease.
constexpr double shortShare = 0.7;
/// Multiple of the wanted rate below which a share counts as scarce: others may want it.
constexpr double ampleShare = 2.0;
/// Maximum allocation of a router as a multiple of what it wants, unless its even part is more.
/// Otherwise the first to report would get everything, and the others nothing until it reports
/// again.
constexpr double mostShare = 4.0;
/// Fraction of the reported rate below which a scarce share is returned early.
constexpr double fallenRate = 0.5;
/// Smaller shares are left to expire; returning them costs more than it gains.
constexpr double worthGivingBack = 1.0;

double secondsOf(Duration duration) noexcept
{
    return std::chrono::duration<double>(duration).count();
}

bool hasShare(const LocalLimit &local, TimePoint now) noexcept
{
    return local.share.has_value() && now < local.shareExpiresAt;
}

double evenPart(double limit, const FleetSize &fleet, const ShareSettings &settings) noexcept
{
    return limit * settings.reserveFraction
           / static_cast<double>(std::max<std::size_t>(fleet.known, 1));
}

/// The limit of this owner's part of the fleet.
double limitInSight(double limit, const FleetSize &fleet) noexcept
{
    const auto known = static_cast<double>(std::max<std::size_t>(fleet.known, 1));
    return limit * std::min(1.0, static_cast<double>(fleet.active) / known);
}

void refill(LocalLimit &local, double rate, const ShareSettings &settings, TimePoint now)
{
    const double room = std::max(settings.minBurst, rate * settings.burstSeconds);
    if (!local.refilledAt) {
        local.tokens = settings.minBurst;
    } else {
        local.tokens += rate * secondsOf(now - *local.refilledAt);
    }
    local.tokens = std::min(local.tokens, room);
    local.refilledAt = now;
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
    std::erase_if(owned.shares, [now](const auto &item) { return now >= item.second.expiresAt; });
}

/// Inputs of the division of one quantity: the rate or the number in flight.
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
    const double floors = shared * settings.evenFraction;
    const double each = floors / static_cast<double>(division.reporters);
    const double portion = division.allWanted > 0 ? division.wanted / division.allWanted : 1.0;
    const double most =
        std::max(limit / static_cast<double>(std::max<std::size_t>(fleet.active, 1)),
                 mostShare * division.wanted);
    const double target = std::min(most, each + (shared - floors) * portion);
    return std::clamp(target, 0.0, std::max(0.0, shared - division.othersOut));
}

} // namespace

double allowedRate(const LocalLimit &local, const WorkspaceLimit &limit, const FleetSize &fleet,
                   const ShareSettings &settings, TimePoint now)
{
    if (hasShare(local, now)) {
        return std::min(local.share->rate, static_cast<double>(limit.requestsPerSecond));
    }
    return evenPart(limit.requestsPerSecond, fleet, settings);
}

std::uint32_t allowedInFlight(const LocalLimit &local, const WorkspaceLimit &limit,
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
    ++local.arrivals;
    local.lastUsed = now;
    if (limit.maxInFlight != 0
        && local.inFlight >= allowedInFlight(local, limit, fleet, settings, now)) {
        ++local.refusedInFlight;
        return LimitRefusal{true, 1};
    }
    if (limit.requestsPerSecond != 0) {
        const double rate = allowedRate(local, limit, fleet, settings, now);
        refill(local, rate, settings, now);
        if (local.tokens < 1.0) {
            return LimitRefusal{false, retryAfter(local.tokens, rate)};
        }
        local.tokens -= 1.0;
    }
    ++local.inFlight;
    return std::nullopt;
}

void releaseWithinLimit(LocalLimit &local) noexcept
{
    if (local.inFlight > 0) {
        --local.inFlight;
    }
}

std::optional<LimitUse> dueReport(LocalLimit &local, WorkspaceId workspace, std::uint32_t sequence,
                                  const WorkspaceLimit &limit, const FleetSize &fleet,
                                  const ShareSettings &settings, TimePoint now)
{
    const Duration since = local.reportedAt ? now - *local.reportedAt : settings.reportPeriod;
    if (since < settings.reportPeriod) {
        return std::nullopt;
    }
    const double arrivals = local.arrivals / std::max(secondsOf(since), 1e-3);
    double wanted =
        local.reportedAt ? smoothing * arrivals + (1 - smoothing) * local.rateWanted : arrivals;
    const std::uint32_t inFlightWanted = local.inFlight + local.refusedInFlight;
    const bool held = hasShare(local, now);
    const bool shortRate =
        held && limit.requestsPerSecond != 0
        && arrivals > shortShare * allowedRate(local, limit, fleet, settings, now);
    const bool shortInFlight =
        limit.maxInFlight != 0
        && inFlightWanted > shortShare * allowedInFlight(local, limit, fleet, settings, now);
    const bool active = local.arrivals > 0 || local.inFlight > 0;
    const bool renew = held && active && now + settings.leaseDuration / 2 >= local.shareExpiresAt;
    const bool first = !held && active && limit.requestsPerSecond != 0 && local.tokens < 1.0;
    const bool fallen = held && local.share->rate > worthGivingBack
                        && local.share->rate < ampleShare * local.rateWanted
                        && arrivals < fallenRate * local.rateWanted;
    const bool confirm = held && local.rateReported - local.share->rate > worthGivingBack;
    if (!first && !renew && !shortRate && !shortInFlight && !fallen && !confirm) {
        return std::nullopt;
    }
    wanted = fallen ? arrivals : wanted;
    LimitUse use{workspace, wanted, inFlightWanted, 0, 0};
    if (held) {
        use.rateHeld = local.share->rate;
        use.inFlightHeld = local.share->inFlight;
    }
    local.rateWanted = wanted;
    local.rateReported = use.rateHeld;
    local.arrivals = 0;
    local.refusedInFlight = 0;
    local.reportedAt = now;
    local.reportSequence = sequence;
    return use;
}

bool applyShare(LocalLimit &local, const LimitShare &share, std::uint32_t sequence,
                const ShareSettings &settings, TimePoint now)
{
    if (!local.reportedAt || local.reportSequence != sequence
        || now >= *local.reportedAt + settings.leaseDuration) {
        return false;
    }
    local.share = share;
    // Counted from the report: the owner counts from its later arrival, so its expiry comes last.
    local.shareExpiresAt = *local.reportedAt + settings.leaseDuration;
    return true;
}

std::optional<LimitShare> allocateShare(OwnedLimit &owned, const WorkspaceLimit &limit,
                                        std::uint64_t router, const LimitUse &use,
                                        std::uint32_t sequence, const FleetSize &fleet,
                                        const ShareSettings &settings, TimePoint now)
{
    // An owner that got no report for a lease may have been replaced in between.
    if (!owned.ownerSince || now - owned.lastReportAt > settings.leaseDuration) {
        owned.ownerSince = now;
    }
    owned.lastReportAt = now;
    forgetLapsed(owned, now);
    GrantedShare &part = owned.shares[router];
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
    for (const auto &[other, each] : owned.shares) {
        rate.allWanted += each.use.rateWanted;
        inFlight.allWanted += each.use.inFlightWanted;
        if (other != router) {
            rate.othersOut += each.grantedRate;
            inFlight.othersOut += each.grantedInFlight;
        }
    }
    rate.reporters = inFlight.reporters = owned.shares.size();
    const bool learning = fleet.changedAt && now - *fleet.changedAt < settings.leaseDuration
                          && now - *owned.ownerSince < settings.leaseDuration;
    LimitShare share{use.workspace, partOf(rate, fleet, settings, learning),
                     static_cast<std::uint32_t>(partOf(inFlight, fleet, settings, learning))};
    part.sequence = sequence;
    part.grantedRate = std::max(use.rateHeld, share.rate);
    part.grantedInFlight = std::max(use.inFlightHeld, share.inFlight);
    part.expiresAt = now + settings.leaseDuration;
    return share;
}

void updateKnownRouters(KnownRouters &known, std::size_t active, TimePoint now) noexcept
{
    if (active >= known.count || now - known.lastSeen > knownRoutersRetention) {
        known.count = std::max<std::size_t>(active, 1);
        known.lastSeen = now;
    }
}

} // namespace plantainswitch
