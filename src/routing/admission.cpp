#include "plantainswitch/routing/admission.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace plantainswitch {

namespace {

constexpr std::array verdictNames{std::string_view{"admitted"}, std::string_view{"too-late"},
                                  std::string_view{"overloaded"}};

/// Bounds of the time after which a rejected caller may retry.
constexpr double minRetryAfter = 200.0;
constexpr double maxRetryAfter = 5000.0;
/// Added to the retry time per priority level, as a share of it, so that the most urgent callers
/// retry first.
constexpr double rankDelay = 0.5;

/// \returns whether the request is one of those by which its workspace exceeds its usual rate.
bool isExcess(const AdmissionRequest &request)
{
    // Other bits than those of the retry time, which would else be shorter for the excess.
    constexpr unsigned shift = 32;
    constexpr double steps = 65536.0;
    const double draw = static_cast<double>((request.jitterSeed >> shift) & 0xFFFFU) / steps;
    return request.surge > 1.0 && draw * request.surge >= 1.0;
}

double admittedDelay(const AdmissionRequest &request, const AdmissionPolicy &policy)
{
    const double objectives =
        std::max(policy.minObjectives,
                 policy.maxObjectives * std::pow(policy.priorityDecay, request.priority));
    const double usual = objectives * static_cast<double>(request.objective.count());
    if (!isExcess(request)) {
        return usual;
    }
    const double floor = surgeFloor * static_cast<double>(request.unqueuedDelay.count());
    return std::min(usual, std::max(usual / request.surge, floor));
}

/// \returns the time in which the queue shrinks to the objective, multiplied by 1 to 2 as jitter.
/// A surge does not lengthen it: its callers are already rejected more often.
Milliseconds retryAfter(const AdmissionRequest &request)
{
    constexpr std::uint64_t steps = 1024;
    const double spread = 1.0 + static_cast<double>(request.jitterSeed % steps) / steps;
    const double excess = static_cast<double>((request.expectedDelay - request.objective).count());
    const double delay = spread * excess * (1.0 + rankDelay * request.priority);
    return Milliseconds{static_cast<std::int64_t>(std::clamp(delay, minRetryAfter, maxRetryAfter))};
}

} // namespace

std::string_view nameOf(AdmissionVerdict verdict) noexcept
{
    return verdictNames.at(static_cast<std::size_t>(verdict));
}

AdmissionDecision admit(const AdmissionRequest &request, const AdmissionPolicy &policy)
{
    if (!policy.enabled || request.occupancy < policy.minOccupancy) {
        return {};
    }
    if (request.expectedDelay > request.remainingTimeout) {
        return {AdmissionVerdict::TooLate, retryAfter(request)};
    }
    const bool hasObjective = request.objective.count() > 0;
    if (hasObjective
        && static_cast<double>(request.expectedDelay.count()) > admittedDelay(request, policy)) {
        return {AdmissionVerdict::Overloaded, retryAfter(request)};
    }
    return {};
}

} // namespace plantainswitch
