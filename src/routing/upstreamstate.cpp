#include "plantainswitch/routing/upstreamstate.h"

#include <algorithm>

#include "plantainswitch/base/hash.h"

namespace plantainswitch {

bool isDraining(const UpstreamState &state) noexcept
{
    return state.replica.draining || state.announcedDraining;
}

bool isBackingOff(const UpstreamState &state, TimePoint now) noexcept
{
    return now < state.backoffUntil;
}

bool acceptsRequests(const UpstreamState &state, TimePoint now) noexcept
{
    return !isDraining(state) && !isBackingOff(state, now);
}

bool refutes(const UpstreamState &state, const CrashReport &crash) noexcept
{
    constexpr Milliseconds maxTransit{100};
    return state.lastReceived > crash.brokenAt + maxTransit;
}

std::optional<Milliseconds> timeToFirstBackoffEnd(std::span<UpstreamState *const> upstreams,
                                                  TimePoint now)
{
    std::optional<Milliseconds> first;
    for (const UpstreamState *const upstream : upstreams) {
        if (acceptsRequests(*upstream, now)) {
            return std::nullopt;
        }
        if (!isDraining(*upstream)) {
            const auto wait = std::chrono::ceil<Milliseconds>(upstream->backoffUntil - now);
            first = std::min(wait, first.value_or(wait));
        }
    }
    return first;
}

std::uint32_t slotsOf(const UpstreamState &state) noexcept
{
    return state.replica.maxConcurrency > 0 ? state.replica.maxConcurrency : state.statedSlots;
}

std::uint32_t runningAt(const UpstreamState &state) noexcept
{
    return state.ownRunning + state.peersRunning;
}

std::uint64_t incarnationOf(const Replica &replica) noexcept
{
    return mixHash(hashOf(replica.id), replica.startTime);
}

} // namespace plantainswitch
