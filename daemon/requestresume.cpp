#include "requesthandler.h"

namespace plantainswitch {

namespace {

constexpr int maxResumes = 2;

} // namespace

bool RequestHandler::canResume(net::HttpOutcome end) const
{
    const bool early = end == net::HttpOutcome::Broken
                       || (end == net::HttpOutcome::Complete && !this->progress.done);
    return early && this->streamStarted && !this->responseInvalid && !this->callerGone
           && this->status == 200 && this->resumeCount < maxResumes;
}

void RequestHandler::resumeStream()
{
    ++this->resumeCount;
    this->addStep("resume after " + std::to_string(this->progress.events) + " events");
    // The engine sends a partly received event again in full.
    this->parser = {};
    net::HttpCall call = this->buildUpstreamCall(this->slot->upstream);
    call.headers["x-resume-attempt"] = this->attemptId;
    call.headers["x-resume-events"] = std::to_string(this->progress.events);
    call.freshConnection = true;
    call.body.clear();
    const std::lock_guard lock(this->exchangeMutex);
    this->exchange = this->client.start(std::move(call), this->relayEvents());
}

void RequestHandler::reportCrash(const Upstream &upstream)
{
    this->mayHaveRun = true;
    logEvent(Event::UpstreamCrashed, {{"request", this->requestId}, {"upstream", upstream.vm.id}});
    this->suspects->reportCrash(upstream.shortId, this->slotRequirements->fingerprint);
}

void RequestHandler::clearSuspicion()
{
    const auto now = this->node.clock.now();
    if (this->slotRequirements
        && this->node.suspects.statusOf(this->slotRequirements->fingerprint, now)
               == SuspectStatus::Suspected) {
        this->suspects->reportCleared(this->slotRequirements->fingerprint);
    }
}

} // namespace plantainswitch
