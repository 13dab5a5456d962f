#include "gatewayrequesthandler.h"

#include "plantainswitch/base/hash.h"
#include "plantainswitch/observe/event.h"

#include "versionconfirmer.h"

namespace plantainswitch::gateway {

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
        if (self && self->phase == Phase::Selecting) {
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
    this->gateway.versions->confirm(
        this->service, this->now() - this->gateway.takeUpTimeOf(this->service),
        [weak, asked = result.asked](std::optional<VersionKey> version) {
            const auto self = weak.lock();
            if (self && self->phase == Phase::Selecting) {
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
    if (this->stream.binding == BindingState::Free && this->upstream) {
        // The upstream may have returned with another version while the request was on its way.
        const auto listed = this->gateway.upstreams.find(this->upstream->replica.id);
        if (listed && versionKeyOf(listed->replica) != this->stream.currentVersion) {
            this->stream.currentVersion.reset();
        }
    }
    const bool isNewlyBound = recordEvents(this->stream);
    const bool isFirstTakenUp = !this->responseStarted && this->request->resumeAfter
                                && this->stream.binding == BindingState::Bound;
    // Of a forwarded request, the router that its caller is connected to reports the origin.
    if ((isNewlyBound || isFirstTakenUp) && !this->forwarded) {
        this->announceOrigin();
    }
}

void RequestHandler::announceOrigin()
{
    const Milliseconds budget = this->request->timeBudget.value_or(this->route->timeout);
    this->gateway.fleet->origins().announce(
        {this->stream.key, this->stream.version, this->now() + originRetention(budget)});
}

} // namespace plantainswitch::gateway
