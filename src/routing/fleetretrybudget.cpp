#include "plantainswitch/routing/fleetretrybudget.h"

#include <algorithm>

namespace plantainswitch {

FleetRetryBudget::Account &FleetRetryBudget::refill(const std::string &service,
                                                    std::uint32_t routers, TimePoint now)
{
    const double share =
        this->limit.usableShare * this->limit.margin / std::max<std::uint32_t>(routers, 1);
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

bool FleetRetryBudget::tryWithdraw(const std::string &service, std::uint32_t routers, TimePoint now)
{
    Account &account = this->refill(service, routers, now);
    if (account.tokens < 1.0) {
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
