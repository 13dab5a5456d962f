#include "requesthandler.h"

namespace plantainswitch {

namespace {

constexpr int mostResumes = 2;

} // namespace

bool Passage::canResume(net::HttpEnd end) const
{
    const bool early =
        end == net::HttpEnd::Broken || (end == net::HttpEnd::Whole && !this->progress.done);
    return early && this->started && !this->garbage && !this->gone && this->status == 200
           && this->resumes < mostResumes;
}

void Passage::resumeStream()
{
    ++this->resumes;
    this->note("resume after " + std::to_string(this->progress.events) + " events");
    // An event that came in part comes again whole.
    this->parser = {};
    net::HttpCall call = this->callTo(this->slot->upstream);
    call.headers["x-resume-attempt"] = this->attempt;
    call.headers["x-resume-events"] = std::to_string(this->progress.events);
    call.freshConnection = true;
    call.body.clear();
    const std::lock_guard lock(this->exchangeMutex);
    this->exchange = this->client.start(std::move(call), this->relayEvents());
}

void Passage::blameCrash(const Upstream &upstream)
{
    this->mayHaveRun = true;
    logEvent(Event::UpstreamCrashed, {{"request", this->id}, {"upstream", upstream.vm.id}});
    this->suspects->crashed(upstream.shortId, this->need->fingerprint);
}

void Passage::clearBlame()
{
    const auto now = this->node.clock.now();
    if (this->need && this->node.suspects.blame(this->need->fingerprint, now) == Blame::Suspect) {
        this->suspects->cleared(this->need->fingerprint);
    }
}

} // namespace plantainswitch
