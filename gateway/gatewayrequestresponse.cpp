#include "gatewayrequesthandler.h"

#include <fmt/format.h>

#include "plantainswitch/observe/event.h"

namespace plantainswitch::gateway {

namespace {

/// Number of upstreams that may reject a request before it is refused.
constexpr std::uint32_t maxRejections = 3;
/// Largest response that is buffered as a whole before it is forwarded.
constexpr std::size_t maxBufferedResponseBytes = 16 << 20;
/// Size of the caller's write queue at which reading from the upstream is paused, and below which
/// it is resumed.
constexpr std::size_t pauseThresholdBytes = 256 << 10;
constexpr std::size_t resumeThresholdBytes = 64 << 10;
/// How long a retry after a lost connection waits for the probe of its upstream.
constexpr Milliseconds maxProbeWait{30};
/// Number of failed connection attempts after which a request is refused as not executed.
constexpr std::uint32_t maxConnectFailures = 4;

/// \returns the requests that an upstream holds.
std::uint32_t heldBy(const ReportedLoad &load)
{
    return load.running + load.waiting;
}

std::string describe(const ReportedLoad &load)
{
    return fmt::format("{}+{}/{}", load.running, load.waiting, load.slots);
}

} // namespace

bool RequestHandler::onResponseHead(const MessageHead &head)
{
    UpstreamResponse decoded = this->gateway.dialect.parseResponse(head);
    // A late response to another request also states what the upstream wants.
    this->recordNotice(decoded);
    if (!this->isForThisAttempt(decoded)) {
        logEvent(Event::UpstreamGarbage, {{"request", this->request->attemptId},
                                          {"upstream", this->attempt.upstream->replica.id},
                                          {"why", "an answer to another request was skipped"}});
        return false;
    }
    this->attempt.headReceived = true;
    this->attempt.headReceivedAt = this->now();
    this->attempt.upstream->lastReceived = this->attempt.headReceivedAt;
    this->gateway.recordContact(*this->reach);
    this->gateway.crashQuarantine.recordResponse(incarnationOf(this->attempt.upstream->replica),
                                                 this->attempt.sentAt);
    this->recordColdness(decoded);
    this->attempt.response = std::move(decoded);
    this->recordContention();
    this->reportBrittleLoad();
    return true;
}

void RequestHandler::reportBrittleLoad()
{
    // A response that was read late states an old load.
    const bool isLate = this->gateway.loopMonitor.lateness() > grantArrivalTime;
    if (this->attempt.response.load && !isLate && !this->attempt.response.notExecuted
        && this->gateway.isBrittle(this->service)) {
        this->gateway.fleet->reportBrittleResponse(this->attempt.upstream->replica,
                                                   heldBy(*this->attempt.response.load), false);
    }
}

void RequestHandler::recordColdness(const UpstreamResponse &head)
{
    const TimePoint now = this->now();
    ColdState &cold = this->attempt.upstream->cold;
    cold.presume(head.coldFor.value_or(Milliseconds{0}), now);
    const Milliseconds duration =
        this->gateway.coldStartOf(this->attempt.upstream->replica.service).duration;
    if (cold.recordResponse(duration, now) && duration.count() > 0) {
        logEvent(Event::UpstreamPresumedCold,
                 {{"request", this->request->attemptId},
                  {"upstream", this->attempt.upstream->replica.id},
                  {"cold_ms", std::to_string(cold.remaining(now).count())}});
    }
}

void RequestHandler::recordNotice(const UpstreamResponse &head)
{
    if (head.isDraining) {
        this->recordDraining(this->attempt.upstream->replica);
    }
    if (!head.misdirected) {
        this->gateway.recordBrittleness(this->attempt.upstream->replica.service,
                                        head.maxRejections);
    }
    if (head.backoff) {
        this->gateway.upstreams.recordBackoff(this->attempt.upstream->replica, *head.backoff);
        logEvent(Event::UpstreamBackoff, {{"request", this->request->attemptId},
                                          {"upstream", this->attempt.upstream->replica.id},
                                          {"retry_after_ms", std::to_string(head.backoff->count())},
                                          {"path", this->attempt.connectionPath}});
    }
}

void RequestHandler::onFirstByte()
{
    this->attempt.firstByteReceived = true;
    this->attempt.firstByteAt = this->now();
    const Duration delay = this->attempt.firstByteAt - this->attempt.sentAt;
    if (!this->prefixHashes.empty() && !this->attempt.isFirstPrefill) {
        this->attempt.firstByteSample.delay = delay;
        this->gateway.estimators[this->service].recordFirstByte(this->attempt.firstByteSample);
        if (this->attempt.serviceDelay > 0.0) {
            const std::chrono::duration<double, std::milli> observed = delay;
            this->gateway.recordSpeed(*this->attempt.upstream,
                                      observed.count() / this->attempt.serviceDelay);
        }
    }
    if (this->timeToFirstByte == Duration{0}) {
        this->timeToFirstByte = this->now() - this->incoming.receivedAt;
    }
    const bool wasEjected = isEjected(this->attempt.upstream->health, this->now());
    const auto expected = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(this->attempt.expectedDelay));
    recordSuccess(this->attempt.upstream->health, delay - expected, this->now());
    if (wasEjected) {
        logEvent(Event::UpstreamUsedAgain, {{"upstream", this->attempt.upstream->replica.id},
                                            {"request", this->request->attemptId}});
    }
    if (this->attempt.countsPendingPrefill) {
        this->attempt.upstream->ownPendingPrefill -= this->attempt.pendingPrefillTokens;
        this->attempt.countsPendingPrefill = false;
    }
}

