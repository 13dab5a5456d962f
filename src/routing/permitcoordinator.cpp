#include "plantainswitch/routing/permitcoordinator.h"

#include <algorithm>

namespace plantainswitch {

namespace {

/// Time without requests after which an upstream is removed. Longer than a window, whose permits
/// would otherwise be forgotten.
constexpr Seconds idleRetention{60};
/// Longest wait during a takeover. A router that waits longer than a window would interrupt the
/// requests by which the coordinator knows that it still is one.
constexpr Milliseconds maxTakeoverWait = permitWindow / 2;

} // namespace

Duration recordRequest(CoordinationSpan &span, bool isInterrupted, TimePoint now) noexcept
{
    if (isInterrupted || now - span.lastRequest >= permitWindow) {
        span.since = now;
    }
    span.lastRequest = now;
    return now - span.since;
}

PermitReply PermitCoordinator::request(const PermitRequest &request, TimePoint now)
{
    if (request.limits.warm == 0) {
        return {!request.isCold, request.isCold ? permitWindow : Milliseconds{0}};
    }
    const auto [found, isNew] = this->upstreams.try_emplace(request.upstream);
    Upstream &upstream = found->second;
    const Duration coordinated = recordRequest(upstream.span, isNew || !request.mayPermitCold, now);
    upstream.window.recordDemand(now);
    if (!request.isCold) {
        // A steady demand above the limit is not the start of an overload, so that it passes.
        const std::uint32_t limit =
            std::max(request.limits.warm, upstream.window.previousDemand(now));
        const bool permitted = upstream.window.tryTake(limit, now);
        return {permitted, permitted ? Milliseconds{0} : upstream.window.waitFor(limit, now)};
    }
    if (coordinated < permitWindow) {
        const auto left = std::chrono::ceil<Milliseconds>(permitWindow - coordinated);
        return {false, std::min(left, maxTakeoverWait)};
    }
    const bool permitted = upstream.window.tryTake(request.limits.cold, now);
    return {permitted,
            permitted ? Milliseconds{0} : upstream.window.waitFor(request.limits.cold, now)};
}

void PermitCoordinator::removeIdle(TimePoint now)
{
    std::erase_if(this->upstreams, [now](const auto &entry) {
        return now - entry.second.span.lastRequest > idleRetention;
    });
}

} // namespace plantainswitch
