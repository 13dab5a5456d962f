#include "plantainswitch/routing/streamorigin.h"

#include <algorithm>
#include <array>
#include <utility>

#include "plantainswitch/base/hash.h"
#include "plantainswitch/routing/upstreamstate.h"

namespace plantainswitch {

namespace {

constexpr std::array bindingNames{std::string_view{"free"}, std::string_view{"bound"},
                                  std::string_view{"unknown"}};

/// Origins of requests without a useful time budget are kept this long at least and at most.
constexpr Milliseconds minOriginRetention{10'000};
constexpr Milliseconds maxOriginRetention{600'000};
/// A caller may count a budget of its own for each attempt.
constexpr int originRetentionBudgets = 2;

Seconds expirySecondOf(TimePoint expiresAt)
{
    return std::chrono::ceil<Seconds>(expiresAt.time_since_epoch());
}

} // namespace

StreamKey streamKeyOf(std::string_view attempt, std::string_view workspace,
                      std::string_view service) noexcept
{
    return mixHash(hashOf(attempt), mixHash(hashOf(workspace), hashOf(service)));
}

VersionKey versionKeyOf(const Replica &replica) noexcept
{
    const std::uint64_t version =
        replica.version.empty() ? incarnationOf(replica) : hashOf(replica.version);
    return mixHash(hashOf(replica.service), version);
}

RouterProcess routerProcessOf(std::string_view router, std::uint64_t incarnation) noexcept
{
    return mixHash(hashOf(router), incarnation);
}

std::string_view nameOf(BindingState state) noexcept
{
    return bindingNames.at(static_cast<std::size_t>(state));
}

bool StreamOriginTable::record(const StreamOrigin &origin, TimePoint now)
{
    if (origin.expiresAt <= now) {
        return false;
    }
    const auto [found, isNew] = this->origins.try_emplace(
        origin.stream, Entry{origin.version, origin.expiresAt, origin.owner, false, false});
    Entry &entry = found->second;
    if (isNew) {
        this->byOwner[origin.owner].streams.push_back(origin.stream);
    } else if (origin.owner != 0 && origin.owner != entry.owner) {
        // The stream was taken up at another router.
        this->changeOwner(origin.stream, entry, origin.owner);
    }
    const bool contradicts = entry.version != origin.version && !entry.isContradicted;
    entry.isContradicted = entry.isContradicted || contradicts;
    const Seconds second = expirySecondOf(std::max(entry.expiresAt, origin.expiresAt));
    if (isNew || second > expirySecondOf(entry.expiresAt)) {
        entry.expiresAt = std::max(entry.expiresAt, origin.expiresAt);
        this->byExpiry[second].push_back(origin.stream);
    }
    while (this->origins.size() > maxStreamOrigins) {
        this->removeFirstExpiring();
    }
    return isNew || contradicts;
}

std::optional<StreamOrigin> StreamOriginTable::find(StreamKey stream, TimePoint now) const
{
    const auto found = this->origins.find(stream);
    if (found == this->origins.end() || found->second.isContradicted
        || found->second.expiresAt <= now) {
        return std::nullopt;
    }
    return StreamOrigin{stream, found->second.version, found->second.expiresAt,
                        found->second.owner};
}

void StreamOriginTable::complete(StreamKey stream)
{
    const auto found = this->origins.find(stream);
    if (found != this->origins.end()) {
        found->second.isComplete = true;
    }
}

std::vector<StreamOrigin>
StreamOriginTable::incompleteOf(const std::function<bool(RouterProcess)> &isWanted,
                                TimePoint now) const
{
    std::vector<StreamOrigin> found;
    for (const auto &[owner, owned] : this->byOwner) {
        if (!isWanted(owner)) {
            continue;
        }
        for (const StreamKey stream : owned.streams) {
            const auto entry = this->origins.find(stream);
            const bool isIncomplete = entry != this->origins.end() && entry->second.owner == owner
                                      && !entry->second.isContradicted && !entry->second.isComplete
                                      && entry->second.expiresAt > now;
            if (isIncomplete) {
                found.push_back({stream, entry->second.version, entry->second.expiresAt, owner});
            }
        }
    }
    return found;
}

void StreamOriginTable::changeOwner(StreamKey stream, Entry &entry, RouterProcess owner)
{
    this->disown(std::exchange(entry.owner, owner));
    this->byOwner[owner].streams.push_back(stream);
}

void StreamOriginTable::disown(RouterProcess owner)
{
    const auto found = this->byOwner.find(owner);
    if (found == this->byOwner.end()) {
        return;
    }
    OwnedStreams &owned = found->second;
    owned.staleCount += 1;
    if (2 * owned.staleCount <= owned.streams.size()) {
        return;
    }
    std::erase_if(owned.streams, [this, owner](StreamKey stream) {
        const auto entry = this->origins.find(stream);
        return entry == this->origins.end() || entry->second.owner != owner;
    });
    owned.staleCount = 0;
    if (owned.streams.empty()) {
        this->byOwner.erase(found);
    }
}

void StreamOriginTable::removeExpired(TimePoint now)
{
    while (!this->byExpiry.empty() && TimePoint{this->byExpiry.begin()->first} <= now) {
        this->removeFirstExpiring();
    }
}

void StreamOriginTable::removeFirstExpiring()
{
    const auto first = this->byExpiry.begin();
    for (const StreamKey stream : first->second) {
        const auto found = this->origins.find(stream);
        if (found != this->origins.end()
            && expirySecondOf(found->second.expiresAt) <= first->first) {
            const RouterProcess owner = found->second.owner;
            this->origins.erase(found);
            this->disown(owner);
        }
    }
    this->byExpiry.erase(first);
}

void bindTo(StreamState &stream, std::optional<VersionKey> version) noexcept
{
    stream.binding = version ? BindingState::Bound : BindingState::Unknown;
    stream.version = version.value_or(0);
}

bool recordEvents(StreamState &stream) noexcept
{
    if (stream.binding != BindingState::Free) {
        return false;
    }
    bindTo(stream, stream.currentVersion);
    return stream.binding == BindingState::Bound;
}

bool isPermitted(const StreamState &stream, const Replica &replica) noexcept
{
    return stream.binding == BindingState::Free
           || (stream.binding == BindingState::Bound && stream.version == versionKeyOf(replica));
}

Milliseconds originRetention(Milliseconds timeBudget) noexcept
{
    return std::clamp(originRetentionBudgets * timeBudget, minOriginRetention, maxOriginRetention);
}

} // namespace plantainswitch
