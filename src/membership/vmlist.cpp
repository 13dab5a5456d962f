#include "plantainswitch/membership/vmlist.h"

#include <algorithm>

#include "plantainswitch/base/hash.h"

namespace plantainswitch {

namespace {

/// Gone records older than the newest version by more than this are forgotten.
constexpr std::uint64_t goneRetentionMilliseconds = 3'600'000;

std::uint32_t hashOfRecord(const VmRecord &record) noexcept
{
    const std::uint64_t hash = mixHash(hashOf(record.vm.id), record.version);
    return static_cast<std::uint32_t>(hash);
}

bool isSuspiciouslyShort(const VmPollState &polls, const VmList &known, std::size_t polled)
{
    if (polled == 0) {
        return true;
    }
    const auto liveCount = std::count_if(known.records.begin(), known.records.end(),
                                         [](const auto &each) { return !each.second.gone; });
    return polled * 2 < static_cast<std::size_t>(liveCount) && polls.shortPolls < minShortPolls;
}

/// \returns whether the VM \a id, which differs from the shared list, is to be accepted.
bool isAccepted(VmPollState &polls, const std::string &id, bool changeSeenHere)
{
    const bool accepted = changeSeenHere || ++polls.differingPolls[id] >= minDifferingPolls;
    if (accepted) {
        polls.differingPolls.erase(id);
    }
    return accepted;
}

void collectChanged(VmPollState &polls, const VmList &known, const std::map<std::string, Vm> &seen,
                    std::vector<VmRecord> &changed)
{
    for (const auto &[id, vm] : seen) {
        const auto record = known.records.find(id);
        if (record != known.records.end() && !record->second.gone && record->second.vm == vm) {
            polls.differingPolls.erase(id);
            continue;
        }
        const auto previous = polls.previous.find(id);
        const bool isUnknown = record == known.records.end();
        const bool changeSeenHere =
            !polls.previous.empty() && (previous == polls.previous.end() || previous->second != vm);
        if (isAccepted(polls, id, isUnknown || changeSeenHere)) {
            changed.push_back({vm, 0, false});
        }
    }
}

void collectGone(VmPollState &polls, const VmList &known, const std::map<std::string, Vm> &seen,
                 std::vector<VmRecord> &changed)
{
    for (const auto &[id, record] : known.records) {
        if (record.gone || seen.contains(id)) {
            continue;
        }
        if (isAccepted(polls, id, polls.previous.contains(id))) {
            changed.push_back({record.vm, 0, true});
        }
    }
}

} // namespace

std::vector<VmRecord> detectVmChanges(VmPollState &polls, const VmList &known,
                                      const std::vector<Vm> &polled, std::uint64_t wallMilliseconds)
{
    std::map<std::string, Vm> seen;
    for (const Vm &vm : polled) {
        seen[vm.id] = vm;
    }
    std::vector<VmRecord> changed;
    collectChanged(polls, known, seen, changed);
    if (isSuspiciouslyShort(polls, known, seen.size())) {
        ++polls.shortPolls;
        // Missing VMs stay among the previous ones and are examined when the list is complete
        // again.
        for (const auto &[id, vm] : seen) {
            polls.previous[id] = vm;
        }
    } else {
        polls.shortPolls = 0;
        collectGone(polls, known, seen, changed);
        polls.previous = std::move(seen);
    }
    std::uint64_t version = std::max(wallMilliseconds, known.version + 1);
    for (VmRecord &record : changed) {
        record.version = version++;
    }
    return changed;
}

std::size_t mergeRecords(VmList &list, const std::vector<VmRecord> &records)
{
    std::size_t accepted = 0;
    for (const VmRecord &record : records) {
        VmRecord &known = list.records[record.vm.id];
        if (known.version < record.version) {
            known = record;
            list.version = std::max(list.version, record.version);
            ++accepted;
        }
    }
    std::erase_if(list.records, [&list](const auto &each) {
        return each.second.gone && each.second.version + goneRetentionMilliseconds < list.version;
    });
    return accepted;
}

std::vector<VmRecord> recordsNewerThan(const VmList &list, std::uint64_t version)
{
    std::vector<VmRecord> result;
    for (const auto &[id, record] : list.records) {
        if (record.version > version) {
            result.push_back(record);
        }
    }
    return result;
}

std::vector<Vm> vmsOf(const VmList &list)
{
    std::vector<Vm> result;
    for (const auto &[id, record] : list.records) {
        if (!record.gone) {
            result.push_back(record.vm);
        }
    }
    return result;
}

std::uint32_t digestOf(const VmList &list) noexcept
{
    std::uint32_t digest = 0;
    for (const auto &[id, record] : list.records) {
        digest ^= record.gone ? 0 : hashOfRecord(record);
    }
    return digest;
}

std::size_t VmTable::applyPoll(VmPollState &polls, const std::vector<Vm> &polled,
                               std::uint64_t wallMilliseconds)
{
    const RankedLock lock(this->mutex);
    const std::size_t accepted =
        mergeRecords(this->list, detectVmChanges(polls, this->list, polled, wallMilliseconds));
    this->currentDigest = digestOf(this->list);
    return accepted;
}

std::size_t VmTable::merge(const std::vector<VmRecord> &records)
{
    const RankedLock lock(this->mutex);
    const std::size_t accepted = mergeRecords(this->list, records);
    this->currentDigest = digestOf(this->list);
    return accepted;
}

std::vector<VmRecord> VmTable::recordsSince(std::uint64_t version) const
{
    const RankedLock lock(this->mutex);
    return recordsNewerThan(this->list, version);
}

std::vector<Vm> VmTable::vms() const
{
    const RankedLock lock(this->mutex);
    return vmsOf(this->list);
}

std::uint64_t VmTable::version() const
{
    const RankedLock lock(this->mutex);
    return this->list.version;
}

std::uint32_t VmTable::digest() const
{
    const RankedLock lock(this->mutex);
    return this->currentDigest;
}

} // namespace plantainswitch
