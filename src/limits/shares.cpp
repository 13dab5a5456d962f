#include "plantainswitch/limits/shares.h"

#include <algorithm>
#include <cmath>

namespace plantainswitch {

namespace {

constexpr int maxRetrySeconds = 60;
/// Weight of the latest period in the smoothed rate.
constexpr double rateSmoothing = 0.5;
/// Fraction of its share above which a router reports at once instead of at half the lease.
constexpr double earlyReportFraction = 0.7;
/// Multiple of the wanted rate below which a share counts as scarce: others may want it.
constexpr double scarceShareFactor = 2.0;
/// Maximum allocation of a router as a multiple of what it wants, unless its even part is more.
/// Otherwise the first to report would get everything, and the others nothing until it reports
/// again.
constexpr double maxShareFactor = 4.0;
/// Fraction of the reported rate below which a scarce share is returned early.
constexpr double earlyReturnFraction = 0.5;
/// Smaller shares are left to expire; returning them costs more than it gains.
constexpr double minReturnedRate = 1.0;

double secondsOf(Duration duration) noexcept
{
    return std::chrono::duration<double>(duration).count();
}

bool hasShare(const LocalLimit &local, TimePoint now) noexcept
{
    return local.share.has_value() && now < local.shareExpiresAt;
}

double evenShare(double limit, const FleetSize &fleet, const ShareSettings &settings) noexcept
{
    return limit * settings.reserveFraction
           / static_cast<double>(std::max<std::size_t>(fleet.known, 1));
}

/// The limit of this owner's part of the fleet.
double limitOfVisibleFleet(double limit, const FleetSize &fleet) noexcept
{
    const auto known = static_cast<double>(std::max<std::size_t>(fleet.known, 1));
    return limit * std::min(1.0, static_cast<double>(fleet.active) / known);
}

void refill(LocalLimit &local, double rate, const ShareSettings &settings, TimePoint now)
{
    const double capacity = std::max(settings.minBurst, rate * settings.burstSeconds);
    if (!local.refilledAt) {
        local.tokens = settings.minBurst;
    } else {
        local.tokens += rate * secondsOf(now - *local.refilledAt);
    }
    local.tokens = std::min(local.tokens, capacity);
    local.refilledAt = now;
}

int retryAfter(double tokens, double rate) noexcept
{
    if (rate <= 0) {
        return maxRetrySeconds;
    }
    const double wait = std::ceil((1.0 - tokens) / rate);
    return static_cast<int>(std::clamp(wait, 1.0, double{maxRetrySeconds}));
}

void removeExpired(OwnedLimit &owned, TimePoint now)
{
    std::erase_if(owned.shares, [now](const auto &item) { return now >= item.second.expiresAt; });
}

/// Inputs of the division of one quantity: the rate or the number in flight.
struct DivisionInput
{
    double limit = 0;
    double wanted = 0;
    double held = 0;
    double totalWanted = 0;
    double othersGranted = 0;
    std::size_t reporters = 1;
};

double allocationOf(const DivisionInput &division, const FleetSize &fleet,
                    const ShareSettings &settings, bool isLearning)
{
    const double limit = limitOfVisibleFleet(division.limit, fleet);
    const double even = evenShare(division.limit, fleet, settings);
    if (isLearning) {
        return std::max(division.held, even);
    }
    const std::size_t nonReporters =
        fleet.active > division.reporters ? fleet.active - division.reporters : 0;
    const double available = limit - even * static_cast<double>(nonReporters);
    const double evenPool = available * settings.evenFraction;
    const double each = evenPool / static_cast<double>(division.reporters);
    const double demandFraction =
        division.totalWanted > 0 ? division.wanted / division.totalWanted : 1.0;
    const double maxAllocation =
        std::max(limit / static_cast<double>(std::max<std::size_t>(fleet.active, 1)),
                 maxShareFactor * division.wanted);
    const double target = std::min(maxAllocation, each + (available - evenPool) * demandFraction);
    return std::clamp(target, 0.0, std::max(0.0, available - division.othersGranted));
}

} // namespace

double allowedRate(const LocalLimit &local, const WorkspaceLimit &limit, const FleetSize &fleet,
                   const ShareSettings &settings, TimePoint now)
{
    if (hasShare(local, now)) {
        return std::min(local.share->rate, static_cast<double>(limit.requestsPerSecond));
    }
    return evenShare(limit.requestsPerSecond, fleet, settings);
}

std::uint32_t allowedInFlight(const LocalLimit &local, const WorkspaceLimit &limit,
                              const FleetSize &fleet, const ShareSettings &settings, TimePoint now)
{
    const double granted =
        hasShare(local, now)
            ? static_cast<double>(std::min(local.share->inFlight, limit.maxInFlight))
            : evenShare(limit.maxInFlight, fleet, settings);
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(granted));
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
    const Duration elapsed = local.reportedAt ? now - *local.reportedAt : settings.reportPeriod;
    if (elapsed < settings.reportPeriod) {
        return std::nullopt;
    }
    const double arrivals = local.arrivals / std::max(secondsOf(elapsed), 1e-3);
    double wanted = local.reportedAt
                        ? rateSmoothing * arrivals + (1 - rateSmoothing) * local.rateWanted
                        : arrivals;
    const std::uint32_t inFlightWanted = local.inFlight + local.refusedInFlight;
    const bool held = hasShare(local, now);
    const bool isRateShort =
        held && limit.requestsPerSecond != 0
        && arrivals > earlyReportFraction * allowedRate(local, limit, fleet, settings, now);
    const bool isInFlightShort =
        limit.maxInFlight != 0
        && inFlightWanted
               > earlyReportFraction * allowedInFlight(local, limit, fleet, settings, now);
    const bool isActive = local.arrivals > 0 || local.inFlight > 0;
    const bool mustRenew =
        held && isActive && now + settings.leaseDuration / 2 >= local.shareExpiresAt;
    const bool isFirst = !held && isActive && limit.requestsPerSecond != 0 && local.tokens < 1.0;
    const bool hasFallen = held && local.share->rate > minReturnedRate
                           && local.share->rate < scarceShareFactor * local.rateWanted
                           && arrivals < earlyReturnFraction * local.rateWanted;
    const bool mustConfirm = held && local.rateReported - local.share->rate > minReturnedRate;
    if (!isFirst && !mustRenew && !isRateShort && !isInFlightShort && !hasFallen && !mustConfirm) {
        return std::nullopt;
    }
    wanted = hasFallen ? arrivals : wanted;
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
    removeExpired(owned, now);
    GrantedShare &granted = owned.shares[router];
    if (granted.sequence != 0 && sequence <= granted.sequence) {
        return std::nullopt;
    }
    DivisionInput rate{
        static_cast<double>(limit.requestsPerSecond), use.rateWanted, use.rateHeld, 0, 0, 0};
    DivisionInput inFlight{static_cast<double>(limit.maxInFlight),
                           static_cast<double>(use.inFlightWanted),
                           static_cast<double>(use.inFlightHeld),
                           0,
                           0,
                           0};
    granted.use = use;
    for (const auto &[other, each] : owned.shares) {
        rate.totalWanted += each.use.rateWanted;
        inFlight.totalWanted += each.use.inFlightWanted;
        if (other != router) {
            rate.othersGranted += each.grantedRate;
            inFlight.othersGranted += each.grantedInFlight;
        }
    }
    rate.reporters = inFlight.reporters = owned.shares.size();
    const bool isLearning = fleet.changedAt && now - *fleet.changedAt < settings.leaseDuration
                            && now - *owned.ownerSince < settings.leaseDuration;
    LimitShare share{
        use.workspace, allocationOf(rate, fleet, settings, isLearning),
        static_cast<std::uint32_t>(allocationOf(inFlight, fleet, settings, isLearning))};
    granted.sequence = sequence;
    granted.grantedRate = std::max(use.rateHeld, share.rate);
    granted.grantedInFlight = std::max(use.inFlightHeld, share.inFlight);
    granted.expiresAt = now + settings.leaseDuration;
    return share;
}

void updateKnownRouters(KnownRouters &known, std::size_t isActive, TimePoint now) noexcept
{
    if (isActive >= known.count || now - known.lastSeen > knownRoutersRetention) {
        known.count = std::max<std::size_t>(isActive, 1);
        known.lastSeen = now;
    }
}

} // namespace plantainswitch
