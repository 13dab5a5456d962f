#pragma once

#include <map>
#include <string>

#include "plantainswitch/base/clock.h"
#include "plantainswitch/routing/leastsquares.h"
#include "plantainswitch/routing/serviceperformance.h"

namespace plantainswitch {

/// How long an upstream took to the first byte of an answer, and what it had to do for it.
struct FirstByteSample
{
    double prefilledTokens = 0.0;
    double transferredTokens = 0.0;
    double running = 0.0;
    Duration delay{0};
};

/// Age at which another router's report no longer counts.
inline constexpr Seconds performanceReportLifetime{30};

/// Estimates the figures of one service from the answers that this router sees and from the
/// reports of the other routers. Time to first token is fitted by recursive least squares with
/// asymmetric weights (expectile regression): answers that waited in a queue lie above the line and
/// count little, since queueing is accounted for apart.
class ServiceEstimator
{
public:
    ServiceEstimator();

    void recordFirstByte(const FirstByteSample &sample);
    /// Takes into account for how long a request held its slot.
    void recordSlotHold(Duration held);
    /// Takes the estimate of another router into account, which replaces its last one.
    void applyReport(const std::string &router, const PerformanceReport &report, TimePoint now);

    /// \returns this router's own estimate.
    [[nodiscard]] PerformanceReport ownReport() const;
    /// \returns the mean over the routers' estimates, weighted by their samples.
    [[nodiscard]] ServicePerformance performance(TimePoint now) const;
    /// \returns the mean distance of the last answers from what was expected, in milliseconds.
    [[nodiscard]] double meanError() const noexcept { return this->error; }

private:
    struct ReceivedReport
    {
        PerformanceReport report;
        TimePoint when;
    };

    void recordPrefill(const FirstByteSample &sample, double delay);
    void recordTransfer(const FirstByteSample &sample, double delay);

    /// Time to the first token: constant, thousands of prefilled tokens, running requests.
    RecursiveLeastSquares<3> prefill;
    /// What a transfer adds: constant, thousands of transferred tokens.
    RecursiveLeastSquares<2> transfer;
    double slotHoldTime;
    double tokensPerRequest;
    double prefillSamples = 0.0;
    double transferSamples = 0.0;
    double slotHoldSamples = 0.0;
    double error = 0.0;
    std::map<std::string, ReceivedReport> received;
};

} // namespace plantainswitch
