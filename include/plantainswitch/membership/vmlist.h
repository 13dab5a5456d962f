#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "plantainswitch/base/lockorder.h"
#include "plantainswitch/membership/vm.h"

namespace plantainswitch {

/// A line of the list of VMs as routers hand it on.
struct VmRecord
{
    Vm vm;
    /// Grows with each change that a watcher saw; the higher stamp of a line wins.
    std::uint64_t version = 0;
    bool gone = false;
};

/// The list of VMs as the routers of one place share it.
struct VmList
{
    std::map<std::string, VmRecord> records;
    /// Highest stamp of a line.
    std::uint64_t version = 0;
};

/// Tells peers that upstreams get no new work any more; each router passes it on once.
struct LeavingNotice
{
    std::vector<std::string> vms;
};

/// What a watcher remembers of its own polls of the platform's list.
struct VmPollState
{
    std::map<std::string, Vm> previous;
    /// For how many polls in a row a line has differed from the shared list.
    std::map<std::string, std::uint32_t> differingPolls;
    /// For how many polls in a row the list was suspiciously short.
    std::uint32_t shortPolls = 0;
};

/// Polls after which a line that differs is taken although this watcher saw no change of it: it
/// may be news that a watcher before it died with, or only this platform copy's lag.
inline constexpr std::uint32_t minDifferingPolls = 3;
/// Polls for which a list must stay short before its missing VMs count as gone.
inline constexpr std::uint32_t minShortPolls = 30;

/// Takes a poll of the platform's lagging list.
/// An empty or cut list would drop every upstream at once, seen as refusals everywhere; a list
/// that lost more than half of its lines therefore removes nothing until it has stayed so.
/// \param known the shared list
/// \param wallMilliseconds wall clock, only to choose stamps above those of earlier watchers
/// \returns the lines that changed, with new stamps.
[[nodiscard]] std::vector<VmRecord> detectVmChanges(VmPollState &polls, const VmList &known,
                                                    const std::vector<Vm> &polled,
                                                    std::uint64_t wallMilliseconds);

/// Takes each line with a higher stamp than the known one. \returns how many were taken.
std::size_t mergeRecords(VmList &list, const std::vector<VmRecord> &lines);
/// \returns the lines with a stamp above \a stamp, gone ones included.
[[nodiscard]] std::vector<VmRecord> recordsNewerThan(const VmList &list, std::uint64_t stamp);
/// \returns the VMs of the list without the gone ones.
[[nodiscard]] std::vector<Vm> vmsOf(const VmList &list);
/// \returns a hash of the lines that aren't gone; equal lists have equal digests.
[[nodiscard]] std::uint32_t digestOf(const VmList &list) noexcept;

/// The shared list of VMs on this router.
class VmTable
{
public:
    /// takePoll() and mergeLines() in one. \returns how many lines changed.
    std::size_t applyPoll(VmPollState &polls, const std::vector<Vm> &polled,
                          std::uint64_t wallMilliseconds);
    /// See mergeLines().
    std::size_t merge(const std::vector<VmRecord> &lines);
    [[nodiscard]] std::vector<VmRecord> recordsSince(std::uint64_t stamp) const;
    [[nodiscard]] std::vector<Vm> vms() const;
    [[nodiscard]] std::uint64_t version() const;
    [[nodiscard]] std::uint32_t digest() const;

private:
    mutable RankedMutex mutex{LockRank::Vms};
    VmList list;
    std::uint32_t currentDigest = 0;
};

} // namespace plantainswitch
