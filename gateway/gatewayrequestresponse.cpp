#include "gatewayrequesthandler.h"

#include "plantainswitch/observe/event.h"

namespace plantainswitch::gateway {

namespace {

/// Upstreams that may turn one request away before it is refused.
constexpr std::uint32_t mostRejections = 3;
/// Largest answer that is held whole before it is passed on.
constexpr std::size_t largestAnswer = 16 << 20;
/// Bytes queued for a slow caller at which its upstream is paused, and at which it goes on.
constexpr std::size_t pauseAbove = 256 << 10;
constexpr std::size_t resumeBelow = 64 << 10;
/// Connections that may fail for one request before it is refused as not run.
constexpr std::uint32_t mostConnectFailures = 4;

} // namespace

bool Exchange::onAnswerHead(const MessageHead &head)
{
    UpstreamAnswer decoded = this->gateway.dialect.readAnswer(head);
    if (!decoded.attempt.empty() && decoded.attempt != this->request->attempt) {
        logEvent(Event::UpstreamGarbage, {{"request", this->request->attempt},
                                          {"upstream", this->upstream->replica.id},
                                          {"why", "an answer to another request was skipped"}});
        return false;
    }
    this->sawHead = true;
    this->upstream->lastHeard = this->now();
    this->answer = std::move(decoded);
    return true;
}

void Exchange::onFirstByte()
{
    this->sawFirstByte = true;
    this->firstByteAt = this->now();
    const Duration took = this->firstByteAt - this->sentAt;
    if (!this->chain.empty() && !this->isFirstRead) {
        this->sample.delay = took;
        this->gateway.estimators[this->service].recordFirstByte(this->sample);
    }
    if (this->firstByteAfter == Duration{0}) {
        this->firstByteAfter = this->now() - this->incoming.arrived;
    }
    const bool wasAvoided = isAvoided(this->upstream->health, this->now());
    const auto expected = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(this->expectedDelay));
    recordSuccess(this->upstream->health, took - expected, this->now());
    if (wasAvoided) {
        logEvent(Event::UpstreamUsedAgain,
                 {{"upstream", this->upstream->replica.id}, {"request", this->request->attempt}});
    }
    if (this->holdsUnread) {
        this->upstream->ownUnread -= this->unread;
        this->holdsUnread = false;
    }
}

void Exchange::recordHold()
{
    const UpstreamState &state = *this->upstream;
    if (this->answer.isEventStream) {
        this->gateway.estimators[this->service].recordHold(this->now() - this->firstByteAt);
        return;
    }
    // A plain answer comes whole, so that its time in the upstream's queue can't be separated.
    if (state.replica.slots == 0 || runningAt(state) <= state.replica.slots) {
        this->gateway.estimators[this->service].recordHold(this->now() - this->sentAt);
    }
}

void Exchange::onAnswerBody(std::string_view bytes)
{
    const auto self = this->shared_from_this();
    if (this->phase == Phase::Done) {
        return;
    }
    this->upstream->lastHeard = this->now();
    const bool relays = this->answer.status == 200 && this->answer.isSigned
                        && !this->answer.isEncoded && this->answer.isEventStream
                        && !this->answer.attempt.empty();
    if (!relays) {
        this->body.append(bytes);
        if (this->body.size() > largestAnswer) {
            this->connection->drop();
            this->onFault(UpstreamFault::Garbage);
        }
        return;
    }
    if (!this->sawFirstByte) {
        this->onFirstByte();
    }
    this->relay(bytes);
}

void Exchange::relay(std::string_view bytes)
{
    std::string whole;
    if (!this->events.feed(bytes, whole)) {
        this->connection->drop();
        this->onFault(UpstreamFault::Garbage);
        return;
    }
    this->phase = Phase::Relaying;
    if (whole.empty()) {
        return;
    }
    if (!this->chunksBegun) {
        this->chunksBegun = true;
        this->caller->beginChunks(this->answer.status, this->answer.passedOn,
                                  this->gateway.stopping);
    }
    this->caller->writeChunk(whole);
    this->armTimer(this->nextLook());
    if (this->caller->queuedBytes() > pauseAbove) {
        this->connection->pauseReading();
    }
}