void RequestHandler::recordHoldTime()
{
    const UpstreamState &state = *this->attempt.upstream;
    this->gateway.estimators[this->service].recordRunEnded(this->now() - this->attempt.sentAt);
    if (this->attempt.response.isEventStream) {
        this->gateway.estimators[this->service].recordSlotHold(this->now()
                                                               - this->attempt.firstByteAt);
        return;
    }
    // A plain response arrives at once, so that the time spent in the upstream's queue cannot be
    // told apart.
    if (state.replica.maxConcurrency == 0 || runningAt(state) <= state.replica.maxConcurrency) {
        this->gateway.estimators[this->service].recordSlotHold(this->now() - this->attempt.sentAt);
    }
}

void RequestHandler::onResponseBody(std::string_view bytes)
{
    const auto self = this->shared_from_this();
    if (this->attempt.phase == Phase::Done) {
        return;
    }
    // Bytes that are no response do not show that the upstream is well.
    if (this->attempt.response.isSigned || this->attempt.response.notExecuted) {
        this->attempt.upstream->lastReceived = this->now();
        this->gateway.recordContact(*this->reach);
    }
    if (this->isRelayedStream() && !this->attempt.firstByteReceived) {
        this->onFirstByte();
    }
    if (!this->processBody(bytes)) {
        this->attempt.connection->abort();
        this->onFault(UpstreamFault::InvalidResponse);
    }
}

bool RequestHandler::processBody(std::string_view bytes)
{
    if (this->isRelayedStream()) {
        return this->relayEvents(bytes);
    }
    const std::size_t size = this->attempt.responseBody.size() + bytes.size();
    if (size > maxBufferedResponseBytes || !this->attempt.bufferShare.resize(size)) {
        return false;
    }
    this->attempt.responseBody.append(bytes);
    return true;
}

bool RequestHandler::isForThisAttempt(const UpstreamResponse &head) const
{
    return head.attemptId.empty() || head.attemptId == this->request->attemptId;
}

void RequestHandler::recordDraining(const Replica &replica)
{
    if (this->gateway.upstreams.recordDraining(replica)) {
        logEvent(Event::UpstreamLeaving, {{"request", this->request->attemptId},
                                          {"upstream", replica.id},
                                          {"place", replica.dataCentre}});
    }
}

bool RequestHandler::isRelayedStream() const noexcept
{
    return this->attempt.response.status == 200 && this->isTrusted()
           && this->attempt.response.isEventStream;
}

bool RequestHandler::isTrusted() const noexcept
{
    return this->attempt.response.isSigned && !this->attempt.response.isEncoded
           && !this->attempt.response.attemptId.empty();
}

bool RequestHandler::relayEvents(std::string_view bytes)
{
    std::string completeEvents;
    if (!this->attempt.eventRelay.feed(bytes, completeEvents)
        || !this->attempt.bufferShare.resize(this->attempt.eventRelay.partialSize())) {
        return false;
    }
    this->attempt.phase = Phase::Relaying;
    if (completeEvents.empty()) {
        return true;
    }
    this->giveUpSilent();
    this->isSentAgain = false;
    this->nextTryDelay = firstTryDelay;
    this->recordStreamEvents();
    this->attempt.isSilenceRecorded = false;
    this->writeEvents(completeEvents);
    this->armTimer(this->attempt.upstream ? this->silenceDeadline() : this->deadline);
    const std::size_t queued =
        this->caller->queuedBytes() + (this->withheld ? this->withheld->events.size() : 0);
    if (queued > pauseThresholdBytes
        || !this->attempt.bufferShare.resize(this->attempt.eventRelay.partialSize() + queued)) {
        this->attempt.isReadingPaused = true;
        this->attempt.connection->pauseReading();
    }
    return true;
}

