#include "plantainswitch/membership/members.h"

namespace plantainswitch {

bool MemberTable::hear(const Heartbeat &heartbeat, TimePoint now)
{
    const RankedLock lock(this->mutex);
    const auto found = this->members.find(heartbeat.id);
    if (found == this->members.end()) {
        this->members.emplace(heartbeat.id, Member{heartbeat, now});
        return true;
    }
    Member &known = found->second;
    // A late datagram of the process before a restart would bring its old addresses back.
    if (heartbeat.incarnation < known.last.incarnation) {
        return false;
    }
    const bool restarted = heartbeat.incarnation > known.last.incarnation;
    known = Member{heartbeat, now};
    return restarted;
}

std::vector<Heartbeat> MemberTable::expire(TimePoint now)
{
    const RankedLock lock(this->mutex);
    std::vector<Heartbeat> gone;
    for (auto each = this->members.begin(); each != this->members.end();) {
        if (now - each->second.heard > memberTimeout) {
            gone.push_back(each->second.last);
            each = this->members.erase(each);
        } else {
            ++each;
        }
    }
    return gone;
}

std::vector<Heartbeat> MemberTable::active() const
{
    const RankedLock lock(this->mutex);
    std::vector<Heartbeat> result;
    for (const auto &[id, member] : this->members) {
        if (!member.last.leaving) {
            result.push_back(member.last);
        }
    }
    return result;
}

std::vector<Heartbeat> MemberTable::all() const
{
    const RankedLock lock(this->mutex);
    std::vector<Heartbeat> result;
    result.reserve(this->members.size());
    for (const auto &[id, member] : this->members) {
        result.push_back(member.last);
    }
    return result;
}

std::optional<Heartbeat> MemberTable::find(const std::string &id) const
{
    const RankedLock lock(this->mutex);
    const auto found = this->members.find(id);
    if (found == this->members.end()) {
        return std::nullopt;
    }
    return found->second.last;
}

} // namespace plantainswitch
