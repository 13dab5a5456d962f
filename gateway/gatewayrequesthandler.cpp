#include "gatewayrequesthandler.h"

#include <algorithm>

#include <fmt/format.h>

#include "plantainswitch/base/hash.h"
#include "plantainswitch/observe/event.h"

namespace plantainswitch::gateway {

namespace {

/// Share of the objective after which silence counts against an upstream. Later, a second
/// upstream could not answer within the objective any more.
constexpr double silentPartOfObjective = 0.5;
/// Silence that is never held against an upstream: some steps of an engine and two crossings.
constexpr Milliseconds leastSilence{60};
/// Objectives after which a request is tried elsewhere though its upstream works for others: it is
/// late by then, and it may have been forgotten.
constexpr int busyPatience = 2;
/// Pauses within a stream, in multiples of the longest one that callers accept, after which the
/// stream goes on elsewhere.
constexpr double stalledPauses = 1.5;
/// When a caller should come back if no upstream could take its request: about the time in which
/// an avoided upstream is tried again.
constexpr Milliseconds comeBackAfter{400};

std::string millisecondsText(Duration span)
{
    return fmt::format("{:.1f}", std::chrono::duration<double, std::milli>(span).count());
}

} // namespace

Exchange::Exchange(GatewayState &gateway, std::shared_ptr<CallerConnection> caller,
                   IncomingRequest incoming)
    : gateway(gateway)
    , caller(std::move(caller))
    , incoming(std::move(incoming))
    , timer(gateway.context)
{}

void Exchange::start()
{
    this->gateway.metrics.count(Counter::Requests);
    if (!this->admit()) {
        return;
    }
    this->place();
}

bool Exchange::admit()
{
    Reason reason;
    this->request = this->gateway.dialect.readRequest(this->incoming.head, reason);
    this->table = this->gateway.table;
    if (!this->table) {
        this->refuse(ErrorKind::NoCatalogue, "no routing configuration yet", comeBackAfter);
        return false;
    }
    if (!this->request) {
        this->refuse(reason.kind, reason.detail);
        return false;
    }
    this->request->body = std::move(this->incoming.body);
    this->route = this->table->findRoute(this->request->host, this->request->path);
    if (this->route == nullptr) {
        this->refuse(ErrorKind::NotFound, "no route");
        return false;
    }
    const RoutedWorkspace *holder = nullptr;
    if (!this->route->anonymous && this->table->config().asksKeys) {
        holder = this->table->findWorkspace(this->request->key);
        if (holder == nullptr) {
            this->refuse(ErrorKind::Unauthorized, "unknown key");
            return false;
        }
        this->workspace = holder->name;
    }
    this->rank = rankOf(*this->route, holder);
    this->service = serviceOf(*this->route, hashOf(this->request->attempt));
    this->deadline = this->incoming.arrived + this->request->budget.value_or(this->route->timeout);
    if (this->route->timeout.count() > 0) {
        this->deadline = std::min(this->deadline, this->incoming.arrived + this->route->timeout);
    }
    if (this->request->prompt) {
        this->chain = chainOf(*this->request->prompt);
    }
    this->gateway.retries.earn(this->service, this->gateway.routers(), this->now());
    this->fingerprint = mixHash(hashOf(this->request->target, hashOf(this->workspace)),
                                hashOf(this->request->body));
    if (this->isHeldBack()) {
        logEvent(Event::RequestQuarantined,
                 {{"request", this->request->attempt},
                  {"fingerprint", fmt::format("{:016x}", this->fingerprint)}});
        this->refuse(ErrorKind::Quarantined, "upstreams crashed on it");
        return false;
    }
    return true;
}

bool Exchange::isHeldBack()
{
    CrashSuspects &suspects = this->gateway.suspects;
    if (!this->gateway.settings.mechanisms.quarantine
        || !suspects.isHeld(this->fingerprint, this->now())) {
        return false;
    }
    const bool isFirst = this->gateway.fleet->isFirstFor(this->fingerprint);
    return !suspects.letThrough(this->fingerprint, isFirst, this->now());
}

Milliseconds Exchange::left() const
{
    return std::chrono::duration_cast<Milliseconds>(this->deadline - this->now());
}

TimePoint Exchange::nextLook() const
{
    using FloatMilliseconds = std::chrono::duration<double, std::milli>;
    if (this->phase == Phase::Waiting) {
        const double allowed =
            std::max(static_cast<double>(leastSilence.count()),
                     silentPartOfObjective * FloatMilliseconds(this->route->objective).count())
            + this->expectedDelay + this->extraDelay;
        return this->sentAt + std::chrono::duration_cast<Duration>(FloatMilliseconds(allowed));
    }
    if (this->phase == Phase::Relaying && this->route->longestPause.count() > 0) {
        return this->now()
               + std::chrono::duration_cast<Duration>(stalledPauses * this->route->longestPause);
    }
    return this->deadline;
}

void Exchange::armTimer(TimePoint due)
{
    const std::weak_ptr<Exchange> weak = this->weak_from_this();
    this->timer.expires_at(std::min(due, this->deadline));
    this->timer.async_wait([weak](const asio::error_code &error) {
        const auto self = weak.lock();
        if (!error && self && self->phase != Phase::Done) {
            self->onTimer();
        }
    });
}

void Exchange::onTimer()
{
    if (this->now() >= this->deadline) {
        this->giveUp();
        return;
    }
    if (!this->upstream) {
        this->armTimer(this->deadline);
        return;
    }
    const Duration silent = this->now() - this->sentAt;
    const bool isBusy = this->phase == Phase::Waiting
                        && judgeSilence(this->sentAt, this->upstream->lastHeard) == Silence::Busy;
    if (isBusy && silent < busyPatience * this->route->objective) {
        this->armTimer(this->sentAt + busyPatience * this->route->objective);
        return;
    }
    if (!isBusy) {
        this->recordUpstreamFault(UpstreamFault::Silent);
    }
    if (this->mayRunAgain() && this->tryAgain(isBusy ? "busy" : "silent")) {
        return;
    }
    // Nothing better is allowed: the answer may still come.
    this->armTimer(this->deadline);
}

void Exchange::recordUpstreamFault(UpstreamFault fault)
{
    const TimePoint now = this->now();
    const bool wasAvoided = isAvoided(this->upstream->health, now);
    recordFault(this->upstream->health, fault, now);
    const bool isNews = !wasAvoided && isAvoided(this->upstream->health, now);
    logEvent(isNews ? Event::UpstreamAvoided : Event::UpstreamFaulty,
             {{"upstream", this->upstream->replica.id},
              {"request", this->request->attempt},
              {"why", std::string(nameOf(fault))},
              {"path", this->path},
              {"after_ms", millisecondsText(now - this->sentAt)},
              {"failure_share", fmt::format("{:.2f}", this->upstream->health.failureShare)}});
}

bool Exchange::mayRunAgain() const
{
    // What is held back has taken down enough upstreams: the attempt that it was let through for
    // was its only one.
    return this->gateway.settings.mechanisms.retries && mayRepeat(*this->route)
           && this->runs + 1 < this->route->maxAttempts
           && !this->gateway.suspects.isHeld(this->fingerprint, this->now());
}

bool Exchange::tryAgain(std::string_view why)
{
    if (this->left() < leastTime
        || !this->gateway.retries.spend(this->service, this->gateway.routers(), this->now())) {
        logEvent(Event::RetryBudgetSpent, {{"request", this->request->attempt},
                                           {"service", this->service},
                                           {"left_ms", std::to_string(this->left().count())}});
        return false;
    }
    if (!this->answer.notRun || !this->sawHead) {
        this->runs += 1;
    }
    this->leaveUpstream();
    this->keepersFull = 0;
    this->events.dropPartial();
    this->logRetry(why);
    this->gateway.metrics.count(Counter::Retries);
    this->place();
    return true;
}

void Exchange::logRetry(std::string_view why) const
{
    logEvent(Event::RequestRetried,
             {{"request", this->request->attempt},
              {"why", std::string(why)},
              {"last", this->tried.empty() ? std::string() : this->tried.back()},
              {"budget_left", fmt::format("{:.1f}", this->gateway.retries.left(this->service))},
              {"left_ms", std::to_string(this->left().count())}});
}

void Exchange::leaveUpstream()
{
    if (this->connection) {
        this->connection->drop();
        this->connection.reset();
    }
    this->endGrant();
    if (!this->upstream) {
        return;
    }
    this->upstream->ownRunning -= 1;
    if (this->holdsUnread) {
        this->upstream->ownUnread -= this->unread;
        this->holdsUnread = false;
    }
    this->upstream.reset();
}

void Exchange::giveUp()
{
    if (this->failure) {
        // An upstream has answered, if with a failure: that says more than an answer of our own.
        this->passFailureOn();
        return;
    }
    const bool isOver = this->now() + leastTime >= this->deadline;
    const bool mayHaveRun = this->runs > 0
                            || (this->upstream && this->phase != Phase::Placing
                                && !(this->sawHead && this->answer.notRun));
    if (mayHaveRun) {
        this->refuse(isOver ? ErrorKind::DeadlineExceeded : ErrorKind::UpstreamFailed,
                     isOver ? "no answer in time" : "the upstream failed");
    } else if (isOver) {
        this->refuse(ErrorKind::QueueExpired, "no upstream took it in time");
    } else if (this->rejections > 0) {
        this->refuse(ErrorKind::Overloaded, "upstreams turned it away", comeBackAfter);
    } else {
        this->refuse(ErrorKind::UpstreamUnreachable, "no upstream could be reached", comeBackAfter);
    }
}

void Exchange::refuse(ErrorKind kind, std::string_view why, std::optional<Milliseconds> retryAfter)
{
    this->leaveUpstream();
    this->gateway.metrics.countRefusal(kind);
    if (this->chunksBegun) {
        this->caller->abort();
        this->finish("cut");
        return;
    }
    const CallerRequest *const known = this->request ? &*this->request : nullptr;
    logEvent(Event::RequestRefused,
             {{"request", known != nullptr ? known->attempt : std::string()},
              {"kind", std::string(errorRow(kind).name)},
              {"why", std::string(why)},
              {"host", known != nullptr ? known->host : std::string()},
              {"path", known != nullptr ? known->path.substr(0, 60) : std::string()},
              {"config",
               this->table ? std::to_string(this->table->config().version) : std::string("none")},
              {"runs", std::to_string(this->runs)}});
    this->caller->respond(this->gateway.dialect.refusalStatus(kind),
                          this->gateway.dialect.refusalFields(known, retryAfter), {},
                          this->gateway.stopping);
    this->finish(errorRow(kind).name);
}

void Exchange::finish(std::string_view outcome)
{
    this->phase = Phase::Done;
    this->timer.cancel();
    const Duration whole = this->now() - this->incoming.arrived;
    if (this->request && this->route != nullptr) {
        const std::string kind(nameOf(this->route->kind));
        this->gateway.metrics.record(Timing::Whole, this->workspace, kind, whole, this->now());
        if (this->firstByteAfter > Duration{0}) {
            this->gateway.metrics.record(Timing::FirstByte, this->workspace, kind,
                                         this->firstByteAfter, this->now());
        }
        logEvent(Event::RequestEnded,
                 {{"request", this->request->attempt},
                  {"route", this->route->name},
                  {"workspace", this->workspace},
                  {"outcome", std::string(outcome)},
                  {"upstream", this->tried.empty() ? std::string() : this->tried.back()},
                  {"attempts", std::to_string(this->tried.size())},
                  {"status", std::to_string(this->answer.status)},
                  {"events", std::to_string(this->events.events())},
                  {"first_ms", millisecondsText(this->firstByteAfter)},
                  {"whole_ms", millisecondsText(whole)},
                  {"path", this->path}});
    }
    this->gateway.metrics.count(outcome == "whole" ? Counter::AnswersWhole : Counter::AnswersCut);
    this->gateway.onExchangeDone(*this->caller);
}

void Exchange::onCallerGone()
{
    if (this->phase == Phase::Done) {
        return;
    }
    this->gateway.metrics.count(Counter::CallersGone);
    this->leaveUpstream();
    this->finish("caller-gone");
}

void Exchange::cutShort()
{
    if (this->phase == Phase::Done) {
        return;
    }
    this->leaveUpstream();
    this->caller->abort();
    this->finish("cut-by-stop");
}

} // namespace plantainswitch::gateway
