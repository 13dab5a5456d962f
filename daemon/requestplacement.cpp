#include "requesthandler.h"

#include <fmt/format.h>

namespace plantainswitch {

void Passage::place()
{
    if (!this->admitAgain()) {
        return;
    }
    // The target counts as well as the body: calls of a plain service often have none, and all of
    // a workspace's would share the blame of one that crashes its upstream.
    const std::uint64_t fingerprint = this->contentHash(hashOf(this->admission.workspace));
    if (this->node.suspects.blame(fingerprint, this->node.clock.now()) == Blame::Quarantined) {
        logEvent(Event::RequestQuarantined,
                 {{"request", this->id}, {"workspace", this->admission.workspace}});
        this->refuseWith({ErrorKind::Quarantined, "", std::nullopt});
        return;
    }
    const std::string &chat = this->request.chat.empty() ? this->id : this->request.chat;
    const std::uint64_t chatHash = mixHash(hashOf(this->admission.workspace), hashOf(chat));
    Reason reason;
    auto plan = planPlacement(this->admission, chatHash, this->node.upstreams,
                              this->node.clock.now(), reason);
    if (!plan) {
        this->refuseWith(reason);
        return;
    }
    auto next = std::make_shared<SlotNeed>();
    next->plan = std::move(*plan);
    next->chat = chatHash;
    next->fingerprint = fingerprint;
    next->workspace = workspaceIdOf(this->admission.workspace);
    next->weight = this->admission.limits.weight;
    next->priority = this->admission.limits.priority;
    next->waitMilliseconds = this->admission.serviceEntry.queueMilliseconds;
    if (this->need) {
        next->avoid = this->need->avoid;
        // Only after a failed attempt: a router that has just started hears of its peers late and
        // would take every chat to its own place.
        preferLivePlaces(next->plan, *this->node.members.active());
    }
    {
        const std::lock_guard lock(this->exchangeMutex);
        next->abandoned = this->gone && !this->request.nonIdempotent;
        this->need = next;
    }
    this->slots->acquire(
        next, [self = this->shared_from_this()](std::string step) { self->note(std::move(step)); },
        [self = this->shared_from_this()](std::optional<HeldSlot> held, const Reason &why) {
            if (!held) {
                self->refuseWith(why);
                return;
            }
            self->claimOrDispatch(std::move(*held));
        });
}

void Passage::releaseSlot()
{
    if (this->slot) {
        this->slots->release(*this->slot);
        this->slot.reset();
    }
}

} // namespace plantainswitch