void Exchange::onCallerDrained()
{
    if (this->phase == Phase::Relaying && this->connection
        && this->caller->queuedBytes() < resumeBelow) {
        this->connection->resumeReading();
    }
}

void Exchange::onAnswerEnd(AnswerEnd end)
{
    const auto self = this->shared_from_this();
    if (this->phase == Phase::Done) {
        return;
    }
    if (end == AnswerEnd::NotConnected) {
        this->onNotConnected();
        return;
    }
    if (end != AnswerEnd::Whole) {
        this->onFault(end == AnswerEnd::Garbage ? UpstreamFault::Garbage : UpstreamFault::Broken);
        return;
    }
    this->gateway.upstreams.giveBack(*this->upstream, this->connection);
    this->connection.reset();
    if (this->answer.notRun) {
        this->onNotRun();
        return;
    }
    this->onWholeAnswer();
}

void Exchange::onNotConnected()
{
    this->recordUpstreamFault(UpstreamFault::Unreachable);
    this->gateway.noteDown(this->upstream->replica);
    this->leaveUpstream();
    this->connectFailures += 1;
    if (this->connectFailures >= mostConnectFailures) {
        this->giveUp();
        return;
    }
    // Nothing was sent, so that this is no repeat.
    this->logRetry("unreachable");
    this->place();
}

void Exchange::onNotRun()
{
    // After "misdirected" the address is another upstream's; the list will say so.
    this->recordUpstreamFault(this->answer.misdirected ? UpstreamFault::Unreachable
                                                       : UpstreamFault::Full);
    this->leaveUpstream();
    this->rejections += 1;
    if (this->rejections > mostRejections || !this->tryAgain("turned away")) {
        this->giveUp();
    }
}

void Exchange::onWholeAnswer()
{
    const bool isSuccess = this->answer.status >= 200 && this->answer.status < 300;
    if (isSuccess) {
        this->gateway.noteAnswered(this->fingerprint);
    }
    const bool isUsable =
        !this->answer.isEncoded && !this->answer.attempt.empty() && this->answer.isSigned;
    if (!isUsable) {
        this->onFault(UpstreamFault::Garbage);
        return;
    }
    if (!isSuccess && this->answer.status >= 500) {
        this->recordUpstreamFault(UpstreamFault::Failed);
        this->failure = FailedAnswer{this->answer.status, std::move(this->answer.passedOn),
                                     std::move(this->body)};
        if (!this->mayRunAgain() || !this->tryAgain("failed")) {
            this->passFailureOn();
        }
        return;
    }
    if (isSuccess && this->answer.isEventStream) {
        this->onWholeStream();
        return;
    }
    this->onFirstByte();
    this->recordHold();
    this->passAnswerOn();
}

void Exchange::onWholeStream()
{
    if (this->events.hasPartial()) {
        this->onFault(UpstreamFault::Broken);
        return;
    }
    if (!this->chunksBegun) {
        this->chunksBegun = true;
        this->caller->beginChunks(this->answer.status, this->answer.passedOn,
                                  this->gateway.stopping);
    }
    this->recordHold();
    this->leaveUpstream();
    this->caller->endChunks();
    this->finish("whole");
}

void Exchange::passAnswerOn()
{
    this->leaveUpstream();
    if (this->chunksBegun) {
        // The stream's continuation was refused by its upstream: what the caller has is not whole.
        this->caller->abort();
        this->finish("cut");
        return;
    }
    const int status = this->answer.status;
    this->caller->respond(status, this->answer.passedOn, this->body, this->gateway.stopping);
    this->finish(status < 300 ? "whole" : "failed-upstream");
}

void Exchange::passFailureOn()
{
    this->answer.status = this->failure->status;
    this->answer.passedOn = std::move(this->failure->fields);
    this->body = std::move(this->failure->body);
    this->failure.reset();
    this->passAnswerOn();
}

void Exchange::onFault(UpstreamFault fault)
{
    this->recordUpstreamFault(fault);
    if (fault == UpstreamFault::Broken) {
        this->gateway.suspects.noteBroken(this->fingerprint, lifeOf(this->upstream->replica),
                                          this->sentAt, this->now());
        this->gateway.checkUpstream(this->upstream);
    }
    if (this->mayRunAgain() && this->tryAgain(nameOf(fault))) {
        return;
    }
    this->giveUp();
}

} // namespace plantainswitch::gateway
