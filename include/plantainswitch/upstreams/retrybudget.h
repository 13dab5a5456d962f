#pragma once

#include "plantainswitch/base/lockorder.h"

namespace plantainswitch {

/// Retries as a share of requests: when most upstreams fail, retries of all requests would
/// multiply the load on those that are left.
struct RetryBudgetSettings
{
    double depositPerRequest = 0.1;
    /// Retries that may follow each other after a quiet time.
    double maxTokens = 50.0;
};

/// The retries that a router may still make.
class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetSettings settings = {})
        : settings(settings)
        , tokens(settings.maxTokens)
    {}

    /// Earns a request's share.
    void deposit();
    /// Takes one retry. \returns whether there was one.
    [[nodiscard]] bool tryWithdraw();

private:
    RankedMutex mutex{LockRank::Suspects};
    RetryBudgetSettings settings;
    double tokens;
};

} // namespace plantainswitch
