#include "wirecodec.h"

namespace plantainswitch::codec {

void fill(wire::Datagram &datagram, const SlotRequest &from)
{
    wire::SlotAsk &to = *datagram.mutable_ask();
    to.set_ask_id(from.requestId);
    to.set_service(from.shard.service);
    to.set_place(from.shard.dataCentre);
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
    to.set_ask_id(from.requestId);
    to.set_verdict(static_cast<std::uint32_t>(from.verdict));
    to.set_upstream(from.upstream);
    to.set_retry_after_seconds(from.retryAfterSeconds);
}

void fill(wire::Datagram &datagram, const SlotRelease &from)
{
    wire::SlotRelease &to = *datagram.mutable_release();
    to.set_shard(from.shard);
    for (const std::uint32_t id : from.requestIds) {
        to.add_ask_ids(id);
    }
}

void fill(wire::Datagram &datagram, const SlotDigest &from)
{
    wire::SlotDigest &to = *datagram.mutable_digest();
    to.set_shard(from.shard);
    to.set_below(from.below);
    to.set_count(from.count);
    to.set_mix(from.hash);
}

void fill(wire::Datagram &datagram, const SlotListRequest &from)
{
    datagram.mutable_list_ask()->set_shard(from.shard);
}

void fill(wire::Datagram &datagram, const SlotList &from)
{
    wire::SlotList &to = *datagram.mutable_list();
    to.set_service(from.shard.service);
    to.set_place(from.shard.dataCentre);
    to.set_shard(from.shard.number);
    to.set_router(from.router);
    to.set_from(from.from);
    to.set_below(from.below);
    for (const ListedSlot &slot : from.slots) {
        to.add_ask_ids(slot.requestId);
        to.add_upstreams(slot.upstream);
    }
}

void fill(wire::Datagram &datagram, const ShardSummary &from)
{
    wire::ShardSummary &to = *datagram.mutable_summary();
    to.set_service(from.shard.service);
    to.set_place(from.shard.dataCentre);
    to.set_shard(from.shard.number);
    to.set_load(from.load);
    to.set_engines(from.engines);
}

SlotRequest read(const wire::SlotAsk &from)
{
    SlotRequest to;
    to.requestId = from.ask_id();
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
    to.requestIds.assign(from.ask_ids().begin(), from.ask_ids().end());
    return to;
}

SlotDigest read(const wire::SlotDigest &from)
{
    return {from.shard(), from.below(), from.count(), from.mix()};
}

SlotListRequest read(const wire::SlotListAsk &from)
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

} // namespace plantainswitch::codec
