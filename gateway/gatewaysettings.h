#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "plantainswitch/catalogue/parse.h"
#include "plantainswitch/membership/vm.h"
#include "plantainswitch/observe/event.h"
#include "plantainswitch/routing/admission.h"
#include "plantainswitch/routing/coldstart.h"
#include "plantainswitch/routing/contendedservices.h"
#include "plantainswitch/routing/fleetretrybudget.h"
#include "plantainswitch/routing/placementconstraints.h"
#include "plantainswitch/routing/selection.h"
#include "plantainswitch/routing/workspaceusage.h"

namespace plantainswitch::gateway {

/// Mechanisms that can be switched off, to measure the effect of each.
struct Mechanisms
{
    /// Estimate the performance of upstreams; otherwise the defaults of ServicePerformance hold.
    bool estimates = true;
    /// Ask the coordinator of an engine, which counts its requests exactly, before a dispatch.
    bool exactCounts = true;
    /// Retry a request that may be repeated on another upstream after a failure.
    bool retries = true;
    /// Hold back requests that crash upstreams.
    bool quarantine = true;
    /// Send joining routers the locations of cached prefixes.
    bool prefixSnapshots = true;
    /// Forward requests to another router while no upstream of their service can be reached, and
    /// process those that others forward.
    bool forwarding = true;
    /// Limit the requests to upstreams that announce that they are brittle.
    bool brittleLimits = true;
};

/// Treatment of workspaces that send more requests than usual.
struct FairnessPolicy
{
    /// Under overload, the excess of surging workspaces is rejected first.
    bool enabled = true;
    /// Surge from which that holds.
    double minSurge = unusualSurge;
};

/// What is learned of single upstreams.
struct LearningSettings
{
    /// How much slower an upstream is than its service.
    bool speeds = true;
    /// How many concurrent requests it runs well. Learning it costs a contended upstream some of
    /// its throughput.
    bool limits = false;
};

/// The settings of a gateway, read from one JSON file.
struct GatewaySettings
{
    std::string id;
    /// Data centre of this router; the key in the file is "place".
    std::string dataCentre;
    Endpoint callers;
    Endpoint readiness;
    /// Address for metrics and other internal requests; port 0: no listener.
    Endpoint control;
    Endpoint peerDatagrams;
    Endpoint peerCalls;
    /// Hosts of other routers, through which a router that starts while the store is down joins the
    /// fleet.
    std::vector<Endpoint> seeds;
    Endpoint store;
    FleetRetryLimit retries;
    SelectionPolicy choice;
    AdmissionPolicy admission;
    FairnessPolicy fairness;
    Mechanisms mechanisms;
    ContentionPolicy contention;
    LearningSettings learning;
    /// How far requests to cold upstreams may exceed what these bear; nothing if they are not
    /// limited.
    std::optional<ColdStartTolerance> coldStart;
    /// The whole system starts for the first time: no stream began earlier.
    bool isFirstStart = false;
    /// Whether the store's list of evacuated data centres is followed.
    bool followsEvacuations = false;
    AreaMap areas;
    /// Time after which an upstream must get no new request once it has announced, by its entry or
    /// by the removal of its entry, that it is draining.
    Milliseconds maxDrainTime{2000};
    /// Time after an outage of the store within which its newest configuration must be in force.
    Milliseconds maxCatchUpTime{3000};
    /// Time from the signal for a stop to its forced end.
    Milliseconds stopGrace{8000};
    /// Largest sum of what is buffered of upstreams' responses, beyond the first bufferReserve
    /// bytes of each.
    std::uint32_t responseBufferBytes = std::uint32_t{32} << 20;
    LogSettings log;
};

/// Parses settings from JSON text. \returns nothing if there are faults, all of which are appended
/// to \a faults.
[[nodiscard]] std::optional<GatewaySettings> parseGatewaySettings(std::string_view text,
                                                                  std::vector<Fault> &faults);

} // namespace plantainswitch::gateway
