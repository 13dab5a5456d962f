#include "plantainswitch/routing/runtimeestimate.h"

#include <algorithm>
#include <cmath>

namespace plantainswitch {

namespace {

/// Change of an estimate's logarithm between a time above it and one below.
constexpr double step = 0.2;
/// Least and greatest estimate, in milliseconds.
constexpr double minTime = 1.0;
constexpr double maxTime = 60'000.0;

} // namespace

void RunTimeEstimate::recordEnded(double time) noexcept
{
    for (Quantile &quantile : this->quantiles) {
        update(quantile, time > quantile.time ? 1.0 : 0.0);
    }
}

void RunTimeEstimate::recordGivenUp(double time) noexcept
{
    const double above = this->shareAbove(time);
    for (Quantile &quantile : this->quantiles) {
        update(quantile, time >= quantile.time ? 1.0 : quantile.exceeding / above);
    }
}

double RunTimeEstimate::shareAbove(double time) const noexcept
{
    const auto &[median, upper] = this->quantiles;
    if (time <= median.time) {
        return 1.0 - (1.0 - median.exceeding) * time / median.time;
    }
    if (time >= upper.time) {
        return upper.exceeding;
    }
    const double position = std::log(time / median.time) / std::log(upper.time / median.time);
    return median.exceeding * std::pow(upper.exceeding / median.exceeding, position);
}

void RunTimeEstimate::update(Quantile &quantile, double exceeds) noexcept
{
    quantile.time *= std::exp(step * (exceeds - quantile.exceeding));
    quantile.time = std::clamp(quantile.time, minTime, maxTime);
}

} // namespace plantainswitch
