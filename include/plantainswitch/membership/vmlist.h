#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "plantainswitch/base/lockorder.h"
#include "plantainswitch/membership/vm.h"

namespace plantainswitch {

/// One VM of the list that routers share, with its version.
struct VmRecord
{
    Vm vm;
    /// Increases with each change that a watcher saw; the record with the higher version wins.
    std::uint64_t version = 0;
    bool gone = false;
};

/// The VM list that the routers of one data centre share.
struct VmList
{
    std::map<std::string, VmRecord> records;
    /// Highest version of a record.
    std::uint64_t version = 0;
};

/// Tells peers not to send new work to these upstreams. Each router forwards it once.
struct LeavingNotice
{
    std::vector<std::string> vms;
};

/// What a watcher remembers between its polls of the platform's list.
struct VmPollState
{
    std::map<std::string, Vm> previous;
    /// Number of consecutive polls in which a VM differed from the shared list.
    std::map<std::string, std::uint32_t> differingPolls;
    /// Number of consecutive polls in which the list was suspiciously short.
    std::uint32_t shortPolls = 0;
};

/// Consecutive polls after which a differing VM is accepted although this watcher saw no change of
/// it. The difference may be a change that another watcher failed to share before it died, or only
/// the lag of this copy of the platform's list.
inline constexpr std::uint32_t minDifferingPolls = 3;
/// Consecutive polls for which a list must stay short before its missing VMs count as gone.
inline constexpr std::uint32_t minShortPolls = 30;

/// Compares a poll of the platform's lagging list with the shared list. An empty or truncated list
/// would remove every upstream at once, and every request would be refused. A list that lost more
/// than half of its VMs therefore removes nothing until it has stayed so.
/// \param known the shared list
/// \param wallMilliseconds wall-clock time, used only to choose versions above those of earlier
/// watchers
/// \returns the changed records, with new versions.
[[nodiscard]] std::vector<VmRecord> detectVmChanges(VmPollState &polls, const VmList &known,
                                                    const std::vector<Vm> &polled,
                                                    std::uint64_t wallMilliseconds);

/// Accepts each record with a higher version than the known one. \returns the number of accepted
/// records.
std::size_t mergeRecords(VmList &list, const std::vector<VmRecord> &records);
/// \returns the records with a version above \a version, gone ones included.
[[nodiscard]] std::vector<VmRecord> recordsNewerThan(const VmList &list, std::uint64_t version);
/// \returns the VMs of the list that are not gone.
[[nodiscard]] std::vector<Vm> vmsOf(const VmList &list);
/// \returns a hash of the records that are not gone; equal lists have equal digests.
[[nodiscard]] std::uint32_t digestOf(const VmList &list) noexcept;

/// Thread-safe holder of the shared VM list on this router.
class VmTable
{
public:
    /// Merges the result of detectVmChanges(). \returns the number of changed records.
    std::size_t applyPoll(VmPollState &polls, const std::vector<Vm> &polled,
                          std::uint64_t wallMilliseconds);
    /// See mergeRecords().
    std::size_t merge(const std::vector<VmRecord> &records);
    [[nodiscard]] std::vector<VmRecord> recordsSince(std::uint64_t version) const;
    [[nodiscard]] std::vector<Vm> vms() const;
    [[nodiscard]] std::uint64_t version() const;
    [[nodiscard]] std::uint32_t digest() const;

private:
    mutable RankedMutex mutex{LockRank::Vms};
    VmList list;
    std::uint32_t currentDigest = 0;
};

} // namespace plantainswitch
