#include "gatewayrequesthandler.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "plantainswitch/base/hash.h"
#include "plantainswitch/observe/event.h"

namespace plantainswitch::gateway {

namespace {

/// Fraction of the latency objective after which a silent upstream counts as faulty. Any later, a
/// second upstream could not respond within the objective any more.
constexpr double silenceObjectiveFraction = 0.5;
/// Silence that never counts as a fault: some decoding steps of an engine and two network transits.
constexpr Milliseconds minSilence{60};
/// Multiple of the latency objective after which a request is retried elsewhere although its
/// upstream still responds to others. The request is late by then, and the upstream may have lost
/// it.
constexpr int maxBusyObjectives = 2;
/// Multiple of the longest pause that callers accept within a stream, after which the stream is
/// resumed on another upstream.
constexpr double stallPauseFactor = 1.5;

} // namespace

RequestHandler::RequestHandler(GatewayState &gateway, std::shared_ptr<CallerConnection> caller,
                               IncomingRequest incoming, std::optional<ForwardedRequest> forwarded)
    : gateway(gateway)
    , caller(std::move(caller))
    , incoming(std::move(incoming))
    , forwarded(forwarded)
    , timer(gateway.context)
{}

void RequestHandler::start()
{
    this->gateway.metrics.count(Counter::Requests);
    if ((this->forwarded && !this->acceptForwarded()) || !this->prepare() || !this->passStop()
        || !this->passConfirmation()) {
        return;
    }
    if (this->bindTakenUpStream()) {
        this->dispatchUnlessQuarantined();
    }
}

void RequestHandler::dispatchUnlessQuarantined()
{
    if (this->passQuarantine()) {
        this->selectAndDispatch();
    }
}

bool RequestHandler::prepare()
{
    Reason reason;
    this->request = this->gateway.dialect.parseRequest(this->incoming.head, reason);
    this->routingTable = this->gateway.routingTable;
    if (!this->routingTable) {
        this->refuse(ErrorKind::NoCatalogue, "no routing configuration yet", defaultRetryAfter);
        return false;
    }
    if (!this->request) {
        this->refuse(reason.kind, reason.detail);
        return false;
    }
    this->request->body = std::move(this->incoming.body);
    this->route = this->routingTable->findRoute(this->request->host, this->request->path);
    if (this->route == nullptr) {
        this->refuse(ErrorKind::NotFound, "no route");
        return false;
    }
    const RoutedWorkspace *authenticated = nullptr;
    if (!this->route->allowsAnonymous && this->routingTable->config().requiresKeys) {
        authenticated = this->routingTable->findWorkspace(this->request->apiKey);
        if (authenticated == nullptr) {
            this->refuse(ErrorKind::Unauthorized, "unknown key");
            return false;
        }
        this->workspace = authenticated->name;
        this->workspaceHomes = authenticated->homes;
    }
    this->rank = requestPriority(*this->route, authenticated);
    // A stream goes on at the service that began it.
    const bool isTakenUp = this->request->resumeAfter && !this->request->resumedAttempt.empty();
    const std::string &firstAttempt =
        isTakenUp ? this->request->resumedAttempt : this->request->attemptId;
    this->service = serviceOf(*this->route, hashOf(firstAttempt));
    this->stream.key = streamKeyOf(firstAttempt, this->workspace, this->service);
    this->deadline =
        this->incoming.receivedAt + this->request->timeBudget.value_or(this->route->timeout);
    if (this->route->timeout.count() > 0) {
        this->deadline = std::min(this->deadline, this->incoming.receivedAt + this->route->timeout);
    }
    if (this->request->prompt) {
        this->prefixHashes = prefixHashesOf(*this->request->prompt);
    }
    this->reach = &this->gateway.reach[this->service];
    // The router that a request came to first has made the deposit, and counted the request.
    if (!this->forwarded) {
        this->gateway.retryBudgets.deposit(this->service, this->gateway.routerCount(), this->now());
        this->gateway.recordUse(this->workspace);
    }
    this->suspects.keys = {requestSuspect(mixHash(
        hashOf(this->request->target, hashOf(this->workspace)), hashOf(this->request->body)))};
    if (this->request->prompt) {
        const auto parts = partSuspectsOf(hashOf(this->service), *this->request->prompt);
        this->suspects.keys.insert(this->suspects.keys.end(), parts.begin(), parts.end());
    }
    return true;
}

std::optional<BlockingSuspect> RequestHandler::blockedBy() const
{
    return this->gateway.settings.mechanisms.quarantine
               ? blockingSuspect(this->suspects, this->gateway.crashQuarantine, this->now())
               : std::nullopt;
}

bool RequestHandler::passQuarantine()
{
    const auto blocking = this->blockedBy();
    if (!blocking) {
        return true;
    }
    if (blocking->state == QuarantineState::TrialDue) {
        this->requestTrial(blocking->key);
    } else {
        this->refuseQuarantined(blocking->key);
    }
    return false;
}

void RequestHandler::requestTrial(SuspectKey key)
{
    this->armTimer(this->deadline);
    const std::weak_ptr<RequestHandler> weak = this->weak_from_this();
    this->gateway.trials->requestTrial(key,
                                       [weak, &gateway = this->gateway, key](TrialPermit permit) {
                                           const auto self = weak.lock();
                                           if (self && self->attempt.phase != Phase::Done) {
                                               self->onTrialReply(key, permit);
                                           } else if (permit == TrialPermit::Permitted) {
                                               gateway.trials->returnTrial(key);
                                           }
                                       });
}

void RequestHandler::onTrialReply(SuspectKey key, TrialPermit permit)
{
    // Without the store the designated router alone decides.
    const bool isDesignated = this->gateway.fleet->isDesignatedFor(key);
    const bool isAllowed =
        permit == TrialPermit::Permitted || (permit == TrialPermit::Unavailable && isDesignated);
    CrashQuarantine &quarantine = this->gateway.crashQuarantine;
    logEvent(Event::QuarantineTrial, {{"request", this->request->attemptId},
                                      {"fingerprint", formatHash(key)},
                                      {"suspect", std::string(nameOf(kindOf(key)))},
                                      {"permit", std::string(nameOf(permit))},
                                      {"designated", isDesignated ? "yes" : "no"},
                                      {"trials", std::to_string(quarantine.trialCount(key))},
                                      {"crashes", std::to_string(quarantine.crashCount(key))}});
    if (!isAllowed) {
        this->refuseQuarantined(key);
        return;
    }
    if (permit == TrialPermit::Unavailable) {
        quarantine.beginTrial(key, quarantine.trialCount(key) + 1, this->now());
    }
    this->suspects.trials.push_back({key, permit == TrialPermit::Permitted});
    this->suspects.hasUnusedTrials = true;
    // Another suspect of the request may be quarantined, too.
    this->dispatchUnlessQuarantined();
}

void RequestHandler::refuseQuarantined(SuspectKey key)
{
    logEvent(Event::RequestQuarantined,
             {{"request", this->request->attemptId},
              {"fingerprint", formatHash(key)},
              {"suspect", std::string(nameOf(kindOf(key)))},
              {"crashes", std::to_string(this->gateway.crashQuarantine.crashCount(key))}});
    if (this->possibleExecutions > 0 || this->responseStarted) {
        // Quarantined since it was sent: it may have been executed.
        this->fail();
        return;
    }
    this->refuse(ErrorKind::Quarantined, "upstreams crashed on it",
                 quarantineRetryAfter(this->gateway.crashQuarantine, key, this->now()));
}

void RequestHandler::recordUnansweredRun(RunEnd end)
{
    if (!std::exchange(this->attempt.isRunning, false)) {
        return;
    }
    for (const SuspectKey key : accountableSuspects(this->suspects)) {
        this->gateway.crashQuarantine.recordUnansweredRun(
            {key, incarnationOf(this->attempt.upstream->replica), this->attempt.sentAt, this->now(),
             end});
    }
    if (end == RunEnd::GivenUp) {
        this->gateway.scheduleProbe(this->attempt.upstream);
    }
    this->gateway.estimators[this->service].recordRunGivenUp(this->now() - this->attempt.sentAt);
    // Also after a lost connection: the network may have reset it, and the upstream goes on.
    this->releaseGrant(GrantEnd::Abandoned);
}

Milliseconds RequestHandler::remainingTime() const
{
    return std::chrono::duration_cast<Milliseconds>(this->deadline - this->now());
}

TimePoint RequestHandler::silenceDeadline() const
{
    using FloatMilliseconds = std::chrono::duration<double, std::milli>;
    if (this->attempt.phase == Phase::AwaitingResponse) {
        const double allowed =
            std::max(static_cast<double>(minSilence.count()),
                     silenceObjectiveFraction * FloatMilliseconds(this->route->objective).count())
            + this->attempt.expectedDelay + this->attempt.extraDelay;
        return this->attempt.sentAt
               + std::chrono::duration_cast<Duration>(FloatMilliseconds(allowed));
    }
    if (this->attempt.phase == Phase::Relaying && this->route->maxEventInterval.count() > 0) {
        return this->now()
               + std::chrono::duration_cast<Duration>(stallPauseFactor
                                                      * this->route->maxEventInterval);
    }
    return this->deadline;
}

void RequestHandler::armTimer(TimePoint due)
{
    const std::weak_ptr<RequestHandler> weak = this->weak_from_this();
    this->timer.expires_at(std::min(due, this->deadline));
    this->timer.async_wait([weak](const asio::error_code &error) {
        const auto self = weak.lock();
        if (error || !self) {
            return;
        }
        // Behind what has arrived by now: otherwise an overloaded router takes upstreams for silent
        // whose bytes it has not read yet.
        self->gateway.work.push([weak, armedAt = self->timer.expiry()] {
            const auto request = weak.lock();
            const bool isCurrent = request && request->timer.expiry() == armedAt;
            if (isCurrent && request->attempt.phase != Phase::Done) {
                request->onTimer();
            }
        });
    });
}

void RequestHandler::onTimer()
{
    if (this->now() >= this->deadline) {
        this->fail();
        return;
    }
    if (this->waitForAccepted()) {
        return;
    }
    if (this->attempt.phase == Phase::Forwarding) {
        this->onForwardTimeout();
        return;
    }
    if (!this->attempt.upstream) {
        this->armTimer(this->deadline);
        return;
    }
    if (this->attempt.phase == Phase::Probing) {
        this->retryOrFail(UpstreamFault::ConnectionLost);
        return;
    }
    if (this->attempt.isReadingPaused) {
        // The caller is slow, and not the upstream.
        this->armTimer(this->deadline);
        return;
    }
    const Duration silent = this->now() - this->attempt.sentAt;
    const bool isBusy =
        this->attempt.phase == Phase::AwaitingResponse
        && classifyTimeout(this->attempt.sentAt, this->attempt.upstream->lastReceived)
               == TimeoutCause::Busy;
    if (isBusy && silent < maxBusyObjectives * this->route->objective) {
        this->armTimer(this->attempt.sentAt + maxBusyObjectives * this->route->objective);
        return;
    }
    if (!isBusy && !std::exchange(this->attempt.isSilenceRecorded, true)) {
        this->recordUpstreamFault(UpstreamFault::TimedOut);
        this->gateway.recordContactFailure(this->attempt.upstream->replica,
                                           this->attempt.isRunning ? ContactFailure::NoResponse
                                                                   : ContactFailure::ConnectFailed);
    }
    if (this->tryElsewhere(isBusy ? "busy" : "silent")) {
        return;
    }
    // The response may still arrive before the deadline, or another upstream become available.
    this->armTimer(this->canRetry() ? this->now() + this->nextTryDelay : this->deadline);
}

void RequestHandler::recordUpstreamFault(UpstreamFault fault)
{
    const TimePoint now = this->now();
    const bool wasEjected = isEjected(this->attempt.upstream->health, now);
    recordFault(this->attempt.upstream->health, fault, now);
    const bool isNewlyEjected = !wasEjected && isEjected(this->attempt.upstream->health, now);
    logEvent(
        isNewlyEjected ? Event::UpstreamAvoided : Event::UpstreamFaulty,
        {{"upstream", this->attempt.upstream->replica.id},
         {"request", this->request->attemptId},
         {"why", std::string(nameOf(fault))},
         {"path", this->attempt.connectionPath},
         {"after_ms", formatMilliseconds(now - this->attempt.sentAt)},
         {"failure_share", fmt::format("{:.2f}", this->attempt.upstream->health.failureRate)}});
}

void RequestHandler::releaseUpstream()
{
    const bool hasResponded = this->attempt.upstream && this->attempt.headReceived;
    this->recordUnansweredRun(RunEnd::GivenUp);
    if (this->attempt.connection) {
        this->attempt.connection->abort();
        this->attempt.connection.reset();
    }
    this->releaseGrant(hasResponded ? GrantEnd::Responded : GrantEnd::Unused);
    if (!this->attempt.upstream) {
        return;
    }
    this->attempt.upstream->ownRunning -= 1;
    if (this->attempt.countsPendingPrefill) {
        this->attempt.upstream->ownPendingPrefill -= this->attempt.pendingPrefillTokens;
        this->attempt.countsPendingPrefill = false;
    }
    this->attempt.upstream.reset();
}

bool RequestHandler::mayHaveRun() const
{
    return this->possibleExecutions > 0 || this->withheld
           || this->attempt.phase == Phase::Forwarding
           || (this->attempt.upstream && this->attempt.phase != Phase::Selecting);
}

void RequestHandler::fail()
{
    if (this->returnToSilent()) {
        return;
    }
    if (this->failedResponse) {
        // An upstream's own error response tells the caller more than one of the router.
        this->forwardFailure();
        return;
    }
    const bool isDeadlineReached = this->now() + minRemainingTime >= this->deadline;
    if (this->mayHaveRun()) {
        this->refuse(isDeadlineReached ? ErrorKind::DeadlineExceeded : ErrorKind::UpstreamFailed,
                     isDeadlineReached ? "no answer in time" : "the upstream failed");
    } else if (isDeadlineReached) {
        this->refuse(ErrorKind::QueueExpired, "no upstream took it in time");
    } else {
        this->refuse(refusalWithoutUpstream(this->gateway, this->placementRequest(),
                                            {this->gateway.upstreams.ofService(this->service),
                                             this->stream, this->hasNoPermittedPlace,
                                             this->connectFailures, this->rejections},
                                            this->now()));
    }
}

void RequestHandler::refuse(const Refusal &refusal)
{
    this->refuse(refusal.kind, refusal.why, refusal.retryAfter);
}

void RequestHandler::refuse(ErrorKind kind, std::string_view why,
                            std::optional<Milliseconds> retryAfter)
{
    this->releaseUpstream();
    this->gateway.metrics.countRefusal(kind);
    if (this->responseStarted) {
        this->caller->abort();
        this->finish("cut");
        return;
    }
    const CallerRequest *const decoded = this->request ? &*this->request : nullptr;
    logEvent(Event::RequestRefused,
             {{"request", decoded != nullptr ? decoded->attemptId : std::string()},
              {"kind", std::string(errorRow(kind).name)},
              {"why", std::string(why)},
              {"host", decoded != nullptr ? decoded->host : std::string()},
              {"path", decoded != nullptr ? decoded->path.substr(0, 60) : std::string()},
              {"config", this->routingTable ? std::to_string(this->routingTable->config().version)
                                            : std::string("none")},
              {"runs", std::to_string(this->possibleExecutions)}});
    this->caller->respond(this->gateway.dialect.refusalStatus(kind),
                          this->gateway.dialect.refusalFields(decoded, retryAfter), {},
                          this->gateway.stopping);
    this->finish(errorRow(kind).name);
}

void RequestHandler::finish(std::string_view outcome)
{
    this->giveUpSilent();
    this->attempt.phase = Phase::Done;
    this->timer.cancel();
    this->caller->keepUntilWritten(std::move(this->attempt.bufferShare));
    if (this->forwarded) {
        this->gateway.forwardedRunning -= 1;
    }
    if (std::exchange(this->suspects.hasUnusedTrials, false)) {
        for (const PermittedTrial &trial : this->suspects.trials) {
            if (trial.isStored) {
                this->gateway.trials->returnTrial(trial.key);
            }
        }
    }
    const Duration totalTime = this->now() - this->incoming.receivedAt;
    if (this->request && this->route != nullptr) {
        const std::string kind(nameOf(this->route->kind));
        this->gateway.metrics.record(Timing::Whole, this->workspace, kind, totalTime, this->now());
        if (this->timeToFirstByte > Duration{0}) {
            this->gateway.metrics.record(Timing::FirstByte, this->workspace, kind,
                                         this->timeToFirstByte, this->now());
        }
        logEvent(Event::RequestEnded,
                 {{"request", this->request->attemptId},
                  {"route", this->route->name},
                  {"workspace", this->workspace},
                  {"outcome", std::string(outcome)},
                  {"upstream",
                   this->triedUpstreams.empty() ? std::string() : this->triedUpstreams.back()},
                  {"attempts", std::to_string(this->triedUpstreams.size())},
                  {"status", std::to_string(this->attempt.response.status)},
                  {"events", std::to_string(this->attempt.eventRelay.eventCount())},
                  {"first_ms", formatMilliseconds(this->timeToFirstByte)},
                  {"whole_ms", formatMilliseconds(totalTime)},
                  {"path", this->attempt.connectionPath}});
    }
    this->gateway.metrics.count(outcome == "whole" ? Counter::AnswersWhole : Counter::AnswersCut);
    this->gateway.onExchangeDone(*this->caller);
}

void RequestHandler::onCallerDisconnected()
{
    if (this->attempt.phase == Phase::Done) {
        return;
    }
    this->gateway.metrics.count(Counter::CallersGone);
    this->releaseUpstream();
    this->finish("caller-gone");
}

} // namespace plantainswitch::gateway
