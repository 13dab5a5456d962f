#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "plantainswitch/base/clock.h"

namespace plantainswitch {

/// Limit on the retries of all routers together, for each service.
struct FleetRetryLimit
{
    /// Retries allowed per request.
    double ratio = 0.2;
    /// Retries allowed in addition within each window, by all routers together.
    double margin = 50.0;
    Seconds window{10};
    /// Share of the limit that is used. The rest covers differences between the routers' counts
    /// while members join and leave.
    double usableShare = 0.7;
};

/// What a retry is for.
enum class RetryNeed : std::uint8_t {
    /// The attempt before it has failed.
    Recovery,
    /// The attempt before it may still succeed.
    Precaution,
};

/// Token buckets for the retries of one router, by service. Each router gets tokens for its own
/// requests and holds an equal share of the margin, so that the sum over the fleet stays within the
/// limit without coordination.
class FleetRetryBudget
{
public:
    explicit FleetRetryBudget(FleetRetryLimit limit = {})
        : limit(limit)
    {}

    /// Adds the tokens for one request to \a service.
    /// \param routers number of routers in the fleet
    void deposit(const std::string &service, std::uint32_t routers, TimePoint now);
    /// Takes the token for one retry. A part of the tokens is kept for RetryNeed::Recovery.
    /// \param routers number of routers in the fleet
    /// \returns whether there was one.
    [[nodiscard]] bool tryWithdraw(const std::string &service, std::uint32_t routers, TimePoint now,
                                   RetryNeed need = RetryNeed::Recovery);
    /// \returns the tokens left for \a service.
    [[nodiscard]] double remaining(const std::string &service) const;

private:
    struct Account
    {
        double tokens = 0.0;
        TimePoint refilledAt;
    };

    /// \returns this router's share of the margin.
    [[nodiscard]] double shareOf(std::uint32_t routers) const noexcept;
    Account &refill(const std::string &service, std::uint32_t routers, TimePoint now);

    FleetRetryLimit limit;
    std::unordered_map<std::string, Account> accounts;
};

} // namespace plantainswitch
