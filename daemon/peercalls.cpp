#include "peercalls.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <set>

#include <grpcpp/grpcpp.h>
#include <nlohmann/json.hpp>

#include "peer.grpc.pb.h"

namespace plantainswitch {

namespace {

constexpr std::chrono::seconds pullDeadline{3};
constexpr std::chrono::milliseconds ownClaimDeadline{1000};

void toWire(const Entry &from, wire::CatalogueEntry &to)
{
    to.set_kind(std::string(nameOf(from.key.kind)));
    to.set_name(from.key.name);
    to.set_version(from.version);
    const std::string body = from.body ? toJson(*from.body).dump() : std::string{};
    to.set_body(from.unreadableText.value_or(body));
    if (from.unreadableText) {
        to.set_last_good(body);
    }
}

std::optional<EntryBody> readBody(EntryKind kind, const std::string &text)
{
    std::vector<Fault> faults;
    const auto json = parseJson(text, faults);
    return json ? parseEntry(kind, *json, faults) : std::nullopt;
}

std::optional<Entry> fromWire(const wire::CatalogueEntry &from)
{
    const auto kind = entryKindOf(from.kind());
    if (!kind) {
        return std::nullopt;
    }
    Entry entry{{*kind, from.name()}, from.version(), std::nullopt};
    if (from.body().empty()) {
        return entry;
    }
    entry.body = readBody(*kind, from.body());
    if (!entry.body) {
        logEvent(Event::EntryInvalid, {{"entry", entry.key.name}, {"from", "peer"}});
        entry.unreadableText = from.body();
        entry.body = readBody(*kind, from.last_good());
    }
    return entry;
}

void toWire(const VmRecord &from, wire::VmLine &to)
{
    to.set_id(from.vm.id);
    to.set_role(std::string(nameOf(from.vm.role)));
    to.set_service(from.vm.service);
    to.set_place(from.vm.dataCentre);
    to.mutable_endpoint()->set_host(from.vm.endpoint.host);
    to.mutable_endpoint()->set_port(from.vm.endpoint.port);
    to.set_leaving(from.vm.leaving);
    to.set_started(from.vm.startStamp);
    to.set_stamp(from.version);
    to.set_gone(from.gone);
}

std::optional<VmRecord> fromWire(const wire::VmLine &from)
{
    const auto role = vmRoleOf(from.role());
    if (!role) {
        return std::nullopt;
    }
    const Endpoint endpoint{from.endpoint().host(),
                            static_cast<std::uint16_t>(from.endpoint().port())};
    return VmRecord{
        {from.id(), *role, from.service(), from.place(), endpoint, from.leaving(), from.started()},
        from.stamp(),
        from.gone()};
}

PullResult fromWire(const wire::PullReply &from)
{
    PullResult pulled;
    for (const wire::CatalogueEntry &each : from.entries()) {
        if (auto entry = fromWire(each)) {
            pulled.entries.push_back(std::move(*entry));
        }
    }
    for (const wire::VmLine &each : from.vms()) {
        if (auto line = fromWire(each)) {
            pulled.vms.push_back(std::move(*line));
        }
    }
    pulled.completeVersion = from.complete_version();
    pulled.catalogueAge = from.catalogue_age();
    return pulled;
}

class PeerService final : public wire::Peer::CallbackService
{
public:
    explicit PeerService(Node &node)
        : node(node)
    {}

    grpc::ServerUnaryReactor *Pull(grpc::CallbackServerContext *context,
                                   const wire::PullRequest *request,
                                   wire::PullReply *reply) override
    {
        // Read the version before the entries: an entry that arrives in between may be sent
        // although the announced version does not cover it, but the version never covers an entry
        // that was not sent.
        const Heartbeat own = this->node.heartbeat();
        for (const Entry &entry : this->node.catalogue.entriesSince(request->after_version())) {
            toWire(entry, *reply->add_entries());
        }
        for (const VmRecord &line : this->node.vms.recordsSince(request->vm_stamp())) {
            toWire(line, *reply->add_vms());
        }
        reply->set_complete_version(own.catalogueVersion);
        reply->set_catalogue_age(own.catalogueAgeMilliseconds);
        this->node.metrics.countSent(ControlKind::Pull, reply->ByteSizeLong());
        grpc::ServerUnaryReactor *reactor = context->DefaultReactor();
        reactor->Finish(grpc::Status::OK);
        return reactor;
    }

