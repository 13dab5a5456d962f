#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "plantainswitch/base/clock.h"

namespace plantainswitch {

/// The bound on repeats that all routers keep together, for each service.
struct FleetRetryLimit
{
    /// Repeats allowed for each request.
    double ratio = 0.2;
    /// Repeats allowed besides, in each window, by all routers together.
    double margin = 50.0;
    Seconds window{10};
    /// Part of the limit that is used; the rest is for what other routers count differently when
    /// members come and go.
    double usableShare = 0.7;
};

/// Repeats that one router may still send, by service. Each router earns by its own requests and
/// holds its part of the margin, so that the sum holds without asking anybody.
class FleetRetryBudget
{
public:
    explicit FleetRetryBudget(FleetRetryLimit limit = {})
        : limit(limit)
    {}

    /// Earns a request's share at \a service.
    void deposit(const std::string &service, std::uint32_t routers, TimePoint now);
    /// Takes one repeat. \returns whether there was one.
    [[nodiscard]] bool tryWithdraw(const std::string &service, std::uint32_t routers,
                                   TimePoint now);
    /// \returns what is left for \a service.
    [[nodiscard]] double remaining(const std::string &service) const;

private:
    struct Account
    {
        double tokens = 0.0;
        TimePoint refilledAt;
    };

    Account &refill(const std::string &service, std::uint32_t routers, TimePoint now);

    FleetRetryLimit limit;
    std::unordered_map<std::string, Account> accounts;
};

} // namespace plantainswitch
