#include "requesthandler.h"

#include <fmt/format.h>

#include "refusal.h"

namespace plantainswitch {

namespace {

constexpr int maxAttempts = 3;
constexpr std::chrono::seconds upstreamIdleTimeout{60};
constexpr std::size_t maxAnswerBytes = 16 << 20;
/// Bytes that may be buffered for a slow caller before the transfer from its upstream is paused.
constexpr std::size_t maxUnflushedBytes = 256 << 10;
constexpr int statusOk = 200;
constexpr int statusUnavailable = 503;

} // namespace

void RequestHandler::dispatch(HeldSlot held)
{
    if (this->rerouteIfStale(held)) {
        return;
    }
    this->slot = std::move(held);
    if (this->callerGone && !this->claim) {
        this->releaseSlot();
        this->storeExplanation();
        return;
    }
    ++this->attemptCount;
    this->attemptId = fmt::format("{}.{}", this->requestId, this->attemptCount);
    this->status = 0;
    this->body.clear();
    this->parser = {};
    this->progress = {};
    this->responseInvalid = false;
    this->addStep("attempt " + this->attemptId + " to " + this->slot->upstream.vm.id);
    this->recordTiming(Timing::Placement);
    const std::lock_guard lock(this->exchangeMutex);
    this->exchange =
        this->client.start(this->buildUpstreamCall(this->slot->upstream), this->relayEvents());
}

net::HttpEvents RequestHandler::relayEvents()
{
    net::HttpEvents events;
    const auto self = this->shared_from_this();
    events.onHeaders = [self](int code, const net::Headers &fields) {
        self->relayHeaders(code, fields);
    };
    events.onData = [self](std::string_view bytes) { return self->relayData(bytes); };
    events.onEnd = [self](net::HttpOutcome end, const std::string &detail) {
        self->handleUpstreamEnd(end, detail);
    };
    return events;
}

net::HttpCall RequestHandler::buildUpstreamCall(const Upstream &upstream) const
{
    net::HttpCall call;
    call.method = this->request.method;
    call.url = "http://" + toText(upstream.vm.endpoint) + this->request.path;
    call.headers["x-request-id"] = this->attemptId;
    call.headers["x-workspace"] = this->admission.workspace;
    call.headers["x-priority"] = std::to_string(this->admission.workspaceEntry.priority);
    if (!this->request.contentType.empty()) {
        call.headers["content-type"] = this->request.contentType;
    }
    if (!this->request.idempotencyKey.empty()) {
        call.headers["idempotency-key"] = this->request.idempotencyKey;
    }
    call.body = this->request.body;
    call.idleTimeout = upstreamIdleTimeout;
    call.freshConnection = this->request.nonIdempotent;
    return call;
}

void RequestHandler::recordTiming(Timing timing)
{
    const TimePoint now = this->node.clock.now();
    this->node.metrics.record(timing, this->admission.workspace,
                              this->admission.workspaceEntry.dataClass, now - this->startedAt, now);
}

void RequestHandler::relayHeaders(int code, const net::Headers &fields)
{
    this->status = code;
    this->headers = fields;
    this->recordTiming(Timing::FirstByte);
    // No coding is requested, and the response to the caller would not name it.
    if (fields.contains("content-encoding")) {
        this->rejectResponse();
    }
}

void RequestHandler::rejectResponse()
{
    this->responseInvalid = true;
    const std::lock_guard lock(this->exchangeMutex);
    this->exchange->cancel();
}

bool RequestHandler::relayData(std::string_view bytes)
{
    if (this->responseInvalid) {
        return true;
    }
    if (this->request.stream && this->status == statusOk) {
        return this->relayStream(bytes);
    }
    if (this->body.size() + bytes.size() > maxAnswerBytes) {
        this->rejectResponse();
        return true;
    }
    this->body.append(bytes);
    return true;
}

bool RequestHandler::relayStream(std::string_view bytes)
{
    if (this->unflushedBytes > maxUnflushedBytes) {
        return false;
    }
    std::vector<std::string> events;
    bool valid = this->parser.feed(bytes, events);
    std::string chunk;
    for (const std::string &event : events) {
        valid = valid && acceptEvent(event, this->attemptId, this->progress);
        if (!valid) {
            break;
        }
        chunk += "data: " + event + "\n\n";
    }
    if (!valid) {
        this->rejectResponse();
    }
    if (this->claim && this->keptStream.size() + chunk.size() <= maxAnswerBytes) {
        this->keptStream += chunk;
    }
    if (chunk.empty() || this->callerGone) {
        return true;
    }
    if (!this->streamStarted) {
        this->streamStarted = true;
        this->responder->start(statusOk, {{"content-type", "text/event-stream"},
                                          {"cache-control", "no-store"},
                                          {"x-request-id", this->requestId}});
    }
    const std::size_t size = chunk.size();
    this->unflushedBytes += size;
    // The connection, which this handler's responder owns, holds the write's callback. A strong
    // reference would leak the request, its connection and its upstream exchange when a router ends
    // while bytes wait for a slow caller. The exchange keeps the handler alive for as long as it
    // can resume.
    this->responder->write(std::move(chunk), [weak = this->weak_from_this(), size](bool) {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        const std::size_t before = self->unflushedBytes.fetch_sub(size);
        if (before > maxUnflushedBytes && before - size <= maxUnflushedBytes) {
            const std::lock_guard lock(self->exchangeMutex);
            self->exchange->resume();
        }
    });
    return true;
}

void RequestHandler::handleUpstreamEnd(net::HttpOutcome end, const std::string &detail)
{
    const Upstream upstream = this->slot->upstream;
    if (this->canResume(end)) {
        this->resumeStream();
        return;
    }
    this->releaseSlot();
    if (this->callerGone) {
        this->node.metrics.count(Counter::CallersGone);
        logEvent(Event::CallerGone, {{"request", this->requestId}});
        if (!this->claim) {
            this->storeExplanation();
            return;
        }
    }
    if (this->responseInvalid) {
        logEvent(Event::UpstreamGarbage,
                 {{"request", this->requestId}, {"upstream", upstream.vm.id}});
        this->abortResponse({ErrorKind::UpstreamGarbage, "", std::nullopt});
        return;
    }
    if (end != net::HttpOutcome::Complete) {
        this->handleUpstreamFailure(upstream, end, detail);
        return;
    }
    if (this->streamStarted && this->status != statusOk) {
        this->abortResponse(
            {ErrorKind::AnswerCut, "the engine no longer keeps the stream", std::nullopt});
        return;
    }
    if (this->status == statusUnavailable && this->headers["x-ran"] == "no") {
        if (this->headers["x-leaving"] == "true") {
            logEvent(Event::UpstreamLeaving, {{"upstream", upstream.vm.id}});
            this->node.upstreams.markDraining(upstream.vm.id);
        }
        this->slotRequirements->avoid.push_back(upstream.shortId);
        this->retryOrRefuse({ErrorKind::Overloaded, "the engine refused", std::nullopt}, true);
        return;
    }
    this->completeResponse();
}

void RequestHandler::handleUpstreamFailure(const Upstream &upstream, net::HttpOutcome end,
                                           const std::string &detail)
{
    this->slotRequirements->avoid.push_back(upstream.shortId);
    if (end == net::HttpOutcome::NotConnected) {
        logEvent(Event::UpstreamUnreachable, {{"upstream", upstream.vm.id}, {"why", detail}});
        this->node.upstreams.markUnreachable(upstream.shortId, this->node.clock.now());
        if (this->resumeCount > 0) {
            this->reportCrash(upstream);
        }
        this->retryOrRefuse({ErrorKind::UpstreamUnreachable, detail, std::nullopt}, true);
        return;
    }
    this->reportCrash(upstream);
    this->retryOrRefuse({ErrorKind::UpstreamFailed, detail, std::nullopt},
                        !this->request.nonIdempotent);
}

void RequestHandler::completeResponse()
{
    if (this->request.stream && this->status == statusOk) {
        if (!this->progress.done || this->parser.hasRemainder()) {
            this->mayHaveRun = true;
            this->retryOrRefuse({ErrorKind::UpstreamFailed, "the stream ended early", {}},
                                !this->request.nonIdempotent);
            return;
        }
        this->endClaim(OwnClaimState::Done,
                       CachedResponse{statusOk, "text/event-stream", this->keptStream});
        this->responder->end();
    } else {
        const bool model = this->request.isModelCall && this->status == statusOk;
        if (model && !isWholeAnswer(this->body, this->attemptId)) {
            this->abortResponse({ErrorKind::UpstreamGarbage, "", std::nullopt});
            return;
        }
        const auto echoed = this->headers.find("x-request-id");
        if (echoed != this->headers.end() && echoed->second != this->attemptId) {
            logEvent(Event::UpstreamGarbage,
                     {{"request", this->requestId}, {"echoed", echoed->second}});
            this->abortResponse({ErrorKind::UpstreamGarbage, "the answer to another request", {}});
            return;
        }
        const auto found = this->headers.find("content-type");
        const std::string type = found == this->headers.end() ? "application/json" : found->second;
        this->endClaim(OwnClaimState::Done, CachedResponse{this->status, type, this->body});
        this->responder->respond(this->status,
                                 {{"content-type", type}, {"x-request-id", this->requestId}},
                                 std::move(this->body));
    }
    this->clearSuspicion();
    if (this->resumeCount > 0) {
        logEvent(Event::AnswerResumed, {{"request", this->requestId}});
    }
    this->node.metrics.count(Counter::AnswersWhole);
    this->recordTiming(Timing::Whole);
    logEvent(Event::RequestDone,
             {{"request", this->requestId}, {"workspace", this->admission.workspace}});
    this->storeExplanation();
}

void RequestHandler::retryOrRefuse(const Reason &reason, bool mayRepeat)
{
    if (this->streamStarted) {
        this->abortResponse({ErrorKind::AnswerCut, reason.detail, std::nullopt});
        return;
    }
    if (!mayRepeat || this->attemptCount >= maxAttempts) {
        this->refuseWith(reason);
        return;
    }
    if (!this->node.retryBudget.tryWithdraw()) {
        logEvent(Event::RetryBudgetSpent, {{"request", this->requestId}});
        this->refuseWith(reason);
        return;
    }
    this->node.metrics.count(Counter::Retries);
    this->acquireSlot();
}

void RequestHandler::abortResponse(const Reason &reason)
{
    if (!this->streamStarted) {
        this->refuseWith(reason);
        return;
    }
    // The caller has already received a part. An error event without [DONE] and an unterminated
    // chunked encoding show that the answer is incomplete; a clean end would look complete.
    const ErrorKind kind = ErrorKind::AnswerCut;
    this->node.metrics.count(Counter::AnswersCut);
    logEvent(Event::AnswerCut, {{"request", this->requestId}, {"why", reason.detail}});
    this->responder->write("event: error\ndata: "
                               + refusalBody({kind, reason.detail, std::nullopt}, this->requestId)
                               + "\n\n",
                           nullptr);
    this->endClaimAfterRefusal(errorRow(kind).ran);
    this->storeExplanation();
    this->responder->abort();
}

} // namespace plantainswitch
