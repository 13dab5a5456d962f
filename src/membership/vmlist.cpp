#include "plantainswitch/membership/vmlist.h"

#include <algorithm>

#include "plantainswitch/base/hash.h"

namespace plantainswitch {

namespace {

/// Gone lines older than this against the newest line are forgotten.
constexpr std::uint64_t goneMilliseconds = 3'600'000;

std::uint32_t hashOfLine(const VmLine &line) noexcept
{
    const std::uint64_t hash = mixHash(hashOf(line.vm.id), line.stamp);
    return static_cast<std::uint32_t>(hash);
}

bool isShrunk(const VmPolls &polls, const VmList &known, std::size_t polled)
{
    if (polled == 0) {
        return true;
    }
    const auto live = std::count_if(known.lines.begin(), known.lines.end(),
                                    [](const auto &each) { return !each.second.gone; });
    return polled * 2 < static_cast<std::size_t>(live) && polls.shrunk < shrunkPolls;
}

/// \returns whether the line \a id, which differs from the shared list, is to be taken.
bool isSettled(VmPolls &polls, const std::string &id, bool changedHere)
{
    const bool settled = changedHere || ++polls.differing[id] >= settledPolls;
    if (settled) {
        polls.differing.erase(id);
    }
    return settled;
}

void takeSeen(VmPolls &polls, const VmList &known, const std::map<std::string, Vm> &seen,
              std::vector<VmLine> &changed)
{
    for (const auto &[id, vm] : seen) {
        const auto line = known.lines.find(id);
        if (line != known.lines.end() && !line->second.gone && line->second.vm == vm) {
            polls.differing.erase(id);
            continue;
        }
        const auto before = polls.previous.find(id);
        const bool unknown = line == known.lines.end();
        const bool changedHere =
            !polls.previous.empty() && (before == polls.previous.end() || before->second != vm);
        if (isSettled(polls, id, unknown || changedHere)) {
            changed.push_back({vm, 0, false});
        }
    }
}

void takeMissing(VmPolls &polls, const VmList &known, const std::map<std::string, Vm> &seen,
                 std::vector<VmLine> &changed)
{
    for (const auto &[id, line] : known.lines) {
        if (line.gone || seen.contains(id)) {
            continue;
        }
        if (isSettled(polls, id, polls.previous.contains(id))) {
            changed.push_back({line.vm, 0, true});
        }
    }
}

} // namespace

std::vector<VmLine> takePoll(VmPolls &polls, const VmList &known, const std::vector<Vm> &polled,
                             std::uint64_t wallMilliseconds)
{
    std::map<std::string, Vm> seen;
    for (const Vm &vm : polled) {
        seen[vm.id] = vm;
    }
    std::vector<VmLine> changed;
    takeSeen(polls, known, seen, changed);
    if (isShrunk(polls, known, seen.size())) {
        ++polls.shrunk;
        // What is missing keeps its place among the previous ones, to be judged when the list
        // is whole again.
        for (const auto &[id, vm] : seen) {
            polls.previous[id] = vm;
        }
    } else {
        polls.shrunk = 0;
        takeMissing(polls, known, seen, changed);
        polls.previous = std::move(seen);
    }
    std::uint64_t stamp = std::max(wallMilliseconds, known.stamp + 1);
    for (VmLine &line : changed) {
        line.stamp = stamp++;
    }
    return changed;
}

std::size_t mergeLines(VmList &list, const std::vector<VmLine> &lines)
{
    std::size_t taken = 0;
    for (const VmLine &line : lines) {
        VmLine &known = list.lines[line.vm.id];
        if (known.stamp < line.stamp) {
            known = line;
            list.stamp = std::max(list.stamp, line.stamp);
            ++taken;
        }
    }
    std::erase_if(list.lines, [&list](const auto &each) {
        return each.second.gone && each.second.stamp + goneMilliseconds < list.stamp;
    });
    return taken;
}

std::vector<VmLine> linesAbove(const VmList &list, std::uint64_t stamp)
{
    std::vector<VmLine> result;
    for (const auto &[id, line] : list.lines) {
        if (line.stamp > stamp) {
            result.push_back(line);
        }
    }
    return result;
}

std::vector<Vm> vmsOf(const VmList &list)
{
    std::vector<Vm> result;
    for (const auto &[id, line] : list.lines) {
        if (!line.gone) {
            result.push_back(line.vm);
        }
    }
    return result;
}

std::uint32_t digestOf(const VmList &list) noexcept
{
    std::uint32_t digest = 0;
    for (const auto &[id, line] : list.lines) {
        digest ^= line.gone ? 0 : hashOfLine(line);
    }
    return digest;
}

std::size_t VmTable::poll(VmPolls &polls, const std::vector<Vm> &polled,
                          std::uint64_t wallMilliseconds)
{
    const RankedLock lock(this->mutex);
    const std::size_t taken =
        mergeLines(this->list, takePoll(polls, this->list, polled, wallMilliseconds));
    this->currentDigest = digestOf(this->list);
    return taken;
}

std::size_t VmTable::merge(const std::vector<VmLine> &lines)
{
    const RankedLock lock(this->mutex);
    const std::size_t taken = mergeLines(this->list, lines);
    this->currentDigest = digestOf(this->list);
    return taken;
}

std::vector<VmLine> VmTable::above(std::uint64_t stamp) const
{
    const RankedLock lock(this->mutex);
    return linesAbove(this->list, stamp);
}

std::vector<Vm> VmTable::vms() const
{
    const RankedLock lock(this->mutex);
    return vmsOf(this->list);
}

std::uint64_t VmTable::stamp() const
{
    const RankedLock lock(this->mutex);
    return this->list.stamp;
}

std::uint32_t VmTable::digest() const
{
    const RankedLock lock(this->mutex);
    return this->currentDigest;
}

} // namespace plantainswitch
