#include "gatewayrequesthandler.h"

#include "plantainswitch/base/hash.h"
#include "plantainswitch/observe/event.h"

#include "versionconfirmer.h"

namespace plantainswitch::gateway {

namespace {

constexpr int statusOk = 200;

} // namespace

bool RequestHandler::bindTakenUpStream()
{
    // The router that forwards a request has bound it already.
    if (!this->request->resumeAfter || this->stream.binding != BindingState::Free) {
        return true;
    }
    this->gateway.metrics.count(Counter::StreamsTakenUp);
    this->armTimer(this->deadline);
    if (this->request->resumedAttempt.empty()) {
        this->onOriginFound({});
        return false;
    }
    const std::weak_ptr<RequestHandler> weak = this->weak_from_this();
    this->gateway.fleet->origins().find(this->stream.key, [weak](const OriginResult &result) {
        const auto self = weak.lock();
        if (self && self->attempt.phase == Phase::Selecting) {
            self->onOriginFound(result);
        }
    });
    return false;
}

void RequestHandler::onOriginFound(const OriginResult &result)
{
    if (result.version) {
        this->onVersionFound(result.version, result.asked, "origin");
        return;
    }
    const std::weak_ptr<RequestHandler> weak = this->weak_from_this();
    // Only streams that began while versions were mixed are recorded there.
    const bool isNamed = !this->request->resumedAttempt.empty();
    if (!isNamed || !this->gateway.areVersionsMixed(this->service)) {
        this->confirmOnlyVersion(result.asked);
        return;
    }
    this->gateway.fleet->origins().findInStore(
        this->stream.key, [weak, asked = result.asked](const OriginResult &stored) {
            const auto self = weak.lock();
            if (!self || self->attempt.phase != Phase::Selecting) {
                return;
            }
            if (stored.version) {
                self->onVersionFound(stored.version, asked, "store");
            } else {
                self->confirmOnlyVersion(asked);
            }
        });
}

void RequestHandler::confirmOnlyVersion(std::size_t asked)
{
    const std::weak_ptr<RequestHandler> weak = this->weak_from_this();
    this->gateway.versions->confirm(
        this->service, this->now() - this->gateway.takeUpTimeOf(this->service),
        [weak, asked](std::optional<VersionKey> version) {
            const auto self = weak.lock();
            if (self && self->attempt.phase == Phase::Selecting) {
                self->onVersionFound(version, asked, version ? "only-version" : "none");
            }
        });
}

void RequestHandler::onVersionFound(std::optional<VersionKey> version, std::size_t asked,
                                    std::string_view source)
{
    bindTo(this->stream, version);
    logEvent(Event::StreamTakenUp,
             {{"request", this->request->attemptId},
              {"resumes", this->request->resumedAttempt},
              {"resume_after", std::to_string(*this->request->resumeAfter)},
              {"binding", std::string(nameOf(this->stream.binding))},
              {"source", std::string(source)},
              {"version", formatHash(this->stream.version)},
              {"asked", std::to_string(asked)},
              {"waited_ms", formatMilliseconds(this->now() - this->incoming.receivedAt)}});
    if (this->stream.binding == BindingState::Unknown) {
        this->refuse(ErrorKind::StreamOriginUnknown, "the version that began the stream is unknown",
                     beginAnewRetryAfter);
        return;
    }
    this->dispatchUnlessQuarantined();
}

void RequestHandler::recordStreamEvents()
{
    if (this->stream.binding == BindingState::Free && this->attempt.upstream) {
        // The upstream may have returned with another version while the request was on its way.
        const auto listed = this->gateway.upstreams.find(this->attempt.upstream->replica.id);
        if (listed && versionKeyOf(listed->replica) != this->stream.currentVersion) {
            this->stream.currentVersion.reset();
        }
    }
    const bool isNewlyBound = recordEvents(this->stream);
    const bool isFirstTakenUp = !this->responseStarted && this->request->resumeAfter
                                && this->stream.binding == BindingState::Bound;
    if (this->streamFields.empty()) {
        this->streamFields = this->responseFields();
    }
    // Of a forwarded request, the router that its caller is connected to reports the origin.
    if ((isNewlyBound || isFirstTakenUp) && !this->forwarded) {
        this->announceOrigin();
    }
}

bool RequestHandler::needsConfirmation() const
{
    return !this->forwarded && !this->request->resumeAfter && this->route->resumable
           && this->gateway.areVersionsMixed(this->service);
}

bool RequestHandler::passConfirmation()
{
    if (!this->needsConfirmation() || this->gateway.fleet->origins().areOriginsConfirmed()) {
        return true;
    }
    // Other routers can be reached by callers, though not by this one.
    this->refuse(ErrorKind::StreamOriginUnconfirmed, "no witness confirms the stream's origin",
                 Milliseconds{0});
    return false;
}

void RequestHandler::announceOrigin()
{
    const Milliseconds budget = this->request->timeBudget.value_or(this->route->timeout);
    const StreamOrigin origin{this->stream.key, this->stream.version,
                              this->now() + originRetention(budget)};
    if (!this->needsConfirmation()) {
        this->gateway.fleet->origins().announce(origin);
        return;
    }
    this->withheld.emplace();
    const std::weak_ptr<RequestHandler> weak = this->weak_from_this();
    this->gateway.fleet->origins().announceConfirmed(origin, [weak](bool isConfirmed) {
        const auto self = weak.lock();
        if (self && self->attempt.phase != Phase::Done) {
            self->onOriginConfirmed(isConfirmed);
        }
    });
}

void RequestHandler::onOriginConfirmed(bool isConfirmed)
{
    if (!isConfirmed) {
        this->refuse(ErrorKind::UpstreamFailed, "no witness confirmed the stream's origin");
        return;
    }
    const WithheldStream ready = std::move(*this->withheld);
    this->withheld.reset();
    if (!ready.events.empty()) {
        this->writeEvents(ready.events);
    }
    if (ready.isComplete) {
        this->writeStreamEnd();
    }
}

void RequestHandler::startStream()
{
    if (!this->responseStarted) {
        this->responseStarted = true;
        this->caller->startChunked(statusOk, this->streamFields, this->gateway.stopping);
    }
}

void RequestHandler::writeEvents(const std::string &events)
{
    if (this->withheld) {
        this->withheld->events += events;
        return;
    }
    this->startStream();
    this->caller->writeChunk(events);
}

void RequestHandler::writeStreamEnd()
{
    if (this->withheld) {
        this->withheld->isComplete = true;
        return;
    }
    this->startStream();
    this->caller->finishChunked();
    this->finish("whole");
}

} // namespace plantainswitch::gateway
