#include "requesthandler.h"

#include <fmt/format.h>

#include "claimservice.h"

namespace plantainswitch {

namespace {

/// How far a caller's clock may be ahead of this router's.
constexpr std::chrono::minutes maxClockSkew{1};

std::uint64_t maxKeyIssued()
{
    const auto latest = std::chrono::system_clock::now() + maxClockSkew;
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<Milliseconds>(latest.time_since_epoch()).count());
}

} // namespace

bool RequestHandler::respondToDuplicate()
{
    if (!this->request.nonIdempotent) {
        return false;
    }
    if (this->request.keyIssuedMilliseconds > maxKeyIssued()) {
        this->refuseWith({ErrorKind::BadRequest, "x-key-issued lies in the future", {}});
        return true;
    }
    const OwnClaim own = this->node.ownClaims.newest(this->claimId());
    if (own.state == OwnClaimState::Unknown || own.state == OwnClaimState::Abandoned) {
        return false;
    }
    this->respondFromHolder(own.claim, own);
    return true;
}

ClaimId RequestHandler::claimId() const
{
    return claimIdOf(this->admission.workspace, this->request.idempotencyKey);
}

std::uint64_t RequestHandler::contentHash(std::uint64_t seed) const
{
    const std::string target =
        this->request.method + " " + this->request.service + " " + this->request.path;
    return hashOf(this->request.body, hashOf(target, seed));
}

void RequestHandler::claimOrDispatch(HeldSlot held)
{
    if (!this->request.nonIdempotent || this->claim) {
        this->dispatch(std::move(held));
        return;
    }
    this->slot = std::move(held);
    ClaimRequest ask{
        {this->claimId(), this->node.identity, this->claims->nextNonce(), this->contentHash()},
        this->request.keyIssuedMilliseconds};
    this->node.ownClaims.begin(ask.claim, this->node.clock.now());
    this->claims->claim(ask, [self = this->shared_from_this(), ask](const ClaimReply &reply) {
        self->handleClaimReply(ask.claim, reply);
    });
}

void RequestHandler::handleClaimReply(const Claim &own, const ClaimReply &reply)
{
    const TimePoint now = this->node.clock.now();
    this->addStep(fmt::format("claim {:x}: {}", own.nonce, nameOf(reply.verdict)));
    if (reply.verdict == ClaimVerdict::Granted && !this->callerGone) {
        // Only the claim's owner may dispatch it, however late, and only if it has not reported the
        // claim as abandoned. A router that was paused here finds its claim unchanged.
        if (this->node.ownClaims.dispatch(own.nonce, now)) {
            this->claim = own;
            this->node.metrics.count(Counter::ClaimsGranted);
            HeldSlot held = std::move(*this->slot);
            this->slot.reset();
            this->dispatch(std::move(held));
            return;
        }
    }
    this->releaseSlot();
    this->node.ownClaims.end(own.nonce, OwnClaimState::Abandoned, std::nullopt, now);
    if (reply.verdict == ClaimVerdict::Granted || reply.verdict == ClaimVerdict::Unavailable) {
        this->claims->release(own);
    }
    if (this->callerGone) {
        this->storeExplanation();
    } else if (reply.verdict == ClaimVerdict::Taken) {
        this->claims->queryOwner(reply.holder, [self = this->shared_from_this(),
                                                holder = reply.holder](const OwnClaim &state) {
            self->respondFromHolder(holder, state);
        });
    } else if (reply.verdict == ClaimVerdict::Expired) {
        this->refuseWith({ErrorKind::KeyExpired, "", std::nullopt});
    } else {
        logEvent(Event::ClaimUnavailable, {{"request", this->requestId}});
        this->refuseWith({ErrorKind::ClaimUnavailable, "", std::nullopt});
    }
}

void RequestHandler::respondFromHolder(const Claim &holder, const OwnClaim &own)
{
    this->node.metrics.count(Counter::ClaimRepeats);
    logEvent(Event::ClaimTaken,
             {{"request", this->requestId}, {"state", std::string(nameOf(own.state))}});
    if (own.state == OwnClaimState::Abandoned && holder.owner == this->node.identity) {
        this->claims->release(holder);
    }
    if (holder.content != this->contentHash() || !own.response) {
        this->refuseWith(duplicateRequestReason(this->contentHash(), holder, own.state));
        return;
    }
    this->addStep("answer kept from the first run");
    this->responder->respond(own.response->status,
                             {{"content-type", own.response->contentType},
                              {"x-request-id", this->requestId},
                              {"x-repeat", "true"}},
                             own.response->body);
    this->storeExplanation();
}

void RequestHandler::endClaim(OwnClaimState state, std::optional<CachedResponse> answer,
                              bool notRun)
{
    if (!this->claim) {
        return;
    }
    this->node.ownClaims.end(this->claim->nonce, state, std::move(answer), this->node.clock.now(),
                             notRun);
    if (state == OwnClaimState::Abandoned) {
        this->claims->release(*this->claim);
    }
    this->claim.reset();
}

void RequestHandler::endClaimAfterRefusal(ExecutionStatus ran)
{
    switch (ran) {
    case ExecutionStatus::No:
        this->endClaim(OwnClaimState::Abandoned, std::nullopt, true);
        return;
    case ExecutionStatus::Yes:
        this->endClaim(OwnClaimState::Done);
        return;
    case ExecutionStatus::Unknown:
        this->endClaim(OwnClaimState::Lost);
        return;
    }
}

} // namespace plantainswitch
