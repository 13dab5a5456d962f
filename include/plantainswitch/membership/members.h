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

/// Members as they were at one moment, by id. What changes with every message (catalogue version
/// and age, VM stamp and digest, refutation) is left at its default.
using MemberSnapshot = std::shared_ptr<const std::vector<Heartbeat>>;

/// The live routers as this router sees them. Only hints rest on it, never a promise.
class MemberTable
{
public:
    /// Sets what this router says of itself and the seed of its random choices.
    void initialize(const Heartbeat &own, std::uint64_t seed);
    /// One step of swimTick().
    [[nodiscard]] SwimOutput tick(const Heartbeat &own, const std::set<Endpoint> &seeds,
                                  TimePoint now);
    /// One step of swimReceive().
    [[nodiscard]] SwimOutput receive(const SwimMessage &message, const Endpoint &from,
                                     TimePoint now);
    /// One step of swimTellFew().
    [[nodiscard]] SwimOutput gossipSelf(const Heartbeat &own);
    /// One step of swimAnnounce().
    [[nodiscard]] SwimOutput announce(const Heartbeat &own, bool gone);
    /// Takes a heartbeat as heard from its sender; an older incarnation is ignored.
    /// \returns whether the member is new or has restarted.
    bool receiveHeartbeat(const Heartbeat &heartbeat, TimePoint now);

    /// \returns all live members that are not leaving, by id, this router included; never null.
    /// It is made anew only when a member joins, restarts, leaves, is gone or has other addresses.
    [[nodiscard]] MemberSnapshot active() const;
    /// \returns all live members with all that is known of them, leaving ones included.
    [[nodiscard]] std::vector<Heartbeat> all() const;
    /// \returns the live member of that id, or nothing.
    [[nodiscard]] std::optional<Heartbeat> find(const std::string &id) const;

private:
    void setSelf(const Heartbeat &own);
    void invalidateSnapshotIfChanged(const std::string &id);

    mutable RankedMutex mutex{LockRank::Members};
    SwimSettings settings;
    SwimState state;
    /// Null when it has to be made anew.
    mutable MemberSnapshot snapshot;
};

} // namespace plantainswitch
