#include "plantainswitch/routing/enginecoordinator.h"

#include <algorithm>

namespace plantainswitch {

namespace {

/// \returns the estimated number of uncached prompt tokens. All parts are assumed to be of equal
/// size, because the request states only their number.
double uncachedTokensOf(const EngineGrantRequest &request, std::size_t cached)
{
    if (request.prefixHashes.empty()) {
        return request.promptTokens;
    }
    const double share = static_cast<double>(request.prefixHashes.size() - cached)
                         / static_cast<double>(request.prefixHashes.size());
    return share * request.promptTokens;
}

} // namespace

double loadBoundAfter(std::uint32_t rejections, double bound) noexcept
{
    return rejections < maxLoadRejections ? bound : 0.0;
}

EngineGrantReply EngineCoordinator::requestGrant(const EngineGrantRequest &request,
                                                 std::uint32_t reported, TimePoint now)
{
    const auto [found, isNew] = this->engines.try_emplace(request.incarnation);
    Engine &engine = found->second;
    if (isNew) {
        engine.coordinatedSince = now;
        engine.unreadAt = now;
    }
    const double elapsed = std::chrono::duration<double, std::milli>(now - engine.unreadAt).count();
    engine.pendingPrefill =
        std::max(0.0, engine.pendingPrefill - elapsed * this->tokensPerMillisecond);
    engine.unreadAt = now;
    const std::size_t cached =
        this->prefixIndex.cachedParts(request.prefixHashes, request.incarnation, now);
    EngineGrantReply reply;
    reply.cachedParts = static_cast<std::uint32_t>(cached);
    reply.pendingPrefillTokens = engine.pendingPrefill;
    reply.running = static_cast<std::uint32_t>(engine.grants.size());
    if (now - engine.coordinatedSince < takeoverPeriod) {
        reply.running = std::max(reply.running, reported);
    }
    const bool isWithinShare = request.loadBound <= 0.0 || reply.running + 1.0 <= request.loadBound;
    const bool isBrittle = request.brittleBound > 0.0;
    if (isBrittle) {
        const std::uint32_t running = this->brittleGrants.runningAt(request.permit.upstream, now);
        reply.running = std::max(reply.running, running);
    }
    if (!isWithinShare || (isBrittle && !this->brittleGrants.hasRoom(request, reported, now))) {
        return reply;
    }
    const PermitReply permit = this->permits.request(request.permit, now);
    if (!permit.permitted) {
        reply.permitWait = permit.wait;
        return reply;
    }
    reply.granted = true;
    reply.running += 1;
    engine.grants[{request.router, request.requestId}] = now;
    if (isBrittle) {
        this->brittleGrants.grant(request, now);
    }
    engine.pendingPrefill += uncachedTokensOf(request, cached);
    this->prefixIndex.recordUse(request.prefixHashes, request.incarnation, now);
    return reply;
}

void EngineCoordinator::releaseGrant(const std::string &router, std::uint64_t requestId,
                                     std::uint64_t incarnation)
{
    this->endGrant(router, requestId, incarnation, {}, TimePoint{});
}

void EngineCoordinator::endGrant(const std::string &router, std::uint64_t requestId,
                                 std::uint64_t incarnation, const GrantRelease &release,
                                 TimePoint now)
{
    const auto engine = this->engines.find(incarnation);
    if (engine != this->engines.end()) {
        engine->second.grants.erase({router, requestId});
    }
    this->brittleGrants.end(router, requestId, incarnation, release, now);
}

void EngineCoordinator::reconcile(const std::string &router, std::uint64_t incarnation,
                                  std::uint32_t reported, TimePoint now)
{
    const auto engine = this->engines.find(incarnation);
    if (engine == this->engines.end()) {
        return;
    }
    auto &grants = engine->second.grants;
    const auto first = grants.lower_bound({router, 0});
    auto last = first;
    std::uint32_t counted = 0;
    while (last != grants.end() && last->first.first == router) {
        ++counted;
        ++last;
    }
    for (auto grant = first; counted > reported && grant != last;) {
        if (now - grant->second < orphanedGrantTimeout) {
            ++grant;
            continue;
        }
        this->brittleGrants.end(router, grant->first.second, incarnation,
                                {GrantEnd::Abandoned, Duration{0}}, now);
        grant = grants.erase(grant);
        --counted;
    }
}

void EngineCoordinator::releaseRouter(const std::string &router, TimePoint now)
{
    for (auto &[incarnation, engine] : this->engines) {
        std::erase_if(engine.grants,
                      [&router](const auto &grant) { return grant.first.first == router; });
    }
    this->brittleGrants.abandonRouter(router, now);
}

void EngineCoordinator::removeIdleEngines(TimePoint now)
{
    this->permits.removeIdle(now);
    this->brittleGrants.removeIdle(now);
    std::erase_if(this->engines, [now](const auto &entry) {
        return entry.second.grants.empty() && now - entry.second.unreadAt > idleEngineRetention;
    });
}

std::vector<std::uint64_t> EngineCoordinator::incarnationsGrantedTo(const std::string &router) const
{
    std::vector<std::uint64_t> incarnations;
    for (const auto &[incarnation, engine] : this->engines) {
        const auto grant = engine.grants.lower_bound({router, 0});
        if (grant != engine.grants.end() && grant->first.first == router) {
            incarnations.push_back(incarnation);
        }
    }
    return incarnations;
}

} // namespace plantainswitch
