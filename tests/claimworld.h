#pragma once

#include <map>
#include <optional>
#include <vector>

#include "history.h"
#include "plantainswitch/plantainswitch.h"

namespace plantainswitch::lab {

/// Deliberate faults, to show that the checkers detect them.
enum class InjectedFault : std::uint8_t {
    None,
    /// The store accepts every write, whatever its condition.
    UnconditionalWrites,
    /// Dispatches before the claim is known to be written.
    DispatchEarly,
    /// Dispatches a claim after its caller was refused.
    DispatchAbandoned,
    /// Releases a claim although it was dispatched.
    ReleaseDispatched,
};

/// Several routers that write one slice's log at one store, with the faults that each step selects:
/// lost responses, late writes, outages, crashes, pauses, retries.
class ClaimSimulation
{
public:
    ClaimSimulation(InjectedFault injectedFault, ClaimLogLimits limits)
        : injectedFault(injectedFault)
        , limits(limits)
    {
        for (std::size_t index = 0; index < routerCount; ++index) {
            this->restart(index);
        }
    }

    /// Executes the action encoded in \a step.
    void execute(std::uint32_t step)
    {
        const std::size_t index = step / actions % routerCount;
        const std::uint64_t key = step / (actions * routerCount) % keys;
        switch (step % actions) {
        case 0:
            this->send(index, key);
            break;
        case 1:
            this->clock.advance(Milliseconds{step / actions % 400});
            break;
        case 2:
            this->dispatch(index);
            break;
        case 3:
            this->abandon(index);
            break;
        case 4:
            this->applyLate();
            break;
        case 5:
            if (step / actions % 10 == 0) {
                this->restart(index);
            }
            break;
        case 6:
            this->callStore(index, StoreFault::AnswerLost);
            break;
        case 7:
            this->callStore(index, StoreFault::Late);
            break;
        case 8:
            this->callStore(index, StoreFault::Down);
            break;
        default:
            this->callStore(index, StoreFault::None);
            break;
        }
    }

    History history;
    std::size_t granted = 0;
    std::size_t expired = 0;

private:
    enum class StoreFault : std::uint8_t { None, AnswerLost, Late, Down };
    struct Object
    {
        std::uint64_t version = 0;
        nlohmann::json body;
    };
    struct Router
    {
        ClaimLog log;
        OwnClaims own;
        std::vector<Claim> ready;
        std::vector<Claim> open;
    };

    static constexpr std::size_t routerCount = 3;
    static constexpr std::uint32_t actions = 16;
    static constexpr std::uint64_t keys = 8;

    void restart(std::size_t index)
    {
        this->routers[index] = {};
        this->routers[index].log.limits = this->limits;
        this->routers[index].log.writer = ++this->processes;
    }

    void send(std::size_t index, std::uint64_t key)
    {
        Router &router = this->routers[index];
        const ClaimId id{key, key};
        const OwnClaimState state = newestClaimOf(router.own, id).state;
        if (state != OwnClaimState::Unknown && state != OwnClaimState::Abandoned) {
            return;
        }
        const Claim claim{id, router.log.writer, ++this->nonces, key};
        this->history.push_back({HistoryKind::Sent, key, claim.nonce, 0});
        beginClaim(router.own, claim, this->clock.now());
        router.open.push_back(claim);
        const std::uint64_t issued = this->statesKeyTime ? this->firstSent(key) : 0;
        enqueueClaim(router.log, {claim, issued});
        if (this->injectedFault == InjectedFault::DispatchEarly) {
            router.ready.push_back(claim);
        }
        if (this->nonces % 2 == 0) {
            // The preferred writer was tried first, and continues with the request in parallel to
            // its owner.
            enqueueClaim(this->routers[(index + 1) % routerCount].log, {claim, issued});
        }
        this->settle(router, decideClaims(router.log, this->clock.now()));
    }

    Router *ownerOf(std::uint64_t nonce)
    {
        for (auto &[index, router] : this->routers) {
            if (router.own.byNonce.contains(nonce)) {
                return &router;
            }
        }
        return nullptr;
    }

    std::uint64_t firstSent(std::uint64_t key)
    {
        return this->issued.try_emplace(key, this->wall()).first->second;
    }

    [[nodiscard]] std::uint64_t wall() const
    {
        return static_cast<std::uint64_t>(
            std::chrono::duration_cast<Milliseconds>(this->clock.now().time_since_epoch()).count());
    }

