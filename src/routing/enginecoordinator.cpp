#include "plantainswitch/routing/enginecoordinator.h"

#include <algorithm>

namespace plantainswitch {

namespace {

/// \returns the estimated number of uncached prompt tokens. All parts are assumed to be of equal
/// size, because the request states only their number.
double uncachedOf(const EngineGrantRequest &question, std::size_t known)
{
    if (question.prefixHashes.empty()) {
        return question.promptTokens;
    }
    const double share = static_cast<double>(question.prefixHashes.size() - known)
                         / static_cast<double>(question.prefixHashes.size());
    return share * question.promptTokens;
}

} // namespace

EngineGrantReply EngineCoordinator::requestGrant(const EngineGrantRequest &question,
                                                 std::uint32_t told, TimePoint now)
{
    const auto [found, isNew] = this->engines.try_emplace(question.incarnation);
    Engine &engine = found->second;
    if (isNew) {
        engine.coordinatedSince = now;
        engine.unreadAt = now;
    }
    const double passed = std::chrono::duration<double, std::milli>(now - engine.unreadAt).count();
    engine.pendingPrefill =
        std::max(0.0, engine.pendingPrefill - passed * this->tokensPerMillisecond);
    engine.unreadAt = now;
    const std::size_t known =
        this->prefixIndex.cachedParts(question.prefixHashes, question.incarnation, now);
    EngineGrantReply answer;
    answer.cachedParts = static_cast<std::uint32_t>(known);
    answer.pendingPrefillTokens = engine.pendingPrefill;
    answer.running = static_cast<std::uint32_t>(engine.grants.size());
    if (now - engine.coordinatedSince < takeoverPeriod) {
        answer.running = std::max(answer.running, told);
    }
    if (answer.running + 1.0 > question.loadBound) {
        return answer;
    }
    answer.granted = true;
    answer.running += 1;
    engine.grants[{question.router, question.requestId}] = now;
    engine.pendingPrefill += uncachedOf(question, known);
    this->prefixIndex.recordUse(question.prefixHashes, question.incarnation, now);
    return answer;
}

void EngineCoordinator::releaseGrant(const std::string &router, std::uint64_t number,
                                     std::uint64_t life)
{
    const auto engine = this->engines.find(life);
    if (engine != this->engines.end()) {
        engine->second.grants.erase({router, number});
    }
}

void EngineCoordinator::reconcile(const std::string &router, std::uint64_t life, std::uint32_t told,
                                  TimePoint now)
{
    const auto engine = this->engines.find(life);
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
    for (auto grant = first; counted > told && grant != last;) {
        if (now - grant->second < orphanedGrantTimeout) {
            ++grant;
            continue;
        }
        grant = grants.erase(grant);
        --counted;
    }
}

void EngineCoordinator::releaseRouter(const std::string &router)
{
    for (auto &[life, engine] : this->engines) {
        std::erase_if(engine.grants,
                      [&router](const auto &grant) { return grant.first.first == router; });
    }
}

void EngineCoordinator::removeIdleEngines(TimePoint now)
{
    std::erase_if(this->engines, [now](const auto &entry) {
        return entry.second.grants.empty() && now - entry.second.unreadAt > idleEngineRetention;
    });
}

std::vector<std::uint64_t> EngineCoordinator::incarnationsGrantedTo(const std::string &router) const
{
    std::vector<std::uint64_t> lives;
    for (const auto &[life, engine] : this->engines) {
        const auto grant = engine.grants.lower_bound({router, 0});
        if (grant != engine.grants.end() && grant->first.first == router) {
            lives.push_back(life);
        }
    }
    return lives;
}

} // namespace plantainswitch
