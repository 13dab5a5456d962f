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
    releaseAbandoned(engine, now);
    const std::size_t cached =
        this->prefixIndex.cachedParts(request.prefixHashes, request.incarnation, now);
    EngineGrantReply reply;
    reply.cachedParts = static_cast<std::uint32_t>(cached);
    reply.pendingPrefillTokens = engine.pendingPrefill;
    reply.running = static_cast<std::uint32_t>(engine.grants.size());
    const bool isTakeover =
        request.brittleBound > 0.0
            ? recordRequest(engine.brittleSpan, false, now) < brittleTakeoverPeriod
            : now - engine.coordinatedSince < takeoverPeriod;
    if (isTakeover) {
        reply.running = std::max(reply.running, reported);
    }
    const double bound = boundOf(request, engine, isTakeover, now);
    if (bound > 0.0 && reply.running + 1.0 > bound) {
        return reply;
    }
    const PermitReply permit = this->permits.request(request.permit, now);
    if (!permit.permitted) {
        reply.permitWait = permit.wait;
        return reply;
    }
    reply.granted = true;
    reply.running += 1;
    engine.grants[{request.router, request.requestId}] = {now, std::nullopt};
    engine.pendingPrefill += uncachedTokensOf(request, cached);
    this->prefixIndex.recordUse(request.prefixHashes, request.incarnation, now);
    return reply;
}

double EngineCoordinator::roomOf(const Engine &engine, TimePoint now) noexcept
{
    return engine.room + static_cast<double>((now - engine.rejectedAt) / roomProbeInterval);
}

double EngineCoordinator::boundOf(const EngineGrantRequest &request, const Engine &engine,
                                  bool isTakeover, TimePoint now) noexcept
{
    if (request.brittleBound <= 0.0) {
        return request.loadBound;
    }
    double bound = request.brittleBound;
    if (isTakeover) {
        bound *= brittleTakeoverShare;
    }
    if (engine.room > 0.0) {
        bound = std::min(bound, roomOf(engine, now));
    }
    // Otherwise an upstream with a single slot would get nothing.
    bound = std::max(1.0, bound);
    return request.loadBound > 0.0 ? std::min(bound, request.loadBound) : bound;
}

std::optional<RejectionRecord> EngineCoordinator::recordRejection(std::uint64_t incarnation,
                                                                  TimePoint now)
{
    const auto found = this->engines.find(incarnation);
    if (found == this->engines.end()) {
        return std::nullopt;
    }
    Engine &engine = found->second;
    double room = static_cast<double>(engine.grants.size()) - 1.0;
    if (engine.room > 0.0) {
        room = std::min(room, roomOf(engine, now));
    }
    engine.room = std::max(1.0, room);
    engine.rejectedAt = now;
    this->recordResponse(incarnation, now);
    return RejectionRecord{engine.grants.size(), abandonedCountOf(engine), engine.room};
}

void EngineCoordinator::releaseGrant(const std::string &router, std::uint64_t requestId,
                                     std::uint64_t incarnation)
{
    const auto engine = this->engines.find(incarnation);
    if (engine != this->engines.end()) {
        engine->second.grants.erase({router, requestId});
    }
}

void EngineCoordinator::endGrant(const std::string &router, std::uint64_t requestId,
                                 std::uint64_t incarnation, const GrantRelease &release,
                                 TimePoint now)
{
    if (release.end == GrantEnd::Abandoned) {
        this->abandonGrant(router, requestId, incarnation, release.typicalHold, now);
        return;
    }
    if (release.end == GrantEnd::Responded) {
        this->recordResponse(incarnation, now);
    }
    this->releaseGrant(router, requestId, incarnation);
}

void EngineCoordinator::abandonGrant(const std::string &router, std::uint64_t requestId,
                                     std::uint64_t incarnation, Duration typicalHold, TimePoint now)
{
    const auto engine = this->engines.find(incarnation);
    if (engine == this->engines.end()) {
        return;
    }
    const auto grant = engine->second.grants.find({router, requestId});
    if (grant == engine->second.grants.end()) {
        return;
    }
    const TimePoint grantedAt = grant->second.grantedAt;
    const bool hasResponded = engine->second.lastResponse > grantedAt;
    grant->second.abandonment = {now, typicalHold,
                                 hasResponded ? std::optional(grantedAt) : std::nullopt};
}

void EngineCoordinator::recordResponse(std::uint64_t incarnation, TimePoint now)
{
    const auto engine = this->engines.find(incarnation);
    if (engine == this->engines.end()) {
        return;
    }
    engine->second.lastResponse = now;
    for (auto &[key, grant] : engine->second.grants) {
        if (grant.abandonment && !grant.abandonment->startedBy) {
            grant.abandonment->startedBy = now;
        }
    }
}

void EngineCoordinator::releaseAbandoned(Engine &engine, TimePoint now)
{
    std::erase_if(engine.grants, [now](const auto &entry) {
        const std::optional<Abandonment> &abandonment = entry.second.abandonment;
        if (!abandonment) {
            return false;
        }
        const bool hasEnded =
            abandonment->startedBy && now >= *abandonment->startedBy + abandonment->typicalHold;
        return hasEnded || now >= abandonment->since + maxAbandonedRetention;
    });
}

std::size_t EngineCoordinator::abandonedCount() const noexcept
{
    std::size_t count = 0;
    for (const auto &[incarnation, engine] : this->engines) {
        count += abandonedCountOf(engine);
    }
    return count;
}

std::size_t EngineCoordinator::abandonedCountOf(const Engine &engine) noexcept
{
    const auto count =
        std::count_if(engine.grants.begin(), engine.grants.end(),
                      [](const auto &entry) { return entry.second.abandonment.has_value(); });
    return static_cast<std::size_t>(count);
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
        // Routers no longer report the runs that they have given up.
        counted += last->second.abandonment ? 0 : 1;
        ++last;
    }
    for (auto grant = first; counted > reported && grant != last;) {
        if (grant->second.abandonment || now - grant->second.grantedAt < orphanedGrantTimeout) {
            ++grant;
            continue;
        }
        grant = grants.erase(grant);
        --counted;
    }
}

void EngineCoordinator::releaseRouter(const std::string &router)
{
    for (auto &[incarnation, engine] : this->engines) {
        std::erase_if(engine.grants,
                      [&router](const auto &grant) { return grant.first.first == router; });
    }
}

void EngineCoordinator::removeIdleEngines(TimePoint now)
{
    this->permits.removeIdle(now);
    for (auto &[incarnation, engine] : this->engines) {
        releaseAbandoned(engine, now);
    }
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
