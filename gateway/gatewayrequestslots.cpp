#include "gatewayrequesthandler.h"

#include <algorithm>
#include <utility>

#include "plantainswitch/base/hash.h"
#include "plantainswitch/observe/event.h"

namespace plantainswitch::gateway {

namespace {

/// Time for which routers compare upstreams by the wait that a coordinator stated.
constexpr Milliseconds queueWaitRetention{150};
/// Time after which the load in the head of a response is no longer reported.
constexpr Milliseconds maxLoadAge{5};
/// Retry-After if no coordinator stated one: a few times the time that a small service takes.
constexpr Milliseconds slotRetryAfter{200};

} // namespace

GrantTimes RequestHandler::grantTimes() const
{
    return {this->route->objective, this->remainingTime()};
}

std::vector<std::string>
RequestHandler::excludedUpstreams(std::span<UpstreamState *const> candidates) const
{
    std::vector<std::string> excluded = this->triedUpstreams;
    const bool isBound = !this->onlyUpstream.empty();
    if (this->grantSequence.denials.empty() && !isBound) {
        return excluded;
    }
    for (const UpstreamState *const candidate : candidates) {
        const std::string &id = candidate->replica.id;
        if ((isBound && id != this->onlyUpstream) || wasDenied(this->grantSequence, hashOf(id))) {
            excluded.push_back(id);
        }
    }
    return excluded;
}

void RequestHandler::requestSlot(Selection placement, Milliseconds maxWait)
{
    const auto target = this->gateway.upstreams.find(placement.upstreamId);
    if (this->now() < target->permitBlockedUntil) {
        // Its coordinator did not respond a short time ago.
        this->dispatchUncoordinated(placement, *target);
        return;
    }
    QueueAsk ask;
    ask.upstream = hashOf(target->replica.id);
    ask.incarnation = incarnationOf(target->replica);
    ask.request.requestId = this->gateway.fleet->nextRequestId();
    ask.request.workspace = hashOf(this->workspace);
    ask.request.weight = this->gateway.usualShareOf(this->workspace);
    ask.request.priority = this->rank;
    ask.request.untilObjective =
        timeToObjective(this->grantTimes(), this->now() - this->incoming.receivedAt);
    ask.request.untilDeadline = this->remainingTime();
    ask.request.maxWait = maxWait;
    this->attempt.grantId = ask.request.requestId;
    this->attempt.grantedIncarnation = ask.incarnation;
    const std::weak_ptr<RequestHandler> weak = this->weak_from_this();
    this->gateway.fleet->requestSlot(
        std::move(ask), this->request->attemptId,
        [weak, placement = std::move(placement)](const std::optional<QueueReply> &reply) {
            const auto self = weak.lock();
            if (self && self->attempt.phase == Phase::Selecting) {
                self->onQueueReply(placement, reply);
            }
        });
}

void RequestHandler::onQueueReply(Selection placement, const std::optional<QueueReply> &reply)
{
    const auto target = this->gateway.upstreams.find(placement.upstreamId);
    const bool isGranted = reply && reply->state.verdict == SlotQueueVerdict::Granted;
    if (!isGranted) {
        this->attempt.grantId = 0;
    }
    // The reply says nothing about a process that was started since the question.
    const bool isReplaced =
        target && incarnationOf(target->replica) != this->attempt.grantedIncarnation;
    if (!this->isUsable(target) || isReplaced || this->remainingTime() < minRemainingTime) {
        this->releaseGrant();
        this->selectAndDispatch();
        return;
    }
    if (!reply) {
        this->recordPermitDenied(*target, silentCoordinatorBlock);
        this->dispatchUncoordinated(placement, *target);
        return;
    }
    target->cold.presume(reply->coldFor, this->now());
    target->learnedLimit = reply->learnedLimit;
    target->peersRunning =
        reply->state.running - std::min(reply->state.running, target->ownRunning);
    target->queueWait = isGranted ? Milliseconds{0} : reply->state.expectedWait;
    target->queueWaitUntil = this->now() + queueWaitRetention;
    if (this->gateway.isLimitedAsCold(*target)) {
        this->requestPermitInstead(*target);
        return;
    }
    if (isGranted) {
        // The wait is over.
        placement.choice.expectedDelay = placement.choice.extraDelay;
        this->dispatchTo(placement);
        return;
    }
    // Not all routers limit the requests to a cold upstream. One that does not is denied only.
    const bool needsPermit = reply->coldFor.count() > 0;
    recordDenial(this->grantSequence,
                 {hashOf(target->replica.id),
                  needsPermit ? std::nullopt : std::optional(reply->state.expectedWait),
                  reply->state.retryAfter});
    this->selectAndDispatch();
}

void RequestHandler::requestPermitInstead(const UpstreamState &target)
{
    this->releaseGrant();
    // The upstream may be selected again: while it is cold, usesSlotQueue() is false for it, so
    // that its coordinator is asked for a permit and not for a slot again.
    std::erase_if(this->grantSequence.denials,
                  [key = hashOf(target.replica.id)](const GrantDenial &denial) {
                      return denial.upstream == key;
                  });
    this->selectAndDispatch();
}

void RequestHandler::dispatchUncoordinated(const Selection &placement, UpstreamState &target)
{
    const std::uint32_t share = contendedUncoordinatedShare(
        hashOf(this->gateway.settings.id), this->gateway.routerCount(), slotsOf(target),
        this->gateway.slotHoldTime(this->service), this->now());
    if (target.unpermitted.tryTake(share, this->now())) {
        this->dispatchTo(placement);
        return;
    }
    recordDenial(this->grantSequence, {hashOf(target.replica.id), std::nullopt, Milliseconds{0}});
    this->selectAndDispatch();
}

bool RequestHandler::waitForDeniedSlot(std::span<UpstreamState *const> candidates,
                                       const std::optional<UpstreamSelection> &choice)
{
    // An ejected upstream is the last choice, also if the coordinators of the others let requests
    // wait.
    const bool isLastChoice = !choice || isEjected(candidates[choice->index]->health, this->now());
    if (this->grantSequence.denials.empty() || !isLastChoice) {
        return false;
    }
    const auto key = lastUpstreamToAsk(this->grantSequence);
    const UpstreamState *const known = key ? this->gateway.upstreams.findKey(*key) : nullptr;
    const auto target =
        known == nullptr ? nullptr : this->gateway.upstreams.find(known->replica.id);
    if (this->isUsable(target)) {
        this->grantSequence.isExhausted = true;
        Selection placement;
        placement.upstreamId = target->replica.id;
        placement.choice.extraDelay = extraDelayOf(target->health, this->now());
        placement.choice.expectedDelay = placement.choice.extraDelay;
        this->requestSlot(std::move(placement), this->remainingTime());
        return true;
    }
    if (choice) {
        return false;
    }
    this->refuseForSlots();
    return true;
}

void RequestHandler::refuseForSlots()
{
    // A request that may have been executed cannot be refused as not executed.
    if (this->possibleExecutions > 0 || this->responseStarted) {
        this->fail();
        return;
    }
    this->refuse(ErrorKind::Overloaded, "the slots of the service are taken",
                 shortestRetryAfter(this->grantSequence, slotRetryAfter));
}

GrantRelease RequestHandler::makeRelease(GrantEnd end) const
{
    GrantRelease release;
    if (this->gateway.isBrittle(this->service)) {
        release.end = end;
        if (end == GrantEnd::Abandoned) {
            release.usualRunTime = this->gateway.runTimeBound(this->service);
        }
        return release;
    }
    if (this->request->prompt) {
        return release;
    }
    const bool hasResponded = this->attempt.upstream && this->attempt.headReceived;
    // The time of a rejection is not that of a run.
    if (!hasResponded || !this->attempt.response.notExecuted) {
        release.end = end;
    }
    // Only of the upstream that the grant is for: an attempt at another one has ended before.
    const bool isOfGrant =
        hasResponded
        && incarnationOf(this->attempt.upstream->replica) == this->attempt.grantedIncarnation;
    // A response that was read late states an old load, and so does one with a long body.
    const bool isLate = this->gateway.loopMonitor.lateness() > grantArrivalTime
                        || this->now() - this->attempt.headReceivedAt > maxLoadAge;
    if (isOfGrant && this->attempt.response.load && !isLate) {
        const ReportedLoad &load = *this->attempt.response.load;
        release.load = StatedLoad{load.running + load.waiting, load.slowdownPercent};
    }
    return release;
}

void RequestHandler::releaseGrant(GrantEnd end)
{
    if (this->attempt.grantId == 0) {
        return;
    }
    const GrantRelease release = this->makeRelease(end);
    if (release.end == GrantEnd::Abandoned && this->gateway.isBrittle(this->service)) {
        logEvent(Event::BrittleRunAbandoned,
                 {{"request", this->request->attemptId},
                  {"upstream", this->attempt.upstream->replica.id},
                  {"ran_ms", formatMilliseconds(this->now() - this->attempt.sentAt)},
                  {"hold_ms", formatMilliseconds(release.usualRunTime)}});
    }
    this->gateway.fleet->releaseGrant(this->attempt.grantedIncarnation,
                                      std::exchange(this->attempt.grantId, 0), release);
}

void RequestHandler::recordContention()
{
    if (this->request->prompt || this->attempt.response.misdirected) {
        return;
    }
    UpstreamLoadSign sign;
    sign.isRejection = this->attempt.response.notExecuted;
    sign.rejectsForOtherReasons =
        this->attempt.response.isDraining
        || this->attempt.upstream->cold.remaining(this->now()).count() > 0
        || (this->attempt.response.backoff && !this->attempt.response.load);
    if (const auto &load = this->attempt.response.load) {
        sign.isLoadStated = true;
        sign.running = load->running;
        sign.waiting = load->waiting;
        sign.slots = load->slots;
        this->attempt.upstream->statedSlots = load->slots;
    }
    if (showsContention(sign)) {
        this->gateway.recordContention(this->service);
    }
}

} // namespace plantainswitch::gateway
