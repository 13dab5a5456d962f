#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "plantainswitch/base/clock.h"
#include "plantainswitch/base/lockorder.h"
#include "plantainswitch/membership/swim.h"

namespace plantainswitch {

/// Immutable snapshot of the members, sorted by id. Fields that change with every message
/// (catalogue version and age, VM list version and digest, refutation) keep their defaults.
using MemberSnapshot = std::shared_ptr<const std::vector<Heartbeat>>;

/// Thread-safe table of the live routers as this router sees them. The view may be wrong: use it
/// for hints, never for correctness.
class MemberTable
{
public:
    /// Sets this router's own heartbeat and seeds its random choices.
    void initialize(const Heartbeat &own, std::uint64_t seed);
    /// See swimTick().
    [[nodiscard]] SwimOutput tick(const Heartbeat &own, const std::set<Endpoint> &seeds,
                                  TimePoint now);
    /// See swimReceive().
    [[nodiscard]] SwimOutput receive(const SwimMessage &message, const Endpoint &from,
                                     TimePoint now);
    /// See swimGossipSelf().
    [[nodiscard]] SwimOutput gossipSelf(const Heartbeat &own);
    /// See swimAnnounce().
    [[nodiscard]] SwimOutput announce(const Heartbeat &own, bool gone);
    /// Handles a heartbeat that came from its own sender. An older incarnation is ignored.
    /// \returns whether the member is new or has restarted.
    bool receiveHeartbeat(const Heartbeat &heartbeat, TimePoint now);

    /// \returns all live members that are not leaving, sorted by id, this router included; never
    /// null. The snapshot is rebuilt only when a member joins, restarts, leaves, is gone or changes
    /// its addresses.
    [[nodiscard]] MemberSnapshot active() const;
    /// \returns the full heartbeats of all live members, leaving ones included.
    [[nodiscard]] std::vector<Heartbeat> all() const;
    /// \returns the live member with that id, or nothing.
    [[nodiscard]] std::optional<Heartbeat> find(const std::string &id) const;

private:
    void setSelf(const Heartbeat &own);
    void invalidateSnapshotIfChanged(const std::string &id);

    mutable RankedMutex mutex{LockRank::Members};
    SwimSettings settings;
    SwimState state;
    /// Null when it must be rebuilt.
    mutable MemberSnapshot snapshot;
};

} // namespace plantainswitch
