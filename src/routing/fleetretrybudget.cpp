#include "plantainswitch/routing/fleetretrybudget.h"

#include <algorithm>

namespace plantainswitch {

namespace {

/// Part of a router's share of the margin that is not spent on attempts which may prove needless.
constexpr double reservedShare = 0.25;

} // namespace

double FleetRetryBudget::shareOf(std::uint32_t routers) const noexcept
{
    return this->limit.usableShare * this->limit.margin / std::max<std::uint32_t>(routers, 1);
}

FleetRetryBudget::Account &FleetRetryBudget::refill(const std::string &service,
                                                    std::uint32_t routers, TimePoint now)
{
    const double share = this->shareOf(routers);
    const auto [found, isNew] = this->accounts.try_emplace(service);
    Account &account = found->second;
    if (isNew) {
        // Half of the share: a window may contain both the tokens saved before it and those earned
        // in it.
        account = {share / 2.0, now};
        return account;
    }
    const double windows = std::chrono::duration<double>(now - account.refilledAt)
                           / std::chrono::duration<double>(this->limit.window);
    account.tokens = std::min(share / 2.0 + 1.0, account.tokens + windows * share / 2.0);
    account.refilledAt = now;
    return account;
}

void FleetRetryBudget::deposit(const std::string &service, std::uint32_t routers, TimePoint now)
{
    Account &account = this->refill(service, routers, now);
    account.tokens += this->limit.usableShare * this->limit.ratio;
}

bool FleetRetryBudget::tryWithdraw(const std::string &service, std::uint32_t routers, TimePoint now,
                                   RetryNeed need)
{
    Account &account = this->refill(service, routers, now);
    const double kept =
        need == RetryNeed::Precaution ? reservedShare * this->shareOf(routers) : 0.0;
    if (account.tokens < 1.0 + kept) {
        return false;
    }
    account.tokens -= 1.0;
    return true;
}

double FleetRetryBudget::remaining(const std::string &service) const
{
    const auto found = this->accounts.find(service);
    return found == this->accounts.end() ? 0.0 : found->second.tokens;
}

} // namespace plantainswitch
