#include "plantainswitch/upstreams/upstreams.h"

#include "plantainswitch/base/hash.h"

namespace plantainswitch {

UpstreamId upstreamIdOf(std::string_view id) noexcept
{
    return hashOf(id);
}

void UpstreamTable::replace(const std::vector<Vm> &vms)
{
    const RankedLock lock(this->mutex);
    std::map<UpstreamId, Upstream> next;
    for (const Vm &vm : vms) {
        if (vm.role == VmRole::Router) {
            continue;
        }
        const UpstreamId id = upstreamIdOf(vm.id);
        Upstream upstream{vm, id, TimePoint{}};
        const auto known = this->upstreams.find(id);
        if (known != this->upstreams.end()) {
            upstream.vm.leaving = vm.leaving || known->second.vm.leaving;
            upstream.avoidUntil = known->second.avoidUntil;
        }
        next.emplace(id, std::move(upstream));
    }
    this->upstreams = std::move(next);
    this->taken = this->taken || !this->upstreams.empty();
}

void UpstreamTable::markLeaving(const std::string &id)
{
    const RankedLock lock(this->mutex);
    const auto found = this->upstreams.find(upstreamIdOf(id));
    if (found != this->upstreams.end()) {
        found->second.vm.leaving = true;
    }
}

void UpstreamTable::markUnreachable(UpstreamId id, TimePoint now)
{
    const RankedLock lock(this->mutex);
    const auto found = this->upstreams.find(id);
    if (found != this->upstreams.end()) {
        found->second.avoidUntil = now + connectPenalty;
    }
}

std::vector<Upstream> UpstreamTable::ready(std::string_view service, std::string_view place,
                                           TimePoint now) const
{
    const RankedLock lock(this->mutex);
    std::vector<Upstream> result;
    for (const auto &[id, upstream] : this->upstreams) {
        const Vm &vm = upstream.vm;
        if (vm.service == service && vm.place == place && !vm.leaving
            && upstream.avoidUntil <= now) {
            result.push_back(upstream);
        }
    }
    return result;
}

bool UpstreamTable::known() const
{
    const RankedLock lock(this->mutex);
    return this->taken;
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
