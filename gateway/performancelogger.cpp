#include "performancelogger.h"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

#include "plantainswitch/observe/event.h"

namespace plantainswitch::gateway {

namespace {

constexpr Seconds minLogInterval{5};
constexpr double minLoggedChange = 0.2;

bool differs(double last, double current)
{
    return std::abs(current - last) >= minLoggedChange * std::abs(last);
}

bool hasChanged(const ServicePerformance &last, const ServicePerformance &current)
{
    return differs(last.prefillRate, current.prefillRate)
           || differs(last.baseDelay, current.baseDelay)
           || differs(last.delayPerRunning, current.delayPerRunning)
           || differs(last.transferRate, current.transferRate)
           || differs(last.slotHoldTime, current.slotHoldTime)
           || differs(last.tokensPerRequest, current.tokensPerRequest);
}

void log(const std::string &service, const ServiceEstimator &estimator,
         const ServicePerformance &figures)
{
    const PerformanceReport own = estimator.ownReport();
    logEvent(Event::FiguresEstimated,
             {{"service", service},
              {"prefill_rate", fmt::format("{:.1f}", figures.prefillRate)},
              {"base_ms", fmt::format("{:.1f}", figures.baseDelay)},
              {"per_running_ms", fmt::format("{:.3f}", figures.delayPerRunning)},
              {"transfer_rate", fmt::format("{:.1f}", figures.transferRate)},
              {"transfer_setup_ms", fmt::format("{:.1f}", figures.transferSetup)},
              {"hold_ms", fmt::format("{:.0f}", figures.slotHoldTime)},
              {"tokens_per_request", fmt::format("{:.0f}", figures.tokensPerRequest)},
              {"own_prefills", fmt::format("{:.0f}", own.prefillSamples)},
              {"own_transfers", fmt::format("{:.0f}", own.transferSamples)},
              {"own_holds", fmt::format("{:.0f}", own.slotHoldSamples)},
              {"error_ms", fmt::format("{:.1f}", estimator.meanError())}});
}

} // namespace

void PerformanceLogger::update(const GatewayState &state)
{
    const TimePoint now = state.clock.now();
    for (const auto &[service, estimator] : state.estimators) {
        const ServicePerformance figures = estimator.performance(now);
        LoggedPerformance &last = this->lastLogged[service];
        const bool isDue = last.loggedAt == TimePoint{} || now - last.loggedAt >= minLogInterval;
        if (isDue && hasChanged(last.figures, figures)) {
            log(service, estimator, figures);
            last = {figures, now};
        }
    }
}

} // namespace plantainswitch::gateway
