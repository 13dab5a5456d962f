#include "wirecodec.h"

#include <limits>

#include <asio/ip/address.hpp>

namespace plantainswitch::codec {

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
    to.set_place(from.dataCentre);
    toWire(from.datagramEndpoint, *to.mutable_datagrams());
    toWire(from.rpcEndpoint, *to.mutable_calls());
    to.set_incarnation(from.incarnation);
    to.set_catalogue_version(from.catalogueVersion);
    to.set_leaving(from.leaving);
    to.set_refutation(from.refutation);
    to.set_catalogue_age(from.catalogueAgeMilliseconds);
    to.set_vm_stamp(from.vmListVersion);
    to.set_vm_digest(from.vmListDigest);
}

/// Sending parses a member's host as an IP address. One that can't be parsed would end the router
/// at its next membership tick, so such a heartbeat is rejected here, before any table holds it.
bool isUsable(const wire::Endpoint &endpoint)
{
    asio::error_code error;
    static_cast<void>(asio::ip::make_address(endpoint.host(), error));
    return !error && endpoint.port() > 0
           && endpoint.port() <= std::numeric_limits<std::uint16_t>::max();
}

std::optional<Heartbeat> read(const wire::Heartbeat &from)
{
    if (from.id().empty() || !isUsable(from.datagrams()) || !isUsable(from.calls())) {
        return std::nullopt;
    }
    Heartbeat to;
    to.id = from.id();
    to.dataCentre = from.place();
    to.datagramEndpoint = fromWire(from.datagrams());
    to.rpcEndpoint = fromWire(from.calls());
    to.incarnation = from.incarnation();
    to.catalogueVersion = from.catalogue_version();
    to.leaving = from.leaving();
    to.refutation = from.refutation();
    to.catalogueAgeMilliseconds = from.catalogue_age();
    to.vmListVersion = from.vm_stamp();
    to.vmListDigest = from.vm_digest();
    return to;
}

} // namespace

void fill(wire::Datagram &datagram, const SwimMessage &from)
{
    wire::Swim &to = *datagram.mutable_swim();
    to.set_kind(static_cast<std::uint32_t>(from.kind));
    to.set_probe(from.probe);
    to.set_join(from.join);
    toWire(from.sender, *to.mutable_from());
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

std::optional<SwimMessage> read(const wire::Swim &from)
{
    SwimMessage to;
    if (from.kind() > static_cast<std::uint32_t>(SwimKind::JoinReply)) {
        return std::nullopt;
    }
    to.kind = static_cast<SwimKind>(from.kind());
    to.probe = from.probe();
    to.join = from.join();
    std::optional<Heartbeat> sender = read(from.from());
    if (!sender || (to.kind == SwimKind::PingRequest && !isUsable(from.target()))) {
        return std::nullopt;
    }
    to.sender = std::move(*sender);
    if (to.kind == SwimKind::PingRequest) {
        to.target = fromWire(from.target());
    }
    for (const wire::MemberUpdate &update : from.updates()) {
        if (update.state() > static_cast<std::uint32_t>(MemberState::Gone)) {
            return std::nullopt;
        }
        std::optional<Heartbeat> member = read(update.member());
        if (!member) {
            return std::nullopt;
        }
        to.updates.push_back({std::move(*member), static_cast<MemberState>(update.state())});
    }
    return to;
}

LeavingNotice read(const wire::LeavingNotice &from)
{
    return {{from.vms().begin(), from.vms().end()}};
}

} // namespace plantainswitch::codec
