#include "claimservice.h"

#include <algorithm>

#include <asio/bind_executor.hpp>
#include <asio/post.hpp>

#include "plantainswitch/base/hash.h"

namespace plantainswitch {

namespace {

constexpr const char *claimLogKind = "claimlog";
/// A request that could not be claimed within this time is refused as not run.
constexpr std::chrono::milliseconds claimDeadline{2000};
/// Once the store has failed for this long, claims are refused at once instead of at their
/// deadline.
constexpr std::chrono::milliseconds storeFailureThreshold{1000};

WallTime wallNow()
{
    return std::chrono::time_point_cast<Milliseconds>(std::chrono::system_clock::now());
}

StoreResponse toStoreAnswer(const net::PlatformResponse &from)
{
    StoreResponse to;
    switch (from.status) {
    case net::PlatformStatus::Ok:
        to.outcome = StoreOutcome::Ok;
        break;
    case net::PlatformStatus::NotFound:
        to.outcome = StoreOutcome::NotFound;
        break;
    case net::PlatformStatus::Conflict:
        to.outcome = StoreOutcome::Conflict;
        break;
    case net::PlatformStatus::Rejected:
        to.outcome = StoreOutcome::Rejected;
        break;
    case net::PlatformStatus::Unknown:
        to.outcome = StoreOutcome::Unknown;
        break;
    }
    if (from.object) {
        to.version = from.object->version;
        to.body = from.object->body;
    }
    return to;
}

} // namespace

ClaimService::ClaimService(asio::io_context &context, Node &node,
                           std::shared_ptr<PeerTransport> link, PeerCalls &calls,
                           net::HttpClient &http)
    : node(node)
    , link(std::move(link))
    , calls(calls)
    , platform(http, node.settings.platformUrl)
    , strand(asio::make_strand(context))
{}

void ClaimService::start()
{
    this->link->setHandler<ClaimRequest>(
        [self = this->shared_from_this()](std::uint64_t, const Endpoint &from, PeerBody body) {
            asio::post(self->strand, [self, from, ask = std::get<ClaimRequest>(body)] {
                self->handleRemoteRequest(from, ask);
            });
        });
    this->link->setHandler<ClaimReply>(
        [self = this->shared_from_this()](std::uint64_t, const Endpoint &, PeerBody body) {
            asio::post(self->strand,
                       [self, reply = std::get<ClaimReply>(body)] { self->handleReply(reply); });
        });
    this->link->setHandler<ClaimRelease>(
        [self = this->shared_from_this()](std::uint64_t sender, const Endpoint &, PeerBody body) {
            const auto release = std::get<ClaimRelease>(body);
            asio::post(self->strand, [self, sender, release] {
                Slice &slice = self->sliceFor(release.id);
                releaseClaim(slice.log, {release.id, sender, release.nonce, 0});
                self->advance(slice);
            });
        });
}

std::uint64_t ClaimService::nextNonce() noexcept
{
    return mixHash(this->node.identity, this->nextNonceNumber++);
}

std::vector<Heartbeat> ClaimService::writersFor(const ClaimId &id) const
{
    const MemberSnapshot members = this->node.members.active();
    std::vector<WriterCandidate> candidates;
    candidates.reserve(members->size());
    for (const Heartbeat &member : *members) {
        candidates.push_back({hashOf(member.id), member.dataCentre});
    }
    std::vector<Heartbeat> writers;
    for (const std::size_t index :
         claimWritersOf(sliceOf(id), candidates, this->node.settings.dataCentre, this->limits)) {
        writers.push_back((*members)[index]);
    }
    return writers;
}

void ClaimService::claim(const ClaimRequest &ask, ClaimCallback done)
{
    asio::post(this->strand,
               [self = this->shared_from_this(), ask, done = std::move(done)]() mutable {
                   auto entry = std::make_shared<PendingClaim>();
                   entry->request = ask;
                   entry->done = std::move(done);
                   entry->timer = std::make_unique<asio::steady_timer>(self->strand);
                   entry->deadline = self->node.clock.now() + claimDeadline;
                   self->pendingClaims[ask.claim.nonce] = entry;
                   self->sendOrWrite(entry);
               });
}

void ClaimService::sendOrWrite(const std::shared_ptr<PendingClaim> &ask)
{
    const auto writers = this->writersFor(ask->request.claim.id);
    std::vector<std::uint64_t> ids;
    ids.reserve(writers.size());
    for (const Heartbeat &writer : writers) {
        ids.push_back(hashOf(writer.id));
    }
    const ClaimRouteStep step =
        nextClaimRouteStep(ask->route, this->silentWriters, ids, hashOf(this->node.settings.id),
                           this->limits, this->node.clock.now());
    if (step.silentWriter != 0) {
        const auto given = std::find(ids.begin(), ids.end(), step.silentWriter);
        const bool member = given != ids.end();
        logEvent(Event::ClaimWriterSilent,
                 {{"writer", member ? writers[static_cast<std::size_t>(given - ids.begin())].id
                                    : std::to_string(step.silentWriter)}});
    }
    if (step.action == ClaimRouteAction::Refuse) {
        const std::uint64_t nonce = ask->request.claim.nonce;
        this->complete(nonce, {nonce, ClaimVerdict::Unavailable, {}});
        return;
    }
    this->scheduleRetry(ask, step.wait);
    if (step.action == ClaimRouteAction::Send) {
        this->link->send(writers[step.writer].datagramEndpoint, ask->request);
        return;
    }
    this->writeLocally(ask);
}

void ClaimService::writeLocally(const std::shared_ptr<PendingClaim> &ask)
{
    Slice &slice = this->sliceFor(ask->request.claim.id);
    const ClaimVerdict verdict = this->enqueueRequest(slice, ask->request);
    if (verdict == ClaimVerdict::Unavailable) {
        this->complete(ask->request.claim.nonce, {ask->request.claim.nonce, verdict, {}});
        return;
    }
    this->advance(slice);
}

void ClaimService::scheduleRetry(const std::shared_ptr<PendingClaim> &ask, Duration wait)
{
    ask->timer->expires_after(wait);
    ask->timer->async_wait(asio::bind_executor(
        this->strand, [self = this->shared_from_this(), ask](const asio::error_code &error) {
            const std::uint64_t nonce = ask->request.claim.nonce;
            if (error || !self->pendingClaims.contains(nonce)) {
                return;
            }
            if (self->node.clock.now() >= ask->deadline) {
                self->complete(nonce, {nonce, ClaimVerdict::Unavailable, {}});
                return;
            }
            self->sendOrWrite(ask);
        }));
}

void ClaimService::handleReply(const ClaimReply &reply)
{
    const auto found = this->pendingClaims.find(reply.nonce);
    if (found == this->pendingClaims.end()) {
        return;
    }
    const std::shared_ptr<PendingClaim> ask = found->second;
    recordWriterAck(ask->route, this->silentWriters);
    if (reply.verdict == ClaimVerdict::Queued) {
        this->scheduleRetry(ask, this->limits.resendInterval);
        return;
    }
    if (reply.verdict == ClaimVerdict::Unavailable) {
        // This writer may be cut off from the platform while other writers still reach it.
        recordWriterRefusal(ask->route);
        this->sendOrWrite(ask);
        return;
    }
    ClaimReply own = reply;
    own.holder.id = ask->request.claim.id;
    this->complete(reply.nonce, own);
}

void ClaimService::complete(std::uint64_t nonce, const ClaimReply &reply)
{
    const auto found = this->pendingClaims.find(nonce);
    if (found == this->pendingClaims.end()) {
        return;
    }
    const std::shared_ptr<PendingClaim> ask = found->second;
    this->pendingClaims.erase(found);
    ask->timer->cancel();
    ask->done(reply);
}

void ClaimService::handleRemoteRequest(const Endpoint &from, const ClaimRequest &ask)
{
    Slice &slice = this->sliceFor(ask.claim.id);
    const ClaimVerdict verdict = this->enqueueRequest(slice, ask);
    if (verdict == ClaimVerdict::Queued) {
        slice.remoteWaiters[ask.claim.nonce] = from;
    }
    this->link->send(from, ClaimReply{ask.claim.nonce, verdict, {}});
    this->advance(slice);
}

ClaimVerdict ClaimService::enqueueRequest(Slice &slice, const ClaimRequest &ask)
{
    const TimePoint now = this->node.clock.now();
    const ClaimLog &log = slice.log;
    // While the store fails, one claim at a time is let through as a probe and all others are
    // refused at once. A claim that is not queued is never written.
    const bool failing = log.failingSince && now - *log.failingSince > storeFailureThreshold;
    if ((failing && (log.callOutstanding || now < log.nextWriteAt))
        || !enqueueClaim(slice.log, ask)) {
        return ClaimVerdict::Unavailable;
    }
    return ClaimVerdict::Queued;
}

ClaimService::Slice &ClaimService::sliceFor(const ClaimId &id)
{
    const std::uint32_t number = sliceOf(id);
    const auto [found, fresh] = this->slices.try_emplace(number);
    Slice &slice = found->second;
    if (fresh) {
        slice.log.slice = number;
        slice.log.writer = this->node.identity;
        slice.timer = std::make_unique<asio::steady_timer>(this->strand);
    }
    return slice;
}

void ClaimService::advance(Slice &slice)
{
    const TimePoint now = this->node.clock.now();
    this->deliverReplies(slice, decideClaims(slice.log, now));
    if (const auto call = nextStoreCall(slice.log, now, wallNow())) {
        this->startStoreCall(slice, *call);
        return;
    }
    const auto wake = wakeTime(slice.log, now);
    if (!wake) {
        return;
    }
    constexpr std::chrono::milliseconds minDelay{1};
    slice.timer->expires_at(std::max<TimePoint>(*wake, now + minDelay));
    slice.timer->async_wait(asio::bind_executor(
        this->strand, [self = this->shared_from_this(), &slice](const asio::error_code &error) {
            if (!error) {
                self->advance(slice);
            }
        }));
}

void ClaimService::startStoreCall(Slice &slice, const StoreCall &call)
{
    this->node.metrics.count(Counter::PlatformCalls);
    auto done = [self = this->shared_from_this(), &slice](const net::PlatformResponse &answer) {
        asio::post(self->strand, [self, &slice, answer] { self->onStoreResponse(slice, answer); });
    };
    if (call.write) {
        this->node.metrics.count(Counter::ClaimWrites);
        this->platform.put(claimLogKind, call.name, call.ifVersion, call.body, std::move(done));
    } else {
        this->node.metrics.count(Counter::ClaimReads);
        this->platform.get(claimLogKind, call.name, std::move(done));
    }
}

void ClaimService::onStoreResponse(Slice &slice, const net::PlatformResponse &answer)
{
    const bool failing = slice.log.failingSince.has_value();
    this->deliverReplies(
        slice, handleStoreResponse(slice.log, toStoreAnswer(answer), this->node.clock.now()));
    if (failing != slice.log.failingSince.has_value()) {
        logEvent(failing ? Event::ClaimStoreBack : Event::ClaimStoreFailing,
                 {{"slice", std::to_string(slice.log.slice)}, {"detail", answer.detail}});
    }
    this->advance(slice);
}

void ClaimService::deliverReplies(Slice &slice, const std::vector<ClaimReply> &replies)
{
    for (const ClaimReply &reply : replies) {
        const auto remote = slice.remoteWaiters.find(reply.nonce);
        if (remote != slice.remoteWaiters.end()) {
            this->link->send(remote->second, reply);
            slice.remoteWaiters.erase(remote);
        }
        this->complete(reply.nonce, reply);
    }
}

void ClaimService::release(const Claim &claim)
{
    logEvent(Event::ClaimReleased, {{"nonce", std::to_string(claim.nonce)}});
    asio::post(this->strand, [self = this->shared_from_this(), claim] {
        const auto writers = self->writersFor(claim.id);
        if (!writers.empty() && writers.front().id != self->node.settings.id) {
            self->link->send(writers.front().datagramEndpoint, ClaimRelease{claim.id, claim.nonce});
        }
        const auto own = self->slices.find(sliceOf(claim.id));
        if (own != self->slices.end()) {
            releaseClaim(own->second.log, claim);
            self->advance(own->second);
        }
    });
}

void ClaimService::queryOwner(const Claim &holder, OwnerCallback done)
{
    if (holder.owner == this->node.identity) {
        done(this->node.ownClaims.find(holder.nonce));
        return;
    }
    for (const Heartbeat &member : this->node.members.all()) {
        if (identityOf(member.id, member.incarnation) == holder.owner) {
            this->calls.queryOwnClaim(member, holder.nonce,
                                      [done = std::move(done)](const std::optional<OwnClaim> &own) {
                                          done(own.value_or(OwnClaim{}));
                                      });
            return;
        }
    }
    done({});
}

} // namespace plantainswitch