    grpc::ServerUnaryReactor *OwnClaim(grpc::CallbackServerContext *context,
                                       const wire::OwnClaimRequest *request,
                                       wire::OwnClaimReply *reply) override
    {
        // A restarted router at the same address knows nothing of its predecessor's claims.
        if (request->owner() == this->node.identity) {
            const auto own = this->node.ownClaims.find(request->nonce());
            reply->set_state(static_cast<std::uint32_t>(own.state));
            if (own.response) {
                reply->set_answered(true);
                reply->set_status(own.response->status);
                reply->set_content_type(own.response->contentType);
                reply->set_body(own.response->body);
            }
        }
        grpc::ServerUnaryReactor *reactor = context->DefaultReactor();
        reactor->Finish(grpc::Status::OK);
        return reactor;
    }

private:
    Node &node;
};

plantainswitch::OwnClaim fromWire(const wire::OwnClaimReply &from)
{
    plantainswitch::OwnClaim own;
    if (from.state() <= static_cast<std::uint32_t>(OwnClaimState::Lost)) {
        own.state = static_cast<OwnClaimState>(from.state());
    }
    if (from.answered()) {
        own.response = CachedResponse{from.status(), from.content_type(), from.body()};
    }
    return own;
}

/// A call to a peer in progress.
template<typename Request, typename Reply>
struct PeerCall
{
    grpc::ClientContext context;
    Request request;
    Reply reply;
    std::shared_ptr<grpc::Channel> channel;
    std::unique_ptr<wire::Peer::Stub> stub;
};

using PullCall = PeerCall<wire::PullRequest, wire::PullReply>;
using OwnClaimCall = PeerCall<wire::OwnClaimRequest, wire::OwnClaimReply>;

/// The calls that have not ended. A call that ended on a gRPC thread after the router's tables were
/// destroyed would run its callback on freed memory and abort the process at its end. A router that
/// shuts down therefore cancels its calls and waits for the last callback.
class OpenCalls
{
public:
    /// Registers a call. \returns false if no further call may start.
    bool begin(grpc::ClientContext &context)
    {
        const std::lock_guard lock(this->mutex);
        return !this->closed && this->open.insert(&context).second;
    }

    void end(grpc::ClientContext &context)
    {
        const std::lock_guard lock(this->mutex);
        this->open.erase(&context);
        this->allEnded.notify_all();
    }

    void cancelAndWait()
    {
        std::unique_lock lock(this->mutex);
        this->closed = true;
        for (grpc::ClientContext *context : this->open) {
            context->TryCancel();
        }
        this->allEnded.wait(lock, [this] { return this->open.empty(); });
    }

private:
    std::mutex mutex;
    std::condition_variable allEnded;
    std::set<grpc::ClientContext *> open;
    bool closed = false;
};

/// Starts \a call with \a start unless the router is shutting down.
/// \param done receives the result, or nothing; it is destroyed before the call counts as ended
template<typename Call, typename Done, typename Start>
void startCall(OpenCalls &open, const std::shared_ptr<Call> &call, Done done, const Start &start)
{
    if (!open.begin(call->context)) {
        done(std::nullopt);
        return;
    }
    start([call, &open, done = std::move(done)](const grpc::Status &status) mutable {
        done(status.ok() ? std::optional(fromWire(call->reply)) : std::nullopt);
        done = nullptr;
        open.end(call->context);
    });
}

} // namespace

struct PeerCalls::State
{
    explicit State(Node &node)
        : node(node)
        , service(node)
    {}

    std::shared_ptr<grpc::Channel> channelTo(const Endpoint &peer)
    {
        const std::lock_guard lock(this->mutex);
        auto &channel = this->channels[peer];
        if (!channel) {
            channel = grpc::CreateChannel(toText(peer), grpc::InsecureChannelCredentials());
        }
        return channel;
    }

    Node &node;
    PeerService service;
    std::unique_ptr<grpc::Server> server;
    std::mutex mutex;
    std::map<Endpoint, std::shared_ptr<grpc::Channel>> channels;
    OpenCalls open;
};

PeerCalls::PeerCalls(Node &node)
    : state(std::make_unique<State>(node))
{}

PeerCalls::~PeerCalls() = default;

bool PeerCalls::start()
{
    grpc::ServerBuilder builder;
    int port = 0;
    builder.AddListeningPort(toText(this->state->node.settings.peerCalls),
                             grpc::InsecureServerCredentials(), &port);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.RegisterService(&this->state->service);
    this->state->server = builder.BuildAndStart();
    return this->state->server != nullptr && port != 0;
}

void PeerCalls::stop()
{
    this->state->open.cancelAndWait();
    if (this->state->server) {
        this->state->server->Shutdown(std::chrono::system_clock::now() + std::chrono::seconds(1));
    }
}

void PeerCalls::pull(const Heartbeat &peer, std::uint64_t version, std::uint64_t vmStamp,
                     std::function<void(std::optional<PullResult>)> done)
{
    if (this->state->node.dropsTrafficTo(peer.rpcEndpoint)) {
        done(std::nullopt);
        return;
    }
    auto call = std::make_shared<PullCall>();
    call->channel = this->state->channelTo(peer.rpcEndpoint);
    call->stub = wire::Peer::NewStub(call->channel);
    call->request.set_after_version(version);
    call->request.set_vm_stamp(vmStamp);
    call->context.set_deadline(std::chrono::system_clock::now() + pullDeadline);
    startCall(this->state->open, call, std::move(done), [&call](auto ended) {
        call->stub->async()->Pull(&call->context, &call->request, &call->reply, std::move(ended));
    });
}

void PeerCalls::queryOwnClaim(const Heartbeat &owner, std::uint64_t nonce,
                              std::function<void(std::optional<OwnClaim>)> done)
{
    if (this->state->node.dropsTrafficTo(owner.rpcEndpoint)) {
        done(std::nullopt);
        return;
    }
    auto call = std::make_shared<OwnClaimCall>();
    call->channel = this->state->channelTo(owner.rpcEndpoint);
    call->stub = wire::Peer::NewStub(call->channel);
    call->request.set_owner(identityOf(owner.id, owner.incarnation));
    call->request.set_nonce(nonce);
    call->context.set_deadline(std::chrono::system_clock::now() + ownClaimDeadline);
    startCall(this->state->open, call, std::move(done), [&call](auto ended) {
        call->stub->async()->OwnClaim(&call->context, &call->request, &call->reply,
                                      std::move(ended));
    });
}

} // namespace plantainswitch
