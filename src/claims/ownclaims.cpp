#include "plantainswitch/claims/ownclaims.h"

#include <array>

namespace plantainswitch {

namespace {

constexpr std::array stateNames{std::string_view{"unknown"},   std::string_view{"claiming"},
                                std::string_view{"abandoned"}, std::string_view{"running"},
                                std::string_view{"done"},      std::string_view{"lost"}};

void dropOldestResponse(OwnClaims &own)
{
    const auto found = own.byNonce.find(own.responseOrder.front());
    own.responseOrder.pop_front();
    if (found != own.byNonce.end() && found->second.response) {
        own.responseBytes -= found->second.response->body.size();
        found->second.response.reset();
    }
}

void enforceLimits(OwnClaims &own, TimePoint now)
{
    while (!own.responseOrder.empty()) {
        const auto oldest = own.byNonce.find(own.responseOrder.front());
        const bool isExpired = oldest == own.byNonce.end()
                               || now - oldest->second.since > own.limits.responseRetention;
        if (!isExpired && own.responseBytes <= own.limits.maxResponseBytes) {
            break;
        }
        dropOldestResponse(own);
    }
    while (own.endedOrder.size() > own.limits.maxEndedClaims) {
        const auto oldest = own.byNonce.find(own.endedOrder.front());
        own.endedOrder.pop_front();
        if (oldest == own.byNonce.end()) {
            continue;
        }
        if (oldest->second.response) {
            own.responseBytes -= oldest->second.response->body.size();
        }
        const auto newest = own.newestNonceById.find(oldest->second.claim.id);
        if (newest != own.newestNonceById.end() && newest->second == oldest->first) {
            own.newestNonceById.erase(newest);
        }
        own.byNonce.erase(oldest);
    }
}

bool hasEnded(OwnClaimState state) noexcept
{
    return state == OwnClaimState::Abandoned || state == OwnClaimState::Done
           || state == OwnClaimState::Lost;
}

} // namespace

std::string_view nameOf(OwnClaimState state) noexcept
{
    return stateNames.at(static_cast<std::size_t>(state));
}

void beginClaim(OwnClaims &own, const Claim &claim, TimePoint now)
{
    own.byNonce[claim.nonce] = {claim, OwnClaimState::Claiming, now, std::nullopt};
    own.newestNonceById[claim.id] = claim.nonce;
}

bool dispatchClaim(OwnClaims &own, std::uint64_t nonce, TimePoint now)
{
    const auto found = own.byNonce.find(nonce);
    if (found == own.byNonce.end() || found->second.state != OwnClaimState::Claiming) {
        return false;
    }
    found->second.state = OwnClaimState::Running;
    found->second.since = now;
    return true;
}

void endClaim(OwnClaims &own, std::uint64_t nonce, OwnClaimState state,
              std::optional<CachedResponse> response, TimePoint now, bool notRun)
{
    const auto found = own.byNonce.find(nonce);
    if (found == own.byNonce.end() || hasEnded(found->second.state)) {
        return;
    }
    OwnClaim &claim = found->second;
    const bool dispatched = claim.state == OwnClaimState::Running;
    claim.state =
        state == OwnClaimState::Abandoned && dispatched && !notRun ? OwnClaimState::Lost : state;
    claim.since = now;
    own.endedOrder.push_back(nonce);
    if (response && claim.state == OwnClaimState::Done) {
        own.responseBytes += response->body.size();
        claim.response = std::move(response);
        own.responseOrder.push_back(nonce);
    }
    enforceLimits(own, now);
}

OwnClaim ownClaimOf(const OwnClaims &own, std::uint64_t nonce)
{
    const auto found = own.byNonce.find(nonce);
    return found == own.byNonce.end() ? OwnClaim{} : found->second;
}

OwnClaim newestClaimOf(const OwnClaims &own, const ClaimId &id)
{
    const auto found = own.newestNonceById.find(id);
    return found == own.newestNonceById.end() ? OwnClaim{} : ownClaimOf(own, found->second);
}

Reason duplicateRequestReason(std::uint64_t content, const Claim &holder, OwnClaimState state)
{
    if (content != holder.content) {
        return {ErrorKind::KeyReused, "", std::nullopt};
    }
    switch (state) {
    case OwnClaimState::Claiming:
    case OwnClaimState::Running:
        return {ErrorKind::InProgress, "", std::nullopt};
    case OwnClaimState::Done:
        return {ErrorKind::AlreadyRan, "", std::nullopt};
    case OwnClaimState::Abandoned:
        return {ErrorKind::ClaimUnavailable, "an earlier claim is being released", 1};
    case OwnClaimState::Lost:
        return {ErrorKind::MayHaveRun, "the upstream failed while it ran", std::nullopt};
    case OwnClaimState::Unknown:
        break;
    }
    return {ErrorKind::MayHaveRun, "the router that claimed it can't be asked", std::nullopt};
}

void OwnClaimTable::begin(const Claim &claim, TimePoint now)
{
    const RankedLock lock(this->mutex);
    beginClaim(this->own, claim, now);
}

bool OwnClaimTable::dispatch(std::uint64_t nonce, TimePoint now)
{
    const RankedLock lock(this->mutex);
    return dispatchClaim(this->own, nonce, now);
}

void OwnClaimTable::end(std::uint64_t nonce, OwnClaimState state,
                        std::optional<CachedResponse> response, TimePoint now, bool notRun)
{
    const RankedLock lock(this->mutex);
    endClaim(this->own, nonce, state, std::move(response), now, notRun);
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
