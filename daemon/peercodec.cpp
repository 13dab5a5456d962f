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

void toWire(const Heartbeat &from, wire::Heartbeat &to)
{
    to.set_id(from.id);
    to.set_place(from.place);
    toWire(from.datagrams, *to.mutable_datagrams());
    toWire(from.calls, *to.mutable_calls());
    to.set_incarnation(from.incarnation);
    to.set_catalogue_version(from.catalogueVersion);
    to.set_leaving(from.leaving);
    to.set_refutation(from.refutation);
    to.set_catalogue_age(from.catalogueAge);
    to.set_vm_stamp(from.vmStamp);
    to.set_vm_digest(from.vmDigest);
}

void fill(wire::Datagram &datagram, const SwimMessage &from)
{
    wire::Swim &to = *datagram.mutable_swim();
    to.set_kind(static_cast<std::uint32_t>(from.kind));
    to.set_probe(from.probe);
    to.set_join(from.join);
    toWire(from.from, *to.mutable_from());
    if (from.kind == SwimKind::PingRequest) {
        toWire(from.target, *to.mutable_target());
    }
    for (const MemberUpdate &update : from.updates) {
        wire::MemberUpdate &added = *to.add_updates();
        toWire(update.member, *added.mutable_member());
        added.set_state(static_cast<std::uint32_t>(update.state));
    }
}

void fill(wire::Datagram &datagram, const LeavingNotice &from)
{
    wire::LeavingNotice &to = *datagram.mutable_leaving();
    for (const std::string &vm : from.vms) {
        to.add_vms(vm);
    }
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
}

void fill(wire::Datagram &datagram, const SlotReply &from)
{
    wire::SlotReply &to = *datagram.mutable_reply();
    to.set_ask_id(from.askId);
    to.set_verdict(static_cast<std::uint32_t>(from.verdict));
    to.set_upstream(from.upstream);
}

void fill(wire::Datagram &datagram, const SlotRelease &from)
{
    wire::SlotRelease &to = *datagram.mutable_release();
    to.set_shard(from.shard);
    for (const std::uint32_t id : from.askIds) {
        to.add_ask_ids(id);
    }
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
    to.refutation = from.refutation();
    to.catalogueAge = from.catalogue_age();
    to.vmStamp = from.vm_stamp();
    to.vmDigest = from.vm_digest();
    return to;
}

std::optional<SwimMessage> read(const wire::Swim &from)
{
    SwimMessage to;
    if (from.kind() > static_cast<std::uint32_t>(SwimKind::State)) {
        return std::nullopt;
    }
    to.kind = static_cast<SwimKind>(from.kind());
    to.probe = from.probe();
    to.join = from.join();
    to.from = read(from.from());
    to.target = fromWire(from.target());
    for (const wire::MemberUpdate &update : from.updates()) {
        if (update.state() > static_cast<std::uint32_t>(MemberState::Gone)) {
            return std::nullopt;
        }
        to.updates.push_back({read(update.member()), static_cast<MemberState>(update.state())});
    }
    return to;
}

LeavingNotice read(const wire::LeavingNotice &from)
{
    return {{from.vms().begin(), from.vms().end()}};
}

SlotAsk read(const wire::SlotAsk &from)
{
    SlotAsk to;
    to.askId = from.ask_id();
    to.shard = {from.service(), from.place(), from.shard()};
    to.chat = from.chat();
    to.fingerprint = from.fingerprint();
    to.avoid.assign(from.avoid().begin(), from.avoid().end());
    return to;
}

std::optional<SlotReply> read(const wire::SlotReply &from)
{
    if (from.verdict() > static_cast<std::uint32_t>(SlotVerdict::Empty)) {
        return std::nullopt;
    }
    return SlotReply{from.ask_id(), static_cast<SlotVerdict>(from.verdict()), from.upstream()};
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
    case wire::Datagram::kSwim: {
        std::optional<SwimMessage> swim = read(datagram.swim());
        if (!swim) {
            return std::nullopt;
        }
        message.body = std::move(*swim);
        return message;
    }
    case wire::Datagram::kLeaving:
        message.body = read(datagram.leaving());
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
    case wire::Datagram::BODY_NOT_SET:
        return std::nullopt;
    }
    return std::nullopt;
}

} // namespace plantainswitch
