#include "plantainswitch/routing/coldstart.h"

#include <algorithm>

namespace plantainswitch {

PermitLimits permitLimitsOf(const ColdStart &coldStart,
                            const ColdStartTolerance &tolerance) noexcept
{
    constexpr double coordinators = 2.0;
    if (coldStart.requestsPerSecond <= 0.0) {
        return {};
    }
    const double bound = coldStart.requestsPerSecond * tolerance.factor + tolerance.margin;
    PermitLimits limits;
    limits.cold = static_cast<std::uint32_t>(
        std::max(1.0, std::min(coldStart.requestsPerSecond, bound / coordinators)));
    limits.warm = static_cast<std::uint32_t>(std::max(1.0, bound));
    return limits;
}

void PermitWindow::dropExpired(TimePoint now)
{
    while (!this->taken.empty() && now - this->taken.front() >= permitWindow) {
        this->taken.pop_front();
    }
}

bool PermitWindow::tryTake(std::uint32_t limit, TimePoint now)
{
    this->dropExpired(now);
    if (this->taken.size() >= limit) {
        return false;
    }
    this->taken.push_back(now);
    return true;
}

Milliseconds PermitWindow::waitFor(std::uint32_t limit, TimePoint now) const
{
    constexpr Milliseconds minWait{1};
    if (this->taken.size() < limit || limit == 0) {
        return minWait;
    }
    const TimePoint freedAt = this->taken[this->taken.size() - limit] + permitWindow;
    return std::max(minWait, std::chrono::ceil<Milliseconds>(freedAt - now));
}

void PermitWindow::recordDemand(TimePoint now)
{
    if (now - this->demandSince >= permitWindow) {
        this->lastDemand = now - this->demandSince < 2 * permitWindow ? this->currentDemand : 0;
        this->currentDemand = 0;
        this->demandSince = now;
    }
    this->currentDemand += 1;
}

std::uint32_t PermitWindow::previousDemand(TimePoint now) const noexcept
{
    return now - this->demandSince < 2 * permitWindow ? this->lastDemand : 0;
}

void ColdState::applyStatement(Milliseconds remaining, TimePoint now) noexcept
{
    this->statedUntil = now + remaining;
}

void ColdState::presume(Milliseconds duration, TimePoint now) noexcept
{
    this->presumedUntil = std::max(this->presumedUntil, TimePoint(now + duration));
}

void ColdState::recordDown(Milliseconds coldDuration, TimePoint now) noexcept
{
    this->isDown = true;
    this->presume(coldDuration, now);
}

bool ColdState::recordResponse(Milliseconds coldDuration, TimePoint now) noexcept
{
    if (!this->isDown) {
        return false;
    }
    this->isDown = false;
    this->presume(coldDuration, now);
    return true;
}

Milliseconds ColdState::remaining(TimePoint now) const noexcept
{
    const TimePoint until = std::max(this->statedUntil, this->presumedUntil);
    return until > now ? std::chrono::ceil<Milliseconds>(until - now) : Milliseconds{0};
}

} // namespace plantainswitch
