#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "plantainswitch/base/clock.h"
#include "plantainswitch/routing/selection.h"

namespace plantainswitch {

/// A router's question whether one more request fits on an engine.
struct EngineGrantRequest
{
    /// The router that asks.
    std::string router;
    /// The router's own number of the question.
    std::uint64_t requestId = 0;
    std::uint64_t incarnation = 0;
    std::vector<std::uint64_t> prefixHashes;
    std::uint32_t promptTokens = 0;
    /// Requests above which the engine would hold more than its share.
    double loadBound = 0.0;
};

/// What the keeper answers.
struct EngineGrantReply
{
    bool granted = false;
    /// Requests there, with this one if granted.
    std::uint32_t running = 0;
    double pendingPrefillTokens = 0.0;
    /// Parts of the chain that the engine has been given to read.
    std::uint32_t cachedParts = 0;
};

/// Time after which a grant that its router no longer tells of is taken back: its end was lost. A
/// few of the routers' updates.
inline constexpr Milliseconds orphanedGrantTimeout{2000};
/// Time for which a new keeper also believes what routers told of an engine: grants that an earlier
/// keeper made are unknown to it.
inline constexpr Milliseconds takeoverPeriod{2000};

/// Time without a question after which an engine on which nothing runs is forgotten. Each start of
/// an engine is a new one: kept for ever, the dead ones of a year at 1,900 a day would fill the
/// memory of a small VM. Beyond inheritSpan, so that no count is lost.
inline constexpr Seconds idleEngineRetention{60};

/// Counts exactly what runs on the engines that one router keeps. Each engine has one keeper among
/// the routers, so that many routers which each see a sliver of the traffic still share one count.
class EngineCoordinator
{
public:
    explicit EngineCoordinator(double tokensPerMillisecond)
        : tokensPerMillisecond(tokensPerMillisecond)
    {}

    /// Grants or refuses.
    /// \param told what routers told lately of the engine's requests, for a new keeper
    EngineGrantReply requestGrant(const EngineGrantRequest &question, std::uint32_t told,
                                  TimePoint now);
    /// Takes a grant back; one that is unknown is ignored.
    void releaseGrant(const std::string &router, std::uint64_t number, std::uint64_t life);
    /// Takes back grants of \a router on the engine beyond the \a told ones, if they are old.
    void reconcile(const std::string &router, std::uint64_t life, std::uint32_t told,
                   TimePoint now);
    /// Takes back all grants of a router that is gone.
    void releaseRouter(const std::string &router);
    /// Forgets engines that nobody asked about for idleEngineAge and on which nothing runs.
    void removeIdleEngines(TimePoint now);
    /// \returns the number of engines that are remembered.
    [[nodiscard]] std::size_t engineCount() const noexcept { return this->engines.size(); }
    /// \returns the lives on which \a router has grants.
    [[nodiscard]] std::vector<std::uint64_t> incarnationsGrantedTo(const std::string &router) const;

private:
    struct Engine
    {
        /// Grants by router and number, with their time.
        std::map<std::pair<std::string, std::uint64_t>, TimePoint> grants;
        double pendingPrefill = 0.0;
        TimePoint unreadAt;
        TimePoint coordinatedSince;
    };

    double tokensPerMillisecond;
    std::unordered_map<std::uint64_t, Engine> engines;
    PrefixIndex prefixIndex;
};

} // namespace plantainswitch
