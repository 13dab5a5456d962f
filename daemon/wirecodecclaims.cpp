#include "wirecodec.h"

namespace plantainswitch::codec {

void fill(wire::Datagram &datagram, const ClaimRequest &from)
{
    wire::ClaimAsk &to = *datagram.mutable_claim_ask();
    to.set_id_high(from.claim.id.high);
    to.set_id_low(from.claim.id.low);
    to.set_nonce(from.claim.nonce);
    to.set_content(from.claim.content);
    to.set_issued_milliseconds(from.issuedMilliseconds);
}

void fill(wire::Datagram &datagram, const ClaimReply &from)
{
    wire::ClaimReply &to = *datagram.mutable_claim_reply();
    to.set_nonce(from.nonce);
    to.set_verdict(static_cast<std::uint32_t>(from.verdict));
    to.set_holder_owner(from.holder.owner);
    to.set_holder_nonce(from.holder.nonce);
    to.set_holder_content(from.holder.content);
}

void fill(wire::Datagram &datagram, const ClaimRelease &from)
{
    wire::ClaimRelease &to = *datagram.mutable_claim_release();
    to.set_id_high(from.id.high);
    to.set_id_low(from.id.low);
    to.set_nonce(from.nonce);
}

void fill(wire::Datagram &datagram, const SuspectUpdate &from)
{
    wire::SuspectNews &to = *datagram.mutable_suspect_news();
    to.set_upstream(from.upstream);
    to.mutable_crashed()->Add(from.crashed.begin(), from.crashed.end());
    to.mutable_cleared()->Add(from.cleared.begin(), from.cleared.end());
}

ClaimRequest read(const wire::ClaimAsk &from, std::uint64_t sender)
{
    return {{{from.id_high(), from.id_low()}, sender, from.nonce(), from.content()},
            from.issued_milliseconds()};
}

std::optional<ClaimReply> read(const wire::ClaimReply &from)
{
    if (from.verdict() > static_cast<std::uint32_t>(ClaimVerdict::Unavailable)) {
        return std::nullopt;
    }
    return ClaimReply{from.nonce(),
                      static_cast<ClaimVerdict>(from.verdict()),
                      {{}, from.holder_owner(), from.holder_nonce(), from.holder_content()}};
}

ClaimRelease read(const wire::ClaimRelease &from)
{
    return {{from.id_high(), from.id_low()}, from.nonce()};
}

SuspectUpdate read(const wire::SuspectNews &from)
{
    return {from.upstream(),
            {from.crashed().begin(), from.crashed().end()},
            {from.cleared().begin(), from.cleared().end()}};
}

} // namespace plantainswitch::codec
