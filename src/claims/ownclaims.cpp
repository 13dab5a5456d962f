#include "plantainswitch/claims/ownclaims.h"

#include <array>

namespace plantainswitch {

namespace {

constexpr std::array stateNames{std::string_view{"unknown"},   std::string_view{"claiming"},
                                std::string_view{"abandoned"}, std::string_view{"running"},
                                std::string_view{"done"},      std::string_view{"lost"}};

void dropOldestAnswer(OwnClaims &own)
{
    const auto found = own.byNonce.find(own.answered.front());
    own.answered.pop_front();
    if (found != own.byNonce.end() && found->second.answer) {
        own.answerBytes -= found->second.answer->body.size();
        found->second.answer.reset();
    }
}

void keepBounds(OwnClaims &own, TimePoint now)
{
    while (!own.answered.empty()) {
        const auto oldest = own.byNonce.find(own.answered.front());
        const bool old =
            oldest == own.byNonce.end() || now - oldest->second.since > own.limits.keepAnswers;
        if (!old && own.answerBytes <= own.limits.answerBytes) {
            break;
        }
        dropOldestAnswer(own);
    }
    while (own.ended.size() > own.limits.claims) {
        const auto oldest = own.byNonce.find(own.ended.front());
        own.ended.pop_front();
        if (oldest == own.byNonce.end()) {
            continue;
        }
        if (oldest->second.answer) {
            own.answerBytes -= oldest->second.answer->body.size();
        }
        const auto newest = own.newest.find(oldest->second.claim.id);
        if (newest != own.newest.end() && newest->second == oldest->first) {
            own.newest.erase(newest);
        }
        own.byNonce.erase(oldest);
    }
}

bool hasEnded(OwnState state) noexcept
{
    return state == OwnState::Abandoned || state == OwnState::Done || state == OwnState::Lost;
}

} // namespace

std::string_view nameOf(OwnState state) noexcept
{
    return stateNames.at(static_cast<std::size_t>(state));
}

void beginClaim(OwnClaims &own, const Claim &claim, TimePoint now)
{
    own.byNonce[claim.nonce] = {claim, OwnState::Claiming, now, std::nullopt};
    own.newest[claim.id] = claim.nonce;
}

bool startClaim(OwnClaims &own, std::uint64_t nonce, TimePoint now)
{
    const auto found = own.byNonce.find(nonce);
    if (found == own.byNonce.end() || found->second.state != OwnState::Claiming) {
        return false;
    }
    found->second.state = OwnState::Running;
    found->second.since = now;
    return true;
}

void endClaim(OwnClaims &own, std::uint64_t nonce, OwnState state, std::optional<KeptAnswer> answer,
              TimePoint now, bool notRun)
{
    const auto found = own.byNonce.find(nonce);
    if (found == own.byNonce.end() || hasEnded(found->second.state)) {
        return;
    }
    OwnClaim &claim = found->second;
    const bool dispatched = claim.state == OwnState::Running;
    claim.state = state == OwnState::Abandoned && dispatched && !notRun ? OwnState::Lost : state;
    claim.since = now;
    own.ended.push_back(nonce);
    if (answer && claim.state == OwnState::Done) {
        own.answerBytes += answer->body.size();
        claim.answer = std::move(answer);
        own.answered.push_back(nonce);
    }
    keepBounds(own, now);
}

OwnClaim ownClaimOf(const OwnClaims &own, std::uint64_t nonce)
{
    const auto found = own.byNonce.find(nonce);
    return found == own.byNonce.end() ? OwnClaim{} : found->second;
}

OwnClaim newestClaimOf(const OwnClaims &own, const ClaimId &id)
{
    const auto found = own.newest.find(id);
    return found == own.newest.end() ? OwnClaim{} : ownClaimOf(own, found->second);
}

Reason repeatReason(std::uint64_t content, const Claim &holder, OwnState state)
{
    if (content != holder.content) {
        return {ErrorKind::KeyReused, "", std::nullopt};
    }
    switch (state) {
    case OwnState::Claiming:
    case OwnState::Running:
        return {ErrorKind::InProgress, "", std::nullopt};
    case OwnState::Done:
        return {ErrorKind::AlreadyRan, "", std::nullopt};
    case OwnState::Abandoned:
        return {ErrorKind::ClaimUnavailable, "an earlier claim is being released", 1};
    case OwnState::Lost:
        return {ErrorKind::MayHaveRun, "the upstream failed while it ran", std::nullopt};
    case OwnState::Unknown:
        break;
    }
    return {ErrorKind::MayHaveRun, "the router that claimed it can't be asked", std::nullopt};
}

void OwnClaimTable::begin(const Claim &claim, TimePoint now)
{
    const RankedLock lock(this->mutex);
    beginClaim(this->own, claim, now);
}

bool OwnClaimTable::start(std::uint64_t nonce, TimePoint now)
{
    const RankedLock lock(this->mutex);
    return startClaim(this->own, nonce, now);
}

void OwnClaimTable::end(std::uint64_t nonce, OwnState state, std::optional<KeptAnswer> answer,
                        TimePoint now, bool notRun)
{
    const RankedLock lock(this->mutex);
    endClaim(this->own, nonce, state, std::move(answer), now, notRun);
}

OwnClaim OwnClaimTable::find(std::uint64_t nonce) const
{
    const RankedLock lock(this->mutex);
    return ownClaimOf(this->own, nonce);
}

OwnClaim OwnClaimTable::newest(const ClaimId &id) const
{
    const RankedLock lock(this->mutex);
    return newestClaimOf(this->own, id);
}

} // namespace plantainswitch
