#include "plantainswitch/routing/brittlegrants.h"

#include <algorithm>

namespace plantainswitch {

bool BrittleGrants::hasRoom(const EngineGrantRequest &request, std::uint32_t reported,
                            TimePoint now)
{
    Upstream &upstream = this->upstreams[request.permit.upstream];
    this->upstreamOf[request.incarnation] = request.permit.upstream;
    upstream.lastRequest = now;
    upstream.usualRunTime = request.runTime.usual;
    removeEnded(upstream, now);
    const bool isTakeover = recordRequest(upstream.span, false, now) < brittleTakeoverPeriod;
    std::uint32_t running = count(upstream, now);
    if (isTakeover) {
        running = std::max(running, reported);
    }
    return running + 1.0 <= boundOf(request, upstream, isTakeover, now);
}

void BrittleGrants::grant(const EngineGrantRequest &request, TimePoint now)
{
    Grant grant;
    grant.grantedAt = now;
    grant.runTime = request.runTime;
    this->upstreams[request.permit.upstream].grants[{request.router, request.requestId}] = grant;
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

std::uint32_t BrittleGrants::unknownCount(const Upstream &upstream, TimePoint now) noexcept
{
    const bool isRecent =
        upstream.statement && now < upstream.statement->at + upstream.usualRunTime;
    return isRecent ? upstream.statement->unknown : 0;
}

std::uint32_t BrittleGrants::count(const Upstream &upstream, TimePoint now) noexcept
{
    const auto granted = static_cast<std::uint32_t>(upstream.grants.size());
    if (!upstream.statement) {
        return granted;
    }
    // What arrived after the statement has been granted since then, or shortly before.
    const TimePoint since = upstream.statement->at - grantArrivalTime;
    const auto later =
        std::count_if(upstream.grants.begin(), upstream.grants.end(),
                      [since](const auto &entry) { return entry.second.grantedAt > since; });
    return std::min(granted + unknownCount(upstream, now),
                    upstream.statement->load + static_cast<std::uint32_t>(later));
}

std::uint32_t BrittleGrants::runningAt(std::uint64_t upstream, TimePoint now)
{
    const auto found = this->upstreams.find(upstream);
    if (found == this->upstreams.end()) {
        return 0;
    }
    removeEnded(found->second, now);
    return count(found->second, now);
}

BrittleGrants::Upstream *BrittleGrants::find(std::uint64_t incarnation)
{
    const auto key = this->upstreamOf.find(incarnation);
    const auto found =
        key == this->upstreamOf.end() ? this->upstreams.end() : this->upstreams.find(key->second);
    return found == this->upstreams.end() ? nullptr : &found->second;
}

void BrittleGrants::abandon(Grant &grant, const Upstream &upstream, TimePoint now) noexcept
{
    if (grant.abandonedAt) {
        return;
    }
    grant.abandonedAt = now;
    if (upstream.lastResponse > grant.grantedAt) {
        grant.respondedAt = now;
    }
}

void BrittleGrants::end(const std::string &router, std::uint64_t requestId,
                        std::uint64_t incarnation, const GrantRelease &release, TimePoint now)
{
    Upstream *const upstream = this->find(incarnation);
    if (upstream == nullptr) {
        return;
    }
    if (release.end == GrantEnd::Responded) {
        this->recordResponse(incarnation, std::nullopt, now);
    }
    const auto grant = upstream->grants.find({router, requestId});
    if (grant == upstream->grants.end()) {
        return;
    }
    if (release.end == GrantEnd::Abandoned) {
        Duration &usual = grant->second.runTime.usual;
        usual = std::max(usual, release.usualRunTime);
        abandon(grant->second, *upstream, now);
        return;
    }
    upstream->grants.erase(grant);
}

void BrittleGrants::abandonRouter(const std::string &router, TimePoint now)
{
    for (auto &[key, upstream] : this->upstreams) {
        for (auto &[owner, grant] : upstream.grants) {
            if (owner.first == router) {
                abandon(grant, upstream, now);
            }
        }
    }
}

void BrittleGrants::recordResponse(std::uint64_t incarnation, std::optional<std::uint32_t> load,
                                   TimePoint now)
{
    Upstream *const upstream = this->find(incarnation);
    if (upstream == nullptr) {
        return;
    }
    upstream->lastResponse = now;
    for (auto &[owner, grant] : upstream->grants) {
        if (grant.abandonedAt && !grant.respondedAt) {
            grant.respondedAt = now;
        }
    }
    if (load) {
        recordStatement(*upstream, *load, now);
    }
}

void BrittleGrants::recordStatement(Upstream &upstream, std::uint32_t load, TimePoint now)
{
    removeEnded(upstream, now);
    const auto granted = static_cast<std::uint32_t>(upstream.grants.size());
    upstream.statement = Statement{now, load, load - std::min(load, granted)};
}

std::optional<BrittleCount> BrittleGrants::recordRejection(std::uint64_t incarnation,
                                                           std::optional<std::uint32_t> load,
                                                           TimePoint now)
{
    Upstream *const upstream = this->find(incarnation);
    if (upstream == nullptr) {
        return std::nullopt;
    }
    this->recordResponse(incarnation, load, now);
    removeEnded(*upstream, now);
    double room = static_cast<double>(upstream->grants.size()) - 1.0;
    if (load) {
        room = std::min(room, static_cast<double>(*load));
    }
    if (upstream->room > 0.0) {
        room = std::min(room, roomOf(*upstream, now));
    }
    upstream->room = std::max(1.0, room);
    upstream->rejectedAt = now;
    BrittleCount result;
    result.granted = static_cast<std::uint32_t>(upstream->grants.size());
    for (const auto &[owner, grant] : upstream->grants) {
        result.abandoned += grant.abandonedAt ? 1 : 0;
    }
    result.unknown = unknownCount(*upstream, now);
    result.room = upstream->room;
    return result;
}

bool BrittleGrants::hasEnded(const Grant &grant, TimePoint now) noexcept
{
    if (!grant.abandonedAt) {
        return false;
    }
    const RunTimeBound &runTime = grant.runTime;
    const TimePoint limit = runTime.longest.count() > 0
                                ? grant.grantedAt + runTime.longest + grantArrivalTime
                                : *grant.abandonedAt + maxAbandonedRetention;
    // A run that was given up may be one of the long ones, so that its time counts from there on.
    const bool hasUsuallyEnded =
        grant.respondedAt && runTime.usual.count() > 0 && now >= *grant.respondedAt + runTime.usual;
    return hasUsuallyEnded || now >= limit;
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
            count += grant.abandonedAt ? 1 : 0;
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