    void settle(Router &writer, const std::vector<ClaimReply> &replies)
    {
        for (const ClaimReply &reply : replies) {
            Router *owner = this->ownerOf(reply.nonce);
            if (owner == nullptr) {
                continue;
            }
            const OwnClaim own = ownClaimOf(owner->own, reply.nonce);
            if (reply.verdict == ClaimVerdict::Granted) {
                ++this->granted;
                owner->ready.push_back(own.claim);
                continue;
            }
            this->expired += reply.verdict == ClaimVerdict::Expired ? 1 : 0;
            if (own.state == OwnClaimState::Claiming) {
                endClaim(owner->own, reply.nonce, OwnClaimState::Abandoned, std::nullopt,
                         this->clock.now());
            }
            const OwnClaim holder = ownClaimOf(owner->own, reply.holder.nonce);
            if (holder.state == OwnClaimState::Abandoned) {
                releaseClaim(writer.log, holder.claim);
            }
        }
    }

    /// May run long after the claim was written: the router may have been paused in between.
    void dispatch(std::size_t index)
    {
        Router &router = this->routers[index];
        if (router.ready.empty()) {
            return;
        }
        const Claim claim = router.ready.front();
        router.ready.erase(router.ready.begin());
        if (dispatchClaim(router.own, claim.nonce, this->clock.now())
            || this->injectedFault == InjectedFault::DispatchAbandoned) {
            this->history.push_back({HistoryKind::Ran, claim.id.high, claim.nonce, 0});
            if (this->injectedFault == InjectedFault::ReleaseDispatched) {
                releaseClaim(router.log, claim);
            }
        }
    }

    void abandon(std::size_t index)
    {
        Router &router = this->routers[index];
        if (router.open.empty()) {
            return;
        }
        const Claim claim = router.open.front();
        router.open.erase(router.open.begin());
        if (ownClaimOf(router.own, claim.nonce).state != OwnClaimState::Claiming) {
            return;
        }
        endClaim(router.own, claim.nonce, OwnClaimState::Abandoned, std::nullopt,
                 this->clock.now());
        releaseClaim(router.log, claim);
        this->history.push_back({HistoryKind::RefusedNotRun, claim.id.high, claim.nonce, 0});
    }

    void callStore(std::size_t index, StoreFault fault)
    {
        Router &router = this->routers[index];
        const auto call =
            nextStoreCall(router.log, this->clock.now(), WallTime{Milliseconds{this->wall()}});
        if (!call) {
            return;
        }
        StoreResponse answer;
        if (fault == StoreFault::Late && call->write) {
            this->lateWrites.push_back(*call);
        } else if (fault == StoreFault::AnswerLost) {
            this->apply(*call);
        } else if (fault == StoreFault::Down) {
            answer.outcome = StoreOutcome::Rejected;
        } else if (fault == StoreFault::None) {
            answer = this->apply(*call);
        }
        this->settle(router, handleStoreResponse(router.log, answer, this->clock.now()));
    }

    void applyLate()
    {
        if (!this->lateWrites.empty()) {
            this->apply(this->lateWrites.front());
            this->lateWrites.erase(this->lateWrites.begin());
        }
    }

    StoreResponse apply(const StoreCall &call)
    {
        Object &object = this->store[call.name];
        const bool matches = object.version == call.ifVersion
                             || this->injectedFault == InjectedFault::UnconditionalWrites;
        if (call.write && matches) {
            object = {++this->storeVersion, call.body};
            return {StoreOutcome::Ok, object.version, object.body};
        }
        if (call.write) {
            return {StoreOutcome::Conflict, object.version, object.body};
        }
        return {object.version == 0 ? StoreOutcome::NotFound : StoreOutcome::Ok, object.version,
                object.body};
    }

    InjectedFault injectedFault;
    ClaimLogLimits limits;
    ManualClock clock;
    std::map<std::size_t, Router> routers;
    std::map<std::string, Object> store;
    std::vector<StoreCall> lateWrites;
    std::map<std::uint64_t, std::uint64_t> issued;
    std::uint64_t storeVersion = 0;
    std::uint64_t processes = 0;
    std::uint64_t nonces = 0;

public:
    /// Whether callers state when they created their keys.
    bool statesKeyTime = false;
};

} // namespace plantainswitch::lab
