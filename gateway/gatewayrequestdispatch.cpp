#include "gatewayrequesthandler.h"

#include <algorithm>

#include <fmt/format.h>

#include "plantainswitch/base/hash.h"
#include "plantainswitch/observe/event.h"

namespace plantainswitch::gateway {

namespace {

/// Keepers that are asked for one placement before the router chooses by what they told it.
constexpr std::uint32_t mostFullKeepers = 2;
/// Other routers are not told again within this span that an engine uses a chain, whoever told them
/// last. A third of the time for which they believe it.
constexpr Duration chainNewsSpan = cacheResidency / 3;

} // namespace

void Exchange::place()
{
    this->phase = Phase::Placing;
    if (this->left() < leastTime) {
        this->giveUp();
        return;
    }
    // The look at an earlier attempt must not strike while a keeper is asked for the next one.
    this->armTimer(this->deadline);
    this->gateway.refreshPeerLoads();
    const auto candidates = this->gateway.upstreams.ofService(this->service);
    const ChoiceRequest wish{this->gateway.settings.place, hashOf(this->request->attempt),
                             this->request->prompt ? &*this->request->prompt : nullptr, this->chain,
                             this->tried};
    ChoicePolicy policy = this->gateway.settings.choice;
    if (this->gateway.settings.mechanisms.estimates) {
        policy.figures = this->gateway.estimators[this->service].figures(this->now());
    }
    const auto choice =
        chooseUpstream(candidates, wish, this->gateway.upstreams.memory, policy, this->now());
    if (!choice) {
        this->giveUp();
        return;
    }
    if (!this->admitTo(*choice)) {
        return;
    }
    Placement placement{*choice, candidates[choice->index]->replica.id, {}, {}};
    if (choice->copyFrom) {
        const Replica &donor = candidates[*choice->copyFrom]->replica;
        placement.donor = donor.id;
        placement.copyFrom = donor.endpoint;
    }
    if (!this->gateway.settings.mechanisms.exactCounts || this->chain.empty()
        || this->keepersFull >= mostFullKeepers) {
        this->handTo(placement);
        return;
    }
    this->askKeeper(std::move(placement));
}

bool Exchange::admitTo(const Choice &choice)
{
    // A request that may have run can't be rejected as not run.
    if (this->chain.empty() || this->runs > 0 || this->chunksBegun) {
        return true;
    }
    AdmissionRequest asked;
    asked.expectedDelay = Milliseconds{static_cast<std::int64_t>(choice.expectedDelay)};
    asked.patience = this->left();
    if (this->route->firstEventTimeout.count() > 0) {
        const Duration waited = this->now() - this->incoming.arrived;
        asked.patience = std::min(asked.patience, std::chrono::duration_cast<Milliseconds>(
                                                      this->route->firstEventTimeout - waited));
    }
    asked.objective = this->route->objective;
    asked.rank = this->rank;
    asked.occupancy = choice.occupancy;
    asked.hash = hashOf(this->request->attempt);
    const Admittance admittance = plantainswitch::admit(asked, this->gateway.settings.admission);
    if (admittance.verdict == AdmissionVerdict::Admitted) {
        return true;
    }
    logEvent(Event::RequestNotAdmitted,
             {{"request", this->request->attempt},
              {"verdict", std::string(nameOf(admittance.verdict))},
              {"expected_ms", fmt::format("{:.1f}", choice.expectedDelay)},
              {"patience_ms", std::to_string(asked.patience.count())},
              {"objective_ms", std::to_string(asked.objective.count())},
              {"rank", std::to_string(asked.rank)},
              {"occupancy", fmt::format("{:.2f}", asked.occupancy)},
              {"retry_after_ms", std::to_string(admittance.retryAfter.count())}});
    this->refuse(ErrorKind::Overloaded, "the service is overloaded", admittance.retryAfter);
    return false;
}

void Exchange::askKeeper(Placement placement)
{
    const auto target = this->gateway.upstreams.share(placement.upstream);
    EngineQuestion question;
    question.number = this->gateway.fleet->nextNumber();
    question.life = lifeOf(target->replica);
    question.chain = this->chain;
    question.tokens = tokensOf(*this->request->prompt);
    question.bound = placement.choice.bound;
    this->grant = question.number;
    this->grantedLife = question.life;
    const std::weak_ptr<Exchange> weak = this->weak_from_this();
    this->gateway.fleet->askKeeper(
        std::move(question),
        [weak, placement = std::move(placement)](const std::optional<EngineAnswer> &keeperAnswer) {
            const auto self = weak.lock();
            if (self && self->phase == Phase::Placing) {
                self->onKeeperAnswer(placement, keeperAnswer);
            }
        });
}

void Exchange::onKeeperAnswer(Placement placement, const std::optional<EngineAnswer> &keeperAnswer)
{
    const auto target = this->gateway.upstreams.share(placement.upstream);
    if (!target || target->replica.leaving) {
        this->endGrant();
        this->place();
        return;
    }
    if (!keeperAnswer) {
        this->handTo(placement);
        return;
    }
    const std::uint32_t others =
        keeperAnswer->running - std::min(keeperAnswer->running, target->ownRunning);
    target->peersRunning = others;
    if (!keeperAnswer->granted) {
        this->grant = 0;
        this->keepersFull += 1;
        this->place();
        return;
    }
    const double tokens = this->promptTokens();
    double cached = 0.0;
    for (std::size_t i = 0; i < keeperAnswer->knownParts && i < this->chain.size(); ++i) {
        cached += this->request->prompt->parts[i].tokens;
    }
    placement.choice.uncachedTokens = std::min(placement.choice.uncachedTokens, tokens - cached);
    this->handTo(placement);
}

void Exchange::endGrant()
{
    if (this->grant != 0) {
        this->gateway.fleet->endGrant(this->grantedLife, this->grant);
        this->grant = 0;
    }
}

double Exchange::promptTokens() const
{
    return this->request->prompt ? tokensOf(*this->request->prompt) : 0.0;
}

void Exchange::handTo(const Placement &placement)
{
    const Choice &choice = placement.choice;
    this->upstream = this->gateway.upstreams.share(placement.upstream);
    UpstreamState &state = *this->upstream;
    this->tried.push_back(state.replica.id);
    this->sample = {choice.uncachedTokens, choice.copiedTokens,
                    static_cast<double>(runningAt(state)), Duration{0}};
    this->isFirstRead = choice.isFirstRead;
    state.ownRunning += 1;
    this->unread = choice.uncachedTokens;
    this->holdsUnread = true;
    state.ownUnread += this->unread;
    this->expectedDelay = choice.expectedDelay - choice.extraDelay;
    this->extraDelay = choice.extraDelay;
    logEvent(Event::RequestPlaced,
             {{"request", this->request->attempt},
              {"route", this->route->name},
              {"config", std::to_string(this->table->config().version)},
              {"upstream", state.replica.id},
              {"place", state.replica.place},
              {"expected_ms", fmt::format("{:.1f}", choice.expectedDelay)},
              {"home", choice.isHome ? "yes" : "no"},
              {"home_ms", fmt::format("{:.1f}", choice.homeCost)},
              {"extra_ms", fmt::format("{:.1f}", extraDelayOf(state.health, this->now()))},
              {"bound", fmt::format("{:.1f}", choice.bound)},
              {"prefix", fmt::format("{:016x}", sharedChainOf(this->chain).value_or(0))},
              {"tokens", fmt::format("{:.0f}", this->promptTokens())},
              {"first_read", choice.isFirstRead ? "yes" : "no"},
              {"uncached", fmt::format("{:.0f}", choice.uncachedTokens)},
              {"copied", fmt::format("{:.0f}", choice.copiedTokens)},
              {"donor", placement.donor},
              {"own", std::to_string(state.ownRunning)},
              {"peers", std::to_string(state.peersRunning)},
              {"avoided", std::to_string(choice.avoided)},
              {"over_bound", std::to_string(choice.overBound)},
              {"left_ms", std::to_string(this->left().count())}});
    this->send(this->upstream, placement.copyFrom);
}

void Exchange::send(const std::shared_ptr<UpstreamState> &target,
                    const std::optional<Endpoint> &copyFrom)
{
    this->phase = Phase::Waiting;
    this->sawHead = false;
    this->sawFirstByte = false;
    this->body.clear();
    this->sentAt = this->now();
    if (!this->chain.empty()) {
        this->noteChain(lifeOf(target->replica));
    }
    Handover handover;
    handover.replica = &target->replica;
    handover.copyFrom = copyFrom;
    handover.left = this->left();
    handover.workspace = this->workspace;
    handover.rank = this->rank;
    handover.resumeAfter =
        this->events.lastId() ? this->events.lastId() : this->request->resumeAfter;
    std::string bytes = this->gateway.dialect.writeRequest(*this->request, handover);
    bytes.append(this->request->body);
    const bool isHead = this->request->method == "HEAD";
    this->armTimer(this->nextLook());
    this->connection = this->gateway.upstreams.takeIdle(*target, mayRepeat(*this->route));
    if (this->connection) {
        this->path = "reused";
        this->connection->send(bytes, this->answerEvents(), isHead);
        return;
    }
    this->path = "new";
    this->connection =
        std::make_shared<UpstreamConnection>(this->gateway.context, this->gateway.clock);
    this->connection->open(target->replica.endpoint, std::min(upstreamConnectLimit, this->left()),
                           std::move(bytes), this->answerEvents(), isHead);
}

void Exchange::noteChain(std::uint64_t life)
{
    ChainMemory &memory = this->gateway.upstreams.memory;
    // Whoever has this chat next finds its engine by the shared parts.
    const auto shared = sharedChainOf(this->chain);
    if (shared && !memory.wasUsed(*shared, life, chainNewsSpan, this->sentAt)) {
        this->gateway.updates.noteChain({*shared, life}, this->sentAt);
    }
    memory.note(this->chain, life, this->sentAt);
    if (shared) {
        memory.noteShared(*shared, life, this->sentAt);
    }
}

AnswerEvents Exchange::answerEvents()
{
    const std::weak_ptr<Exchange> weak = this->weak_from_this();
    return {[weak](const MessageHead &head) {
                const auto self = weak.lock();
                return !self || self->onAnswerHead(head);
            },
            [weak](std::string_view bytes) {
                if (const auto self = weak.lock()) {
                    self->onAnswerBody(bytes);
                }
            },
            [weak](AnswerEnd end) {
                if (const auto self = weak.lock()) {
                    self->onAnswerEnd(end);
                }
            }};
}

} // namespace plantainswitch::gateway
