#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "plantainswitch/base/clock.h"

namespace plantainswitch::lab {

/// A piece of a prompt: the hash of everything up to its end, and its own tokens.
struct PromptBlock
{
    std::uint64_t prefixHash = 0;
    std::uint32_t tokens = 0;
};

/// A cache of prompt prefixes with room for a number of tokens; the least recently used go first.
class PrefixCache
{
public:
    explicit PrefixCache(std::uint64_t capacity)
        : capacity(capacity)
    {}
    /// \returns the tokens at the prompt's begin that are cached, and marks them as used.
    std::uint32_t reuse(const std::vector<PromptBlock> &prompt);
    /// Takes the prompt's blocks in.
    void insert(const std::vector<PromptBlock> &prompt);
    void clear();
    [[nodiscard]] std::uint64_t tokens() const noexcept { return this->used; }

private:
    std::uint64_t capacity;
    std::uint64_t used = 0;
    std::list<PromptBlock> order;
    std::unordered_map<std::uint64_t, std::list<PromptBlock>::iterator> blocks;
};

/// How fast a model engine is.
struct EngineSpeed
{
    /// Time of one step, in which each running request makes one token.
    Duration step = Milliseconds{5};
    /// Uncached prompt tokens that one step works off.
    std::uint32_t prefillTokens = 512;
    /// Requests that run at a time.
    std::uint32_t batch = 64;
    std::uint64_t cacheTokens = 200'000;
};

/// A request as the engine model takes it.
struct EngineRequest
{
    std::string id;
    std::vector<PromptBlock> prompt;
    std::uint32_t answerTokens = 16;
    std::uint32_t priority = 0;
};

/// What one step brought forth for one request.
struct EngineToken
{
    std::string id;
    std::uint32_t index = 0;
    bool last = false;
};

/// Continuous batching with a prefix cache; steps are driven from outside.
class EngineModel
{
public:
    explicit EngineModel(EngineSpeed speed)
        : speed(speed)
        , cache(speed.cacheTokens)
    {}

    /// Takes a request. \returns its cached prompt tokens.
    std::uint32_t submit(EngineRequest request);
    void cancel(const std::string &id);
    /// Does one step. \returns the new tokens.
    std::vector<EngineToken> step();
    void clear();

    [[nodiscard]] std::size_t load() const noexcept
    {
        return this->running.size() + this->waiting.size();
    }
    [[nodiscard]] std::size_t queued() const noexcept { return this->waiting.size(); }
    [[nodiscard]] std::uint64_t cachedTokens() const noexcept { return this->cache.tokens(); }
    [[nodiscard]] const EngineSpeed &speedSettings() const noexcept { return this->speed; }

private:
    struct Running
    {
        EngineRequest request;
        std::uint32_t prefillLeft = 0;
        std::uint32_t made = 0;
    };

    void admit();

    EngineSpeed speed;
    PrefixCache cache;
    std::list<Running> waiting;
    std::list<Running> running;
};

} // namespace plantainswitch::lab
