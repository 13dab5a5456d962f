#include "plantainswitch/membership/members.h"

#include <algorithm>

namespace plantainswitch {

namespace {

/// \returns the fields of a member that a snapshot holds.
Heartbeat snapshotFieldsOf(const Heartbeat &member)
{
    Heartbeat result;
    result.id = member.id;
    result.dataCentre = member.dataCentre;
    result.datagramEndpoint = member.datagramEndpoint;
    result.rpcEndpoint = member.rpcEndpoint;
    result.incarnation = member.incarnation;
    result.leaving = member.leaving;
    return result;
}

bool hasSameSnapshotFields(const Heartbeat &isListed, const Heartbeat &member)
{
    return isListed.incarnation == member.incarnation && isListed.leaving == member.leaving
           && isListed.dataCentre == member.dataCentre
           && isListed.datagramEndpoint == member.datagramEndpoint
           && isListed.rpcEndpoint == member.rpcEndpoint;
}

bool isLessById(const Heartbeat &first, const Heartbeat &second)
{
    return first.id < second.id;
}

bool isActive(const Member &member)
{
    return member.state != MemberState::Gone && !member.heartbeat.leaving;
}

bool isSelfActive(const Heartbeat &own)
{
    return !own.id.empty() && !own.leaving;
}

/// \returns the member with that id if it is active, else null.
const Heartbeat *findActive(const SwimState &state, const std::string &id)
{
    if (id == state.own.id) {
        return isSelfActive(state.own) ? &state.own : nullptr;
    }
    const auto found = state.members.find(id);
    return found != state.members.end() && isActive(found->second) ? &found->second.heartbeat
                                                                   : nullptr;
}

} // namespace

void MemberTable::initialize(const Heartbeat &own, std::uint64_t seed)
{
    const RankedLock lock(this->mutex);
    this->state.own = own;
    this->state.random.seed(seed);
    this->snapshot.reset();
}

SwimOutput MemberTable::tick(const Heartbeat &own, const std::set<Endpoint> &seeds, TimePoint now)
{
    const RankedLock lock(this->mutex);
    this->setSelf(own);
    SwimOutput output = swimTick(this->state, this->settings, seeds, now);
    for (const Heartbeat &gone : output.gone) {
        this->invalidateSnapshotIfChanged(gone.id);
    }
    return output;
}

SwimOutput MemberTable::receive(const SwimMessage &message, const Endpoint &from, TimePoint now)
{
    const RankedLock lock(this->mutex);
    SwimOutput output = swimReceive(this->state, this->settings, message, from, now);
    // Only members named in the message can have changed.
    this->invalidateSnapshotIfChanged(message.sender.id);
    for (const MemberUpdate &update : message.updates) {
        this->invalidateSnapshotIfChanged(update.member.id);
    }
    return output;
}

SwimOutput MemberTable::gossipSelf(const Heartbeat &own)
{
    const RankedLock lock(this->mutex);
    this->setSelf(own);
    return swimGossipSelf(this->state, this->settings);
}

SwimOutput MemberTable::announce(const Heartbeat &own, bool gone)
{
    const RankedLock lock(this->mutex);
    this->setSelf(own);
    return swimAnnounce(this->state, this->settings, gone);
}

bool MemberTable::receiveHeartbeat(const Heartbeat &heartbeat, TimePoint now)
{
    SwimMessage message;
    message.kind = SwimKind::JoinReply;
    message.sender = heartbeat;
    return !this->receive(message, heartbeat.datagramEndpoint, now).joined.empty();
}

void MemberTable::setSelf(const Heartbeat &own)
{
    if (own.id != this->state.own.id) {
        this->snapshot.reset();
    }
    swimUpdateSelf(this->state, own);
    this->invalidateSnapshotIfChanged(own.id);
}

void MemberTable::invalidateSnapshotIfChanged(const std::string &id)
{
    if (!this->snapshot) {
        return;
    }
    const Heartbeat *member = findActive(this->state, id);
    Heartbeat key;
    key.id = id;
    const auto found =
        std::lower_bound(this->snapshot->begin(), this->snapshot->end(), key, isLessById);
    const bool isListed = found != this->snapshot->end() && found->id == id;
    const bool isCurrent =
        member == nullptr ? !isListed : isListed && hasSameSnapshotFields(*found, *member);
    if (!isCurrent) {
        this->snapshot.reset();
    }
}

MemberSnapshot MemberTable::active() const
{
    const RankedLock lock(this->mutex);
    if (this->snapshot) {
        return this->snapshot;
    }
    auto rebuilt = std::make_shared<std::vector<Heartbeat>>();
    rebuilt->reserve(this->state.members.size() + 1);
    if (isSelfActive(this->state.own)) {
        rebuilt->push_back(snapshotFieldsOf(this->state.own));
    }
    for (const auto &[id, member] : this->state.members) {
        if (isActive(member)) {
            rebuilt->push_back(snapshotFieldsOf(member.heartbeat));
        }
    }
    std::sort(rebuilt->begin(), rebuilt->end(), isLessById);
    this->snapshot = std::move(rebuilt);
    return this->snapshot;
}

std::vector<Heartbeat> MemberTable::all() const
{
    const RankedLock lock(this->mutex);
    std::vector<Heartbeat> result;
    result.reserve(this->state.members.size() + 1);
    if (!this->state.own.id.empty()) {
        result.push_back(this->state.own);
    }
    for (const auto &[id, member] : this->state.members) {
        if (member.state != MemberState::Gone) {
            result.push_back(member.heartbeat);
        }
    }
    std::sort(result.begin(), result.end(), isLessById);
    return result;
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
    return found->second.heartbeat;
}

} // namespace plantainswitch
