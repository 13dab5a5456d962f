#include "plantainswitch/routing/replica.h"

#include <algorithm>
#include <array>
#include <iterator>

namespace plantainswitch {

namespace {

constexpr std::array changeNames{std::string_view{"appeared"}, std::string_view{"reborn"},
                                 std::string_view{"moved"},    std::string_view{"leaving"},
                                 std::string_view{"gone"},     std::string_view{"cold-time"}};

} // namespace

std::string_view nameOf(ReplicaChange change) noexcept
{
    return changeNames.at(static_cast<std::size_t>(change));
}

Milliseconds suspectedExpiryGrace(Milliseconds drainBound) noexcept
{
    return std::clamp(drainBound - removalPropagationDelay, Milliseconds{0}, missingGracePeriod);
}

std::vector<ReplicaEvent> ReplicaDirectory::applyEntry(Replica replica)
{
    this->missing.erase(replica.id);
    const auto known = this->replicas.find(replica.id);
    if (known == this->replicas.end()) {
        const ReplicaChange change =
            replica.draining ? ReplicaChange::Draining : ReplicaChange::Added;
        this->replicas.emplace(replica.id, replica);
        return {{change, std::move(replica)}};
    }
    Replica &old = known->second;
    // No process changes its version, and not every entry states when its process started.
    const bool isRestarted = old.startTime != replica.startTime || old.version != replica.version;
    const bool isMoved = old.endpoint != replica.endpoint || old.service != replica.service;
    // Draining is never revoked within an incarnation: a stale list may still show the upstream as
    // ready.
    replica.draining = replica.draining || (old.draining && !isRestarted);
    const bool startsDraining = replica.draining && !old.draining;
    const bool isColdTimeChanged = replica.coldFor != old.coldFor && !isRestarted && !isMoved;
    old = replica;
    std::vector<ReplicaEvent> events;
    if (isRestarted) {
        events.push_back({ReplicaChange::Restarted, replica});
    } else if (isMoved) {
        events.push_back({ReplicaChange::Moved, replica});
    }
    if (isColdTimeChanged) {
        events.push_back({ReplicaChange::ColdTime, replica});
    }
    if (startsDraining) {
        events.push_back({ReplicaChange::Draining, std::move(replica)});
    }
    return events;
}

std::vector<ReplicaEvent> ReplicaDirectory::remove(const std::string &id)
{
    this->missing.erase(id);
    const auto known = this->replicas.find(id);
    if (known == this->replicas.end()) {
        return {};
    }
    std::vector<ReplicaEvent> events{{ReplicaChange::Removed, std::move(known->second)}};
    this->replicas.erase(known);
    return events;
}

std::vector<ReplicaEvent> ReplicaDirectory::markMissing(const std::string &id, TimePoint keepUntil)
{
    const auto known = this->replicas.find(id);
    // A draining upstream that is missing has stopped; its lease did not just expire.
    if (known == this->replicas.end() || known->second.draining) {
        return this->remove(id);
    }
    this->missing.emplace(id, keepUntil);
    return {};
}

std::set<std::string> ReplicaDirectory::servicesWithMassExpiry(const std::vector<std::string> &ids,
                                                               TimePoint now)
{
    std::map<std::string, std::size_t> removed;
    for (const std::string &id : ids) {
        const auto known = this->replicas.find(id);
        if (known != this->replicas.end() && !known->second.draining) {
            ++removed[known->second.service];
        }
    }
    std::set<std::string> expired;
    for (const auto &[service, count] : removed) {
        auto &times = this->recentRemovals[service];
        std::erase_if(times, [now](TimePoint when) { return now - when > missingGracePeriod; });
        const auto present = std::count_if(
            this->replicas.begin(), this->replicas.end(), [&service = service](const auto &entry) {
                return entry.second.service == service && !entry.second.draining;
            });
        const std::size_t all = count + times.size();
        const auto before = static_cast<double>(static_cast<std::size_t>(present) + times.size());
        if (all > 1 && static_cast<double>(all) > massExpiryShare * before) {
            expired.insert(service);
        } else {
            times.insert(times.end(), count, now);
        }
    }
    return expired;
}

std::vector<ReplicaEvent> ReplicaDirectory::applyRemovals(const std::vector<std::string> &ids,
                                                          TimePoint keepUntil, TimePoint now)
{
    const bool keepsAll = keepUntil > now;
    const std::set<std::string> expired =
        keepsAll ? std::set<std::string>{} : this->servicesWithMassExpiry(ids, now);
    std::vector<ReplicaEvent> events;
    for (const std::string &id : ids) {
        const auto known = this->replicas.find(id);
        const bool isExpired =
            known != this->replicas.end() && expired.contains(known->second.service);
        auto changes = keepsAll    ? this->markMissing(id, keepUntil)
                       : isExpired ? this->markMissing(id, now + this->expiryGrace)
                                   : this->remove(id);
        std::move(changes.begin(), changes.end(), std::back_inserter(events));
    }
    return events;
}

std::vector<ReplicaEvent> ReplicaDirectory::applyList(std::vector<Replica> list,
                                                      TimePoint keepUntil, TimePoint now)
{
    std::vector<ReplicaEvent> events;
    std::set<std::string> listed;
    for (Replica &replica : list) {
        listed.insert(replica.id);
        for (ReplicaEvent &event : this->applyEntry(std::move(replica))) {
            events.push_back(std::move(event));
        }
    }
    std::vector<std::string> unlisted;
    for (const auto &[id, replica] : this->replicas) {
        // Upstreams that are already missing keep their deadline.
        if (!listed.contains(id) && !this->missing.contains(id)) {
            unlisted.push_back(id);
        }
    }
    for (ReplicaEvent &event : this->applyRemovals(unlisted, keepUntil, now)) {
        events.push_back(std::move(event));
    }
    return events;
}

std::vector<ReplicaEvent> ReplicaDirectory::removeExpired(TimePoint now)
{
    std::vector<std::string> due;
    for (const auto &[id, until] : this->missing) {
        if (now >= until) {
            due.push_back(id);
        }
    }
    std::vector<ReplicaEvent> events;
    for (const std::string &id : due) {
        for (ReplicaEvent &event : this->remove(id)) {
            events.push_back(std::move(event));
        }
    }
    return events;
}

} // namespace plantainswitch