void RequestHandler::onCallerWritable()
{
    if (this->attempt.phase == Phase::Relaying && this->attempt.connection
        && this->caller->queuedBytes() < resumeThresholdBytes) {
        this->attempt.connection->resumeReading();
        if (std::exchange(this->attempt.isReadingPaused, false)) {
            this->armTimer(this->attempt.upstream ? this->silenceDeadline() : this->deadline);
        }
    }
}

void RequestHandler::onResponseEnd(ResponseOutcome outcome)
{
    const auto self = this->shared_from_this();
    if (this->attempt.phase == Phase::Done) {
        return;
    }
    if (outcome == ResponseOutcome::ConnectFailed) {
        this->onConnectFailed();
        return;
    }
    if (outcome == ResponseOutcome::Withheld) {
        this->onWithheld();
        return;
    }
    if (outcome == ResponseOutcome::ConnectionLost) {
        this->onConnectionLost();
        return;
    }
    this->attempt.isRunning = false;
    if (outcome != ResponseOutcome::Complete) {
        this->recordInvalidResponse();
        this->retryOrFail(UpstreamFault::InvalidResponse);
        return;
    }
    this->gateway.upstreams.release(*this->attempt.upstream, this->attempt.connection);
    this->attempt.connection.reset();
    if (this->attempt.response.notExecuted) {
        this->onNotExecuted();
        return;
    }
    this->onCompleteResponse();
}

void RequestHandler::recordInvalidResponse()
{
    this->attempt.isRunning = false;
    // The upstream may go on with a run whose response cannot be read.
    this->releaseGrant(GrantEnd::Abandoned);
    this->recordUpstreamFault(UpstreamFault::InvalidResponse);
}

void RequestHandler::recordConnectFailure()
{
    this->recordUpstreamFault(UpstreamFault::Unreachable);
    this->gateway.recordContactFailure(this->attempt.upstream->replica,
                                       ContactFailure::ConnectFailed);
    this->gateway.recordUpstreamDown(this->attempt.upstream->replica);
}

void RequestHandler::onConnectFailed()
{
    this->recordConnectFailure();
    this->releaseUpstream();
    this->connectFailures += 1;
    if (this->connectFailures >= maxConnectFailures) {
        if (!this->forward("unreachable")) {
            this->fail();
        }
        return;
    }
    // Nothing was sent, so that this does not count as a retry.
    this->logRetry("unreachable");
    this->selectAndDispatch();
}

void RequestHandler::onWithheld()
{
    this->gateway.upstreams.release(*this->attempt.upstream, this->attempt.connection);
    this->attempt.connection.reset();
    this->releaseUpstream();
    // Nothing was sent, so that this does not count as a retry.
    this->logRetry("withheld");
    this->selectAndDispatch();
}

void RequestHandler::recordRejection()
{
    // "Misdirected" means that the address belongs to another upstream now; the store will report
    // it.
    this->recordUpstreamFault(this->attempt.response.misdirected ? UpstreamFault::Unreachable
                                                                 : UpstreamFault::Rejected);
    if (!this->attempt.response.misdirected && this->gateway.isBrittle(this->service)) {
        logEvent(Event::BrittleRejection,
                 {{"request", this->request->attemptId},
                  {"upstream", this->attempt.upstream->replica.id},
                  {"own", std::to_string(this->attempt.upstream->ownRunning)},
                  {"peers", std::to_string(this->attempt.upstream->peersRunning)},
                  {"stated", this->attempt.response.load ? describe(*this->attempt.response.load)
                                                         : std::string()},
                  {"max_rejections",
                   std::to_string(this->gateway.maxRejectionsOf(this->service).value_or(0))}});
        this->gateway.fleet->reportBrittleResponse(
            this->attempt.upstream->replica,
            this->attempt.response.load ? std::optional(heldBy(*this->attempt.response.load))
                                        : std::nullopt,
            true);
        this->attempt.upstream->permitBlockedUntil = this->now() + brittleDenialWait;
    }
}

