#include "gatewayrequesthandler.h"

#include <utility>

#include <fmt/format.h>

#include "plantainswitch/base/hash.h"
#include "plantainswitch/observe/event.h"

namespace plantainswitch::gateway {

namespace {

/// Routers to which a request is forwarded one after the other.
constexpr std::size_t maxForwards = 3;
/// Timeout for a connection to another router.
constexpr Milliseconds forwardConnectTimeout{250};
/// Multiple of the latency objective after which a request that may be repeated is forwarded to the
/// next router. Until then the one that has it retries at other upstreams.
constexpr int maxForwardObjectives = 3;

} // namespace

bool RequestHandler::forward(std::string_view why)
{
    const auto target = this->nextForwardTarget();
    if (target) {
        this->forwardTo(*target, why);
    }
    return target.has_value();
}

std::optional<Endpoint> RequestHandler::nextForwardTarget() const
{
    const bool isAllowed = this->gateway.settings.mechanisms.forwarding && !this->forwarded
                           && this->forwardHosts.size() < maxForwards && this->mayRunElsewhere()
                           && this->remainingTime() >= minRemainingTime;
    return isAllowed ? forwardTargetFor(this->gateway, this->placementRequest(), this->forwardHosts)
                     : std::nullopt;
}

void RequestHandler::forwardTo(const Endpoint &target, std::string_view why)
{
    this->releaseUpstream();
    this->forwardHosts.push_back(target.host);
    this->logForward(why);
    this->gateway.metrics.count(Counter::Forwards);
    this->sendForwarded(target);
}

void RequestHandler::sendForwarded(const Endpoint &target)
{
    this->attempt.number = ++this->lastAttemptNumber;
    this->attempt.phase = Phase::Forwarding;
    this->attempt.isForwarded = true;
    this->attempt.headReceived = false;
    this->attempt.responseBody.clear();
    this->attempt.bufferShare.clear();
    this->attempt.response = {};
    this->attempt.eventRelay.dropPartial();
    this->attempt.version.reset();
    this->stream.currentVersion.reset();
    this->attempt.sentAt = this->now();
    const std::uint64_t version = this->routingTable->config().version;
    std::vector<HeaderField> fields{
        {std::string(forwardedAttemptsField), std::to_string(this->possibleExecutions)},
        {std::string(forwardedConfigField), std::to_string(version)}};
    if (this->stream.binding == BindingState::Bound) {
        fields.push_back({std::string(forwardedVersionField), formatHash(this->stream.version)});
    }
    std::string bytes = this->gateway.dialect.serializeForwarded(
        this->incoming.head, this->remainingTime(), this->lastReceivedEvent(),
        this->request->body.size(), fields);
    bytes.append(this->request->body);
    const bool mayRepeat = isRetryable(*this->route);
    this->armTimer(mayRepeat && !this->responseStarted
                       ? this->now() + maxForwardObjectives * this->route->objective
                       : this->deadline);
    this->attempt.connection = std::make_shared<UpstreamConnection>(
        this->gateway.context, this->gateway.clock, &this->gateway.work);
    this->attempt.connection->connectAndSend(
        target, std::min(forwardConnectTimeout, this->remainingTime()), std::move(bytes),
        this->forwardHandlers(), this->request->method == "HEAD");
}

ResponseHandlers RequestHandler::forwardHandlers()
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
                    self->onForwardBody(bytes);
                }
            },
            [weak, number](ResponseOutcome outcome) {
                if (const auto self = weak.lock()) {
                    self->onEndOf(number, outcome);
                }
            },
            {}};
}

bool RequestHandler::onForwardHead(const MessageHead &head)
{
    UpstreamResponse decoded = this->gateway.dialect.parseResponse(head);
    if (!this->isForThisAttempt(decoded)) {
        return false;
    }
    this->attempt.response = std::move(decoded);
    this->attempt.headReceived = true;
    this->attempt.headReceivedAt = this->now();
    this->attempt.wasNotAccepted =
        takeField(this->attempt.response.forwardedFields, notAcceptedField).has_value();
    const auto responding =
        takeField(this->attempt.response.forwardedFields, respondingUpstreamField);
    const auto version = takeField(this->attempt.response.forwardedFields, respondingVersionField);
    this->attempt.version = version ? parseHash(*version) : std::nullopt;
    this->stream.currentVersion = this->attempt.version;
    const auto source = responding ? this->gateway.upstreams.find(*responding) : nullptr;
    if (source && this->attempt.response.isDraining) {
        this->recordDraining(source->replica);
    }
    return true;
}

