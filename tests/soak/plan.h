#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "history.h"

namespace plantainswitch::soak {

/// Parameters of a soak.
struct SoakOptions
{
    std::uint64_t seed = 1;
    /// Time in which faults are injected; a time without faults follows.
    double faultSeconds = 20.0;
    std::size_t routers = 4;
    std::size_t upstreams = 8;
    std::size_t callers = 24;
    /// Mean time between two faults.
    double meanFaultIntervalSeconds = 0.5;
};

/// A fault that is injected, or a change that an operator or a caller makes.
enum class FaultKind : std::uint8_t {
    RouterKill,
    RouterPause,
    RouterStop,
    RouterReload,
    AllRoutersKill,
    RollingStop,
    UpstreamCrash,
    UpstreamUnresponsive,
    UpstreamSlow,
    UpstreamFails,
    UpstreamRejects,
    UpstreamLosesResponses,
    UpstreamTruncatesResponses,
    UpstreamSendsExtraResponses,
    UpstreamBacksOff,
    UpstreamAnnouncesDraining,
    UpstreamDrains,
    LinkDelay,
    LinkReset,
    LinkDropsBytes,
    LinkDropsOneWay,
    StoreLinkDropsBytes,
    StoreLinkReset,
    StoreUnresponsive,
    StoreBusy,
    StoreResetsConnections,
    StoreSlow,
    StoreLosesResponses,
    StoreDropsHistory,
    StoreRegistrationsExpire,
    NewRoute,
    RevokedKey,
    PoisonCall,
};
inline constexpr std::size_t faultKindCount = static_cast<std::size_t>(FaultKind::PoisonCall) + 1;
[[nodiscard]] std::string_view nameOf(FaultKind kind) noexcept;

/// One fault of a plan.
struct FaultStep
{
    SoakTime at{0};
    FaultKind kind = FaultKind::RouterKill;
    /// Selects the router or upstream: its number modulo how many there are.
    std::size_t target = 0;
    Milliseconds duration{0};
    /// From 0 to 1, such as the share of requests that fail.
    double intensity = 0.0;
};

/// \returns the steps of a soak in order of time; equal for equal options. Every kind is drawn once
/// before any is drawn again. Steps may overlap.
[[nodiscard]] std::vector<FaultStep> generatePlan(const SoakOptions &options);

/// \returns the plan as text, one line per step.
[[nodiscard]] std::string textOf(const std::vector<FaultStep> &plan);
/// \returns the plan in \a text, or nothing if a line is invalid. Skips empty lines and those that
/// start with '#'.
[[nodiscard]] std::optional<std::vector<FaultStep>> parsePlan(const std::string &text);

} // namespace plantainswitch::soak
