#pragma once

#include <unordered_map>

#include "plantainswitch/routing/coldstart.h"

namespace plantainswitch {

/// A request for a permit to send one request to an upstream.
struct PermitRequest
{
    /// Hash of the upstream's id. The same for all its incarnations, because a router that has not
    /// yet learnt of a restart still sends requests of the previous one.
    std::uint64_t upstream = 0;
    PermitLimits limits;
    bool isCold = false;
    /// Whether this router may permit requests to cold upstreams: it reaches most routers of its
    /// data centre, so that no other part of a partition does the same.
    bool mayPermitCold = true;
};

struct PermitReply
{
    bool permitted = false;
    /// Time until a permit is available, if none was given now.
    Milliseconds wait{0};
};

/// For how long a coordinator has been the only one of an upstream.
struct CoordinationSpan
{
    TimePoint since;
    TimePoint lastRequest;
};

/// Records a request about the upstream. Without one for permitWindow, another router may have been
/// its coordinator in between.
/// \param isInterrupted another router may have been the coordinator for other reasons
/// \returns for how long this router has been the only one.
Duration recordRequest(CoordinationSpan &span, bool isInterrupted, TimePoint now) noexcept;

/// Limits the requests to the upstreams that this router coordinates, summed over all routers.
///
/// Invariant: of the permits that one router gives for a cold upstream, at most PermitLimits::cold
/// fall into any span of permitWindow, and permits of two routers do not fall into the same one.
/// For that a router gives none until it has been the coordinator, with a majority of its data
/// centre, for a whole window without interruption. PermitLimits::cold leaves room for one more
/// coordinator, because a router notices the loss of its majority late.
class PermitCoordinator
{
public:
    PermitReply request(const PermitRequest &request, TimePoint now);
    /// Removes upstreams for which no permit was requested for some time.
    void removeIdle(TimePoint now);
    [[nodiscard]] std::size_t upstreamCount() const noexcept { return this->upstreams.size(); }

private:
    struct Upstream
    {
        PermitWindow window;
        CoordinationSpan span;
    };

    std::unordered_map<std::uint64_t, Upstream> upstreams;
};

} // namespace plantainswitch
