#pragma once

#include <cstdint>
#include <string_view>

#include "plantainswitch/base/clock.h"

namespace plantainswitch {

/// What is known of a request when it is to be dispatched.
struct AdmissionRequest
{
    /// Expected time to the first token at the upstream that was selected.
    Milliseconds expectedDelay{0};
    /// Time that is left until the caller leaves if no first token has come.
    Milliseconds remainingTimeout{0};
    /// Time to the first token that the caller counts as prompt; 0: not stated.
    Milliseconds objective{0};
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    /// Requests running on the service's upstreams, as a share of their slots.
    double occupancy = 0.0;
    /// Spreads the callers that are to return.
    std::uint64_t jitterSeed = 0;
};

/// Whether requests are admitted under overload.
struct AdmissionPolicy
{
    bool enabled = true;
    /// Occupancy below which nothing is rejected: the estimate is more likely wrong than the
    /// service overloaded.
    double minOccupancy = 0.5;
    /// Expected delay up to which a request is admitted, in objectives: of the most urgent rank and
    /// of each further one, as a share of the one before.
    double maxObjectives = 2.0;
    double priorityDecay = 0.75;
    /// The least of maxObjectives for any rank.
    double minObjectives = 1.0;
};

/// The outcome of admission.
enum class AdmissionVerdict : std::uint8_t {
    Admitted,
    /// The first token would come after the caller has left.
    TooLate,
    /// The service is overloaded, and the request would be served late while it delays others.
    Overloaded,
};
[[nodiscard]] std::string_view nameOf(AdmissionVerdict verdict) noexcept;

struct AdmissionDecision
{
    AdmissionVerdict verdict = AdmissionVerdict::Admitted;
    /// When room is expected, if the request was rejected.
    Milliseconds retryAfter{0};
};

/// Decides whether a request is dispatched. Under overload a queue that is longer than callers
/// wait makes all of them late; rejecting those that would be late keeps the queue short, the
/// least urgent ranks first.
[[nodiscard]] AdmissionDecision admit(const AdmissionRequest &request,
                                      const AdmissionPolicy &policy);

} // namespace plantainswitch
