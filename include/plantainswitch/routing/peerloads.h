#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "plantainswitch/base/clock.h"
#include "plantainswitch/routing/crashquarantine.h"

namespace plantainswitch {

/// What one router has at one upstream.
struct PeerLoad
{
    /// The upstream's life.
    std::uint64_t incarnation = 0;
    std::uint32_t running = 0;
    std::uint32_t pendingPrefillTokens = 0;
    /// How long the sender still keeps away from it; 0: it doesn't.
    Milliseconds ejectedFor{0};
    /// A request of the sender's was silent there since its last update.
    bool timedOut = false;
};

/// A chain that a router had an upstream read.
struct PrefixReport
{
    std::uint64_t prefix = 0;
    std::uint64_t incarnation = 0;
    /// How long ago.
    Milliseconds age{0};
};

/// What a router tells of requests that upstreams crashed on.
struct CrashUpdate
{
    std::vector<CrashReport> crashes;
    /// Requests under suspicion that were answered.
    std::vector<RequestFingerprint> cleared;
};

/// What a router tells the others several times a second.
struct RouterUpdate
{
    std::string id;
    /// Start of the process; a higher one replaces what a lower one told.
    std::uint64_t incarnation = 0;
    /// Counts the updates of one process; older ones that overtake are dropped.
    std::uint64_t sequence = 0;
    std::uint64_t configVersion = 0;
    bool stopping = false;
    std::vector<PeerLoad> loads;
    std::vector<PrefixReport> prefixes;
    CrashUpdate crashUpdate;
};

/// Time without updates after which a near router counts as failed and what it had as ended:
/// several missed updates.
inline constexpr Milliseconds peerTimeout{1500};

/// The loads that other routers told of, summed for each upstream.
class PeerLoads
{
public:
    struct Total
    {
        std::uint32_t running = 0;
        double pendingPrefillTokens = 0.0;
    };

    /// Takes an update. \returns false when it is older than what is known.
    bool applyUpdate(const RouterUpdate &update);
    /// Drops a router that is gone, with all that it had.
    void removeRouter(const std::string &id);
    /// \returns what all other routers have at the upstream.
    [[nodiscard]] Total totalAt(std::uint64_t life) const;
    /// \returns the number of other routers heard lately.
    [[nodiscard]] std::size_t routerCount() const noexcept { return this->peers.size(); }
    /// \returns whether the router's process that started as \a incarnation was heard lately.
    [[nodiscard]] bool knows(const std::string &id, std::uint64_t incarnation) const;

private:
    struct Peer
    {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        std::vector<PeerLoad> loads;
    };

    void add(const std::vector<PeerLoad> &loads, int sign);

    std::map<std::string, Peer> peers;
    std::map<std::uint64_t, Total> totals;
};

} // namespace plantainswitch
