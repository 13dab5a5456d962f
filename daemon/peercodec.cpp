#include "peercodec.h"

#include <limits>

#include <asio/ip/address.hpp>
#include <google/protobuf/stubs/logging.h>

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

void fill(wire::Datagram &datagram, const SlotDigest &from)
{
    wire::SlotDigest &to = *datagram.mutable_digest();
    to.set_shard(from.shard);
    to.set_below(from.below);
    to.set_count(from.count);
    to.set_mix(from.mix);
}

void fill(wire::Datagram &datagram, const SlotListAsk &from)
{
    datagram.mutable_list_ask()->set_shard(from.shard);
}

void fill(wire::Datagram &datagram, const SlotList &from)
{
    wire::SlotList &to = *datagram.mutable_list();
    to.set_service(from.shard.service);
    to.set_place(from.shard.place);
    to.set_shard(from.shard.number);
    to.set_router(from.router);
    to.set_from(from.from);
    to.set_below(from.below);
    for (const ListedSlot &slot : from.slots) {
        to.add_ask_ids(slot.askId);
        to.add_upstreams(slot.upstream);
    }
}

void fill(wire::Datagram &datagram, const ShardSummary &from)
{
    wire::ShardSummary &to = *datagram.mutable_summary();
    to.set_service(from.shard.service);
    to.set_place(from.shard.place);
    to.set_shard(from.shard.number);
    to.set_load(from.load);
    to.set_engines(from.engines);
}

void fill(wire::Datagram &datagram, const ClaimAsk &from)
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

void fill(wire::Datagram &datagram, const SuspectNews &from)
{
    wire::SuspectNews &to = *datagram.mutable_suspect_news();
    to.set_upstream(from.upstream);
    to.mutable_crashed()->Add(from.crashed.begin(), from.crashed.end());
    to.mutable_cleared()->Add(from.cleared.begin(), from.cleared.end());
}

ClaimAsk read(const wire::ClaimAsk &from, std::uint64_t sender)
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

SuspectNews read(const wire::SuspectNews &from)
{
    return {from.upstream(),
            {from.crashed().begin(), from.crashed().end()},
            {from.cleared().begin(), from.cleared().end()}};
}

/// Sending to a member turns its address into an IP number; one that can't be would end the
/// router at its next beat, so such a heartbeat is refused here, before any table holds it.
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
    std::optional<Heartbeat> sender = read(from.from());
    if (!sender || (to.kind == SwimKind::PingRequest && !isUsable(from.target()))) {
        return std::nullopt;
    }
    to.from = std::move(*sender);
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

SlotDigest read(const wire::SlotDigest &from)
{
    return {from.shard(), from.below(), from.count(), from.mix()};
}

SlotListAsk read(const wire::SlotListAsk &from)
{
    return {from.shard()};
}

std::optional<SlotList> read(const wire::SlotList &from)
{
    if (from.ask_ids_size() != from.upstreams_size()) {
        return std::nullopt;
    }
    SlotList to;
    to.shard = {from.service(), from.place(), from.shard()};
    to.router = from.router();
    to.from = from.from();
    to.below = from.below();
    for (int index = 0; index < from.ask_ids_size(); ++index) {
        to.slots.push_back({from.ask_ids(index), from.upstreams(index)});
    }
    return to;
}

ShardSummary read(const wire::ShardSummary &from)
{
    return {{from.service(), from.place(), from.shard()}, from.load(), from.engines()};
}

/// Messages by which routers and keepers keep their slots equal.
std::optional<PeerBody> readSlotSync(const wire::Datagram &datagram)
{
    if (datagram.has_digest()) {
        return read(datagram.digest());
    }
    if (datagram.has_list_ask()) {
        return read(datagram.list_ask());
    }
    if (datagram.has_list()) {
        std::optional<SlotList> list = read(datagram.list());
        return list ? std::optional<PeerBody>(std::move(*list)) : std::nullopt;
    }
    if (datagram.has_summary()) {
        return read(datagram.summary());
    }
    return std::nullopt;
}

} // namespace

std::string encode(const PeerMessage &message)
{
    wire::Datagram datagram;
    datagram.set_sender(message.sender);
    std::visit([&datagram](const auto &body) { fill(datagram, body); }, message.body);
    // With long names a few rumours are more than a datagram takes. The receiver would refuse it
    // as a whole, heartbeat and all, and take the sender for gone; rumours come again.
    while (datagram.ByteSizeLong() > longestDatagram && datagram.swim().updates_size() > 0) {
        datagram.mutable_swim()->mutable_updates()->RemoveLast();
    }
    return datagram.SerializeAsString();
}

std::optional<PeerMessage> decode(std::string_view bytes)
{
    // protobuf writes a line of its own to the error stream for each damaged text field, beside
    // the numbered events; whoever floods the port would fill the log. Event 302 says it already.
    static google::protobuf::LogHandler *const previous = google::protobuf::SetLogHandler(nullptr);
    static_cast<void>(previous);
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
    case wire::Datagram::kClaimAsk:
        message.body = read(datagram.claim_ask(), datagram.sender());
        return message;
    case wire::Datagram::kClaimReply: {
        const std::optional<ClaimReply> reply = read(datagram.claim_reply());
        if (!reply) {
            return std::nullopt;
        }
        message.body = *reply;
        return message;
    }
    case wire::Datagram::kClaimRelease:
        message.body = read(datagram.claim_release());
        return message;
    case wire::Datagram::kSuspectNews:
        message.body = read(datagram.suspect_news());
        return message;
    case wire::Datagram::kLimitReport:
        message.body = read(datagram.limit_report());
        return message;
    case wire::Datagram::kLimitShares:
        message.body = read(datagram.limit_shares());
        return message;
    default:
        break;
    }
    std::optional<PeerBody> body = readSlotSync(datagram);
    if (!body) {
        return std::nullopt;
    }
    message.body = std::move(*body);
    return message;
}

} // namespace plantainswitch