void RequestHandler::onForwardBody(std::string_view bytes)
{
    const auto self = this->shared_from_this();
    if (this->attempt.phase == Phase::Done) {
        return;
    }
    if (this->isRelayedStream() && this->timeToFirstByte == Duration{0}) {
        this->timeToFirstByte = this->now() - this->incoming.receivedAt;
    }
    if (!this->processBody(bytes)) {
        this->attempt.connection->abort();
        this->onForwardLost();
    }
}

void RequestHandler::onForwardEnd(ResponseOutcome outcome)
{
    const auto self = this->shared_from_this();
    if (this->attempt.phase == Phase::Done) {
        return;
    }
    if (outcome == ResponseOutcome::ConnectFailed) {
        this->forwardAgainOrFail("unreachable");
        return;
    }
    const bool isPartialStream = this->isRelayedStream() && this->attempt.eventRelay.hasPartial();
    const int status = this->attempt.response.status;
    // Refusals of the other router are unsigned.
    const bool isForgedSuccess = status >= 200 && status < 300 && !this->isTrusted();
    if (outcome != ResponseOutcome::Complete || isPartialStream || isForgedSuccess) {
        this->onForwardLost();
        return;
    }
    this->attempt.connection.reset();
    if (this->attempt.wasNotAccepted) {
        this->forwardAgainOrFail("not accepted");
        return;
    }
    if (this->isRelayedStream()) {
        this->onCompleteStream();
        return;
    }
    this->forwardResponse();
}

void RequestHandler::onForwardLost()
{
    // The other router may have sent the request to an upstream.
    this->possibleExecutions += 1;
    const bool mayRepeat = isRetryable(*this->route)
                           && this->possibleExecutions < this->route->maxAttempts
                           && this->withdrawRetry(RetryNeed::Recovery);
    if (!mayRepeat || !this->forward("lost")) {
        this->attempt.connection.reset();
        // It is counted already.
        this->attempt.phase = Phase::Selecting;
        this->fail();
    }
}

void RequestHandler::forwardAgainOrFail(std::string_view why)
{
    if (!this->forward(why)) {
        this->attempt.connection.reset();
        // The other router has not processed the request.
        this->attempt.phase = Phase::Selecting;
        this->fail();
    }
}

void RequestHandler::onForwardTimeout()
{
    // Without another router the one that has the request may still respond.
    const auto target =
        !this->attempt.headReceived && this->canRetry() ? this->nextForwardTarget() : std::nullopt;
    if (!target || !this->withdrawRetry(RetryNeed::Precaution)) {
        this->armTimer(this->deadline);
        return;
    }
    this->suspendAttempt("silent");
    this->forwardTo(*target, "silent");
}

bool RequestHandler::acceptForwarded()
{
    const std::uint64_t version =
        this->gateway.routingTable ? this->gateway.routingTable->config().version : 0;
    const bool isAccepted = this->gateway.settings.mechanisms.forwarding
                            && version >= this->forwarded->configVersion && !this->gateway.stopping
                            && this->gateway.forwardedRunning < maxForwardedRunning;
    if (isAccepted) {
        this->gateway.forwardedRunning += 1;
        this->possibleExecutions = this->forwarded->attempts;
        if (this->forwarded->boundTo) {
            bindTo(this->stream, this->forwarded->boundTo);
        }
        return true;
    }
    this->forwarded.reset();
    constexpr int unavailable = 503;
    this->caller->respond(unavailable, {{std::string(notAcceptedField), "1"}}, {}, true);
    this->finish("not-accepted");
    return false;
}

std::vector<HeaderField> RequestHandler::responseFields() const
{
    std::vector<HeaderField> fields = this->attempt.response.forwardedFields;
    if (this->forwarded && !this->triedUpstreams.empty()) {
        fields.push_back({std::string(respondingUpstreamField), this->triedUpstreams.back()});
        if (this->stream.binding == BindingState::Bound) {
            fields.push_back(
                {std::string(respondingVersionField), formatHash(this->stream.version)});
        }
    }
    return fields;
}

void RequestHandler::logForward(std::string_view why) const
{
    logEvent(Event::RequestForwarded, {{"request", this->request->attemptId},
                                       {"service", this->service},
                                       {"to", this->forwardHosts.back()},
                                       {"why", std::string(why)},
                                       {"attempts", std::to_string(this->possibleExecutions)},
                                       {"left_ms", std::to_string(this->remainingTime().count())}});
}

} // namespace plantainswitch::gateway
