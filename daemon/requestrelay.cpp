#include "requesthandler.h"

#include <fmt/format.h>

#include "refusal.h"

namespace plantainswitch {

namespace {

constexpr int mostAttempts = 3;
constexpr std::chrono::seconds upstreamSilence{60};
constexpr std::size_t largestAnswer = 16 << 20;
/// Bytes that may wait for a slow caller before its upstream is paused.
constexpr std::size_t mostUnflushed = 256 << 10;
constexpr int statusOk = 200;
constexpr int statusUnavailable = 503;

} // namespace

void Passage::dispatch(HeldSlot held)
{
    if (this->leftOnDispatch(held)) {
        return;
    }
    this->slot = std::move(held);
    if (this->gone && !this->claim) {
        this->releaseSlot();
        this->account();
        return;
    }
    ++this->attempts;
    this->attempt = fmt::format("{}.{}", this->id, this->attempts);
    this->status = 0;
    this->body.clear();
    this->parser = {};
    this->progress = {};
    this->garbage = false;
    this->note("attempt " + this->attempt + " to " + this->slot->upstream.vm.id);
    this->recordTiming(Timing::Placement);
    const std::lock_guard lock(this->exchangeMutex);
    this->exchange = this->client.start(this->callTo(this->slot->upstream), this->relayEvents());
}

net::HttpEvents Passage::relayEvents()
{
    net::HttpEvents events;
    const auto self = this->shared_from_this();
    events.onHeaders = [self](int code, const net::Headers &fields) {
        self->relayHeaders(code, fields);
    };
    events.onData = [self](std::string_view bytes) { return self->relayData(bytes); };
    events.onEnd = [self](net::HttpEnd end, const std::string &detail) {
        self->upstreamEnded(end, detail);
    };
    return events;
}

net::HttpCall Passage::callTo(const Upstream &upstream) const
{
    net::HttpCall call;
    call.method = this->request.method;
    call.url = "http://" + toText(upstream.vm.endpoint) + this->request.path;
    call.headers["x-request-id"] = this->attempt;
    call.headers["x-workspace"] = this->admission.workspace;
    call.headers["x-priority"] = std::to_string(this->admission.limits.priority);
    if (!this->request.contentType.empty()) {
        call.headers["content-type"] = this->request.contentType;
    }
    if (!this->request.idempotencyKey.empty()) {
        call.headers["idempotency-key"] = this->request.idempotencyKey;
    }
    call.body = this->request.body;
    call.silenceTimeout = upstreamSilence;
    call.freshConnection = this->request.nonIdempotent;
    return call;
}

void Passage::recordTiming(Timing timing)
{
    const TimePoint now = this->node.clock.now();
    this->node.metrics.record(timing, this->admission.workspace, this->admission.limits.dataClass,
                              now - this->began, now);
}

void Passage::relayHeaders(int code, const net::Headers &fields)
{
    this->status = code;
    this->headers = fields;
    this->recordTiming(Timing::FirstByte);
}

bool Passage::relayData(std::string_view bytes)
{
    if (this->garbage) {
        return true;
    }
    if (this->request.stream && this->status == statusOk) {
        return this->relayStream(bytes);
    }
    if (this->body.size() + bytes.size() > largestAnswer) {
        this->garbage = true;
        return true;
    }
    this->body.append(bytes);
    return true;
}

bool Passage::relayStream(std::string_view bytes)
{
    if (this->unflushed > mostUnflushed) {
        return false;
    }
    std::vector<std::string> events;
    bool good = this->parser.feed(bytes, events);
    std::string chunk;
    for (const std::string &event : events) {
        good = good && acceptEvent(event, this->attempt, this->progress);
        if (!good) {
            break;
        }
        chunk += "data: " + event + "\n\n";
    }
    if (!good) {
        this->garbage = true;
        const std::lock_guard lock(this->exchangeMutex);
        this->exchange->cancel();
    }
    if (this->claim && this->kept.size() + chunk.size() <= largestAnswer) {
        this->kept += chunk;
    }
    if (chunk.empty() || this->gone) {
        return true;
    }
    if (!this->started) {
        this->started = true;
        this->reply->start(statusOk, {{"content-type", "text/event-stream"},
                                      {"cache-control", "no-store"},
                                      {"x-request-id", this->id}});
    }
    const std::size_t size = chunk.size();
    this->unflushed += size;
    // The write lives in the connection that the passage's reply owns: a strong reference would
    // keep a request, its connection and its upstream exchange for ever when a router ends while
    // bytes wait for a slow caller. The exchange keeps the passage for as long as it can resume.
    this->reply->write(std::move(chunk), [weak = this->weak_from_this(), size](bool) {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        const std::size_t before = self->unflushed.fetch_sub(size);
        if (before > mostUnflushed && before - size <= mostUnflushed) {
            const std::lock_guard lock(self->exchangeMutex);
            self->exchange->resume();
        }
    });
    return true;
}

void Passage::upstreamEnded(net::HttpEnd end, const std::string &detail)
{
    const Upstream upstream = this->slot->upstream;
    if (this->canResume(end)) {
        this->resumeStream();
        return;
    }
    this->releaseSlot();
    if (this->gone) {
        this->node.metrics.count(Counter::CallersGone);
        logEvent(Event::CallerGone, {{"request", this->id}});
        if (!this->claim) {
            this->account();
            return;
        }
    }
    if (this->garbage) {
        logEvent(Event::UpstreamGarbage, {{"request", this->id}, {"upstream", upstream.vm.id}});
        this->cut({ErrorKind::UpstreamGarbage, "", std::nullopt});
        return;
    }
    if (end != net::HttpEnd::Whole) {
        this->upstreamFailed(upstream, end, detail);
        return;
    }
    if (this->started && this->status != statusOk) {
        this->cut({ErrorKind::AnswerCut, "the engine no longer keeps the stream", std::nullopt});
        return;
    }
    if (this->status == statusUnavailable && this->headers["x-ran"] == "no") {
        if (this->headers["x-leaving"] == "true") {
            logEvent(Event::UpstreamLeaving, {{"upstream", upstream.vm.id}});
            this->node.upstreams.markLeaving(upstream.vm.id);
        }
        this->need->avoid.push_back(upstream.shortId);
        this->retryOrRefuse({ErrorKind::Overloaded, "the engine refused", std::nullopt}, true);
        return;
    }
    this->answerWhole();
}

void Passage::upstreamFailed(const Upstream &upstream, net::HttpEnd end, const std::string &detail)
{
    this->need->avoid.push_back(upstream.shortId);
    if (end == net::HttpEnd::NotConnected) {
        logEvent(Event::UpstreamUnreachable, {{"upstream", upstream.vm.id}, {"why", detail}});
        this->node.upstreams.markUnreachable(upstream.shortId, this->node.clock.now());
        if (this->resumes > 0) {
            this->blameCrash(upstream);
        }
        this->retryOrRefuse({ErrorKind::UpstreamUnreachable, detail, std::nullopt}, true);
        return;
    }
    this->blameCrash(upstream);
    this->retryOrRefuse({ErrorKind::UpstreamFailed, detail, std::nullopt},
                        !this->request.nonIdempotent);
}

void Passage::answerWhole()
{
    if (this->request.stream && this->status == statusOk) {
        if (!this->progress.done || this->parser.hasRemainder()) {
            this->mayHaveRun = true;
            this->retryOrRefuse({ErrorKind::UpstreamFailed, "the stream ended early", {}},
                                !this->request.nonIdempotent);
            return;
        }
        this->endClaim(OwnState::Done, KeptAnswer{statusOk, "text/event-stream", this->kept});
        this->reply->end();
    } else {
        const bool model = this->request.model && this->status == statusOk;
        if (model && !isWholeAnswer(this->body, this->attempt)) {
            this->cut({ErrorKind::UpstreamGarbage, "", std::nullopt});
            return;
        }
        const auto echoed = this->headers.find("x-request-id");
        if (echoed != this->headers.end() && echoed->second != this->attempt) {
            logEvent(Event::UpstreamGarbage, {{"request", this->id}, {"echoed", echoed->second}});
            this->cut({ErrorKind::UpstreamGarbage, "the answer to another request", {}});
            return;
        }
        const auto found = this->headers.find("content-type");
        const std::string type = found == this->headers.end() ? "application/json" : found->second;
        this->endClaim(OwnState::Done, KeptAnswer{this->status, type, this->body});
        this->reply->respond(this->status, {{"content-type", type}, {"x-request-id", this->id}},
                             std::move(this->body));
    }
    this->clearBlame();
    if (this->resumes > 0) {
        logEvent(Event::AnswerResumed, {{"request", this->id}});
    }
    this->node.metrics.count(Counter::AnswersWhole);
    this->recordTiming(Timing::Whole);
    logEvent(Event::RequestDone, {{"request", this->id}, {"workspace", this->admission.workspace}});
    this->account();
}

void Passage::retryOrRefuse(const Reason &reason, bool mayRepeat)
{
    if (this->started) {
        this->cut({ErrorKind::AnswerCut, reason.detail, std::nullopt});
        return;
    }
    if (!mayRepeat || this->attempts >= mostAttempts) {
        this->refuseWith(reason);
        return;
    }
    if (!this->node.retryBudget.spend()) {
        logEvent(Event::RetryBudgetSpent, {{"request", this->id}});
        this->refuseWith(reason);
        return;
    }
    this->node.metrics.count(Counter::Retries);
    this->place();
}

void Passage::cut(const Reason &reason)
{
    if (!this->started) {
        this->refuseWith(reason);
        return;
    }
    // The caller already has a part. An error event without [DONE] and a broken chunk encoding
    // tell it that this is not the whole answer; a clean end would look complete.
    const ErrorKind kind = ErrorKind::AnswerCut;
    this->node.metrics.count(Counter::AnswersCut);
    logEvent(Event::AnswerCut, {{"request", this->id}, {"why", reason.detail}});
    this->reply->write("event: error\ndata: "
                           + refusalBody({kind, reason.detail, std::nullopt}, this->id) + "\n\n",
                       nullptr);
    this->endClaimRefused(errorRow(kind).ran);
    this->account();
    this->reply->abort();
}

} // namespace plantainswitch
