#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "plantainswitch/base/clock.h"
#include "plantainswitch/routing/permitcoordinator.h"

namespace plantainswitch {

/// For how long an upstream may hold a request.
struct RunTimeBound
{
    /// Exceeded by few runs of the service, from sending the request to the end of the response; 0
    /// if not known.
    Duration usual{0};
    /// The deadline that is passed to the upstream; 0 if not known.
    Duration longest{0};
};

/// A router's request to the coordinator to admit one more request to an engine.
struct EngineGrantRequest
{
    /// The requesting router.
    std::string router;
    /// Id of the request, unique at its router.
    std::uint64_t requestId = 0;
    std::uint64_t incarnation = 0;
    std::vector<std::uint64_t> prefixHashes;
    std::uint32_t promptTokens = 0;
    /// Running requests above which the engine would exceed its share; 0 if not limited.
    double loadBound = 0.0;
    /// Running requests that the engine must not exceed because it is brittle; 0 if it is not.
    double brittleBound = 0.0;
    /// Of a brittle engine.
    RunTimeBound runTime;
    /// How much longer the requesting router believes the engine to be cold.
    Milliseconds coldFor{0};
    PermitRequest permit;
};

/// Why a router no longer needs a grant.
enum class GrantEnd : std::uint8_t {
    /// The request did not reach the engine.
    Unused,
    /// The engine has responded.
    Responded,
    /// The router has given the run up, or its connection was lost.
    /// The engine may still hold it: it goes on without the connection, or is silent and has not
    /// noticed.
    Abandoned,
};

/// What a contended upstream states in a response.
struct StatedLoad
{
    /// Requests that it runs or lets wait.
    std::uint32_t held = 0;
    /// How long its work takes at this moment, in percent of the usual time; 0 if not stated.
    std::uint32_t slowdownPercent = 0;
};

/// The end of a grant, as its router states it.
struct GrantRelease
{
    GrantEnd end = GrantEnd::Unused;
    /// As in RunTimeBound; only of an abandoned run.
    Duration usualRunTime{0};
    /// Of a contended upstream that has responded and stated it.
    std::optional<StatedLoad> load = std::nullopt;
};

/// The coordinator's reply.
struct EngineGrantReply
{
    bool granted = false;
    /// Requests on the engine, including this one if it was granted.
    std::uint32_t running = 0;
    double pendingPrefillTokens = 0.0;
    /// Leading prompt parts that the engine is expected to have cached.
    std::uint32_t cachedParts = 0;
    /// Time until a permit is available, if the request was denied for the lack of one; 0 if it was
    /// denied by the load bound.
    Milliseconds permitWait{0};
    /// How much longer the coordinator believes the engine to be cold.
    Milliseconds coldFor{0};
};

} // namespace plantainswitch
