#include "plantainswitch/upstreams/retrybudget.h"

#include <algorithm>

namespace plantainswitch {

void RetryBudget::deposit()
{
    const RankedLock lock(this->mutex);
    this->tokens =
        std::min(this->settings.maxTokens, this->tokens + this->settings.depositPerRequest);
}

bool RetryBudget::tryWithdraw()
{
    const RankedLock lock(this->mutex);
    if (this->tokens < 1.0) {
        return false;
    }
    this->tokens -= 1.0;
    return true;
}

} // namespace plantainswitch
