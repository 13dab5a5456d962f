#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "plantainswitch/base/clock.h"
#include "plantainswitch/routing/crashquarantine.h"
#include "plantainswitch/routing/streamorigin.h"

namespace plantainswitch {

/// Load of one router on one upstream.
struct PeerLoad
{
    /// The upstream's incarnation.
    std::uint64_t incarnation = 0;
    std::uint32_t running = 0;
    std::uint32_t pendingPrefillTokens = 0;
    /// Time for which the sender still ejects the upstream; 0 if it doesn't.
    Milliseconds ejectedFor{0};
    /// A request of the sender has timed out there since its last update.
    bool timedOut = false;
};

/// A prompt prefix that a router sent to an upstream.
struct PrefixReport
{
    std::uint64_t prefix = 0;
    std::uint64_t incarnation = 0;
    /// Time since then.
    Milliseconds age{0};
};

/// Crash reports in a router's update.
struct CrashUpdate
{
    std::vector<CrashReport> crashes;
    std::vector<ClearedSuspect> cleared;
    std::vector<TrialCount> trials;
};

/// The state that a router sends to the others several times per second.
struct RouterUpdate
{
    std::string id;
    /// Start time of the process; updates of a higher incarnation replace those of lower ones.
    std::uint64_t incarnation = 0;
    /// Sequence number within one incarnation; updates that arrive out of order are dropped.
    std::uint64_t sequence = 0;
    std::uint64_t configVersion = 0;
    bool stopping = false;
    std::vector<PeerLoad> loads;
    std::vector<PrefixReport> prefixes;
    CrashUpdate crashUpdate;
    std::vector<StreamOrigin> origins;
};

/// Time without updates after which a router of the own data centre counts as failed and its
/// requests as ended. It spans several updates.
inline constexpr Milliseconds peerTimeout{1500};

/// Total load of the other routers on each upstream, by their updates.
class PeerLoads
{
public:
    struct Total
    {
        std::uint32_t running = 0;
        double pendingPrefillTokens = 0.0;
    };

    /// Applies an update. \returns false if a newer one was already applied.
    bool applyUpdate(const RouterUpdate &update);
    /// Removes a router that has left the fleet, with its loads.
    void removeRouter(const std::string &id);
    /// \returns the total load of the other routers on the upstream.
    [[nodiscard]] Total totalAt(std::uint64_t incarnation) const;
    /// \returns the number of other routers with a known load.
    [[nodiscard]] std::size_t routerCount() const noexcept { return this->peers.size(); }
    /// \returns whether the last update of router \a id came from this incarnation of it.
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
