#include "upstreamregistry.h"

#include <algorithm>

#include "plantainswitch/base/hash.h"

namespace plantainswitch::gateway {

void UpstreamRegistry::apply(const std::vector<ReplicaEvent> &events)
{
    if (events.empty()) {
        return;
    }
    for (const ReplicaEvent &event : events) {
        const std::string &id = event.replica.id;
        switch (event.change) {
        case ReplicaChange::Removed:
            if (const auto existing = this->byId.find(id); existing != this->byId.end()) {
                this->idleConnections.erase(incarnationOf(existing->second->replica));
                this->byId.erase(existing);
            }
            break;
        case ReplicaChange::Restarted:
        case ReplicaChange::Added:
        case ReplicaChange::Moved:
            // A new incarnation has an empty cache and no faults. Requests of the old one keep its
            // state.
            this->byId[id] = this->makeState(event.replica);
            break;
        case ReplicaChange::Draining: {
            auto &state = this->byId[id];
            if (!state) {
                state = this->makeState(event.replica);
            }
            state->replica = event.replica;
            break;
        }
        case ReplicaChange::ColdTime:
            if (const auto existing = this->byId.find(id); existing != this->byId.end()) {
                existing->second->replica = event.replica;
            }
            break;
        }
    }
    this->rebuildIndexes();
}

std::shared_ptr<UpstreamState> UpstreamRegistry::makeState(const Replica &replica) const
{
    auto state = std::make_shared<UpstreamState>();
    state->replica = replica;
    state->announcedDraining = this->notices.isDraining(replica);
    state->backoffUntil = this->notices.backoffEnd(replica);
    return state;
}

bool UpstreamRegistry::recordDraining(const Replica &replica)
{
    if (!this->notices.recordDraining(replica)) {
        return false;
    }
    const auto state = this->find(replica.id);
    if (state && incarnationOf(state->replica) == incarnationOf(replica)) {
        state->announcedDraining = true;
    }
    return true;
}

void UpstreamRegistry::recordBackoff(const Replica &replica, Milliseconds backoff)
{
    const TimePoint end = this->notices.recordBackoff(replica, backoff, this->clock.now());
    if (const auto state = this->find(replica.id)) {
        state->backoffUntil = end;
    }
}

void UpstreamRegistry::rebuildIndexes()
{
    this->byService.clear();
    this->byIncarnation.clear();
    this->byKey.clear();
    for (const auto &[id, state] : this->byId) {
        this->byService[state->replica.service].push_back(state.get());
        this->byIncarnation[incarnationOf(state->replica)] = state.get();
        this->byKey[hashOf(id)] = state.get();
    }
}

std::span<UpstreamState *const> UpstreamRegistry::ofService(const std::string &service) const
{
    const auto found = this->byService.find(service);
    return found == this->byService.end() ? std::span<UpstreamState *const>{}
                                          : std::span<UpstreamState *const>{found->second};
}

std::vector<UpstreamState *> UpstreamRegistry::inDataCentre(const std::string &dataCentre) const
{
    std::vector<UpstreamState *> found;
    for (const auto &[id, state] : this->byId) {
        if (state->replica.dataCentre == dataCentre && !isDraining(*state)) {
            found.push_back(state.get());
        }
    }
    return found;
}

std::shared_ptr<UpstreamState> UpstreamRegistry::find(const std::string &id) const
{
    const auto found = this->byId.find(id);
    return found == this->byId.end() ? nullptr : found->second;
}

UpstreamState *UpstreamRegistry::findIncarnation(std::uint64_t incarnation) const
{
    const auto found = this->byIncarnation.find(incarnation);
    return found == this->byIncarnation.end() ? nullptr : found->second;
}

UpstreamState *UpstreamRegistry::findKey(std::uint64_t key) const
{
    const auto found = this->byKey.find(key);
    return found == this->byKey.end() ? nullptr : found->second;
}

std::shared_ptr<UpstreamConnection> UpstreamRegistry::acquireIdle(const UpstreamState &state,
                                                                  bool mayRepeat)
{
    const auto found = this->idleConnections.find(incarnationOf(state.replica));
    if (found == this->idleConnections.end()) {
        return nullptr;
    }
    const Milliseconds maxIdle = mayRepeat ? maxIdleTime : maxIdleTimeAtMostOnce;
    auto &connections = found->second;
    while (!connections.empty()) {
        auto connection = std::move(connections.back());
        connections.pop_back();
        if (connection->isReusable() && this->clock.now() - connection->idleSince() <= maxIdle) {
            return connection;
        }
        if (connection->isReusable() && !mayRepeat) {
            connections.push_back(std::move(connection));
            return nullptr;
        }
        connection->abort();
    }
    return nullptr;
}

void UpstreamRegistry::release(const UpstreamState &state,
                               std::shared_ptr<UpstreamConnection> connection)
{
    if (connection->isReusable()) {
        this->idleConnections[incarnationOf(state.replica)].push_back(std::move(connection));
    }
}

void UpstreamRegistry::closeIdle()
{
    const TimePoint now = this->clock.now();
    for (auto &[incarnation, connections] : this->idleConnections) {
        std::erase_if(connections, [now](const std::shared_ptr<UpstreamConnection> &connection) {
            const bool stale =
                !connection->isReusable() || now - connection->idleSince() > maxIdleTime;
            if (stale) {
                connection->abort();
            }
            return stale;
        });
    }
    std::erase_if(this->idleConnections, [](const auto &entry) { return entry.second.empty(); });
}

} // namespace plantainswitch::gateway
