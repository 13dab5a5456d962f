#include "plantainswitch/routing/serviceestimator.h"

#include <algorithm>
#include <cmath>

namespace plantainswitch {

namespace {

constexpr double tokenUnit = 1000.0;
/// Factor by which older samples decay with each new one of full weight, which makes the effective
/// window about 400 responses.
constexpr double forgetting = 0.995;
/// Sample count beyond which a router's estimate gets no more weight.
constexpr double maxSamples = 200.0;
/// Weight of the prior among the routers' estimates, in samples.
constexpr double priorSamples = 4.0;
/// Standard deviation of one time to first token, in milliseconds.
constexpr double sampleNoise = 15.0;
/// Weights of samples above and below the line; their ratio gives an expectile of 0.2.
constexpr double weightAbove = 0.2;
constexpr double weightBelow = 0.8;
/// Distance from the line, as a share of the expected delay, beyond which the influence of a sample
/// no longer grows (Huber loss).
constexpr double outlierShare = 0.5;
/// The same for transfers, whose estimate includes the wait for a link.
constexpr double transferOutlierShare = 3.0;
/// Transfers of fewer tokens don't contribute to the estimated rate.
constexpr double minTransferSample = 256.0;
/// Maximum factor between estimates and the prior: the slowest engines and links in use are about
/// 30 times slower than the fastest.
constexpr double maxDeviation = 30.0;
/// Weight of a new value in an exponential moving average.
constexpr double meanWeight = 0.05;
/// Maximum number of routers whose reports are kept.
constexpr std::size_t maxReports = 64;

double millisecondsOf(Duration span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

/// \returns \a observed, limited to the distance from \a expected at which a sample's influence
/// stops growing.
double limitOutlier(double expected, double observed, double share)
{
    const double limit = std::max(sampleNoise, share * expected);
    return std::clamp(observed, expected - limit, expected + limit);
}

template<std::size_t N>
void clampAround(RecursiveLeastSquares<N> &fit, std::size_t index, double prior)
{
    fit.clamp(index, prior / maxDeviation, prior * maxDeviation);
}

RecursiveLeastSquares<3> priorPrefill()
{
    const ServicePerformance prior;
    return {{prior.baseDelay, tokenUnit / prior.prefillRate, prior.delayPerRunning},
            {30.0, 20.0, 0.15},
            sampleNoise,
            forgetting};
}

RecursiveLeastSquares<2> priorTransfer()
{
    const ServicePerformance prior;
    return {{prior.transferSetup, tokenUnit / prior.transferRate},
            {5.0, 20.0},
            2.0 * sampleNoise,
            forgetting};
}

/// Weighted geometric mean, which treats a rate and its reciprocal alike.
class LogarithmicMean
{
public:
    void add(double value, double weight)
    {
        if (weight <= 0.0) {
            return;
        }
        this->sum += weight * std::log(value);
        this->weights += weight;
    }
    [[nodiscard]] double value() const { return std::exp(this->sum / this->weights); }

private:
    double sum = 0.0;
    double weights = 0.0;
};

struct FigureMeans
{
    void add(const PerformanceReport &report)
    {
        const ServicePerformance &figures = report.performance;
        this->prefillRate.add(figures.prefillRate, report.prefillSamples);
        this->baseDelay.add(figures.baseDelay, report.prefillSamples);
        this->delayPerRunning.add(figures.delayPerRunning, report.prefillSamples);
        this->transferRate.add(figures.transferRate, report.transferSamples);
        this->transferSetup.add(figures.transferSetup, report.transferSamples);
        this->holdTime.add(figures.slotHoldTime, report.slotHoldSamples);
        this->tokensPerRequest.add(figures.tokensPerRequest, report.prefillSamples);
        this->runTimeBound.add(figures.runTimeBound, report.runSamples);
    }

    [[nodiscard]] ServicePerformance value() const
    {
        return {this->prefillRate.value(),      this->baseDelay.value(),
                this->delayPerRunning.value(),  this->transferRate.value(),
                this->transferSetup.value(),    this->holdTime.value(),
                this->tokensPerRequest.value(), this->runTimeBound.value()};
    }

    LogarithmicMean prefillRate;
    LogarithmicMean baseDelay;
    LogarithmicMean delayPerRunning;
    LogarithmicMean transferRate;
    LogarithmicMean transferSetup;
    LogarithmicMean holdTime;
    LogarithmicMean tokensPerRequest;
    LogarithmicMean runTimeBound;
};

bool isValid(const PerformanceReport &report)
{
    const ServicePerformance &figures = report.performance;
    const auto isPositive = [](double value) { return std::isfinite(value) && value > 0.0; };
    if (!std::isfinite(report.prefillSamples + report.transferSamples + report.slotHoldSamples
                       + report.runSamples)) {
        return false;
    }
    return isPositive(figures.prefillRate) && isPositive(figures.baseDelay)
           && isPositive(figures.delayPerRunning) && isPositive(figures.transferRate)
           && isPositive(figures.transferSetup) && isPositive(figures.slotHoldTime)
           && isPositive(figures.tokensPerRequest) && isPositive(figures.runTimeBound);
}

} // namespace

ServiceEstimator::ServiceEstimator()
    : prefill(priorPrefill())
    , transfer(priorTransfer())
    , slotHoldTime(ServicePerformance{}.slotHoldTime)
    , tokensPerRequest(ServicePerformance{}.tokensPerRequest)
{}

void ServiceEstimator::recordFirstByte(const FirstByteSample &sample)
{
    const double delay = millisecondsOf(sample.delay);
    this->tokensPerRequest +=
        meanWeight * (sample.prefilledTokens + sample.transferredTokens - this->tokensPerRequest);
    this->tokensPerRequest = std::max(1.0, this->tokensPerRequest);
    if (sample.transferredTokens > 0.0) {
        this->recordTransfer(sample, delay);
    } else {
        this->recordPrefill(sample, delay);
    }
}

void ServiceEstimator::recordPrefill(const FirstByteSample &sample, double delay)
{
    this->prefillSamples = std::min(maxSamples, this->prefillSamples + 1.0);
    const std::array features{1.0, sample.prefilledTokens / tokenUnit, sample.running};
    const double expected = this->prefill.predict(features);
    const double error = delay - expected;
    this->error += meanWeight * (std::abs(error) - this->error);
    const double weight = error > 0.0 ? weightAbove : weightBelow;
    this->prefill.update(features, limitOutlier(expected, delay, outlierShare), weight);
    const ServicePerformance prior;
    clampAround(this->prefill, 0, prior.baseDelay);
    clampAround(this->prefill, 1, tokenUnit / prior.prefillRate);
    clampAround(this->prefill, 2, prior.delayPerRunning);
}

void ServiceEstimator::recordTransfer(const FirstByteSample &sample, double delay)
{
    if (sample.transferredTokens < minTransferSample) {
        return;
    }
    this->transferSamples = std::min(maxSamples, this->transferSamples + 1.0);
    const double rest =
        this->prefill.predict({1.0, sample.prefilledTokens / tokenUnit, sample.running});
    const std::array features{1.0, sample.transferredTokens / tokenUnit};
    const double expected = this->transfer.predict(features);
    const double observed = std::max(0.0, delay - rest);
    this->transfer.update(features, limitOutlier(expected, observed, transferOutlierShare), 1.0);
    const ServicePerformance prior;
    clampAround(this->transfer, 0, prior.transferSetup);
    clampAround(this->transfer, 1, tokenUnit / prior.transferRate);
}

void ServiceEstimator::recordSlotHold(Duration held)
{
    const double value = std::max(1.0, millisecondsOf(held));
    this->slotHoldSamples = std::min(maxSamples, this->slotHoldSamples + 1.0);
    this->slotHoldTime +=
        std::max(meanWeight, 1.0 / this->slotHoldSamples) * (value - this->slotHoldTime);
}

void ServiceEstimator::recordRunEnded(Duration time)
{
    this->runSamples = std::min(maxSamples, this->runSamples + 1.0);
    this->runTime.recordEnded(millisecondsOf(time));
}

void ServiceEstimator::recordRunGivenUp(Duration time)
{
    this->runSamples = std::min(maxSamples, this->runSamples + 1.0);
    this->runTime.recordGivenUp(millisecondsOf(time));
}

void ServiceEstimator::applyReport(const std::string &router, const PerformanceReport &report,
                                   TimePoint now)
{
    if (!isValid(report)) {
        return;
    }
    std::erase_if(this->received, [now](const auto &entry) {
        return now - entry.second.when > performanceReportLifetime;
    });
    if (this->received.size() >= maxReports && !this->received.contains(router)) {
        return;
    }
    PerformanceReport bounded = report;
    for (double *samples : {&bounded.prefillSamples, &bounded.transferSamples,
                            &bounded.slotHoldSamples, &bounded.runSamples}) {
        *samples = std::clamp(*samples, 0.0, maxSamples);
    }
    this->received[router] = {bounded, now};
}

PerformanceReport ServiceEstimator::ownReport() const
{
    PerformanceReport report;
    report.prefillSamples = this->prefillSamples;
    report.transferSamples = this->transferSamples;
    report.slotHoldSamples = this->slotHoldSamples;
    report.runSamples = this->runSamples;
    report.performance.baseDelay = this->prefill.coefficient(0);
    report.performance.prefillRate = tokenUnit / this->prefill.coefficient(1);
    report.performance.delayPerRunning = this->prefill.coefficient(2);
    report.performance.transferSetup = this->transfer.coefficient(0);
    report.performance.transferRate = tokenUnit / this->transfer.coefficient(1);
    report.performance.slotHoldTime = this->slotHoldTime;
    report.performance.tokensPerRequest = this->tokensPerRequest;
    report.performance.runTimeBound = this->runTime.upperBound();
    return report;
}

ServicePerformance ServiceEstimator::performance(TimePoint now) const
{
    FigureMeans means;
    means.add({ServicePerformance{}, priorSamples, priorSamples, priorSamples, priorSamples});
    means.add(this->ownReport());
    for (const auto &[router, entry] : this->received) {
        if (now - entry.when <= performanceReportLifetime) {
            means.add(entry.report);
        }
    }
    return means.value();
}

} // namespace plantainswitch
