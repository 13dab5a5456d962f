#include "gateway.h"

#include <utility>

#include "gauges.h"
#include "storeview.h"
#include "wherequery.h"

namespace plantainswitch::gateway {

namespace {

constexpr std::size_t maxInternalHeadBytes = 8192;

} // namespace

void Gateway::acceptCallers()
{
    this->callerAcceptor.start([this](asio::ip::tcp::socket socket) {
        this->state.loopMonitor.recordConnections(1);
        this->state.metrics.count(Counter::ConnectionsAccepted);
        const CallerLimits limits =
            this->state.routingTable ? this->state.routingTable->config().limits : CallerLimits{};
        this->startCaller(std::move(socket), limits, this->callerHandlers);
    });
}

void Gateway::acceptInternal(ConnectionAcceptor &acceptor, const CallerHandlers &handlers)
{
    acceptor.start([this, &handlers](asio::ip::tcp::socket socket) {
        CallerLimits limits;
        limits.maxHeaderBytes = maxInternalHeadBytes;
        limits.maxBodyBytes = maxWhereQueryBytes;
        if (&handlers == &this->peerHandlers && this->state.routingTable) {
            // A forwarded request has some fields more than its caller sent.
            limits = this->state.routingTable->config().limits;
            limits.maxHeaderBytes += maxInternalHeadBytes;
        }
        this->startCaller(std::move(socket), limits, handlers);
    });
}

void Gateway::startCaller(asio::ip::tcp::socket socket, const CallerLimits &limits,
                          const CallerHandlers &handlers)
{
    prepareSocket(socket);
    const auto caller = std::make_shared<CallerConnection>(
        this->nextCallerId++, std::make_shared<ByteStream>(std::move(socket), &this->state.work),
        limits, handlers, this->state.clock);
    this->callers.emplace(caller->id(), caller);
    caller->start();
}

void Gateway::onPeerRequest(const std::shared_ptr<CallerConnection> &caller,
                            IncomingRequest incoming)
{
    if (const auto forwarded = takeForwardedFields(incoming.head)) {
        this->onRequest(caller, std::move(incoming), forwarded);
        return;
    }
    this->onInternalRequest(caller, incoming);
}

void Gateway::onInternalRequest(const std::shared_ptr<CallerConnection> &caller,
                                const IncomingRequest &incoming)
{
    constexpr int ok = 200;
    constexpr int notFound = 404;
    constexpr int unavailable = 503;
    if (incoming.head.target == "/readiness") {
        caller->respond(this->isReady() ? ok : unavailable, {}, {}, false);
        return;
    }
    if (incoming.head.target == "/metrics") {
        caller->respond(
            ok, {{"Content-Type", "text/plain; version=0.0.4"}},
            this->state.metrics.render(this->state.clock.now()) + renderGauges(this->state), false);
        return;
    }
    if (incoming.head.target == wherePath && incoming.head.method == "POST") {
        const WhereReply reply = answerWhereQuery(this->state, incoming.body);
        caller->respond(reply.status, {{"Content-Type", "application/json"}}, reply.body, false);
        return;
    }
    if (const auto query = parseStoreViewQuery(incoming.head.target)) {
        const std::uint64_t version =
            this->state.routingTable ? this->state.routingTable->config().version : 0;
        const std::string view = serializeStoreView(this->state.storeView, version, *query);
        const std::weak_ptr<CallerConnection> weak = caller;
        const auto isTransferDone = [weak] {
            const auto receiver = weak.lock();
            return !receiver || receiver->queuedBytes() == 0;
        };
        if (!this->storeViewLimiter.tryBegin(view.size(), isTransferDone)) {
            caller->respond(unavailable, {}, {}, false);
            return;
        }
        this->state.metrics.countSent(ControlKind::StoreView, view.size());
        caller->respond(ok, {{"Content-Type", "application/json"}}, view, false);
        return;
    }
    caller->respond(notFound, {}, {}, true);
}

void Gateway::onRequest(const std::shared_ptr<CallerConnection> &caller, IncomingRequest incoming,
                        std::optional<ForwardedRequest> forwarded)
{
    const auto exchange =
        std::make_shared<RequestHandler>(this->state, caller, std::move(incoming), forwarded);
    this->exchanges[caller->id()] = exchange;
    exchange->start();
}

} // namespace plantainswitch::gateway
