#pragma once

#include <map>
#include <string>

#include "plantainswitch/base/clock.h"
#include "plantainswitch/routing/leastsquares.h"
#include "plantainswitch/routing/runtimeestimate.h"
#include "plantainswitch/routing/serviceperformance.h"

namespace plantainswitch {

/// Time to the first byte of a response, and the work that it included.
struct FirstByteSample
{
    double prefilledTokens = 0.0;
    double transferredTokens = 0.0;
    double running = 0.0;
    Duration delay{0};
};

/// Age at which another router's report expires.
inline constexpr Seconds performanceReportLifetime{30};

/// Estimates the performance of one service's upstreams from the responses that this router sees
/// and from the other routers' reports. Time to first token is fitted by recursive least squares
/// with asymmetric weights (expectile regression): responses that were queued lie above the line
/// and get little weight, because queueing is accounted for separately.
class ServiceEstimator
{
public:
    ServiceEstimator();

    void recordFirstByte(const FirstByteSample &sample);
    /// Records how long a request held its slot.
    void recordSlotHold(Duration held);
    /// Records that a run has ended with a response, or was given up, after \a time.
    void recordRunEnded(Duration time);
    void recordRunGivenUp(Duration time);
    /// Applies another router's estimate, which replaces its previous one.
    void applyReport(const std::string &router, const PerformanceReport &report, TimePoint now);

    /// \returns this router's own estimate.
    [[nodiscard]] PerformanceReport ownReport() const;
    /// \returns the mean of the routers' estimates, weighted by their sample counts.
    [[nodiscard]] ServicePerformance performance(TimePoint now) const;
    /// \returns the mean absolute error of recent predictions of time to first token, in
    /// milliseconds.
    [[nodiscard]] double meanError() const noexcept { return this->error; }

private:
    struct ReceivedReport
    {
        PerformanceReport report;
        TimePoint when;
    };

    void recordPrefill(const FirstByteSample &sample, double delay);
    void recordTransfer(const FirstByteSample &sample, double delay);

    /// Time to first token; features: constant, thousands of prefilled tokens, running requests.
    RecursiveLeastSquares<3> prefill;
    /// Additional time of a transfer; features: constant, thousands of transferred tokens.
    RecursiveLeastSquares<2> transfer;
    RunTimeEstimate runTime;
    double slotHoldTime;
    double tokensPerRequest;
    double prefillSamples = 0.0;
    double transferSamples = 0.0;
    double slotHoldSamples = 0.0;
    double runSamples = 0.0;
    double error = 0.0;
    std::map<std::string, ReceivedReport> received;
};

} // namespace plantainswitch
