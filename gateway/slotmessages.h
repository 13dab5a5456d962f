#pragma once

#include <cstdint>

#include "peer.pb.h"

#include "plantainswitch/membership/vm.h"
#include "plantainswitch/routing/enginegrant.h"
#include "plantainswitch/routing/slotqueue.h"

namespace plantainswitch::gateway {

/// How long a coordinator may take to respond: a few round trips between data centres and one turn
/// of its event loop. After that the router decides by its own knowledge, which is better than
/// waiting longer.
inline constexpr Milliseconds coordinatorTimeout{25};

/// A router's request for a slot of a contended upstream, to the upstream's coordinator.
struct QueueAsk
{
    /// The router is set by the coordinator.
    SlotQueueRequest request;
    /// Hash of the upstream's id.
    std::uint64_t upstream = 0;
    std::uint64_t incarnation = 0;
    /// Slots of the upstream as the router knows them; 0 if it does not.
    std::uint32_t slots = 0;
    /// Concurrency limit of the upstream that the router last received; 0 if none.
    double learnedLimit = 0.0;
    /// Requests of the router on the upstream.
    std::uint32_t ownRunning = 0;
};

/// A process of a router, as the sender or receiver of messages.
struct RouterIdentity
{
    Endpoint address;
    /// Hash of its id. Valid unless the incarnation is 0.
    std::uint64_t id = 0;
    /// 0 if not known: routers of earlier versions do not state it.
    std::uint64_t incarnation = 0;
};

/// \returns whether a message of \a sender comes from the router that was \a asked. A newer process
/// at the same address has received the question in its place.
[[nodiscard]] bool isFrom(const RouterIdentity &asked, const RouterIdentity &sender);

/// The coordinator's reply, or the end of a request's wait.
struct QueueReply
{
    std::uint64_t requestId = 0;
    std::uint64_t incarnation = 0;
    SlotQueueReply state;
    /// How much longer the coordinator believes the upstream to be cold.
    Milliseconds coldFor{0};
    /// Concurrency limit of the upstream; 0 if none was learned.
    double learnedLimit = 0.0;
};

[[nodiscard]] wire::GatewayDatagram encode(const QueueAsk &ask);
[[nodiscard]] wire::GatewayDatagram encode(const QueueReply &reply, const RouterIdentity &sender);
/// \returns the message that a granted or waiting request has ended.
[[nodiscard]] wire::GatewayDatagram encodeEnd(std::uint64_t requestId, std::uint64_t incarnation,
                                              const GrantRelease &release);
/// \returns whether the request may wait in a queue. Routers of earlier versions never let it.
[[nodiscard]] bool isQueueAsk(const wire::EngineAsk &message);
[[nodiscard]] QueueAsk decodeQueueAsk(const wire::EngineAsk &message);
[[nodiscard]] QueueReply decodeQueueReply(const wire::EngineReply &message);
/// \returns who has sent a coordinator's reply, which arrived from \a address.
[[nodiscard]] RouterIdentity senderOf(const wire::EngineReply &message, const Endpoint &address);
/// \returns how a grant ends, as its router states it.
[[nodiscard]] GrantRelease decodeRelease(const wire::EngineEnd &message);
/// \returns \a span as the field of a message holds it, rounded up.
[[nodiscard]] std::uint32_t millisecondsOf(Duration span);

} // namespace plantainswitch::gateway
