#include "gatewayrequesthandler.h"

#include <algorithm>
#include <utility>

#include "plantainswitch/observe/event.h"

namespace plantainswitch::gateway {

namespace {

constexpr Milliseconds maxTryDelay{1600};
/// Time for which two upstreams may both run a stream after the second one has accepted it and
/// before it gives an event.
constexpr Milliseconds maxOverlap{300};

bool isPossiblyRunning(const RequestAttempt &attempt)
{
    return (attempt.isForwarded && attempt.phase != AttemptPhase::Selecting)
           || (attempt.upstream && (attempt.isRunning || attempt.headReceived));
}

} // namespace

bool RequestHandler::hasAlternative()
{
    const CandidateChoice choice = this->chooseUpstream();
    return choice.selected
           && !isEjected(choice.set.upstreams[choice.selected->index]->health, this->now());
}

bool RequestHandler::tryElsewhere(std::string_view why)
{
    if (!this->canRetry() || !this->hasAlternative()
        || !this->withdrawRetry(RetryNeed::Precaution)) {
        return false;
    }
    this->suspendAttempt(why);
    this->selectAndDispatch();
    return true;
}

void RequestHandler::suspendAttempt(std::string_view why)
{
    RequestAttempt next(this->gateway.responseBuffers);
    next.eventRelay = this->attempt.eventRelay;
    next.eventRelay.dropPartial();
    this->attempt.triedUpstreams = this->triedUpstreams;
    if (this->attempt.upstream) {
        this->gateway.scheduleProbe(this->attempt.upstream);
    }
    this->possibleExecutions += 1;
    this->silentAttempts.push_back(std::exchange(this->attempt, std::move(next)));
    this->coordinatorRejections = 0;
    // Coordinators of other upstreams may have denied it.
    this->grantSequence = {};
    this->logRetry(why);
    this->gateway.metrics.count(Counter::Retries);
}

bool RequestHandler::returnToSilent()
{
    if (this->silentAttempts.empty() || this->remainingTime() < minRemainingTime) {
        return false;
    }
    const bool mayHaveRun = this->attempt.upstream || isPossiblyRunning(this->attempt);
    this->releaseUpstream();
    this->attempt = std::move(this->silentAttempts.back());
    this->silentAttempts.pop_back();
    if (!mayHaveRun) {
        this->possibleExecutions -= 1;
        this->triedUpstreams = this->attempt.triedUpstreams;
    }
    // A request does not end because of what was only tried.
    this->rejections = 0;
    this->connectFailures = 0;
    this->onlyUpstream.clear();
    this->stream.currentVersion = this->attempt.version;
    this->logReturn("no other upstream");
    if (mayHaveRun && this->sendAgain()) {
        return true;
    }
    this->armTimer(this->now() + this->nextTryDelay);
    this->nextTryDelay = std::min(2 * this->nextTryDelay, maxTryDelay);
    return true;
}

bool RequestHandler::sendAgain()
{
    const bool mayBeSent =
        this->attempt.upstream && !std::exchange(this->isSentAgain, true)
        && this->isUsable(this->gateway.upstreams.find(this->attempt.upstream->replica.id))
        && this->withdrawRetry(RetryNeed::Precaution);
    if (!mayBeSent) {
        return false;
    }
    const std::string id = this->attempt.upstream->replica.id;
    this->suspendAttempt("no other upstream");
    this->onlyUpstream = id;
    std::erase(this->triedUpstreams, id);
    this->selectAndDispatch();
    return true;
}

void RequestHandler::giveUp(RequestAttempt &other)
{
    std::swap(this->attempt, other);
    this->releaseUpstream();
    std::swap(this->attempt, other);
}

void RequestHandler::giveUpSilent()
{
    for (RequestAttempt &silent : this->silentAttempts) {
        this->giveUp(silent);
    }
    this->silentAttempts.clear();
    this->onlyUpstream.clear();
}

std::vector<RequestAttempt>::iterator RequestHandler::findSilent(std::uint64_t number)
{
    return std::find_if(this->silentAttempts.begin(), this->silentAttempts.end(),
                        [number](const RequestAttempt &silent) { return silent.number == number; });
}

bool RequestHandler::continueWith(std::uint64_t number)
{
    if (this->attempt.number == number) {
        return true;
    }
    const auto silent = this->findSilent(number);
    if (silent == this->silentAttempts.end()) {
        return false;
    }
    if (!isPossiblyRunning(this->attempt)) {
        this->possibleExecutions -= 1;
        this->triedUpstreams = silent->triedUpstreams;
    }
    std::swap(this->attempt, *silent);
    this->giveUpSilent();
    this->stream.currentVersion = this->attempt.version;
    this->logReturn("responds");
    this->armTimer(this->silenceDeadline());
    return true;
}

bool RequestHandler::onHeadOf(std::uint64_t number, const MessageHead &head)
{
    if (this->attempt.number == number) {
        const bool isOwn = this->onAnyHead(head);
        if (isOwn && !this->silentAttempts.empty() && this->isRelayedStream()) {
            this->armTimer(this->now() + maxOverlap);
        }
        return isOwn;
    }
    const auto silent = this->findSilent(number);
    return silent == this->silentAttempts.end() || this->onSilentHead(*silent, head);
}

bool RequestHandler::onAnyHead(const MessageHead &head)
{
    return this->attempt.isForwarded ? this->onForwardHead(head) : this->onResponseHead(head);
}

bool RequestHandler::onSilentHead(RequestAttempt &silent, const MessageHead &head)
{
    const std::uint64_t number = silent.number;
    std::swap(this->attempt, silent);
    const bool isOwn = this->onAnyHead(head);
    const bool isAnswer = isOwn && this->isTrusted() && this->attempt.response.status < 500;
    std::swap(this->attempt, silent);
    this->stream.currentVersion = this->attempt.version;
    if (isAnswer) {
        this->continueWith(number);
    }
    return isOwn;
}

void RequestHandler::onEndOf(std::uint64_t number, ResponseOutcome outcome)
{
    const auto silent = this->findSilent(number);
    const bool isAnswer = silent != this->silentAttempts.end()
                          && outcome == ResponseOutcome::Complete && silent->firstByteReceived;
    if (silent != this->silentAttempts.end() && !isAnswer) {
        this->onSilentEnd(*silent, outcome);
        this->silentAttempts.erase(this->findSilent(number));
        return;
    }
    if (!this->continueWith(number)) {
        return;
    }
    if (this->attempt.isForwarded) {
        this->onForwardEnd(outcome);
    } else {
        this->onResponseEnd(outcome);
    }
}

void RequestHandler::onSilentEnd(RequestAttempt &silent, ResponseOutcome outcome)
{
    std::swap(this->attempt, silent);
    const bool isRejection =
        outcome == ResponseOutcome::Complete
        && (this->attempt.response.notExecuted || this->attempt.wasNotAccepted);
    const bool wasSent =
        outcome != ResponseOutcome::ConnectFailed && outcome != ResponseOutcome::Withheld;
    if (!wasSent || isRejection) {
        this->possibleExecutions -= 1;
    }
    if (this->attempt.upstream) {
        this->recordAttemptEnd(outcome);
    }
    this->releaseUpstream();
    std::swap(this->attempt, silent);
}

void RequestHandler::recordAttemptEnd(ResponseOutcome outcome)
{
    switch (outcome) {
    case ResponseOutcome::ConnectFailed:
        this->recordConnectFailure();
        return;
    case ResponseOutcome::ConnectionLost:
        this->recordConnectionLoss();
        this->gateway.probeUpstream(this->attempt.upstream, [] {});
        return;
    case ResponseOutcome::Malformed:
        this->recordInvalidResponse();
        return;
    case ResponseOutcome::Complete:
        this->attempt.isRunning = false;
        if (this->attempt.response.notExecuted) {
            this->recordRejection();
        } else {
            this->recordUpstreamFault(this->isTrusted() ? UpstreamFault::Failed
                                                        : UpstreamFault::InvalidResponse);
        }
        [[fallthrough]];
    case ResponseOutcome::Withheld:
        this->gateway.upstreams.release(*this->attempt.upstream, this->attempt.connection);
        this->attempt.connection.reset();
        return;
    }
}

bool RequestHandler::waitForAccepted()
{
    if (this->silentAttempts.empty() || !this->isRelayedStream()) {
        return false;
    }
    const TimePoint until = this->attempt.headReceivedAt + maxOverlap;
    if (this->now() < until) {
        this->armTimer(until);
        return true;
    }
    this->giveUpSilent();
    this->armTimer(this->attempt.isForwarded ? this->deadline : this->silenceDeadline());
    return true;
}

void RequestHandler::logReturn(std::string_view why) const
{
    logEvent(Event::RequestReturned,
             {{"request", this->request->attemptId},
              {"upstream", this->attempt.upstream ? this->attempt.upstream->replica.id : ""},
              {"why", std::string(why)},
              {"silent_ms", formatMilliseconds(this->now() - this->attempt.sentAt)},
              {"runs", std::to_string(this->possibleExecutions)}});
}

} // namespace plantainswitch::gateway
