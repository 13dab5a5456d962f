#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "plantainswitch/base/clock.h"
#include "plantainswitch/base/lockorder.h"
#include "plantainswitch/membership/vm.h"

namespace plantainswitch {

/// Short identity of an upstream on the peer link: a hash of its id.
using UpstreamId = std::uint64_t;

/// \returns the short identity of the upstream named \a id.
[[nodiscard]] UpstreamId upstreamIdOf(std::string_view id) noexcept;

/// An upstream as this router sees it.
struct Upstream
{
    Vm vm;
    UpstreamId shortId = 0;
    /// Until then it gets no new work, after failures to connect.
    TimePoint ejectedUntil;
};

/// A leaving VM that is off the list.
struct DelistedUpstream
{
    std::uint64_t started = 0;
    TimePoint since;
};

/// Time off the list after which a VM of the same id is a new one: longer than copies of the
/// list differ, so that a flapping list does not revive what is leaving.
inline constexpr Duration newIncarnationAfter = Seconds{60};

/// How long an upstream that refused a connection is left alone.
inline constexpr Duration connectFailureEjection = Milliseconds{1000};

/// The upstreams as this router sees them.
class UpstreamTable
{
public:
    /// Replaces the known upstreams by those of the platform's list.
    /// "Leaving" sticks for a VM's life: a lagging copy of the list would otherwise call it
    /// back, seen as new work on a VM about to vanish. A VM begins a new life by a higher start
    /// stamp, or by coming back after newLifeAfter off the list.
    void replace(const std::vector<Vm> &vms, TimePoint now = TimePoint{});
    /// Marks an upstream as leaving, learnt from its own answer or from a peer; also one that
    /// the list does not show yet.
    void markDraining(const std::string &id, TimePoint now = TimePoint{});
    /// \returns the VMs that began to leave since the last call, for the notice to peers.
    [[nodiscard]] std::vector<std::string> takeNewlyDraining();
    /// Leaves an upstream alone for a moment after it could not be reached.
    void markUnreachable(UpstreamId id, TimePoint now);

    /// \returns the upstreams of \a service in \a place that may get new work at \a now.
    [[nodiscard]] std::vector<Upstream> ready(std::string_view service, std::string_view place,
                                              TimePoint now) const;
    /// \returns whether any upstream was ever known; before that a router is not ready to serve.
    [[nodiscard]] bool wasPopulated() const;
    /// \returns the upstream of that short identity, or nothing.
    [[nodiscard]] std::optional<Upstream> find(UpstreamId id) const;

private:
    mutable RankedMutex mutex{LockRank::Upstreams};
    /// The upstreams of one place by service.
    using DataCentrePools = std::map<std::string, std::vector<UpstreamId>, std::less<>>;

    std::map<UpstreamId, Upstream> upstreams;
    /// By place; a request then looks at its pool alone, not at every upstream of the fleet.
    std::map<std::string, DataCentrePools, std::less<>> pools;
    /// Leaving VMs that the list does not show at present.
    std::map<UpstreamId, DelistedUpstream> delisted;
    std::vector<std::string> newlyDraining;
    bool populated = false;
};

} // namespace plantainswitch
