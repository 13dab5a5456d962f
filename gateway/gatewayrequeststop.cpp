#include "gatewayrequesthandler.h"

namespace plantainswitch::gateway {

bool RequestHandler::passStop()
{
    if (!this->gateway.stopping
        || admitsDuringStop(this->gateway.stopSchedule, this->now(), this->deadline)) {
        return true;
    }
    // The load balancer hands the next connection to another router.
    this->refuse(ErrorKind::Stopping, "the router stops", Milliseconds{0});
    return false;
}

void RequestHandler::abort()
{
    if (this->attempt.phase == Phase::Done) {
        return;
    }
    if (!this->responseStarted && !this->forwarded) {
        this->refuse(this->mayHaveRun() ? ErrorKind::UpstreamFailed : ErrorKind::Stopping,
                     "the router stops");
        return;
    }
    // The router that has forwarded the request may repeat it.
    this->releaseUpstream();
    this->caller->abort();
    this->finish("cut-by-stop");
}

} // namespace plantainswitch::gateway
