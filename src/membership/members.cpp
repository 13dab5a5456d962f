#include "plantainswitch/membership/members.h"

#include <algorithm>

namespace plantainswitch {

void MemberTable::begin(const Heartbeat &own, std::uint64_t seed)
{
    const RankedLock lock(this->mutex);
    this->state.own = own;
    this->state.random.seed(seed);
}

SwimOutput MemberTable::tick(const Heartbeat &own, const std::set<Endpoint> &seeds, TimePoint now)
{
    const RankedLock lock(this->mutex);
    describeSelf(this->state, own);
    return swimTick(this->state, this->settings, seeds, now);
}

SwimOutput MemberTable::receive(const SwimMessage &message, const Endpoint &from, TimePoint now)
{
    const RankedLock lock(this->mutex);
    return swimReceive(this->state, this->settings, message, from, now);
}

SwimOutput MemberTable::tellFew(const Heartbeat &own)
{
    const RankedLock lock(this->mutex);
    describeSelf(this->state, own);
    return swimTellFew(this->state, this->settings);
}

SwimOutput MemberTable::announce(const Heartbeat &own, bool gone)
{
    const RankedLock lock(this->mutex);
    describeSelf(this->state, own);
    return swimAnnounce(this->state, this->settings, gone);
}

bool MemberTable::hear(const Heartbeat &heartbeat, TimePoint now)
{
    SwimMessage message;
    message.kind = SwimKind::State;
    message.from = heartbeat;
    return !this->receive(message, heartbeat.datagrams, now).joined.empty();
}

std::vector<Heartbeat> MemberTable::collect(bool leavingToo) const
{
    const RankedLock lock(this->mutex);
    std::vector<Heartbeat> result;
    result.reserve(this->state.members.size() + 1);
    if (!this->state.own.id.empty() && (leavingToo || !this->state.own.leaving)) {
        result.push_back(this->state.own);
    }
    for (const auto &[id, member] : this->state.members) {
        if (member.state != MemberState::Gone && (leavingToo || !member.last.leaving)) {
            result.push_back(member.last);
        }
    }
    std::sort(result.begin(), result.end(),
              [](const Heartbeat &first, const Heartbeat &second) { return first.id < second.id; });
    return result;
}

std::vector<Heartbeat> MemberTable::active() const
{
    return this->collect(false);
}

std::vector<Heartbeat> MemberTable::all() const
{
    return this->collect(true);
}

std::optional<Heartbeat> MemberTable::find(const std::string &id) const
{
    const RankedLock lock(this->mutex);
    if (id == this->state.own.id) {
        return this->state.own;
    }
    const auto found = this->state.members.find(id);
    if (found == this->state.members.end() || found->second.state == MemberState::Gone) {
        return std::nullopt;
    }
    return found->second.last;
}

} // namespace plantainswitch
