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
#include "plantainswitch/routing/fleetretrybudget.h"
#include "plantainswitch/routing/selection.h"

namespace plantainswitch::gateway {

/// Mechanisms that can be switched off to measure what each is worth.
struct Mechanisms
{
    /// What upstreams are like is estimated; otherwise the prior holds.
    bool estimates = true;
    /// Dispatch asks the router that counts exactly what runs on an upstream.
    bool exactCounts = true;
    /// A request that may be repeated runs on a further upstream after a failure.
    bool retries = true;
    /// Requests that crash upstreams are held back.
    bool quarantine = true;
    /// Joining routers are sent where prefixes are cached.
    bool prefixSnapshots = true;
};

/// The settings of a gateway, read from one JSON file.
struct GatewaySettings
{
    std::string id;
    /// Data centre.
    std::string dataCentre;
    Endpoint callers;
    Endpoint readiness;
    /// Metrics and the routers' calls to each other.
    Endpoint control;
    Endpoint peerDatagrams;
    Endpoint peerCalls;
    /// Hosts of other routers, by which a start without the store finds them.
    std::vector<Endpoint> seeds;
    Endpoint store;
    FleetRetryLimit retries;
    SelectionPolicy choice;
    AdmissionPolicy admission;
    Mechanisms mechanisms;
    /// Time after which an upstream that has said, or whose entry's removal says, that it leaves
    /// must get no new request.
    Milliseconds maxDrainTime{2000};
    /// Time after an outage of the store within which its newest configuration must be in force.
    Milliseconds maxCatchUpTime{3000};
    /// Time from a stop's signal to its forced end.
    Milliseconds stopGrace{8000};
    LogSettings log;
};

/// Reads settings from JSON text; every fault is reported, not only the first.
[[nodiscard]] std::optional<GatewaySettings> parseGatewaySettings(std::string_view text,
                                                                  std::vector<Fault> &faults);

} // namespace plantainswitch::gateway
