#include "plantainswitch/upstreams/retrybudget.h"

#include <algorithm>

namespace plantainswitch {

void RetryBudget::earn()
{
    const RankedLock lock(this->mutex);
    this->tokens = std::min(this->settings.most, this->tokens + this->settings.perRequest);
}

bool RetryBudget::spend()
{
    const RankedLock lock(this->mutex);
    if (this->tokens < 1.0) {
        return false;
    }
    this->tokens -= 1.0;
    return true;
}

} // namespace plantainswitch
