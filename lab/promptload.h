#pragma once

#include <cstdint>

#include "plantainswitch/routing/selection.h"

namespace plantainswitch::lab {

/// Requests with long shared prompts on engines whose memory holds little more than all of them.
/// The figures are those of the users' sheet for their larger deployment, a tenth of it.
struct PromptLoad
{
    std::uint32_t engines = 9;
    /// Places among which the engines are dealt out.
    std::uint32_t places = 3;
    /// Prompt tokens and output tokens that fit into an engine's memory.
    double memoryTokens = 272'000;
    std::uint32_t slots = 16;
    double requestsPerSecond = 45;
    /// Shared prefixes at the top, and parts below them that are asked for again and again.
    std::uint32_t prefixes = 4;
    std::uint32_t prefixTokens = 2'500;
    std::uint32_t subjects = 120;
    std::uint32_t subjectTokens = 6'100;
    /// Tokens that a request has for itself, and that it is answered with.
    std::uint32_t ownTokens = 580;
    std::uint32_t outputTokens = 50;
    /// Share of the requests that ask for one subject.
    double hotShare = 0.0;
    /// Engines replaced by empty ones, one after the other through the run.
    std::uint32_t replaced = 0;
    double seconds = 60;
    std::uint64_t seed = 1;
};

/// What came of a run.
struct PromptLoadResult
{
    std::uint64_t requests = 0;
    /// Prompt tokens that engines read, those of them that some engine had read before, and those
    /// copied from another engine's memory.
    double readTokens = 0.0;
    double readAgainTokens = 0.0;
    double copiedTokens = 0.0;
    /// Time from a request to its first token, in milliseconds.
    double meanFirstToken = 0.0;
    double p99FirstToken = 0.0;
    /// Highest number of requests on one engine beyond twice the mean plus three; below 0: within.
    double highestAboveBound = -1e9;
};

/// Plays \a load in simulated time: one router that sees all of it chooses by chooseUpstream, and
/// engines with an LRU memory read, copy and answer. Equal for equal arguments.
[[nodiscard]] PromptLoadResult playPromptLoad(const PromptLoad &load,
                                              const SelectionPolicy &policy);

} // namespace plantainswitch::lab
