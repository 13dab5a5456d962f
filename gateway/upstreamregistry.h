#pragma once

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "plantainswitch/routing/peerloads.h"
#include "plantainswitch/routing/replica.h"
#include "plantainswitch/routing/selection.h"
#include "plantainswitch/routing/upstreamnotices.h"

#include "upstreamconnection.h"

namespace plantainswitch::gateway {

/// Idle time after which a connection is not reused. A dead connection is only noticed by a
/// timeout, which costs the request more than a new connection costs the upstream.
inline constexpr Milliseconds maxIdleTime{1000};
/// The same for requests that must be executed at most once: if the connection turns out to be
/// dead, it is unknown whether the request was executed, and it must be given up.
inline constexpr Milliseconds maxIdleTimeAtMostOnce{150};

/// Timeout for a connection to an upstream: about fifty round trips between data centres. A longer
/// one would use up a caller's whole latency objective before another upstream is tried.
inline constexpr Milliseconds upstreamConnectTimeout{250};

/// The known upstreams with their state, and idle connections to them.
class UpstreamRegistry
{
public:
    UpstreamRegistry(asio::io_context &context, const Clock &clock)
        : context(context)
        , clock(clock)
    {}

    /// Applies changes to the list of upstreams. What an upstream has asked for in its responses
    /// stays in force.
    void apply(const std::vector<ReplicaEvent> &events);
    /// \returns the state of all upstreams of \a service.
    [[nodiscard]] std::span<UpstreamState *const> ofService(const std::string &service) const;
    /// \returns the state of all upstreams of a data centre that take new requests.
    [[nodiscard]] std::vector<UpstreamState *> inDataCentre(const std::string &dataCentre) const;
    /// \returns the state of an upstream, or nullptr if it was removed. Running requests keep it
    /// alive after that.
    [[nodiscard]] std::shared_ptr<UpstreamState> find(const std::string &id) const;
    /// \returns the state of an incarnation of an upstream, or nullptr if it was removed.
    [[nodiscard]] UpstreamState *findIncarnation(std::uint64_t incarnation) const;
    /// \returns the state of the upstream whose id has the hash \a key, or nullptr.
    [[nodiscard]] UpstreamState *findKey(std::uint64_t key) const;
    /// \returns all upstreams by id.
    [[nodiscard]] const std::map<std::string, std::shared_ptr<UpstreamState>> &all() const noexcept
    {
        return this->byId;
    }

    /// Records that an upstream has announced that it is draining. \returns whether that is new.
    bool recordDraining(const Replica &replica);
    /// Records that an upstream wants no requests from this router for \a backoff.
    void recordBackoff(const Replica &replica, Milliseconds backoff);

    /// \returns an idle connection to the upstream, or nullptr.
    std::shared_ptr<UpstreamConnection> acquireIdle(const UpstreamState &state, bool mayRepeat);
    /// Takes back a connection, and keeps it if it is reusable.
    void release(const UpstreamState &state, std::shared_ptr<UpstreamConnection> connection);
    /// Closes connections that were idle for too long.
    void closeIdle();

    PrefixIndex prefixIndex;

private:
    /// \returns a new state of an upstream, with its notices.
    [[nodiscard]] std::shared_ptr<UpstreamState> makeState(const Replica &replica) const;
    void rebuildIndexes();

    asio::io_context &context;
    const Clock &clock;
    UpstreamNotices notices;
    std::map<std::string, std::shared_ptr<UpstreamState>> byId;
    std::unordered_map<std::string, std::vector<UpstreamState *>> byService;
    std::unordered_map<std::uint64_t, UpstreamState *> byIncarnation;
    std::unordered_map<std::uint64_t, UpstreamState *> byKey;
    std::unordered_map<std::uint64_t, std::vector<std::shared_ptr<UpstreamConnection>>>
        idleConnections;
};

} // namespace plantainswitch::gateway
