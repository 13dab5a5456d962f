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

/// One upstream process of a service, as the platform's list describes it.
struct Replica
{
    std::string id;
    /// Unix milliseconds of its start; the same id with another start is another life, which
    /// holds nothing of what the earlier one cached.
    std::uint64_t startTime = 0;
    std::string service;
    Endpoint endpoint;
    /// Data centre.
    std::string dataCentre;
    /// Requests that it works on at once; 0: not stated.
    std::uint32_t maxConcurrency = 0;
    /// It finishes what it has and takes nothing new.
    bool draining = false;
};

/// What changed for one upstream.
enum class ReplicaChange : std::uint8_t { Added, Restarted, Moved, Draining, Removed };
[[nodiscard]] std::string_view nameOf(ReplicaChange change) noexcept;

/// A change of the list, for the log and for who keeps state of an upstream.
struct ReplicaEvent
{
    ReplicaChange change = ReplicaChange::Added;
    Replica replica;
};

/// How long upstreams that the platform's list lacks after an outage are still used. The list
/// drops entries that could not be renewed during the outage, and has them back some two seconds
/// after it; until then a missing entry says nothing.
inline constexpr Milliseconds missingGracePeriod{2000};

/// Share of a service's upstreams that are lost within missingGrace at which they are taken to have
/// lapsed: the platform was away unnoticed, while a watch was waiting. Planned work takes few at a
/// time; were all upstreams dropped at once, every request would be refused though they work.
inline constexpr double massExpiryShare = 0.5;

/// Time that the word of a removal takes to a router by way of another one that watches the list,
/// with the turn of its loop after which a grace ends; three times what a fleet of eight showed.
inline constexpr Milliseconds removalPropagationDelay{600};

/// \returns how long upstreams that may have lapsed are kept though nothing says that the platform
/// was away. They may as well have left without a word, and nothing new may reach them then after
/// \a drainBound. Live ones renew their entries once in less than this, so that most are back.
[[nodiscard]] Milliseconds suspectedExpiryGrace(Milliseconds drainBound) noexcept;

/// The upstreams that the platform's list names.
class ReplicaDirectory
{
public:
    /// \param suspected how long those that may have lapsed, with no outage seen, are kept
    explicit ReplicaDirectory(Milliseconds suspected = missingGracePeriod) noexcept
        : expiryGrace(suspected)
    {}

    /// Takes a whole list.
    /// \param keepUntil who is missing is kept until then and dropped by expire(); with a time that
    /// is over it is dropped at once
    std::vector<ReplicaEvent> applyList(std::vector<Replica> list, TimePoint keepUntil,
                                        TimePoint now);
    /// Takes one upstream's new entry.
    std::vector<ReplicaEvent> applyEntry(Replica replica);
    /// Takes the removal of entries that the platform told at once.
    /// \param keepUntil as for takeList
    std::vector<ReplicaEvent> applyRemovals(const std::vector<std::string> &ids,
                                            TimePoint keepUntil, TimePoint now);
    /// Drops those that are still missing after their grace.
    std::vector<ReplicaEvent> removeExpired(TimePoint now);

    /// \returns all upstreams by id.
    [[nodiscard]] const std::map<std::string, Replica> &all() const noexcept
    {
        return this->replicas;
    }
    /// \returns whether an upstream waits for expire().
    [[nodiscard]] bool hasMissing() const noexcept { return !this->missing.empty(); }

private:
    std::vector<ReplicaEvent> remove(const std::string &id);
    /// Keeps the upstream until \a keepUntil, unless it was leaving.
    std::vector<ReplicaEvent> markMissing(const std::string &id, TimePoint keepUntil);
    /// \returns the services of which too many are lost with \a ids to be gone.
    [[nodiscard]] std::set<std::string> servicesWithMassExpiry(const std::vector<std::string> &ids,
                                                               TimePoint now);

    Milliseconds expiryGrace;
    std::map<std::string, Replica> replicas;
    std::map<std::string, TimePoint> missing;
    /// When upstreams that weren't leaving were dropped lately, by service.
    std::map<std::string, std::vector<TimePoint>> recentRemovals;
};

} // namespace plantainswitch