void RequestHandler::onNotExecuted()
{
    this->recordRejection();
    this->releaseUpstream();
    this->suspects.hasUnusedTrials = !this->suspects.trials.empty();
    this->rejections += 1;
    if (!this->silentAttempts.empty() || this->rejections > maxRejections
        || !this->retry("turned away")) {
        this->fail();
    }
}

void RequestHandler::onCompleteResponse()
{
    if (!this->isTrusted()) {
        this->onFault(UpstreamFault::InvalidResponse);
        return;
    }
    // An upstream that responds with an error has not crashed either.
    for (const SuspectKey key : this->suspects.keys) {
        this->gateway.recordAnswered(key);
    }
    const bool isSuccess =
        this->attempt.response.status >= 200 && this->attempt.response.status < 300;
    if (!isSuccess && this->attempt.response.status >= 500) {
        this->recordUpstreamFault(UpstreamFault::Failed);
        this->failedResponse = FailedResponse{
            this->attempt.response.status, std::move(this->attempt.response.forwardedFields),
            std::move(this->attempt.responseBody), std::move(this->attempt.bufferShare)};
        if (!this->silentAttempts.empty() || !this->canRetry() || !this->retry("failed")) {
            this->fail();
        }
        return;
    }
    if (this->isRelayedStream()) {
        this->onCompleteStream();
        return;
    }
    this->onFirstByte();
    this->recordHoldTime();
    this->forwardResponse();
}

void RequestHandler::onCompleteStream()
{
    if (this->attempt.eventRelay.hasPartial()) {
        this->onFault(UpstreamFault::ConnectionLost);
        return;
    }
    if (this->attempt.upstream) {
        this->recordHoldTime();
    }
    if (this->streamFields.empty()) {
        this->streamFields = this->responseFields();
    }
    this->releaseUpstream();
    this->gateway.streamOrigins.complete(this->stream.key);
    this->writeStreamEnd();
}

void RequestHandler::forwardResponse()
{
    const bool isStreamError = this->responseStarted || this->withheld;
    if (isStreamError && this->returnToSilent()) {
        return;
    }
    this->releaseUpstream();
    if (this->responseStarted) {
        // The upstream refused to resume the stream. What the caller has received is incomplete.
        this->caller->abort();
        this->finish("cut");
        return;
    }
    if (this->withheld) {
        // As above, and the caller has received nothing.
        this->refuse(ErrorKind::UpstreamFailed, "the upstream did not resume the stream");
        return;
    }
    const int status = this->attempt.response.status;
    this->caller->respond(status, this->responseFields(), this->attempt.responseBody,
                          this->gateway.stopping);
    this->finish(status < 300 ? "whole" : "failed-upstream");
}

void RequestHandler::forwardFailure()
{
    this->attempt.response.status = this->failedResponse->status;
    this->attempt.response.forwardedFields = std::move(this->failedResponse->fields);
    this->attempt.responseBody = std::move(this->failedResponse->body);
    this->attempt.bufferShare = std::move(this->failedResponse->share);
    this->failedResponse.reset();
    this->forwardResponse();
}

void RequestHandler::onFault(UpstreamFault fault)
{
    this->recordUpstreamFault(fault);
    this->retryOrFail(fault);
}

void RequestHandler::recordConnectionLoss()
{
    this->recordUpstreamFault(UpstreamFault::ConnectionLost);
    this->gateway.recordContactFailure(this->attempt.upstream->replica, ContactFailure::NoResponse);
    this->recordUnansweredRun(RunEnd::ConnectionLost);
}

void RequestHandler::onConnectionLost()
{
    this->recordConnectionLoss();
    this->attempt.phase = Phase::Probing;
    this->armTimer(this->now() + maxProbeWait);
    const std::weak_ptr<RequestHandler> weak = this->weak_from_this();
    this->gateway.probeUpstream(this->attempt.upstream, [weak] {
        const auto self = weak.lock();
        if (self && self->attempt.phase == Phase::Probing) {
            self->retryOrFail(UpstreamFault::ConnectionLost);
        }
    });
}

void RequestHandler::retryOrFail(UpstreamFault fault)
{
    if (!this->silentAttempts.empty() || !this->canRetry() || !this->retry(nameOf(fault))) {
        this->fail();
    }
}

} // namespace plantainswitch::gateway
