#include "requesthandler.h"

#include <fmt/format.h>

#include "claimservice.h"

namespace plantainswitch {

namespace {

/// How far ahead of ours a caller's clock may be.
constexpr std::chrono::minutes keySkew{1};

std::uint64_t latestIssued()
{
    const auto latest = std::chrono::system_clock::now() + keySkew;
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<Milliseconds>(latest.time_since_epoch()).count());
}

} // namespace

bool Passage::answerRepeat()
{
    if (!this->request.nonIdempotent) {
        return false;
    }
    if (this->request.keyIssued > latestIssued()) {
        this->refuseWith({ErrorKind::BadRequest, "x-key-issued lies in the future", {}});
        return true;
    }
    const OwnClaim own = this->node.ownClaims.newest(this->claimId());
    if (own.state == OwnState::Unknown || own.state == OwnState::Abandoned) {
        return false;
    }
    this->answerTaken(own.claim, own);
    return true;
}

ClaimId Passage::claimId() const
{
    return claimIdOf(this->admission.workspace, this->request.idempotencyKey);
}

std::uint64_t Passage::contentHash(std::uint64_t seed) const
{
    const std::string target =
        this->request.method + " " + this->request.service + " " + this->request.path;
    return hashOf(this->request.body, hashOf(target, seed));
}

void Passage::claimOrDispatch(HeldSlot held)
{
    if (!this->request.nonIdempotent || this->claim) {
        this->dispatch(std::move(held));
        return;
    }
    this->slot = std::move(held);
    ClaimAsk ask{
        {this->claimId(), this->node.identity, this->claims->nextNonce(), this->contentHash()},
        this->request.keyIssued};
    this->node.ownClaims.begin(ask.claim, this->node.clock.now());
    this->claims->claim(ask, [self = this->shared_from_this(), ask](const ClaimReply &reply) {
        self->takeVerdict(ask.claim, reply);
    });
}

void Passage::takeVerdict(const Claim &own, const ClaimReply &reply)
{
    const TimePoint now = this->node.clock.now();
    this->note(fmt::format("claim {:x}: {}", own.nonce, nameOf(reply.verdict)));
    if (reply.verdict == ClaimVerdict::Granted && !this->gone) {
        // Only this claim's owner ever dispatches it, however late, and only if it has not said
        // that it gave up; a router that was paused here finds its claim as it left it.
        if (this->node.ownClaims.start(own.nonce, now)) {
            this->claim = own;
            this->node.metrics.count(Counter::ClaimsGranted);
            HeldSlot held = std::move(*this->slot);
            this->slot.reset();
            this->dispatch(std::move(held));
            return;
        }
    }
    this->releaseSlot();
    this->node.ownClaims.end(own.nonce, OwnState::Abandoned, std::nullopt, now);
    if (reply.verdict == ClaimVerdict::Granted || reply.verdict == ClaimVerdict::Unavailable) {
        this->claims->release(own);
    }
    if (this->gone) {
        this->account();
    } else if (reply.verdict == ClaimVerdict::Taken) {
        this->claims->askOwner(reply.holder,
                               [self = this->shared_from_this(), holder = reply.holder](
                                   const OwnClaim &state) { self->answerTaken(holder, state); });
    } else if (reply.verdict == ClaimVerdict::Expired) {
        this->refuseWith({ErrorKind::KeyExpired, "", std::nullopt});
    } else {
        logEvent(Event::ClaimUnavailable, {{"request", this->id}});
        this->refuseWith({ErrorKind::ClaimUnavailable, "", std::nullopt});
    }
}

void Passage::answerTaken(const Claim &holder, const OwnClaim &own)
{
    this->node.metrics.count(Counter::ClaimRepeats);
    logEvent(Event::ClaimTaken, {{"request", this->id}, {"state", std::string(nameOf(own.state))}});
    if (own.state == OwnState::Abandoned && holder.owner == this->node.identity) {
        this->claims->release(holder);
    }
    if (holder.content != this->contentHash() || !own.answer) {
        this->refuseWith(repeatReason(this->contentHash(), holder, own.state));
        return;
    }
    this->note("answer kept from the first run");
    this->reply->respond(own.answer->status,
                         {{"content-type", own.answer->contentType},
                          {"x-request-id", this->id},
                          {"x-repeat", "true"}},
                         own.answer->body);
    this->account();
}

void Passage::endClaim(OwnState state, std::optional<KeptAnswer> answer, bool notRun)
{
    if (!this->claim) {
        return;
    }
    this->node.ownClaims.end(this->claim->nonce, state, std::move(answer), this->node.clock.now(),
                             notRun);
    if (state == OwnState::Abandoned) {
        this->claims->release(*this->claim);
    }
    this->claim.reset();
}

void Passage::endClaimRefused(Ran ran)
{
    switch (ran) {
    case Ran::No:
        this->endClaim(OwnState::Abandoned, std::nullopt, true);
        return;
    case Ran::Yes:
        this->endClaim(OwnState::Done);
        return;
    case Ran::Unknown:
        this->endClaim(OwnState::Lost);
        return;
    }
}

} // namespace plantainswitch
