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

/// Short id of an upstream on the peer link: a hash of its id.
using UpstreamId = std::uint64_t;

/// \returns the short id of the upstream named \a id.
[[nodiscard]] UpstreamId upstreamIdOf(std::string_view id) noexcept;

/// An upstream as this router sees it.
struct Upstream
{
    Vm vm;
    UpstreamId shortId = 0;
    /// Time until which it gets no new requests, after a failed connection attempt.
    TimePoint ejectedUntil;
};

/// A draining VM that is no longer in the list.
struct DelistedUpstream
{
    std::uint64_t started = 0;
    TimePoint since;
};

/// Time off the list after which a VM with the same id is a new incarnation. It is longer than
/// copies of the list differ, so that a flapping list does not reactivate a draining VM.
inline constexpr Duration newIncarnationAfter = Seconds{60};

/// Time for which an upstream is ejected after a failed connection attempt.
inline constexpr Duration connectFailureEjection = Milliseconds{1000};

/// The upstreams as this router sees them. Thread-safe.
class UpstreamTable
{
public:
    /// Replaces the known upstreams by those of the platform's list. Draining is permanent for an
    /// incarnation: otherwise a stale copy of the list would reactivate the VM and requests would
    /// be sent to one that is about to stop. A new incarnation starts with a higher start stamp, or
    /// when the VM returns after newIncarnationAfter off the list.
    void replace(const std::vector<Vm> &vms, TimePoint now = TimePoint{});
    /// Marks an upstream as draining, learnt from its own response or from another router; the list
    /// need not contain it yet.
    void markDraining(const std::string &id, TimePoint now = TimePoint{});
    /// \returns the VMs that started draining since the last call, for the notice to the other
    /// routers.
    [[nodiscard]] std::vector<std::string> takeNewlyDraining();
    /// Ejects an upstream for connectFailureEjection after a failed connection attempt.
    void markUnreachable(UpstreamId id, TimePoint now);

    /// \returns the upstreams of \a service in \a dataCentre that may get new requests at \a now.
    [[nodiscard]] std::vector<Upstream> ready(std::string_view service, std::string_view dataCentre,
                                              TimePoint now) const;
    /// \returns whether any upstream was ever known; until then the router is not ready.
    [[nodiscard]] bool wasPopulated() const;
    /// \returns the upstream with that short id, or nothing.
    [[nodiscard]] std::optional<Upstream> find(UpstreamId id) const;

private:
    mutable RankedMutex mutex{LockRank::Upstreams};
    /// The upstreams of one data centre by service.
    using DataCentrePools = std::map<std::string, std::vector<UpstreamId>, std::less<>>;

    std::map<UpstreamId, Upstream> upstreams;
    /// By data centre, so that a request looks only at its own pool instead of all upstreams of the
    /// fleet.
    std::map<std::string, DataCentrePools, std::less<>> pools;
    /// Draining VMs that are currently not in the list.
    std::map<UpstreamId, DelistedUpstream> delisted;
    std::vector<std::string> newlyDraining;
    bool populated = false;
};

} // namespace plantainswitch
