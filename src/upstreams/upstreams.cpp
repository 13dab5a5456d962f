#include "plantainswitch/upstreams/upstreams.h"

#include <limits>
#include <utility>

#include "plantainswitch/base/hash.h"

namespace plantainswitch {

UpstreamId upstreamIdOf(std::string_view id) noexcept
{
    return hashOf(id);
}

namespace {

/// Start stamp of a VM that a notice named before the list did; no stamp counts as later.
constexpr std::uint64_t unknownStart = std::numeric_limits<std::uint64_t>::max();

bool isNewIncarnation(const Vm &vm, std::uint64_t startedBefore) noexcept
{
    return vm.startStamp > startedBefore;
}

} // namespace

void UpstreamTable::replace(const std::vector<Vm> &vms, TimePoint now)
{
    const RankedLock lock(this->mutex);
    std::erase_if(this->delisted, [now](const auto &each) {
        return now - each.second.since >= newIncarnationAfter;
    });
    std::map<UpstreamId, Upstream> next;
    for (const Vm &vm : vms) {
        if (vm.role == VmRole::Router) {
            continue;
        }
        const UpstreamId id = upstreamIdOf(vm.id);
        Upstream upstream{vm, id, TimePoint{}};
        const auto known = this->upstreams.find(id);
        const auto delistedBefore = this->delisted.find(id);
        bool wasDraining = false;
        if (known != this->upstreams.end() && !isNewIncarnation(vm, known->second.vm.startStamp)) {
            wasDraining = known->second.vm.leaving;
            upstream.ejectedUntil = known->second.ejectedUntil;
        } else if (delistedBefore != this->delisted.end()
                   && !isNewIncarnation(vm, delistedBefore->second.started)) {
            wasDraining = true;
        }
        this->delisted.erase(id);
        upstream.vm.leaving = vm.leaving || wasDraining;
        if (vm.leaving && !wasDraining) {
            this->newlyDraining.push_back(vm.id);
        }
        next.emplace(id, std::move(upstream));
    }
    for (const auto &[id, upstream] : this->upstreams) {
        if (upstream.vm.leaving && !next.contains(id)) {
            this->delisted[id] = {upstream.vm.startStamp, now};
        }
    }
    this->upstreams = std::move(next);
    this->pools.clear();
    for (const auto &[id, upstream] : this->upstreams) {
        this->pools[upstream.vm.dataCentre][upstream.vm.service].push_back(id);
    }
    this->populated = this->populated || !this->upstreams.empty();
}

void UpstreamTable::markDraining(const std::string &id, TimePoint now)
{
    const RankedLock lock(this->mutex);
    const UpstreamId shortId = upstreamIdOf(id);
    const auto found = this->upstreams.find(shortId);
    if (found == this->upstreams.end()) {
        if (this->delisted.emplace(shortId, DelistedUpstream{unknownStart, now}).second) {
            this->newlyDraining.push_back(id);
        }
    } else if (!found->second.vm.leaving) {
        found->second.vm.leaving = true;
        this->newlyDraining.push_back(id);
    }
}

std::vector<std::string> UpstreamTable::takeNewlyDraining()
{
    const RankedLock lock(this->mutex);
    return std::exchange(this->newlyDraining, {});
}

void UpstreamTable::markUnreachable(UpstreamId id, TimePoint now)
{
    const RankedLock lock(this->mutex);
    const auto found = this->upstreams.find(id);
    if (found != this->upstreams.end()) {
        found->second.ejectedUntil = now + connectFailureEjection;
    }
}

std::vector<Upstream> UpstreamTable::ready(std::string_view service, std::string_view dataCentre,
                                           TimePoint now) const
{
    const RankedLock lock(this->mutex);
    std::vector<Upstream> result;
    const auto inPlace = this->pools.find(dataCentre);
    if (inPlace == this->pools.end()) {
        return result;
    }
    const auto pool = inPlace->second.find(service);
    if (pool == inPlace->second.end()) {
        return result;
    }
    for (const UpstreamId id : pool->second) {
        const Upstream &upstream = this->upstreams.at(id);
        if (!upstream.vm.leaving && upstream.ejectedUntil <= now) {
            result.push_back(upstream);
        }
    }
    return result;
}

bool UpstreamTable::wasPopulated() const
{
    const RankedLock lock(this->mutex);
    return this->populated;
}

std::optional<Upstream> UpstreamTable::find(UpstreamId id) const
{
    const RankedLock lock(this->mutex);
    const auto found = this->upstreams.find(id);
    if (found == this->upstreams.end()) {
        return std::nullopt;
    }
    return found->second;
}

} // namespace plantainswitch
