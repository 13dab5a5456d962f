#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "plantainswitch/base/clock.h"
#include "plantainswitch/base/lockorder.h"
#include "plantainswitch/membership/vm.h"

namespace plantainswitch {

/// What a router tells its peers at each beat.
struct Heartbeat
{
    std::string id;
    std::string place;
    /// UDP address of the peer link.
    Endpoint datagrams;
    /// gRPC address of the peer link.
    Endpoint calls;
    /// Start time of the process; a restarted router is another member under the same id.
    std::uint64_t incarnation = 0;
    std::uint64_t catalogueVersion = 0;
    bool leaving = false;
};

/// A router as this router sees it.
struct Member
{
    Heartbeat last;
    TimePoint heard;
};

/// Time without a heartbeat after which a member counts as gone.
inline constexpr Duration memberTimeout = Milliseconds{3000};

/// The live routers as this router sees them. Only hints rest on it, never a promise.
class MemberTable
{
public:
    /// Takes a heartbeat; an older incarnation is ignored.
    /// \returns whether the member is new or has restarted.
    bool hear(const Heartbeat &heartbeat, TimePoint now);
    /// Drops members not heard for memberTimeout.
    /// \returns the last heartbeat of each.
    std::vector<Heartbeat> expire(TimePoint now);

    /// \returns all live members that are not leaving, by id.
    [[nodiscard]] std::vector<Heartbeat> active() const;
    /// \returns all members heard of lately, leaving ones included.
    [[nodiscard]] std::vector<Heartbeat> all() const;
    /// \returns the member of that id, or nothing.
    [[nodiscard]] std::optional<Heartbeat> find(const std::string &id) const;

private:
    mutable RankedMutex mutex{LockRank::Members};
    std::map<std::string, Member> members;
};

} // namespace plantainswitch
