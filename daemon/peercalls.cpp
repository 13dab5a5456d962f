#include "peercalls.h"

#include <map>
#include <mutex>

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
    if (from.body) {
        to.set_body(toJson(*from.body).dump());
    }
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
    std::vector<Fault> faults;
    const auto json = parseJson(from.body(), faults);
    entry.body = json ? parseEntry(*kind, *json, faults) : std::nullopt;
    if (!entry.body) {
        logEvent(Event::EntryInvalid, {{"entry", entry.key.name}, {"from", "peer"}});
        return std::nullopt;
    }
    return entry;
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
        for (const Entry &entry : this->node.catalogue.entriesAbove(request->after_version())) {
            toWire(entry, *reply->add_entries());
        }
        this->node.metrics.count(Counter::ControlBytesSent, reply->ByteSizeLong());
        grpc::ServerUnaryReactor *reactor = context->DefaultReactor();
        reactor->Finish(grpc::Status::OK);
        return reactor;
    }

    grpc::ServerUnaryReactor *OwnClaim(grpc::CallbackServerContext *context,
                                       const wire::OwnClaimRequest *request,
                                       wire::OwnClaimReply *reply) override
    {
        // A restarted router at the same address knows nothing of the claims of the one before.
        if (request->owner() == this->node.identity) {
            const auto own = this->node.ownClaims.find(request->nonce());
            reply->set_state(static_cast<std::uint32_t>(own.state));
            if (own.answer) {
                reply->set_answered(true);
                reply->set_status(own.answer->status);
                reply->set_content_type(own.answer->contentType);
                reply->set_body(own.answer->body);
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
    if (from.state() <= static_cast<std::uint32_t>(OwnState::Lost)) {
        own.state = static_cast<OwnState>(from.state());
    }
    if (from.answered()) {
        own.answer = KeptAnswer{from.status(), from.content_type(), from.body()};
    }
    return own;
}

struct OwnClaimCall
{
    grpc::ClientContext context;
    wire::OwnClaimRequest request;
    wire::OwnClaimReply reply;
    std::shared_ptr<grpc::Channel> channel;
    std::unique_ptr<wire::Peer::Stub> stub;
};

struct PullCall
{
    grpc::ClientContext context;
    wire::PullRequest request;
    wire::PullReply reply;
    std::shared_ptr<grpc::Channel> channel;
    std::unique_ptr<wire::Peer::Stub> stub;
};

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
    if (this->state->server) {
        this->state->server->Shutdown(std::chrono::system_clock::now() + std::chrono::seconds(1));
    }
}

void PeerCalls::pull(const Heartbeat &peer, std::uint64_t version,
                     std::function<void(std::optional<std::vector<Entry>>)> done)
{
    auto call = std::make_shared<PullCall>();
    call->channel = this->state->channelTo(peer.calls);
    call->stub = wire::Peer::NewStub(call->channel);
    call->request.set_after_version(version);
    call->context.set_deadline(std::chrono::system_clock::now() + pullDeadline);
    call->stub->async()->Pull(&call->context, &call->request, &call->reply,
                              [call, done = std::move(done)](const grpc::Status &status) {
                                  if (!status.ok()) {
                                      done(std::nullopt);
                                      return;
                                  }
                                  std::vector<Entry> entries;
                                  for (const wire::CatalogueEntry &each : call->reply.entries()) {
                                      if (auto entry = fromWire(each)) {
                                          entries.push_back(std::move(*entry));
                                      }
                                  }
                                  done(std::move(entries));
                              });
}

void PeerCalls::ownClaim(const Heartbeat &owner, std::uint64_t nonce,
                         std::function<void(std::optional<OwnClaim>)> done)
{
    auto call = std::make_shared<OwnClaimCall>();
    call->channel = this->state->channelTo(owner.calls);
    call->stub = wire::Peer::NewStub(call->channel);
    call->request.set_owner(identityOf(owner.id, owner.incarnation));
    call->request.set_nonce(nonce);
    call->context.set_deadline(std::chrono::system_clock::now() + ownClaimDeadline);
    call->stub->async()->OwnClaim(&call->context, &call->request, &call->reply,
                                  [call, done = std::move(done)](const grpc::Status &status) {
                                      if (!status.ok()) {
                                          done(std::nullopt);
                                          return;
                                      }
                                      done(fromWire(call->reply));
                                  });
}

} // namespace plantainswitch
