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
    /// Hash of the attempt, by which the retry times of rejected callers are spread and the excess
    /// of a surging workspace is distinguished from its usual requests.
    std::uint64_t jitterSeed = 0;
    /// Current rate of the workspace in multiples of its usual rate; 1 if it does not surge.
    double surge = 1.0;
    /// Expected time to the first token if nothing else ran or waited at the upstream.
    Milliseconds unqueuedDelay{0};
};

/// Lower bound of the delay with which the excess of a surging workspace is admitted, in multiples
/// of its delay without a queue. At the occupancy from which anything is rejected, requests beside
/// it alone cause such a delay: with a bound of 1 the excess would be rejected while capacity is
/// left.
inline constexpr double surgeFloor = 1.25;

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
/// with the excess of surging workspaces and the least urgent priorities.
///
/// Of a workspace that sends \a surge times its usual requests, one in \a surge is decided like
/// those of others. For the rest, its excess, the admitted delay is divided by the surge, but not
/// below surgeFloor times the delay without a queue. Repeats of rejected requests raise the surge
/// by as much as the rate, so that the number per second that is decided like those of others
/// stays.
[[nodiscard]] AdmissionDecision admit(const AdmissionRequest &request,
                                      const AdmissionPolicy &policy);

} // namespace plantainswitch
