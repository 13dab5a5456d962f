#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "enginemodel.h"

namespace plantainswitch::lab {

/// What a run of the policy bench plays.
struct PolicyOptions
{
    std::string policy = "plantain";
    std::uint32_t routers = 8;
    std::uint32_t engines = 10;
    std::uint32_t places = 2;
    /// Shards of a place; 0: one for each fifty engines.
    std::uint32_t shards = 0;
    std::uint64_t seed = 1;
    double seconds = 120;
    /// Requests a second; 0: six for each engine.
    double rate = 0;
    /// Share of the engines that flap.
    double flap = 0;
    /// Seconds of each half minute in which half of the routers miss a keeper.
    double disagreeSeconds = 0;
    /// The platform's list doesn't change any more: replaced engines are only seen as unreachable.
    bool platformDown = false;
    /// Share of the datagrams that are lost.
    double loss = 0;
};

/// One request of the trace.
struct TraceRequest
{
    Duration at{};
    std::uint32_t router = 0;
    std::uint32_t chat = 0;
    std::uint32_t workspace = 0;
    /// Number of the chat's blocks that the prompt has.
    std::uint32_t blocks = 0;
    std::uint32_t answerTokens = 0;
    std::uint32_t promptTokens = 0;
    /// Tokens of the prompt that an endless cache would hold.
    std::uint32_t reusableTokens = 0;
};

/// A change of an engine.
struct TraceChange
{
    enum class Kind : std::uint8_t { Replace, Down, Up };
    Duration at{};
    std::uint32_t engine = 0;
    Kind kind = Kind::Replace;
};

/// Everything that comes from outside in a run; equal for every policy.
struct PolicyTrace
{
    std::vector<TraceRequest> requests;
    std::vector<TraceChange> changes;
    /// Blocks of each chat, the workspace's shared prefix first.
    std::vector<std::vector<PromptBlock>> chats;
    std::uint32_t workspaces = 0;
};

/// Makes the trace of \a options from its seed: Poisson arrivals of returning chats with skewed
/// popularity and growing histories, engines replaced or flapping.
[[nodiscard]] PolicyTrace traceOf(const PolicyOptions &options);

/// \returns the requests a second of a run.
[[nodiscard]] double rateOf(const PolicyOptions &options) noexcept;

} // namespace plantainswitch::lab
