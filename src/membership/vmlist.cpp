#include "plantainswitch/membership/vmlist.h"

#include <algorithm>

#include "plantainswitch/base/hash.h"

namespace plantainswitch {

namespace {

/// Gone records older than the newest version by more than this are forgotten.
constexpr std::uint64_t goneMilliseconds = 3'600'000;

std::uint32_t hashOfLine(const VmRecord &line) noexcept
{
    const std::uint64_t hash = mixHash(hashOf(line.vm.id), line.version);
    return static_cast<std::uint32_t>(hash);
}

bool isShrunk(const VmPollState &polls, const VmList &known, std::size_t polled)
{
    if (polled == 0) {
        return true;
    }
    const auto live = std::count_if(known.records.begin(), known.records.end(),
                                    [](const auto &each) { return !each.second.gone; });
    return polled * 2 < static_cast<std::size_t>(live) && polls.shortPolls < minShortPolls;
}

/// \returns whether the VM \a id, which differs from the shared list, is to be accepted.
bool isSettled(VmPollState &polls, const std::string &id, bool changedHere)
{
    const bool settled = changedHere || ++polls.differingPolls[id] >= minDifferingPolls;
    if (settled) {
        polls.differingPolls.erase(id);
    }
    return settled;
}

void takeSeen(VmPollState &polls, const VmList &known, const std::map<std::string, Vm> &seen,
              std::vector<VmRecord> &changed)
{
    for (const auto &[id, vm] : seen) {
        const auto line = known.records.find(id);
        if (line != known.records.end() && !line->second.gone && line->second.vm == vm) {
            polls.differingPolls.erase(id);
            continue;
        }
        const auto before = polls.previous.find(id);
        const bool unknown = line == known.records.end();
        const bool changedHere =
            !polls.previous.empty() && (before == polls.previous.end() || before->second != vm);
        if (isSettled(polls, id, unknown || changedHere)) {
            changed.push_back({vm, 0, false});
        }
    }
}

void takeMissing(VmPollState &polls, const VmList &known, const std::map<std::string, Vm> &seen,
                 std::vector<VmRecord> &changed)
{
    for (const auto &[id, line] : known.records) {
        if (line.gone || seen.contains(id)) {
            continue;
        }
        if (isSettled(polls, id, polls.previous.contains(id))) {
            changed.push_back({line.vm, 0, true});
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
    takeSeen(polls, known, seen, changed);
    if (isShrunk(polls, known, seen.size())) {
        ++polls.shortPolls;
        // Missing VMs stay among the previous ones and are examined when the list is complete
        // again.
        for (const auto &[id, vm] : seen) {
            polls.previous[id] = vm;
        }
    } else {
        polls.shortPolls = 0;
        takeMissing(polls, known, seen, changed);
        polls.previous = std::move(seen);
    }
    std::uint64_t stamp = std::max(wallMilliseconds, known.version + 1);
    for (VmRecord &line : changed) {
        line.version = stamp++;
    }
    return changed;
}

std::size_t mergeRecords(VmList &list, const std::vector<VmRecord> &lines)
{
    std::size_t taken = 0;
    for (const VmRecord &line : lines) {
        VmRecord &known = list.records[line.vm.id];
        if (known.version < line.version) {
            known = line;
            list.version = std::max(list.version, line.version);
            ++taken;
        }
    }
    std::erase_if(list.records, [&list](const auto &each) {
        return each.second.gone && each.second.version + goneMilliseconds < list.version;
    });
    return taken;
}

std::vector<VmRecord> recordsNewerThan(const VmList &list, std::uint64_t stamp)
{
    std::vector<VmRecord> result;
    for (const auto &[id, line] : list.records) {
        if (line.version > stamp) {
            result.push_back(line);
        }
    }
    return result;
}

std::vector<Vm> vmsOf(const VmList &list)
{
    std::vector<Vm> result;
    for (const auto &[id, line] : list.records) {
        if (!line.gone) {
            result.push_back(line.vm);
        }
    }
    return result;
}

std::uint32_t digestOf(const VmList &list) noexcept
{
    std::uint32_t digest = 0;
    for (const auto &[id, line] : list.records) {
        digest ^= line.gone ? 0 : hashOfLine(line);
    }
    return digest;
}

std::size_t VmTable::applyPoll(VmPollState &polls, const std::vector<Vm> &polled,
                               std::uint64_t wallMilliseconds)
{
    const RankedLock lock(this->mutex);
    const std::size_t taken =
        mergeRecords(this->list, detectVmChanges(polls, this->list, polled, wallMilliseconds));
    this->currentDigest = digestOf(this->list);
    return taken;
}

std::size_t VmTable::merge(const std::vector<VmRecord> &lines)
{
    const RankedLock lock(this->mutex);
    const std::size_t taken = mergeRecords(this->list, lines);
    this->currentDigest = digestOf(this->list);
    return taken;
}

std::vector<VmRecord> VmTable::recordsSince(std::uint64_t stamp) const
{
    const RankedLock lock(this->mutex);
    return recordsNewerThan(this->list, stamp);
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
