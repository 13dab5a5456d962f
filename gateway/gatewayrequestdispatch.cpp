#include "gatewayrequesthandler.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "plantainswitch/base/hash.h"
#include "plantainswitch/observe/event.h"

namespace plantainswitch::gateway {

namespace {

/// How long after one router has announced that an engine caches a prefix other routers do not
/// announce it again. A third of the time for which the announcement is believed.
constexpr Duration prefixAnnounceInterval = cacheResidency / 3;

/// \returns the ids of the parts that other prompts may share, for the log.
std::string sharedPartsOf(const std::optional<Prompt> &prompt)
{
    constexpr std::size_t maxLoggedParts = 8;
    std::string text;
    const std::size_t parts = prompt && !prompt->parts.empty() ? prompt->parts.size() - 1 : 0;
    for (std::size_t i = 0; i < std::min(parts, maxLoggedParts); ++i) {
        text += fmt::format("{}{:x}", i == 0 ? "" : ",", prompt->parts[i].id);
    }
    return text;
}

} // namespace

bool RequestHandler::maySelect()
{
    if (this->remainingTime() < minRemainingTime) {
        this->fail();
        return false;
    }
    // A crash may have been reported while the request waited, or ran elsewhere.
    if (const auto blocking = this->blockedBy()) {
        this->refuseQuarantined(blocking->key);
        return false;
    }
    return true;
}

void RequestHandler::selectAndDispatch()
{
    this->attempt.phase = Phase::Selecting;
    if (!this->maySelect()) {
        return;
    }
    // The timer of an earlier attempt must not fire while the coordinator of the next one is asked.
    this->armTimer(this->deadline);
    const bool isCutOff =
        this->gateway.isCutOff(this->service)
        && !takeTrialRequest(*this->reach, isRetryable(*this->route), this->now());
    if (isCutOff && this->forward("cut off")) {
        return;
    }
    const CandidateChoice candidateChoice = this->chooseUpstream();
    const CandidateSet &set = candidateChoice.set;
    const auto &choice = candidateChoice.selected;
    this->hasNoPermittedPlace = set.hasNoPermittedPlace;
    const std::span<UpstreamState *const> candidates = set.upstreams;
    if (this->waitForDeniedSlot(candidates, choice)
        || this->forwardForLackOfReach(candidates, choice)) {
        return;
    }
    if (!choice) {
        this->fail();
        return;
    }
    const PlacementRequest placement = this->placementRequest();
    if (!this->passAdmissionControl(placement, *choice)
        || (set.isConstrained && !this->passLoadBound(*choice, *candidates[choice->index]))) {
        return;
    }
    this->dispatchWithGrant(placement, candidates, *choice);
}

RequestHandler::CandidateChoice RequestHandler::chooseUpstream()
{
    this->gateway.refreshPeerLoads();
    const PlacementRequest placement = this->placementRequest();
    CandidateChoice choice{candidatesFor(this->gateway.upstreams.ofService(this->service),
                                         placement.constraints, this->stream),
                           std::nullopt};
    const std::vector<std::string> excluded = this->excludedUpstreams(choice.set.upstreams);
    const ServiceEstimator *const estimator = this->gateway.settings.mechanisms.estimates
                                                  ? &this->gateway.estimators[this->service]
                                                  : nullptr;
    choice.selected = selectUpstream(
        choice.set.upstreams, selectionRequestFor(this->gateway, placement, excluded),
        this->gateway.upstreams.prefixIndex,
        selectionPolicyFor(this->gateway.settings, estimator, choice.set, this->now()),
        this->now());
    return choice;
}

void RequestHandler::dispatchWithGrant(const PlacementRequest &request,
                                       std::span<UpstreamState *const> candidates,
                                       const UpstreamSelection &choice)
{
    const UpstreamState &target = *candidates[choice.index];
    Selection placement{choice, target.replica.id, {}, {}};
    if (choice.transferSource) {
        const Replica &source = candidates[*choice.transferSource]->replica;
        placement.donorId = source.id;
        placement.copyFrom = source.endpoint;
    }
    if (usesSlotQueue(this->gateway, request, target)) {
        this->requestSlot(std::move(placement), firstGrantWait(this->grantTimes()));
        return;
    }
    if (!needsGrant(this->gateway, request, target, this->coordinatorRejections)) {
        this->dispatchTo(placement);
        return;
    }
    this->requestGrant(std::move(placement));
}

bool RequestHandler::forwardForLackOfReach(std::span<UpstreamState *const> candidates,
                                           const std::optional<UpstreamSelection> &choice)
{
    const auto why = lackOfReach(candidates, choice, this->connectFailures, this->now());
    return why && this->forward(*why);
}

PlacementConstraints RequestHandler::placementConstraints() const
{
    return placementConstraintsFor(this->gateway, *this->route, this->workspaceHomes);
}

PlacementRequest RequestHandler::placementRequest() const
{
    return {*this->route,
            this->service,
            this->workspace,
            hashOf(this->request->attemptId),
            this->request->prompt ? &*this->request->prompt : nullptr,
            this->prefixHashes,
            this->rank,
            this->placementConstraints()};
}

bool RequestHandler::isUsable(const std::shared_ptr<UpstreamState> &upstream) const
{
    return upstream && acceptsRequests(*upstream, this->now()) && !this->blockedBy()
           && isPermitted(this->stream, upstream->replica)
           && isPermitted(upstream->replica.dataCentre, this->placementConstraints());
}

bool RequestHandler::mayDispatchUnpermitted(UpstreamState &upstream) const
{
    if (this->gateway.isBrittle(upstream.replica.service)) {
        const std::uint32_t share = brittleUncoordinatedShare(
            hashOf(this->gateway.settings.id), this->gateway.routerCount(),
            upstream.replica.maxConcurrency, this->now());
        return !this->gateway.isLimitedAsCold(upstream)
               && upstream.unpermitted.tryTake(share, this->now());
    }
    const PermitLimits limits = this->gateway.permitLimits(upstream.replica.service);
    if (limits.warm == 0) {
        return true;
    }
    if (this->gateway.isLimitedAsCold(upstream)) {
        return false;
    }
    const std::uint32_t share = std::max(1U, limits.warm / this->gateway.routerCount());
    return upstream.unpermitted.tryTake(share, this->now())
           || this->coordinatorRejections >= maxLoadRejections;
}

void RequestHandler::recordPermitDenied(UpstreamState &upstream, Milliseconds wait)
{
    const TimePoint now = this->now();
    upstream.permitBlockedUntil = now + wait;
    this->gateway.metrics.count(Counter::PermitsDenied);
    logEvent(Event::PermitDenied,
             {{"request", this->request->attemptId},
              {"upstream", upstream.replica.id},
              {"cold_ms", std::to_string(upstream.cold.remaining(now).count())},
              {"wait_ms", std::to_string(wait.count())}});
}

bool RequestHandler::passAdmissionControl(const PlacementRequest &request,
                                          const UpstreamSelection &choice)
{
    // A request that may have been executed cannot be refused as not executed.
    if (this->prefixHashes.empty() || this->possibleExecutions > 0 || this->responseStarted) {
        return true;
    }
    const AdmissionRequest admissionRequest =
        admissionRequestFor(this->gateway, request, choice,
                            {this->remainingTime(), this->now() - this->incoming.receivedAt});
    const AdmissionDecision admittance =
        plantainswitch::admit(admissionRequest, this->gateway.settings.admission);
    if (admittance.verdict == AdmissionVerdict::Admitted) {
        return true;
    }
    logEvent(Event::RequestNotAdmitted,
             {{"request", this->request->attemptId},
              {"verdict", std::string(nameOf(admittance.verdict))},
              {"expected_ms", fmt::format("{:.1f}", choice.expectedDelay)},
              {"patience_ms", std::to_string(admissionRequest.remainingTimeout.count())},
              {"objective_ms", std::to_string(admissionRequest.objective.count())},
              {"rank", std::to_string(admissionRequest.priority)},
              {"occupancy", fmt::format("{:.2f}", admissionRequest.occupancy)},
              {"surge", fmt::format("{:.1f}", admissionRequest.surge)},
              {"retry_after_ms", std::to_string(admittance.retryAfter.count())}});
    this->gateway.metrics.count(Counter::SurgeRefusals, admissionRequest.surge > 1.0 ? 1 : 0);
    this->refuse(ErrorKind::Overloaded, "the service is overloaded", admittance.retryAfter);
    return false;
}

bool RequestHandler::passLoadBound(const UpstreamSelection &choice, const UpstreamState &upstream)
{
    if (isWithinLoadBound(choice, upstream) || this->prefixHashes.empty()
        || this->possibleExecutions > 0 || this->responseStarted) {
        return true;
    }
    this->refuse(loadBoundRefusal());
    return false;
}

void RequestHandler::requestGrant(Selection placement)
{
    const auto target = this->gateway.upstreams.find(placement.upstreamId);
    EngineGrantRequest grantRequest;
    grantRequest.requestId = this->gateway.fleet->nextRequestId();
    grantRequest.incarnation = incarnationOf(target->replica);
    grantRequest.permit.upstream = hashOf(target->replica.id);
    if (this->gateway.isLimitedAsCold(*target)) {
        grantRequest.coldFor = target->cold.remaining(this->now());
    }
    grantRequest.prefixHashes = this->prefixHashes;
    if (!this->prefixHashes.empty()) {
        grantRequest.promptTokens = tokensOf(*this->request->prompt);
        grantRequest.loadBound =
            loadBoundAfter(this->coordinatorRejections, placement.choice.loadBound);
    }
    grantRequest.brittleBound = this->gateway.brittleBoundOf(*target);
    grantRequest.runTime.longest = this->remainingTime();
    if (grantRequest.brittleBound > 0.0) {
        grantRequest.runTime.usual = this->gateway.runTimeBound(this->service);
    }
    this->attempt.grantId = grantRequest.requestId;
    this->attempt.grantedIncarnation = grantRequest.incarnation;
    const std::weak_ptr<RequestHandler> weak = this->weak_from_this();
    this->gateway.fleet->requestGrant(std::move(grantRequest),
                                      [weak, placement = std::move(placement)](
                                          const std::optional<EngineGrantReply> &coordinatorReply) {
                                          const auto self = weak.lock();
                                          if (self && self->attempt.phase == Phase::Selecting) {
                                              self->onCoordinatorReply(placement, coordinatorReply);
                                          }
                                      });
}

void RequestHandler::onCoordinatorReply(Selection placement,
                                        const std::optional<EngineGrantReply> &coordinatorReply)
{
    const auto target = this->gateway.upstreams.find(placement.upstreamId);
    if (!this->isUsable(target)) {
        this->releaseGrant();
        this->selectAndDispatch();
        return;
    }
    if (!coordinatorReply) {
        if (this->mayDispatchUnpermitted(*target)) {
            if (this->gateway.isBrittle(this->service)) {
                logEvent(Event::BrittleUngranted,
                         {{"request", this->request->attemptId}, {"upstream", target->replica.id}});
            }
            this->dispatchTo(placement);
            return;
        }
        this->releaseGrant();
        this->coordinatorRejections += 1;
        this->recordPermitDenied(*target, silentCoordinatorBlock);
        this->selectAndDispatch();
        return;
    }
    target->cold.presume(coordinatorReply->coldFor, this->now());
    const std::uint32_t others =
        coordinatorReply->running - std::min(coordinatorReply->running, target->ownRunning);
    target->peersRunning = others;
    if (!coordinatorReply->granted) {
        this->attempt.grantId = 0;
        this->coordinatorRejections += 1;
        if (coordinatorReply->permitWait.count() > 0) {
            this->recordPermitDenied(*target, coordinatorReply->permitWait);
        } else if (this->gateway.isBrittle(this->service)) {
            this->recordPermitDenied(*target, brittleDenialWait);
        }
        this->selectAndDispatch();
        return;
    }
    const double tokens = this->promptTokens();
    if (this->prefixHashes.empty()) {
        this->dispatchTo(placement);
        return;
    }
    double cached = 0.0;
    for (std::size_t i = 0; i < coordinatorReply->cachedParts && i < this->prefixHashes.size();
         ++i) {
        cached += this->request->prompt->parts[i].tokens;
    }
    placement.choice.uncachedTokens = std::min(placement.choice.uncachedTokens, tokens - cached);
    this->dispatchTo(placement);
}

double RequestHandler::promptTokens() const
{
    return this->request->prompt ? tokensOf(*this->request->prompt) : 0.0;
}

void RequestHandler::dispatchTo(const Selection &placement)
{
    const UpstreamSelection &choice = placement.choice;
    this->attempt.upstream = this->gateway.upstreams.find(placement.upstreamId);
    UpstreamState &state = *this->attempt.upstream;
    this->triedUpstreams.push_back(state.replica.id);
    this->grantSequence = {};
    this->attempt.firstByteSample = {choice.uncachedTokens, choice.transferredTokens,
                                     static_cast<double>(runningAt(state)), Duration{0}};
    this->attempt.isFirstPrefill = choice.isFirstPrefill;
    state.ownRunning += 1;
    this->attempt.pendingPrefillTokens = choice.uncachedTokens;
    this->attempt.countsPendingPrefill = true;
    state.ownPendingPrefill += this->attempt.pendingPrefillTokens;
    this->attempt.expectedDelay = choice.expectedDelay - choice.extraDelay;
    this->attempt.extraDelay = choice.extraDelay;
    // The time of a transfer depends on another upstream as well.
    this->attempt.serviceDelay = choice.transferredTokens > 0.0 ? 0.0 : choice.serviceDelay;
    const std::size_t crashes = crashCountOf(this->suspects, this->gateway.crashQuarantine);
    const std::optional<std::uint64_t> resumeAfter = this->lastReceivedEvent();
    logEvent(Event::RequestPlaced,
             {{"request", this->request->attemptId},
              {"route", this->route->name},
              {"config", std::to_string(this->routingTable->config().version)},
              {"upstream", state.replica.id},
              {"place", state.replica.dataCentre},
              {"version", state.replica.version},
              {"resume_after", resumeAfter ? std::to_string(*resumeAfter) : std::string()},
              {"expected_ms", fmt::format("{:.1f}", choice.expectedDelay)},
              {"home", choice.isHome ? "yes" : "no"},
              {"home_ms", fmt::format("{:.1f}", choice.homeCost)},
              {"extra_ms", fmt::format("{:.1f}", extraDelayOf(state.health, this->now()))},
              {"bound", fmt::format("{:.1f}", choice.loadBound)},
              {"bound_over", std::to_string(choice.boundOver)},
              {"prefix", formatHash(sharedPrefixOf(this->prefixHashes).value_or(0))},
              {"parts", sharedPartsOf(this->request->prompt)},
              {"tokens", fmt::format("{:.0f}", this->promptTokens())},
              {"first_read", choice.isFirstPrefill ? "yes" : "no"},
              {"uncached", fmt::format("{:.0f}", choice.uncachedTokens)},
              {"copied", fmt::format("{:.0f}", choice.transferredTokens)},
              {"donor", placement.donorId},
              {"own", std::to_string(state.ownRunning)},
              {"peers", std::to_string(state.peersRunning)},
              {"avoided", std::to_string(choice.ejectedCount)},
              {"over_bound", std::to_string(choice.overBoundCount)},
              {"crashes", std::to_string(crashes)},
              {"left_ms", std::to_string(this->remainingTime().count())}});
    this->sendRequest(this->attempt.upstream, placement.copyFrom);
}

void RequestHandler::sendRequest(const std::shared_ptr<UpstreamState> &target,
                                 const std::optional<Endpoint> &copyFrom)
{
    this->attempt.number = ++this->lastAttemptNumber;
    this->attempt.phase = Phase::AwaitingResponse;
    this->attempt.isForwarded = false;
    this->attempt.isRunning = false;
    this->attempt.headReceived = false;
    this->attempt.firstByteReceived = false;
    this->attempt.isSilenceRecorded = false;
    this->attempt.isReadingPaused = false;
    this->attempt.responseBody.clear();
    this->attempt.bufferShare.clear();
    this->attempt.version = versionKeyOf(target->replica);
    this->stream.currentVersion = this->attempt.version;
    this->attempt.sentAt = this->now();
    if (!this->prefixHashes.empty()) {
        this->recordPrefix(incarnationOf(target->replica));
    }
    DispatchContext handover;
    handover.replica = &target->replica;
    handover.copyFrom = copyFrom;
    handover.remainingTime = this->remainingTime();
    handover.workspace = this->workspace;
    handover.rank = this->rank;
    handover.resumeAfter = this->lastReceivedEvent();
    std::string bytes = this->gateway.dialect.serializeRequest(*this->request, handover);
    bytes.append(this->request->body);
    const bool isHead = this->request->method == "HEAD";
    this->armTimer(this->silenceDeadline());
    this->attempt.connection =
        this->gateway.upstreams.acquireIdle(*target, isRetryable(*this->route));
    if (this->attempt.connection) {
        this->attempt.connectionPath = "reused";
        this->onSending();
        this->attempt.connection->send(bytes, this->responseHandlers(), isHead);
        return;
    }
    this->attempt.connectionPath = "new";
    this->attempt.connection = std::make_shared<UpstreamConnection>(
        this->gateway.context, this->gateway.clock, &this->gateway.work);
    this->attempt.connection->connectAndSend(
        target->replica.endpoint, std::min(upstreamConnectTimeout, this->remainingTime()),
        std::move(bytes), this->responseHandlers(), isHead);
}

void RequestHandler::recordPrefix(std::uint64_t incarnation)
{
    PrefixIndex &memory = this->gateway.upstreams.prefixIndex;
    // Other routers find the engine of this chat by the shared parts of its prompt.
    const auto shared = sharedPrefixOf(this->prefixHashes);
    if (shared
        && !memory.wasUsed(*shared, incarnation, prefixAnnounceInterval, this->attempt.sentAt)) {
        this->gateway.updateLog.recordPrefix({*shared, incarnation}, this->attempt.sentAt);
    }
    memory.recordUse(this->prefixHashes, incarnation, this->attempt.sentAt);
    if (shared) {
        memory.recordSharedUse(*shared, incarnation, this->attempt.sentAt);
    }
}

ResponseHandlers RequestHandler::responseHandlers()
{
    const std::weak_ptr<RequestHandler> weak = this->weak_from_this();
    const std::uint64_t number = this->attempt.number;
    return {[weak, number](const MessageHead &head) {
                const auto self = weak.lock();
                return !self || self->onHeadOf(number, head);
            },
            [weak, number](std::string_view bytes) {
                const auto self = weak.lock();
                if (self && self->continueWith(number)) {
                    self->onResponseBody(bytes);
                }
            },
            [weak, number](ResponseOutcome outcome) {
                if (const auto self = weak.lock()) {
                    self->onEndOf(number, outcome);
                }
            },
            // What the upstream wants may have changed while the connection was established.
            [weak, number] {
                const auto self = weak.lock();
                if (self) {
                    recordConnected(*self->reach, self->now());
                }
                const bool maySend =
                    self && self->attempt.number == number && self->attempt.upstream
                    && self->isUsable(
                        self->gateway.upstreams.find(self->attempt.upstream->replica.id));
                if (maySend) {
                    self->onSending();
                }
                return maySend;
            }};
}

std::optional<std::uint64_t> RequestHandler::lastReceivedEvent() const
{
    return this->attempt.eventRelay.lastId() ? this->attempt.eventRelay.lastId()
                                             : this->request->resumeAfter;
}

void RequestHandler::onSending()
{
    this->attempt.isRunning = true;
    this->suspects.hasUnusedTrials = false;
}

} // namespace plantainswitch::gateway
