#include "gatewayrequesthandler.h"

#include <fmt/format.h>

#include "plantainswitch/observe/event.h"

namespace plantainswitch::gateway {

bool RequestHandler::canRetry() const
{
    // A request on which upstreams crashed may crash the next one, too. A trial has one attempt.
    return this->gateway.settings.mechanisms.retries && isRetryable(*this->route)
           && this->stream.binding != BindingState::Unknown
           && this->possibleExecutions + 1 < this->route->maxAttempts
           && crashCountOf(this->suspects, this->gateway.crashQuarantine) < crashesForNoRetry;
}

bool RequestHandler::withdrawRetry(RetryNeed need)
{
    const bool isWithdrawn = this->remainingTime() >= minRemainingTime
                             && this->gateway.retryBudgets.tryWithdraw(
                                 this->service, this->gateway.routerCount(), this->now(), need);
    if (!isWithdrawn && need == RetryNeed::Recovery) {
        logEvent(Event::RetryBudgetSpent,
                 {{"request", this->request->attemptId},
                  {"service", this->service},
                  {"left_ms", std::to_string(this->remainingTime().count())}});
    }
    return isWithdrawn;
}

bool RequestHandler::retry(std::string_view why)
{
    if (!this->withdrawRetry(RetryNeed::Recovery)) {
        return false;
    }
    this->coordinatorRejections = 0;
    this->startNextAttempt(why);
    return true;
}

void RequestHandler::startNextAttempt(std::string_view why)
{
    // An upstream that stated in a complete response that it has not executed the request was
    // released.
    if (this->attempt.upstream) {
        this->possibleExecutions += 1;
    }
    this->releaseUpstream();
    this->attempt.eventRelay.dropPartial();
    this->logRetry(why);
    this->gateway.metrics.count(Counter::Retries);
    this->selectAndDispatch();
}

bool RequestHandler::mayRunElsewhere() const
{
    return this->onlyUpstream.empty();
}

void RequestHandler::logRetry(std::string_view why) const
{
    logEvent(Event::RequestRetried,
             {{"request", this->request->attemptId},
              {"why", std::string(why)},
              {"last", this->triedUpstreams.empty() ? std::string() : this->triedUpstreams.back()},
              {"budget_left",
               fmt::format("{:.1f}", this->gateway.retryBudgets.remaining(this->service))},
              {"left_ms", std::to_string(this->remainingTime().count())}});
}

} // namespace plantainswitch::gateway
