#include "requesthandler.h"

#include <fmt/format.h>

#include "refusal.h"

namespace plantainswitch {

RequestHandler::RequestHandler(Node &node, std::shared_ptr<SlotClient> slots,
                               std::shared_ptr<ClaimService> claims,
                               std::shared_ptr<SuspectBroadcaster> suspects,
                               net::HttpClient &client, std::shared_ptr<net::HttpResponder> reply)
    : node(node)
    , slots(std::move(slots))
    , claims(std::move(claims))
    , suspects(std::move(suspects))
    , client(client)
    , responder(std::move(reply))
    , startedAt(node.clock.now())
{
    ++this->node.inFlight;
    this->requestId = fmt::format("{:08x}-{}", static_cast<std::uint32_t>(node.identity),
                                  node.nextRequestNumber++);
}

RequestHandler::~RequestHandler()
{
    if (this->limitedWorkspace) {
        this->node.limits.release(*this->limitedWorkspace);
    }
    --this->node.inFlight;
}

void RequestHandler::run(net::HttpRequest http)
{
    this->node.metrics.count(Counter::Requests);
    this->node.retryBudget.deposit();
    this->explanation.requestId = this->requestId;
    if (http.connectionLimitExceeded) {
        this->refuseWith({ErrorKind::Overloaded, "too many connections", std::nullopt});
        return;
    }
    Reason reason;
    auto parsed = parseCallerRequest(std::move(http), this->node.settings.maxBodyBytes, reason);
    if (!parsed) {
        this->refuseWith(reason);
        return;
    }
    this->request = std::move(*parsed);
    this->responder->onDisconnect([weak = this->weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->onCallerGone();
        }
    });
    this->admitCaller();
}

void RequestHandler::admitCaller()
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
    if (modelService != this->request.isModelCall) {
        this->refuseWith({ErrorKind::NotFound, "the service is of another type", std::nullopt});
        return;
    }
    this->addStep(fmt::format("workspace {} class {} catalogue {} permitted {}",
                              this->admission.workspace, this->admission.workspaceEntry.dataClass,
                              this->admission.catalogueVersion,
                              fmt::join(this->admission.dataCentres, ",")));
    if (this->respondToDuplicate()) {
        return;
    }
    this->checkLimits();
}

void RequestHandler::checkLimits()
{
    const WorkspaceLimit limit{this->admission.workspaceEntry.requestsPerSecond,
                               this->admission.workspaceEntry.maxInFlight};
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
        this->limitedWorkspace = workspace;
    }
    this->acquireSlot();
}

void RequestHandler::refuseWith(const Reason &wanted)
{
    Reason reason = wanted;
    if (this->mayHaveRun && errorRow(wanted.kind).ran == ExecutionStatus::No) {
        // The last attempt did not run, but an earlier one may have, so "not run" would be false.
        reason = {ErrorKind::UpstreamFailed, "then " + std::string(errorRow(wanted.kind).name),
                  wanted.retryAfter};
    }
    this->node.metrics.countRefusal(reason.kind);
    this->addStep("refused: " + std::string(errorRow(reason.kind).name) + " " + reason.detail);
    logEvent(Event::RequestRefused, {{"request", this->requestId},
                                     {"kind", std::string(errorRow(reason.kind).name)},
                                     {"detail", reason.detail}});
    // End the claim before answering: the caller may repeat the request at once, and its repeat
    // would find an "in progress" claim of a request that has already ended.
    const RefusalScope scope = this->refusalScope();
    this->endClaimAfterRefusal(errorRow(reason.kind).ran);
    this->storeExplanation();
    refuse(*this->responder, reason, this->requestId, scope);
}

RefusalScope RequestHandler::refusalScope() const
{
    // Until the claim is granted, this router does not know of earlier attempts with the same key.
    return this->request.nonIdempotent && !this->claim ? RefusalScope::Attempt
                                                       : RefusalScope::Request;
}

void RequestHandler::onCallerGone()
{
    this->callerGone = true;
    if (this->request.nonIdempotent) {
        // A non-idempotent request must not stop halfway. It runs to its end without its caller,
        // and its answer is kept for the caller's repeat.
        return;
    }
    const std::lock_guard lock(this->exchangeMutex);
    if (this->slotRequirements) {
        this->slotRequirements->abandoned = true;
    }
    if (this->exchange) {
        this->exchange->cancel();
    }
}

void RequestHandler::storeExplanation()
{
    this->node.explain.record(std::move(this->explanation));
}

} // namespace plantainswitch
