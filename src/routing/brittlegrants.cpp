#include "plantainswitch/routing/brittlegrants.h"

#include <algorithm>

namespace plantainswitch {

bool BrittleGrants::hasRoom(const EngineGrantRequest &request, std::uint32_t reported,
                            TimePoint now)
{
    Upstream &upstream = this->upstreams[request.permit.upstream];
    this->upstreamOf[request.incarnation] = request.permit.upstream;
    upstream.lastRequest = now;
    removeEnded(upstream, now);
    const bool isTakeover = recordRequest(upstream.span, false, now) < brittleTakeoverPeriod;
    auto running = static_cast<std::uint32_t>(upstream.grants.size());
    if (isTakeover) {
        running = std::max(running, reported);
    }
    return running + 1.0 <= boundOf(request, upstream, isTakeover, now);
}

void BrittleGrants::grant(const EngineGrantRequest &request, TimePoint now)
{
    this->upstreams[request.permit.upstream].grants[{request.router, request.requestId}] = {
        now, std::nullopt};
}

double BrittleGrants::boundOf(const EngineGrantRequest &request, const Upstream &upstream,
                              bool isTakeover, TimePoint now) noexcept
{
    double bound = request.brittleBound;
    if (isTakeover) {
        bound *= brittleTakeoverShare;
    }
    if (upstream.room > 0.0) {
        bound = std::min(bound, roomOf(upstream, now));
    }
    // Otherwise an upstream with a single slot would get nothing.
    return std::max(1.0, bound);
}

double BrittleGrants::roomOf(const Upstream &upstream, TimePoint now) noexcept
{
    return upstream.room + static_cast<double>((now - upstream.rejectedAt) / roomProbeInterval);
}

std::uint32_t BrittleGrants::runningAt(std::uint64_t upstream, TimePoint now)
{
    const auto found = this->upstreams.find(upstream);
    if (found == this->upstreams.end()) {
        return 0;
    }
    removeEnded(found->second, now);
    return static_cast<std::uint32_t>(found->second.grants.size());
}

BrittleGrants::Upstream *BrittleGrants::find(std::uint64_t incarnation)
{
    const auto key = this->upstreamOf.find(incarnation);
    const auto found =
        key == this->upstreamOf.end() ? this->upstreams.end() : this->upstreams.find(key->second);
    return found == this->upstreams.end() ? nullptr : &found->second;
}

void BrittleGrants::end(const std::string &router, std::uint64_t requestId,
                        std::uint64_t incarnation, const GrantRelease &release, TimePoint now)
{
    Upstream *const upstream = this->find(incarnation);
    if (upstream == nullptr) {
        return;
    }
    if (release.end == GrantEnd::Responded) {
        this->recordResponse(incarnation, now);
    }
    const auto grant = upstream->grants.find({router, requestId});
    if (grant == upstream->grants.end()) {
        return;
    }
    if (release.end == GrantEnd::Abandoned) {
        const TimePoint grantedAt = grant->second.grantedAt;
        const bool hasResponded = upstream->lastResponse > grantedAt;
        grant->second.abandonment = {now, release.typicalHold,
                                     hasResponded ? std::optional(grantedAt) : std::nullopt};
        return;
    }
    upstream->grants.erase(grant);
}

void BrittleGrants::releaseRouter(const std::string &router)
{
    for (auto &[key, upstream] : this->upstreams) {
        std::erase_if(upstream.grants,
                      [&router](const auto &grant) { return grant.first.first == router; });
    }
}

void BrittleGrants::recordResponse(std::uint64_t incarnation, TimePoint now)
{
    Upstream *const upstream = this->find(incarnation);
    if (upstream == nullptr) {
        return;
    }
    upstream->lastResponse = now;
    for (auto &[owner, grant] : upstream->grants) {
        if (grant.abandonment && !grant.abandonment->startedBy) {
            grant.abandonment->startedBy = now;
        }
    }
}

std::optional<BrittleCount> BrittleGrants::recordRejection(std::uint64_t incarnation, TimePoint now)
{
    Upstream *const upstream = this->find(incarnation);
    if (upstream == nullptr) {
        return std::nullopt;
    }
    this->recordResponse(incarnation, now);
    removeEnded(*upstream, now);
    double room = static_cast<double>(upstream->grants.size()) - 1.0;
    if (upstream->room > 0.0) {
        room = std::min(room, roomOf(*upstream, now));
    }
    upstream->room = std::max(1.0, room);
    upstream->rejectedAt = now;
    BrittleCount result;
    result.granted = static_cast<std::uint32_t>(upstream->grants.size());
    for (const auto &[owner, grant] : upstream->grants) {
        result.abandoned += grant.abandonment ? 1 : 0;
    }
    result.room = upstream->room;
    return result;
}

bool BrittleGrants::hasEnded(const Grant &grant, TimePoint now) noexcept
{
    const std::optional<Abandonment> &abandonment = grant.abandonment;
    if (!abandonment) {
        return false;
    }
    const bool hasUsuallyEnded =
        abandonment->startedBy && now >= *abandonment->startedBy + abandonment->typicalHold;
    return hasUsuallyEnded || now >= abandonment->since + maxAbandonedRetention;
}

void BrittleGrants::removeEnded(Upstream &upstream, TimePoint now)
{
    std::erase_if(upstream.grants,
                  [now](const auto &entry) { return hasEnded(entry.second, now); });
}

std::size_t BrittleGrants::abandonedCount() const noexcept
{
    std::size_t count = 0;
    for (const auto &[key, upstream] : this->upstreams) {
        for (const auto &[owner, grant] : upstream.grants) {
            count += grant.abandonment ? 1 : 0;
        }
    }
    return count;
}

void BrittleGrants::removeIdle(TimePoint now)
{
    for (auto &[key, upstream] : this->upstreams) {
        removeEnded(upstream, now);
    }
    std::erase_if(this->upstreams, [now](const auto &entry) {
        return entry.second.grants.empty() && now - entry.second.lastRequest > idleBrittleRetention;
    });
    std::erase_if(this->upstreamOf,
                  [this](const auto &entry) { return !this->upstreams.contains(entry.second); });
}

} // namespace plantainswitch
