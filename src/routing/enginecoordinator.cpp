#include "plantainswitch/routing/enginecoordinator.h"

#include <algorithm>

namespace plantainswitch {

namespace {

/// Share of a prompt's tokens that belong to parts the engine hasn't read; parts are taken as
/// alike, since only their number is asked for.
double uncachedOf(const EngineQuestion &question, std::size_t known)
{
    if (question.chain.empty()) {
        return question.tokens;
    }
    const double share = static_cast<double>(question.chain.size() - known)
                         / static_cast<double>(question.chain.size());
    return share * question.tokens;
}

} // namespace

EngineAnswer EngineKeeper::ask(const EngineQuestion &question, std::uint32_t told, TimePoint now)
{
    const auto [found, isNew] = this->engines.try_emplace(question.life);
    Engine &engine = found->second;
    if (isNew) {
        engine.keptSince = now;
        engine.unreadAt = now;
    }
    const double passed = std::chrono::duration<double, std::milli>(now - engine.unreadAt).count();
    engine.unread = std::max(0.0, engine.unread - passed * this->tokensPerMillisecond);
    engine.unreadAt = now;
    const std::size_t known = this->memory.knownParts(question.chain, question.life, now);
    EngineAnswer answer;
    answer.knownParts = static_cast<std::uint32_t>(known);
    answer.unreadTokens = engine.unread;
    answer.running = static_cast<std::uint32_t>(engine.grants.size());
    if (now - engine.keptSince < inheritSpan) {
        answer.running = std::max(answer.running, told);
    }
    if (answer.running + 1.0 > question.bound) {
        return answer;
    }
    answer.granted = true;
    answer.running += 1;
    engine.grants[{question.router, question.number}] = now;
    engine.unread += uncachedOf(question, known);
    this->memory.note(question.chain, question.life, now);
    return answer;
}

void EngineKeeper::end(const std::string &router, std::uint64_t number, std::uint64_t life)
{
    const auto engine = this->engines.find(life);
    if (engine != this->engines.end()) {
        engine->second.grants.erase({router, number});
    }
}

void EngineKeeper::reconcile(const std::string &router, std::uint64_t life, std::uint32_t told,
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
        if (now - grant->second < lostEndAge) {
            ++grant;
            continue;
        }
        grant = grants.erase(grant);
        --counted;
    }
}

void EngineKeeper::forgetRouter(const std::string &router)
{
    for (auto &[life, engine] : this->engines) {
        std::erase_if(engine.grants,
                      [&router](const auto &grant) { return grant.first.first == router; });
    }
}

void EngineKeeper::forgetIdle(TimePoint now)
{
    std::erase_if(this->engines, [now](const auto &entry) {
        return entry.second.grants.empty() && now - entry.second.unreadAt > idleEngineAge;
    });
}

std::vector<std::uint64_t> EngineKeeper::livesOf(const std::string &router) const
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
