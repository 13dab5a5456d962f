#include "peercodec.h"

#include "peer.pb.h"

namespace plantainswitch {

namespace {

void toWire(const Endpoint &from, wire::Endpoint &to)
{
    to.set_host(from.host);
    to.set_port(from.port);
}

Endpoint fromWire(const wire::Endpoint &from)
{
    return {from.host(), static_cast<std::uint16_t>(from.port())};
}

void fill(wire::Datagram &datagram, const Heartbeat &from)
{
    wire::Heartbeat &to = *datagram.mutable_heartbeat();
    to.set_id(from.id);
    to.set_place(from.place);
    toWire(from.datagrams, *to.mutable_datagrams());
    toWire(from.calls, *to.mutable_calls());
    to.set_incarnation(from.incarnation);
    to.set_catalogue_version(from.catalogueVersion);
    to.set_leaving(from.leaving);
}

void fill(wire::Datagram &datagram, const SlotAsk &from)
{
    wire::SlotAsk &to = *datagram.mutable_ask();
    to.set_ask_id(from.askId);
    to.set_service(from.shard.service);
    to.set_place(from.shard.place);
    to.set_shard(from.shard.number);
    to.set_chat(from.chat);
    to.set_fingerprint(from.fingerprint);
    for (const UpstreamId id : from.avoid) {
        to.add_avoid(id);
    }
    if (from.waitMilliseconds != 0) {
        to.set_wait_milliseconds(from.waitMilliseconds);
        to.set_workspace(from.workspace);
        to.set_weight(from.weight);
        to.set_priority(from.priority);
    }
}

void fill(wire::Datagram &datagram, const SlotReply &from)
{
    wire::SlotReply &to = *datagram.mutable_reply();
    to.set_ask_id(from.askId);
    to.set_verdict(static_cast<std::uint32_t>(from.verdict));
    to.set_upstream(from.upstream);
    to.set_retry_after_seconds(from.retryAfterSeconds);
}

void fill(wire::Datagram &datagram, const SlotRelease &from)
{
    wire::SlotRelease &to = *datagram.mutable_release();
    to.set_shard(from.shard);
    for (const std::uint32_t id : from.askIds) {
        to.add_ask_ids(id);
    }
}

constexpr double rateUnits = 256.0;

/// Rounds down, so that what a router holds never is more than what its owner counts.
std::uint32_t rateToWire(double rate)
{
    return static_cast<std::uint32_t>(rate * rateUnits);
}

double rateFromWire(std::uint32_t rate)
{
    return rate / rateUnits;
}

void fill(wire::Datagram &datagram, const LimitReport &from)
{
    wire::LimitReport &to = *datagram.mutable_limit_report();
    to.set_sequence(from.sequence);
    for (const LimitUse &use : from.uses) {
        wire::LimitUse &each = *to.add_uses();
        each.set_workspace(use.workspace);
        each.set_rate_wanted(rateToWire(use.rateWanted));
        each.set_in_flight_wanted(use.inFlightWanted);
        each.set_rate_held(rateToWire(use.rateHeld));
        each.set_in_flight_held(use.inFlightHeld);
    }
}

void fill(wire::Datagram &datagram, const LimitShares &from)
{
    wire::LimitShares &to = *datagram.mutable_limit_shares();
    to.set_sequence(from.sequence);
    for (const LimitShare &share : from.shares) {
        wire::LimitShare &each = *to.add_shares();
        each.set_workspace(share.workspace);
        each.set_rate(rateToWire(share.rate));
        each.set_in_flight(share.inFlight);
    }
}

LimitReport read(const wire::LimitReport &from)
{
    LimitReport to;
    to.sequence = from.sequence();
    for (const wire::LimitUse &use : from.uses()) {
        to.uses.push_back({use.workspace(), rateFromWire(use.rate_wanted()), use.in_flight_wanted(),
                           rateFromWire(use.rate_held()), use.in_flight_held()});
    }
    return to;
}

LimitShares read(const wire::LimitShares &from)
{
    LimitShares to;
    to.sequence = from.sequence();
    for (const wire::LimitShare &share : from.shares()) {
        to.shares.push_back({share.workspace(), rateFromWire(share.rate()), share.in_flight()});
    }
    return to;
}

Heartbeat read(const wire::Heartbeat &from)
{
    Heartbeat to;
    to.id = from.id();
    to.place = from.place();
    to.datagrams = fromWire(from.datagrams());
    to.calls = fromWire(from.calls());
    to.incarnation = from.incarnation();
    to.catalogueVersion = from.catalogue_version();
    to.leaving = from.leaving();
    return to;
}

SlotAsk read(const wire::SlotAsk &from)
{
    SlotAsk to;
    to.askId = from.ask_id();
    to.shard = {from.service(), from.place(), from.shard()};
    to.chat = from.chat();
    to.fingerprint = from.fingerprint();
    to.avoid.assign(from.avoid().begin(), from.avoid().end());
    to.waitMilliseconds = from.wait_milliseconds();
    to.workspace = from.workspace();
    to.weight = from.weight();
    to.priority = from.priority();
    return to;
}

std::optional<SlotReply> read(const wire::SlotReply &from)
{
    if (from.verdict() > static_cast<std::uint32_t>(SlotVerdict::Busy)) {
        return std::nullopt;
    }
    return SlotReply{from.ask_id(), static_cast<SlotVerdict>(from.verdict()), from.upstream(),
                     from.retry_after_seconds()};
}

SlotRelease read(const wire::SlotRelease &from)
{
    SlotRelease to;
    to.shard = from.shard();
    to.askIds.assign(from.ask_ids().begin(), from.ask_ids().end());
    return to;
}

} // namespace

std::string encode(const PeerMessage &message)
{
    wire::Datagram datagram;
    datagram.set_sender(message.sender);
    std::visit([&datagram](const auto &body) { fill(datagram, body); }, message.body);
    return datagram.SerializeAsString();
}

std::optional<PeerMessage> decode(std::string_view bytes)
{
    wire::Datagram datagram;
    if (bytes.size() > longestDatagram
        || !datagram.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return std::nullopt;
    }
    PeerMessage message;
    message.sender = datagram.sender();
    switch (datagram.body_case()) {
    case wire::Datagram::kHeartbeat:
        message.body = read(datagram.heartbeat());
        return message;
    case wire::Datagram::kAsk:
        message.body = read(datagram.ask());
        return message;
    case wire::Datagram::kReply: {
        const std::optional<SlotReply> reply = read(datagram.reply());
        if (!reply) {
            return std::nullopt;
        }
        message.body = *reply;
        return message;
    }
    case wire::Datagram::kRelease:
        message.body = read(datagram.release());
        return message;
    case wire::Datagram::kLimitReport:
        message.body = read(datagram.limit_report());
        return message;
    case wire::Datagram::kLimitShares:
        message.body = read(datagram.limit_shares());
        return message;
    case wire::Datagram::BODY_NOT_SET:
        return std::nullopt;
    }
    return std::nullopt;
}

} // namespace plantainswitch
