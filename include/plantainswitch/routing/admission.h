#pragma once

#include <cstdint>
#include <string_view>

#include "plantainswitch/base/clock.h"

namespace plantainswitch {

/// Properties of a request that admission control decides on.
struct AdmissionRequest
{
    /// Expected time to the first token at the selected upstream.
    Milliseconds expectedDelay{0};
    /// Time until the caller gives up if no first token has arrived.
    Milliseconds remainingTimeout{0};
    /// Time to first token that the route promises; 0 if none is stated.
    Milliseconds objective{0};
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    /// Running requests of the service, as a share of its upstreams' total concurrency.
    double occupancy = 0.0;
    /// Hash by which the retry times of rejected callers are spread.
    std::uint64_t jitterSeed = 0;
};

/// Settings of admission control under overload.
struct AdmissionPolicy
{
    bool enabled = true;
    /// Occupancy below which no request is rejected: the delay estimate is then more likely to be
    /// wrong than the service to be overloaded.
    double minOccupancy = 0.5;
    /// Expected delay up to which a request is admitted, in multiples of its objective, for the
    /// most urgent priority; each further priority level multiplies it by priorityDecay.
    double maxObjectives = 2.0;
    double priorityDecay = 0.75;
    /// Lower bound of that multiple for every priority.
    double minObjectives = 1.0;
};

/// Outcome of admission control.
enum class AdmissionVerdict : std::uint8_t {
    Admitted,
    /// The first token would arrive after the caller has given up.
    TooLate,
    /// The service is overloaded; the request would miss its objective and delay others.
    Overloaded,
};
[[nodiscard]] std::string_view nameOf(AdmissionVerdict verdict) noexcept;

struct AdmissionDecision
{
    AdmissionVerdict verdict = AdmissionVerdict::Admitted;
    /// Time after which the caller should retry, if the request was rejected.
    Milliseconds retryAfter{0};
};

/// Decides whether a request is dispatched. Under overload, a queue longer than callers wait makes
/// every request late; rejecting the requests that would be late keeps the queue short, starting
/// with the least urgent priorities.
[[nodiscard]] AdmissionDecision admit(const AdmissionRequest &request,
                                      const AdmissionPolicy &policy);

} // namespace plantainswitch
