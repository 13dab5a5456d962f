#include "upstreamregistry.h"

#include <algorithm>

namespace plantainswitch::gateway {

void Upstreams::take(const std::vector<ReplicaEvent> &events)
{
    if (events.empty()) {
        return;
    }
    for (const ReplicaEvent &event : events) {
        const std::string &id = event.replica.id;
        switch (event.change) {
        case ReplicaChange::Gone:
            if (const auto known = this->byId.find(id); known != this->byId.end()) {
                this->idle.erase(lifeOf(known->second->replica));
                this->byId.erase(known);
            }
            break;
        case ReplicaChange::Reborn:
        case ReplicaChange::Appeared:
        case ReplicaChange::Moved:
            // A new life holds nothing and owes nothing; requests of the old one keep its state.
            this->byId[id] = std::make_shared<UpstreamState>();
            this->byId[id]->replica = event.replica;
            break;
        case ReplicaChange::Leaving: {
            auto &state = this->byId[id];
            if (!state) {
                state = std::make_shared<UpstreamState>();
            }
            state->replica = event.replica;
            break;
        }
        }
    }
    this->rebuild();
}

void Upstreams::rebuild()
{
    this->byService.clear();
    this->byLife.clear();
    for (const auto &[id, state] : this->byId) {
        this->byService[state->replica.service].push_back(state.get());
        this->byLife[lifeOf(state->replica)] = state.get();
    }
}

std::span<UpstreamState *const> Upstreams::ofService(const std::string &service) const
{
    const auto found = this->byService.find(service);
    return found == this->byService.end() ? std::span<UpstreamState *const>{}
                                          : std::span<UpstreamState *const>{found->second};
}

std::vector<UpstreamState *> Upstreams::inDataCentre(const std::string &dataCentre) const
{
    std::vector<UpstreamState *> found;
    for (const auto &[id, state] : this->byId) {
        if (state->replica.place == dataCentre && !state->replica.leaving) {
            found.push_back(state.get());
        }
    }
    return found;
}

std::shared_ptr<UpstreamState> Upstreams::share(const std::string &id) const
{
    const auto found = this->byId.find(id);
    return found == this->byId.end() ? nullptr : found->second;
}

UpstreamState *Upstreams::findLife(std::uint64_t life) const
{
    const auto found = this->byLife.find(life);
    return found == this->byLife.end() ? nullptr : found->second;
}

std::shared_ptr<UpstreamConnection> Upstreams::takeIdle(const UpstreamState &state, bool mayRepeat)
{
    const auto found = this->idle.find(lifeOf(state.replica));
    if (found == this->idle.end()) {
        return nullptr;
    }
    const Milliseconds allowed = mayRepeat ? longestIdle : longestIdleOnce;
    auto &connections = found->second;
    while (!connections.empty()) {
        auto connection = std::move(connections.back());
        connections.pop_back();
        if (connection->isReusable() && this->clock.now() - connection->idleSince() <= allowed) {
            return connection;
        }
        if (connection->isReusable() && !mayRepeat) {
            connections.push_back(std::move(connection));
            return nullptr;
        }
        connection->drop();
    }
    return nullptr;
}

void Upstreams::giveBack(const UpstreamState &state, std::shared_ptr<UpstreamConnection> connection)
{
    if (connection->isReusable()) {
        this->idle[lifeOf(state.replica)].push_back(std::move(connection));
    }
}

void Upstreams::closeStale()
{
    const TimePoint now = this->clock.now();
    for (auto &[life, connections] : this->idle) {
        std::erase_if(connections, [now](const std::shared_ptr<UpstreamConnection> &connection) {
            const bool stale =
                !connection->isReusable() || now - connection->idleSince() > longestIdle;
            if (stale) {
                connection->drop();
            }
            return stale;
        });
    }
    std::erase_if(this->idle, [](const auto &entry) { return entry.second.empty(); });
}

} // namespace plantainswitch::gateway
