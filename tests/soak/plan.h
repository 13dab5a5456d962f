#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "history.h"

namespace plantainswitch::soak {

/// What a soak plays.
struct SoakOptions
{
    std::uint64_t seed = 1;
    /// Time with harm; a calm follows it.
    double faultSeconds = 20.0;
    std::size_t routers = 4;
    std::size_t upstreams = 8;
    std::size_t callers = 24;
    /// Mean pause between two harms.
    double meanFaultIntervalSeconds = 0.5;
};

/// What is done from outside.
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

/// One harm: when, to whom, for how long, how strong.
struct FaultStep
{
    SoakTime at{0};
    FaultKind kind = FaultKind::RouterKill;
    /// Number of the router or upstream.
    std::size_t target = 0;
    Milliseconds duration{0};
    /// From 0 to 1.
    double intensity = 0.0;
};

/// \returns the steps of a soak, in order of time; equal for equal options. Kinds are drawn so that
/// each comes up before any comes again, and overlap as they fall.
[[nodiscard]] std::vector<FaultStep> generatePlan(const SoakOptions &options);

/// \returns the plan as text, a line for each step.
[[nodiscard]] std::string textOf(const std::vector<FaultStep> &plan);
/// \returns the plan that \a text holds, or nothing when a line can't be read.
[[nodiscard]] std::optional<std::vector<FaultStep>> parsePlan(const std::string &text);

} // namespace plantainswitch::soak
