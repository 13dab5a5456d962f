#pragma once

#include "plantainswitch/base/lockorder.h"

namespace plantainswitch {

/// Settings of the retry budget. Retries are limited to a share of requests: if most upstreams
/// fail, retries of all requests would multiply the load on the rest.
struct RetryBudgetSettings
{
    double depositPerRequest = 0.1;
    /// Capacity of the bucket: retries that can be made in a burst after a quiet period.
    double maxTokens = 50.0;
};

/// Token bucket for the retries of one router.
class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetSettings settings = {})
        : settings(settings)
        , tokens(settings.maxTokens)
    {}

    /// Adds the tokens for one request.
    void deposit();
    /// Takes the token for one retry. \returns whether there was one.
    [[nodiscard]] bool tryWithdraw();

private:
    RankedMutex mutex{LockRank::Suspects};
    RetryBudgetSettings settings;
    double tokens;
};

} // namespace plantainswitch
