#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "plantainswitch/base/clock.h"
#include "plantainswitch/membership/vm.h"

namespace plantainswitch {

/// One upstream process of a service, from the platform's list.
struct Replica
{
    std::string id;
    /// Start time in Unix milliseconds. The same id with another start time is a new incarnation,
    /// whose cache holds nothing of the previous one.
    std::uint64_t startTime = 0;
    std::string service;
    /// Version of its software, not of the model's weights; empty if not stated.
    std::string version;
    Endpoint endpoint;
    /// Data centre.
    std::string dataCentre;
    /// Requests that it executes concurrently; 0 if not stated.
    std::uint32_t maxConcurrency = 0;
    /// It finishes its running requests and takes no new ones.
    bool draining = false;
    /// How much longer it is cold, as of the time at which it wrote its entry.
    Milliseconds coldFor{0};
};

/// What changed about one upstream.
enum class ReplicaChange : std::uint8_t { Added, Restarted, Moved, Draining, Removed, ColdTime };
[[nodiscard]] std::string_view nameOf(ReplicaChange change) noexcept;

/// A change of the list, for the log and for the owners of per-upstream state.
struct ReplicaEvent
{
    ReplicaChange change = ReplicaChange::Added;
    Replica replica;
};

/// How long upstreams that are missing from the platform's list after an outage are still used.
/// Entries whose lease could not be renewed during the outage expire and are listed again about two
/// seconds after it; until then a missing entry means nothing.
inline constexpr Milliseconds missingGracePeriod{2000};

/// Share of a service's upstreams that must be missing within missingGracePeriod for their leases
/// to be considered expired: the platform had an outage that went unnoticed while a watch was
/// pending. Planned removals affect few at a time; if all upstreams were removed at once, every
/// request would be rejected although they are running.
inline constexpr double massExpiryShare = 0.5;

/// Time for a removal to reach a router through another one that watches the list, including the
/// event loop iteration that ends a grace period; three times the value measured on a fleet of
/// eight.
inline constexpr Milliseconds removalPropagationDelay{600};

/// \returns how long upstreams whose leases may have expired are kept although no outage was seen.
/// They may also have left without notice, and must not get requests later than \a drainBound after
/// that. Live ones renew their entries more often than this, so that most are listed again in time.
[[nodiscard]] Milliseconds suspectedExpiryGrace(Milliseconds drainBound) noexcept;

/// The upstreams in the platform's list.
class ReplicaDirectory
{
public:
    /// \param expiryGrace how long upstreams with possibly expired leases are kept if no outage was
    /// seen
    explicit ReplicaDirectory(Milliseconds suspected = missingGracePeriod) noexcept
        : expiryGrace(suspected)
    {}

    /// Applies a complete list.
    /// \param keepUntil missing upstreams are kept until then and removed by removeExpired(); if it
    /// has passed, they are removed at once
    /// \returns the changes.
    std::vector<ReplicaEvent> applyList(std::vector<Replica> list, TimePoint keepUntil,
                                        TimePoint now);
    /// Applies the new entry of one upstream. \returns the changes.
    std::vector<ReplicaEvent> applyEntry(Replica replica);
    /// Applies removals that the platform reported together.
    /// \param keepUntil as in applyList()
    /// \returns the changes.
    std::vector<ReplicaEvent> applyRemovals(const std::vector<std::string> &ids,
                                            TimePoint keepUntil, TimePoint now);
    /// Removes the upstreams that are still missing after their grace period. \returns the changes.
    std::vector<ReplicaEvent> removeExpired(TimePoint now);

    /// \returns all upstreams by id.
    [[nodiscard]] const std::map<std::string, Replica> &all() const noexcept
    {
        return this->replicas;
    }
    /// \returns whether any upstream is kept only until removeExpired().
    [[nodiscard]] bool hasMissing() const noexcept { return !this->missing.empty(); }

private:
    std::vector<ReplicaEvent> remove(const std::string &id);
    /// Keeps the upstream until \a keepUntil; a draining one is removed at once.
    std::vector<ReplicaEvent> markMissing(const std::string &id, TimePoint keepUntil);
    /// \returns the services of which too many upstreams would be lost by removing \a ids.
    [[nodiscard]] std::set<std::string> servicesWithMassExpiry(const std::vector<std::string> &ids,
                                                               TimePoint now);

    Milliseconds expiryGrace;
    std::map<std::string, Replica> replicas;
    std::map<std::string, TimePoint> missing;
    /// When upstreams that weren't draining were recently removed, by service.
    std::map<std::string, std::vector<TimePoint>> recentRemovals;
};

} // namespace plantainswitch
