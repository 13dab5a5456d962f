#include "requesthandler.h"

#include <fmt/format.h>

#include "refusal.h"

namespace plantainswitch {

Passage::Passage(Node &node, std::shared_ptr<Slots> slots, std::shared_ptr<ClaimService> claims,
                 std::shared_ptr<SuspectSharing> suspects, net::HttpClient &client,
                 std::shared_ptr<net::HttpReply> reply)
    : node(node)
    , slots(std::move(slots))
    , claims(std::move(claims))
    , suspects(std::move(suspects))
    , client(client)
    , reply(std::move(reply))
    , began(node.clock.now())
{
    ++this->node.inFlight;
    this->id =
        fmt::format("{:08x}-{}", static_cast<std::uint32_t>(node.identity), node.nextRequest++);
}

Passage::~Passage()
{
    if (this->limited) {
        this->node.limits.end(*this->limited);
    }
    --this->node.inFlight;
}

void Passage::run(net::HttpRequest http)
{
    this->node.metrics.count(Counter::Requests);
    this->node.retryBudget.earn();
    this->explanation.requestId = this->id;
    if (http.crowded) {
        this->refuseWith({ErrorKind::Overloaded, "too many connections", std::nullopt});
        return;
    }
    Reason reason;
    auto parsed = parseRequest(std::move(http), this->node.settings.largestBody, reason);
    if (!parsed) {
        this->refuseWith(reason);
        return;
    }
    this->request = std::move(*parsed);
    this->reply->onGone([weak = this->weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->callerGone();
        }
    });
    this->admitCaller();
}

void Passage::admitCaller()
{
    const auto view = this->node.catalogue.view();
    if (!view) {
        this->refuseWith({ErrorKind::NoCatalogue, "", std::nullopt});
        return;
    }
    const Duration staleness = this->node.catalogue.staleness(this->node.clock.now());
    Reason reason;
    auto admitted = admit(*view, this->request.token, this->request.service, staleness, reason);
    if (!admitted) {
        this->refuseWith(reason);
        return;
    }
    this->admission = std::move(*admitted);
    const bool modelService = this->admission.serviceEntry.type == ServiceType::Model;
    if (modelService != this->request.model) {
        this->refuseWith({ErrorKind::NotFound, "the service is of another type", std::nullopt});
        return;
    }
    this->note(fmt::format("workspace {} class {} catalogue {} permitted {}",
                           this->admission.workspace, this->admission.limits.dataClass,
                           this->admission.catalogueVersion,
                           fmt::join(this->admission.places, ",")));
    if (this->answerRepeat()) {
        return;
    }
    this->limit();
}

void Passage::limit()
{
    const WorkspaceLimit limit{this->admission.limits.requestsPerSecond,
                               this->admission.limits.maxInFlight};
    if (limit.requestsPerSecond != 0 || limit.maxInFlight != 0) {
        const WorkspaceId workspace = workspaceIdOf(this->admission.workspace);
        const auto refused = this->node.limits.admit(workspace, limit, this->node.fleetSize(),
                                                     this->node.clock.now());
        if (refused) {
            logEvent(Event::LimitReached, {{"workspace", this->admission.workspace}});
            this->refuseWith(
                {ErrorKind::LimitReached,
                 refused->inFlight ? "too many requests in flight" : "too many requests a second",
                 refused->retryAfterSeconds});
            return;
        }
        this->limited = workspace;
    }
    this->place();
}

void Passage::refuseWith(const Reason &wanted)
{
    Reason reason = wanted;
    if (this->mayHaveRun && errorRow(wanted.kind).ran == Ran::No) {
        // The last try did not run, but one before may have: "not run" would be false.
        reason = {ErrorKind::UpstreamFailed, "then " + std::string(errorRow(wanted.kind).name),
                  wanted.retryAfter};
    }
    this->node.metrics.countRefusal(reason.kind);
    this->note("refused: " + std::string(errorRow(reason.kind).name) + " " + reason.detail);
    logEvent(Event::RequestRefused, {{"request", this->id},
                                     {"kind", std::string(errorRow(reason.kind).name)},
                                     {"detail", reason.detail}});
    // The books are closed before the caller hears: its repeat may come at once, and would meet a
    // claim "in progress" of a request that has ended.
    const RefusalScope scope = this->refusalScope();
    this->endClaimRefused(errorRow(reason.kind).ran);
    this->account();
    refuse(*this->reply, reason, this->id, scope);
}

RefusalScope Passage::refusalScope() const
{
    // Before its claim is granted nobody here knows of earlier sendings with the same key.
    return this->request.nonIdempotent && !this->claim ? RefusalScope::Attempt
                                                       : RefusalScope::Request;
}

void Passage::callerGone()
{
    this->gone = true;
    if (this->request.nonIdempotent) {
        // Half an order is worse than one whose caller left: it runs to its end, and the answer
        // is kept for the caller's repeat.
        return;
    }
    const std::lock_guard lock(this->exchangeMutex);
    if (this->need) {
        this->need->abandoned = true;
    }
    if (this->exchange) {
        this->exchange->cancel();
    }
}

void Passage::account()
{
    this->node.explain.keep(std::move(this->explanation));
}

} // namespace plantainswitch
