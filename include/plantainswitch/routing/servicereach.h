#pragma once

#include <cstdint>
#include <set>

#include "plantainswitch/base/clock.h"

namespace plantainswitch {

/// Upstreams of a service at which a router must fail in a row before it counts as cut off from the
/// service; all of them if there are fewer. A single upstream may fall silent for a second.
inline constexpr std::size_t failuresForCutOff = 3;
/// Time without any contact to the service before the router counts as cut off.
inline constexpr Milliseconds cutOffSilence{200};
/// Time without a further failure after which the router no longer counts as cut off.
inline constexpr Seconds cutOffRetention{2};
/// Interval of the probes of a service that the router is cut off from.
inline constexpr Milliseconds cutOffProbeInterval{250};
/// Interval of the requests that are sent to a service whose upstreams accept connections but did
/// not respond, to find out whether they do: of those that may be repeated, and of all.
inline constexpr Seconds trialRequestInterval{1};
inline constexpr Seconds anyTrialRequestInterval{5};

/// How an attempt to reach an upstream failed.
enum class ContactFailure : std::uint8_t {
    /// The connection was refused or timed out.
    ConnectFailed,
    /// The connection was established, but no response came.
    NoResponse,
};

/// Whether a router reaches the upstreams of a service, by what it observes itself.
///
/// Invariant: a request that reaches a router which is cut off from its service is forwarded to
/// another router, which reports that it is not. It takes one hop: a router never forwards what
/// another one has forwarded. The receiving router alone selects the upstream and sends to it, so
/// that back-offs, draining, permits and quarantine bind there as for its own callers. A request
/// that may run once is forwarded only if nothing of it was sent to an upstream, and to the next
/// router only if the one before has not processed it.
struct ServiceReach
{
    /// When data of a response last arrived, or a connection was established again.
    TimePoint lastContact;
    /// Incarnations that could not be reached since then.
    std::set<std::uint64_t> failed;
    TimePoint lastFailure;
    ContactFailure lastFailureKind = ContactFailure::ConnectFailed;
    TimePoint lastProbe;
    /// When an upstream last accepted a connection since the last contact.
    TimePoint lastConnected;
    TimePoint lastTrialRequest;
    /// What was last logged and reported to the other routers.
    bool wasCutOff = false;
    /// The same for whether the router reaches only a part of the service.
    bool wasLimited = false;
};

/// Records that data of a response arrived from an upstream of the service.
void recordContact(ServiceReach &reach, TimePoint now);
/// Records that an upstream of the service accepted a connection. It counts as a contact unless
/// upstreams accepted connections before and did not respond.
void recordConnected(ServiceReach &reach, TimePoint now);
void recordContactFailure(ServiceReach &reach, std::uint64_t incarnation, ContactFailure kind,
                          TimePoint now);
/// \returns whether the router is cut off from a service of \a upstreams upstreams.
[[nodiscard]] bool isCutOff(const ServiceReach &reach, std::size_t upstreams, TimePoint now);
/// \returns whether a request may be sent to the service although the router is cut off from it, as
/// a trial, and records that it is. \param mayRepeat whether the request may be repeated
bool takeTrialRequest(ServiceReach &reach, bool mayRepeat, TimePoint now);

} // namespace plantainswitch
